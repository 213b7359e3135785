"""An event loop whose clock goes on while the machine is suspended."""

from __future__ import annotations

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """Reads CLOCK_BOOTTIME, so that leases lapse during a suspension."""

    def time(self) -> float:
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_s() -> float:
    """Return the time of day in Unix seconds; it may step."""
    return time.clock_gettime(time.CLOCK_REALTIME)
