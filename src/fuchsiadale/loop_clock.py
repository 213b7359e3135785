"""The running event loop's clock."""

import asyncio

from fuchsiadale.decision.clock import Clock


class LoopClock(Clock):
    """Reads the clock of the event loop that runs."""

    def now(self) -> float:
        """Return the current time in seconds."""
        return asyncio.get_running_loop().time()
