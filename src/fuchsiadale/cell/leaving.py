"""Lets a process that is told to stop complete a takeover that it has begun."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MIN_SCHEDULING_S = 1.0
"""Seconds for which a leaving process schedules once it has read the stored cell.

A new owner hears from its workers and places waiting tasks in this time.
"""

POLL_INTERVAL_S = 0.05
"""Seconds between two looks at whether the stored cell has been read."""


async def complete_takeover(
    is_reading: Callable[[], bool], is_owner: Callable[[], bool], ends_s: float
) -> None:
    """Wait until this process has read the cell that it owns and scheduled for a while.

    A successor would have to read the cell from its beginning, so that nobody would
    schedule as long as each new owner is stopped in its turn.

    Parameters
    ----------
    is_reading : callable
        Returns whether this process owns the cell and still reads it.
    is_owner : callable
        Returns whether this process schedules.
    ends_s : float
        Latest end of the wait on the event loop's clock, in seconds.
    """
    loop = asyncio.get_running_loop()
    while is_reading() and loop.time() < ends_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    if is_owner():
        await asyncio.sleep(max(0.0, min(MIN_SCHEDULING_S, ends_s - loop.time())))
