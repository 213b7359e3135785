"""Calls of callers that this process has received and not answered yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from eliot import log_message

from fuchsiadale.cell.metrics import CellMetrics


class OpenCalls:
    """Counts the calls in progress and logs those that end without an answer.

    Parameters
    ----------
    metrics : CellMetrics
        Receives the number of calls in progress and of those without an answer.
    """

    def __init__(self, metrics: CellMetrics) -> None:
        self._metrics = metrics
        self._count = 0
        self._cancelled_count = 0

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

    def _change_count(self, difference: int) -> None:
        self._count += difference
        self._metrics.open_calls.set(self._count)
