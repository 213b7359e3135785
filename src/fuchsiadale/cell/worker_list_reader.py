"""Reads the list of registered workers from time to time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from eliot import log_message
from result import Err

from fuchsiadale.decision.workflow.messages import WorkerEntry
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.ports.worker_list import WorkerList

WORKER_LIST_INTERVAL_S = 0.6
"""Seconds between two reads of the worker list: a third of a worker's drain notice."""

MIN_WORKER_LIST_INTERVAL_S = 0.2
"""Seconds between two reads of the worker list when a worker has restarted."""

MAX_WORKER_LIST_AGE_S = 3.0
"""Seconds since the worker list was last read from which nothing is placed.

A worker may have shrunk, begun to drain or left since.
"""


class WorkerListReader:
    """Reads the worker list, and tells whether the last reading is too old.

    Parameters
    ----------
    worker_list : WorkerList
        The list.
    on_read : callable
        Called with the registrations after each read.
    """

    def __init__(
        self,
        worker_list: WorkerList,
        on_read: Callable[[tuple[WorkerEntry, ...]], None],
    ) -> None:
        self._worker_list = worker_list
        self._on_read = on_read
        self._read_s = LoopClock().now()
        self._is_outdated = False
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Read the list early, since a worker has restarted."""
        self._requested.set()

    def check_outdated(self) -> bool:
        """Return whether the list is too old to plan by, and log a change."""
        age_s = LoopClock().now() - self._read_s
        is_outdated = age_s > MAX_WORKER_LIST_AGE_S
        if is_outdated is not self._is_outdated:
            self._is_outdated = is_outdated
            event = "worker_list_outdated" if is_outdated else "worker_list_current"
            log_message(event, age_s=round(age_s, 3))
        return is_outdated

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            self._requested.clear()
            sent_s = LoopClock().now()
            listed = await self._worker_list.read()
            if not isinstance(listed, Err):
                self._read_s = sent_s
                self._on_read(listed.ok_value)
            await asyncio.sleep(MIN_WORKER_LIST_INTERVAL_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    WORKER_LIST_INTERVAL_S - MIN_WORKER_LIST_INTERVAL_S
                ):
                    await self._requested.wait()
