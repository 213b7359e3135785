"""Tests of transactions that take long to send, as over a slow link."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from result import Err, Ok

from fuchsiadale.cell.commit_size import MAX_COMMIT_BYTES, CommitSize
from fuchsiadale.cell.committer import COMMIT_TIMEOUT_S
from fuchsiadale.cell.row_values import MAX_ROW_BYTES
from fuchsiadale.platform.http import HttpClient
from fuchsiadale.platform.store import PlatformRowStore
from fuchsiadale.ports.rows import RowWrite
from tests.test_slow_links import LINK_BYTES_PER_S

PART_S = 0.02
RECEIVE_BUFFER_BYTES = 65_536


@asynccontextmanager
async def serve_behind_slow_link() -> AsyncIterator[str]:
    """Receive requests at the rate of a slow link, and accept each transaction."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, EOFError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
                part_bytes = round(PART_S * LINK_BYTES_PER_S)
                while length:
                    length -= len(await reader.readexactly(min(length, part_bytes)))
                    await asyncio.sleep(PART_S)
                body = b'{"row_version": 7}'
                reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(reply + body)

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        ip, port = listener.getsockname()
        server = await asyncio.start_server(serve, sock=listener)
        async with server:
            yield f"{ip}:{port}"


async def test_largest_commit_of_an_owner_on_a_slow_link_is_never_stored():
    size = CommitSize()
    while size.limit_bytes < MAX_COMMIT_BYTES:
        size.note_answered(size.limit_bytes, 0.01)
    client = HttpClient()
    outcomes = []
    async with serve_behind_slow_link() as address:
        store = PlatformRowStore(client, address)
        for _ in range(4):
            row_count = size.limit_bytes // MAX_ROW_BYTES
            writes = tuple(
                RowWrite("progress", str(number), bytes(MAX_ROW_BYTES))
                for number in range(row_count)
            )
            outcome = await store.transact(writes, timeout_s=COMMIT_TIMEOUT_S)
            outcomes.append(outcome)
            if isinstance(outcome, Err):
                size.note_unanswered()
        await client.close()
    assert outcomes[-1] == Ok(7)
