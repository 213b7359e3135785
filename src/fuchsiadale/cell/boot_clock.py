"""Event loop with a clock that includes the time while the machine is suspended."""

from __future__ import annotations

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """Event loop on CLOCK_BOOTTIME, so that leases also expire during a suspension."""

    def time(self) -> float:
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_s() -> float:
    """Return the wall-clock time in Unix seconds, which jumps when the clock is set."""
    return time.clock_gettime(time.CLOCK_REALTIME)
