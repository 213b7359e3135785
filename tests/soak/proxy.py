"""A TCP proxy that delays or drops data and refuses or aborts connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

CHUNK_BYTES = 1 << 16
LIMITED_CHUNK_S = 0.02
"""Seconds that one chunk of data takes on a link of limited rate."""

MAX_CREDIT_S = 0.1
"""Seconds of unused rate that a link makes up for, as timers are late."""


class ProxyMode(Enum):
    """How a proxy treats connections and data.

    Attributes
    ----------
    OPEN
        Forward data in both directions.
    REFUSE
        Abort new connections; existing ones are served as in `OPEN`.
    SILENT
        Drop data in both directions.
    DROP_CALLS
        Drop data from the client to the target.
    DROP_ANSWERS
        Drop data from the target to the client.
    """

    OPEN = "open"
    REFUSE = "refuse"
    SILENT = "silent"
    DROP_CALLS = "drop calls"
    DROP_ANSWERS = "drop answers"


class _Link:
    """One direction of a link, whose rate all connections share."""

    def __init__(self) -> None:
        self._is_free_from_s = 0.0

    async def pass_data(self, byte_count: int, bytes_per_s: float) -> None:
        """Wait until a number of bytes has passed after what other connections send."""
        now_s = asyncio.get_running_loop().time()
        self._is_free_from_s = max(self._is_free_from_s, now_s - MAX_CREDIT_S)
        self._is_free_from_s += byte_count / bytes_per_s
        await asyncio.sleep(self._is_free_from_s - now_s)


class Proxy:
    """Forwards TCP connections of clients to one target address.

    Once data in one direction of a connection is dropped, all later data in that
    direction is dropped too, even after the mode is `OPEN` again, as if a device on
    the network path had lost the connection's state. The close of such a direction is
    not forwarded either, so that the receiver sees an open, silent connection.

    Parameters
    ----------
    host : str
        Address on which both the proxy and its target listen.
    target_port : int
        Port on which the target listens.

    Attributes
    ----------
    mode : ProxyMode
        How connections and data are treated; may change at any time.
    delay_s : float
        Delay of each chunk of forwarded data, in seconds.
    bytes_per_s : float or None
        Rate of the link in each direction, which all connections share; None if it is
        not limited.
    """

    def __init__(self, host: str, target_port: int) -> None:
        self.mode = ProxyMode.OPEN
        self.delay_s = 0.0
        self.bytes_per_s: float | None = None
        self._request_link, self._reply_link = _Link(), _Link()
        self._host = host
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def _max_chunk_bytes(self) -> int:
        if self.bytes_per_s is None:
            return CHUNK_BYTES
        return max(1, round(LIMITED_CHUNK_S * self.bytes_per_s))

    async def start(self) -> int:
        """Listen on a free port and return the port."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._host, 0
        )
        return int(self._server.sockets[0].getsockname()[1])

    def reset(self) -> None:
        """Abort every connection; keep listening."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Drop all later data of the connections that are open; new ones work."""
        self._silent_writers |= self._writers

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.REFUSE:
            writer.transport.abort()
            return
        await self._relay(
            reader, writer, (self._host, self._target_port), lambda: self.mode
        )

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: tuple[str, int],
        get_mode: Callable[[], ProxyMode],
        greeting: bytes = b"",
    ) -> None:
        """Connect a client to a target; send it a greeting once it is connected."""
        try:
            target_streams = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        target_reader, target_writer = target_streams
        self._writers |= {writer, target_writer}
        writer.write(greeting)
        request_forwarder = self._forward(
            reader,
            target_writer,
            self._request_link,
            lambda: get_mode() in {ProxyMode.SILENT, ProxyMode.DROP_CALLS},
        )
        reply_forwarder = self._forward(
            target_reader,
            writer,
            self._reply_link,
            lambda: get_mode() in {ProxyMode.SILENT, ProxyMode.DROP_ANSWERS},
        )
        for forwarder in (request_forwarder, reply_forwarder):
            task = asyncio.get_running_loop().create_task(forwarder)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: _Link,
        is_dropping: Callable[[], bool],
    ) -> None:
        has_dropped_data = False
        with suppress(OSError):
            while data := await reader.read(self._max_chunk_bytes):
                if self.bytes_per_s is not None:
                    await link.pass_data(len(data), self.bytes_per_s)
                has_dropped_data = (
                    has_dropped_data or is_dropping() or writer in self._silent_writers
                )
                if has_dropped_data:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        if has_dropped_data:
            return
        writer.close()
        self._writers.discard(writer)
        self._silent_writers.discard(writer)
