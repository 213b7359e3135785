"""Calls of callers that this process has received and not answered yet."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

from eliot import log_message

from fuchsiadale.cell.metrics import CellMetrics


class OpenCalls:
    """Counts and limits the calls in progress; logs those that get no answer.

    Parameters
    ----------
    metrics : CellMetrics
        Receives the number of calls in progress and of those without an answer.
    """

    def __init__(self, metrics: CellMetrics) -> None:
        self._metrics = metrics
        self._count = 0
        self._cancelled_count = 0
        self._ends_s: float | None = None
        self._limits: set[asyncio.Timeout] = set()

    @property
    def count(self) -> int:
        """Number of calls in progress."""
        return self._count

    @property
    def cancelled_count(self) -> int:
        """Number of calls that this process has broken off since its start."""
        return self._cancelled_count

    @contextmanager
    def track(
        self, method: str, path: str, is_connected: Callable[[], bool]
    ) -> Iterator[None]:
        """Count a call as open within the context.

        Parameters
        ----------
        method, path : str
            Method and path of the call; the path ends with the id of the job.
        is_connected : callable
            Returns whether the caller's connection is still open.
        """
        received_s = asyncio.get_running_loop().time()
        self._change_count(1)
        cause = ""
        try:
            yield
        except asyncio.CancelledError:
            self._cancelled_count += 1
            cause = "cancelled"
            raise
        finally:
            self._change_count(-1)
            if not cause and not is_connected():
                cause = "caller_left"
            if cause:
                self._metrics.unanswered_calls.labels(cause).inc()
                age_s = asyncio.get_running_loop().time() - received_s
                log_message(
                    "call_unanswered",
                    job=path.rpartition("/")[2],
                    method=method,
                    cause=cause,
                    age_s=round(age_s, 3),
                )

    @asynccontextmanager
    async def limit_time(self) -> AsyncIterator[None]:
        """Raise TimeoutError in the context at the time set by `end_by`, if any."""
        async with asyncio.timeout_at(self._ends_s) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)

    def end_by(self, ends_s: float) -> None:
        """End all calls in progress and all later ones at a time of the event loop.

        Parameters
        ----------
        ends_s : float
            Time in seconds on the event loop's clock.
        """
        self._ends_s = ends_s
        for limit in self._limits:
            limit.reschedule(ends_s)

    def _change_count(self, difference: int) -> None:
        self._count += difference
        self._metrics.open_calls.set(self._count)
