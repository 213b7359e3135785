"""Relay of connections to a server that limits their rate, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

LINK_BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s."""

PART_S = 0.01
"""Seconds between two parts that pass the link."""


class SlowLink:
    """Relays connections to a server over a link that they share.

    Each direction has the full rate.

    Parameters
    ----------
    port : int
        Port of the server on the loopback address.
    bytes_per_s : int
        Rate of the link in each direction.

    Attributes
    ----------
    address : str
        ``ip:port`` at which the link accepts connections.
    opened_connections : int
        Number of connections that were accepted.
    """

    def __init__(self, port: int, bytes_per_s: int = LINK_BYTES_PER_S) -> None:
        self._port = port
        self._bytes_per_s = bytes_per_s
        self._up, self._down = asyncio.Lock(), asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        self.opened_connections = 0

    @asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Accept connections on a free port of the loopback address."""
        server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        try:
            yield
        finally:
            server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened_connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        there_reader, there_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        try:
            await asyncio.gather(
                self._copy(reader, there_writer, self._up),
                self._copy(there_reader, writer, self._down),
            )
        except (ConnectionError, asyncio.CancelledError):
            # The client or the server has closed the connection, or the test ends.
            return
        finally:
            writer.close()
            there_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: asyncio.Lock,
    ) -> None:
        """Copy one direction of a connection; the connections take turns."""
        part_bytes = max(1, round(PART_S * self._bytes_per_s))
        while part := await reader.read(part_bytes):
            async with direction:
                await asyncio.sleep(len(part) / self._bytes_per_s)
            writer.write(part)
            await writer.drain()
        writer.close()
