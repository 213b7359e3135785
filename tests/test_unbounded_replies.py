"""Tests of calls to the store whose reply never ends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from fuchsiadale.platform.http import HttpClient, NoReply

TIMEOUT_S = 0.2
MAX_DURATION_S = 4.0
"""Many times the timeout, so that a busy machine does not matter."""


@asynccontextmanager
async def serve_endless_reply(beginning: bytes, part: bytes) -> AsyncIterator[str]:
    """Send a part of a reply each half time-out; yield the server's address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, EOFError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(beginning)
            while not writer.is_closing():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(TIMEOUT_S / 2)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    async with server:
        yield f"{ip}:{port}"


@pytest.mark.parametrize(
    ("beginning", "part"),
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-Part: 1\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"x"),
    ],
    ids=["interim_replies", "head", "chunk_extension"],
)
async def test_call_never_ends_while_a_reply_without_a_body_keeps_arriving(
    beginning: bytes, part: bytes
):
    client = HttpClient()
    async with serve_endless_reply(beginning, part) as address:
        async with asyncio.timeout(MAX_DURATION_S):
            reply = await client.call(
                "GET",
                f"http://{address}/",
                timeout_s=TIMEOUT_S,
                waits_while_receiving=True,
            )
        await client.close()
    assert isinstance(reply, NoReply)
