"""HTTP server whose open connections can go silent, for tests."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

PART_S = 0.02
"""Seconds between two parts of a body that is sent at a limited rate."""


async def answer_at_once(target: str) -> bytes:
    """Return an empty JSON object."""
    return b"{}"


class SilentServer:
    """Answers each request over a kept connection until that connection goes silent.

    Parameters
    ----------
    answer : callable
        Returns an awaitable of the body of the reply to a request target.

    Attributes
    ----------
    address : str
        ``ip:port`` of the server.
    opened_connections : int
        Number of connections that were accepted.
    answer_delay_s : float
        Seconds until a request is answered.
    bytes_per_s : float or None
        Rate at which the body of a reply is sent; None if it is sent at once.
    """

    def __init__(
        self, answer: Callable[[str], Awaitable[bytes]] = answer_at_once
    ) -> None:
        self._answer = answer
        self._silent: set[int] = set()
        self._busy: dict[int, str] = {}
        self._writers: list[asyncio.StreamWriter] = []
        self.address = ""
        self.opened_connections = 0
        self.answer_delay_s = 0.0
        self.bytes_per_s: float | None = None

    @asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Serve on a free port of the loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        try:
            yield
        finally:
            server.close()
            for writer in self._writers:
                writer.close()

    def silence_connections(self, except_target: str | None = None) -> None:
        """Never answer over the connections that are open now.

        Parameters
        ----------
        except_target : str, optional
            A connection that carries a request for a target with this beginning goes
            on to be served.
        """
        for connection in range(1, self.opened_connections + 1):
            target = self._busy.get(connection)
            is_spared = target and except_target and target.startswith(except_target)
            if not is_spared:
                self._silent.add(connection)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened_connections += 1
        connection = self.opened_connections
        self._writers.append(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ", 2)[1].decode()
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                self._busy[connection] = target
                await asyncio.sleep(self.answer_delay_s)
                body = await self._answer(target)
                del self._busy[connection]
                if connection not in self._silent:
                    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
                    writer.write(OK_HEAD + length)
                    await self._send(body, writer, connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The client has closed the connection.
            writer.close()

    async def _send(
        self, body: bytes, writer: asyncio.StreamWriter, connection: int
    ) -> None:
        """Send a body; stop within it if the connection goes silent."""
        if self.bytes_per_s is None:
            writer.write(body)
            return
        loop = asyncio.get_running_loop()
        began_s, sent_bytes = loop.time(), 0
        while sent_bytes < len(body):
            await asyncio.sleep(PART_S)
            if connection in self._silent:
                return
            # By the clock, as the pauses may last longer.
            due_bytes = round((loop.time() - began_s) * self.bytes_per_s)
            writer.write(body[sent_bytes:due_bytes])
            await writer.drain()
            sent_bytes = max(sent_bytes, due_bytes)
