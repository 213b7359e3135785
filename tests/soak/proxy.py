"""A loopback proxy that delays, drops, silences and resets connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum

CHUNK_BYTES = 1 << 16


class Mode(Enum):
    """What a proxy does with what it is given."""

    OPEN = "open"
    REFUSE = "refuse"
    SILENT = "silent"
    DROP_CALLS = "drop calls"
    DROP_ANSWERS = "drop answers"


class Proxy:
    """Stands between callers and one address.

    A connection that lost bytes stays silent for good, also after the proxy is open
    again, as if something between its ends had forgotten it.

    Parameters
    ----------
    host : str
        Where it listens, and where its target listens.
    target_port : int
        The target's port.
    """

    def __init__(self, host: str, target_port: int) -> None:
        self.mode = Mode.OPEN
        self.delay_s = 0.0
        self._host = host
        self._target_port = target_port
        self._connections: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        return int(self._server.sockets[0].getsockname()[1])

    def reset(self) -> None:
        """Reset every connection."""
        for writer in list(self._connections):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            target = await asyncio.open_connection(self._host, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        target_reader, target_writer = target
        self._connections |= {writer, target_writer}
        calls = self._pump(reader, target_writer, {Mode.SILENT, Mode.DROP_CALLS})
        answers = self._pump(target_reader, writer, {Mode.SILENT, Mode.DROP_ANSWERS})
        for pump in (calls, answers):
            task = asyncio.get_running_loop().create_task(pump)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping: set[Mode],
    ) -> None:
        is_dead = False
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                is_dead = is_dead or self.mode in dropping
                if is_dead:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        if not is_dead:
            writer.close()
        self._connections.discard(writer)
