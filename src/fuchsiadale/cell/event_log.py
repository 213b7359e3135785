"""Structured log lines on standard output: bounded, and never blocking."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import Any

import eliot
import orjson

STDOUT = 1

MAX_QUEUED_LINES = 5_000
"""Lines that wait for a slow output; about 1 MB."""

MAX_LINES_PER_S = 1_000
"""Lines written a second; further ones are counted, not written."""

FLUSH_S = 0.1
"""Seconds between two writes; one system call carries all lines in between."""

MAX_WRITE_BYTES = 1 << 16
"""Bytes handed over in one write; a pipe's capacity."""


class EventLog:
    """Takes eliot's messages and writes them when the output takes them.

    Parameters
    ----------
    node : str
        Named in every line.
    descriptor : int, default=1
        Where lines are written.
    """

    def __init__(self, node: str, descriptor: int = STDOUT) -> None:
        self._node = node
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._dropped = 0
        self._in_second = 0

    @property
    def queued_line_count(self) -> int:
        """Lines that the output has not taken yet."""
        return len(self._lines)

    def install(self) -> None:
        """Receive every message that eliot is given."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.enqueue)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Keep a message until it can be written, or count it as dropped."""
        if len(self._lines) >= MAX_QUEUED_LINES or self._in_second >= MAX_LINES_PER_S:
            self._dropped += 1
            return
        self._in_second += 1
        line = {
            name: value
            for name, value in message.items()
            if name not in ("task_uuid", "task_level", "timestamp")
        }
        line["node"] = self._node
        line["time_s"] = round(message.get("timestamp", 0.0), 3)
        self._lines.append(orjson.dumps(line, default=str) + b"\n")

    async def run(self) -> None:
        """Write what waits until cancelled."""
        passed = 0
        try:
            while True:
                await asyncio.sleep(FLUSH_S)
                passed += 1
                if passed * FLUSH_S >= 1.0:
                    passed = 0
                    self._log_dropped_lines()
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as much as the output takes now."""
        while self._unwritten or self._lines:
            size = len(self._unwritten)
            chunk = [self._unwritten] if self._unwritten else []
            while self._lines and size < MAX_WRITE_BYTES:
                chunk.append(self._lines.popleft())
                size += len(chunk[-1])
            data = b"".join(chunk)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._unwritten = data
                return
            self._unwritten = data[written:]
            if self._unwritten:
                return

    def _log_dropped_lines(self) -> None:
        self._in_second = 0
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            eliot.log_message("log_lines_dropped", count=dropped)
