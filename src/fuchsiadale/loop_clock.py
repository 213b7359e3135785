"""Clock of the running event loop."""

import asyncio

from fuchsiadale.decision.clock import Clock


class LoopClock(Clock):
    """Clock that returns the monotonic time of the running event loop."""

    def now(self) -> float:
        """Return the current time in seconds."""
        return asyncio.get_running_loop().time()
