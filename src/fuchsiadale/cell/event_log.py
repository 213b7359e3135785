"""Writes structured log lines to standard output: limited in number, never blocking."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import Any

import eliot
import orjson

STDOUT_DESCRIPTOR = 1

MAX_QUEUED_LINES = 5_000
"""Maximum number of lines queued while the output is slow; about 1 MB."""

MAX_LINES_PER_S = 4_000
"""Maximum number of lines accepted per second; further lines are only counted.

The owner of 200 busy workers writes half as many, so that no job's story is lost.
"""

FLUSH_INTERVAL_S = 0.1
"""Seconds between two flushes; one system call writes all lines queued in between."""

MAX_WRITE_BYTES = 1 << 16
"""Size in bytes from which no more lines are added to a write; a pipe's capacity."""


class EventLog:
    """Queues the messages logged with eliot and writes them without blocking.

    Parameters
    ----------
    node : str
        Name of this machine, which is added to every line.
    descriptor : int, default=1
        File descriptor that lines are written to.
    """

    def __init__(self, node: str, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self._node = node
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._dropped_count = 0
        self._lines_this_second = 0

    @property
    def queued_line_count(self) -> int:
        """Number of lines in the queue, without those of an unfinished write."""
        return len(self._lines)

    def install(self) -> None:
        """Register as a destination of eliot, so that every message is queued."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.enqueue)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Queue a message, or drop it if the queue is full or the rate too high."""
        if (
            len(self._lines) >= MAX_QUEUED_LINES
            or self._lines_this_second >= MAX_LINES_PER_S
        ):
            self._dropped_count += 1
            return
        self._lines_this_second += 1
        line = {
            name: value
            for name, value in message.items()
            if name not in ("task_uuid", "task_level", "timestamp")
        }
        line["node"] = self._node
        line["time_s"] = round(message.get("timestamp", 0.0), 3)
        self._lines.append(orjson.dumps(line, default=str) + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        flush_count = 0
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_S)
                flush_count += 1
                if flush_count * FLUSH_INTERVAL_S >= 1.0:
                    flush_count = 0
                    self._start_next_second()
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the output accepts without blocking."""
        while self._unwritten or self._lines:
            size = len(self._unwritten)
            chunks = [self._unwritten] if self._unwritten else []
            while self._lines and size < MAX_WRITE_BYTES:
                chunks.append(self._lines.popleft())
                size += len(chunks[-1])
            data = b"".join(chunks)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._unwritten = data
                return
            self._unwritten = data[written:]
            if self._unwritten:
                return

    def _start_next_second(self) -> None:
        """Reset the rate limit and log how many lines were dropped."""
        self._lines_this_second = 0
        if self._dropped_count:
            dropped_count, self._dropped_count = self._dropped_count, 0
            eliot.log_message("log_lines_dropped", count=dropped_count)
