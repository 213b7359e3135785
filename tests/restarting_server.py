"""HTTP server of a worker that restarts at its address, for tests."""

from __future__ import annotations

import asyncio
from collections import Counter

import orjson

from tests.silent_server import SilentServer


class RestartingServer(SilentServer):
    """Answers the calls to a worker; a restart closes all connections.

    Attributes
    ----------
    started_ms : int
        Start of the present incarnation, in Unix milliseconds; 0 to leave it out.
    received : Counter
        Number of requests that each incarnation has received, by start and target.
    """

    def __init__(self) -> None:
        super().__init__(self._answer_call)
        self.started_ms = 1000
        self.received: Counter[tuple[int, str]] = Counter()

    def restart(self) -> None:
        """Replace the worker by its next incarnation."""
        self.started_ms += 1000
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _answer_call(self, target: str) -> bytes:
        self.received[self.started_ms, target] += 1
        await asyncio.sleep(0.01)
        body = {"clock_ms": 7, "born": self.started_ms}
        return orjson.dumps(body if self.started_ms else {"clock_ms": 7})
