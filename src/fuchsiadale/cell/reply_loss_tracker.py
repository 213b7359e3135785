"""Remembers whether answers of workers were lost lately, over all workers."""

from __future__ import annotations

import asyncio

LOSS_MEMORY_S = 4.0
"""Seconds for which one lost answer counts; losses come in spells of some seconds."""

SHORT_POLL_WAIT_S = 0.2
"""Seconds that a look waits then; bounds how long an end goes unnoticed."""

SHORT_LOOKS_PER_S = 100.0
"""Looks a second over all workers that are worth it; a tenth of a small core."""


class ReplyLossTracker:
    """Tells how long looks should wait while answers of workers are being lost.

    Attributes
    ----------
    workers : int
        How many workers are looked at.
    """

    def __init__(self) -> None:
        self.worker_count = 0
        self._lost_s: float | None = None

    def limit_wait_s(self, wait_s: float) -> float:
        """Return how long to wait instead of `wait_s`, in seconds."""
        if self._lost_s is None:
            return wait_s
        if asyncio.get_running_loop().time() - self._lost_s > LOSS_MEMORY_S:
            return wait_s
        return min(
            wait_s, max(SHORT_POLL_WAIT_S, self.worker_count / SHORT_LOOKS_PER_S)
        )

    def record_loss(self) -> None:
        """Note that an answer did not come."""
        self._lost_s = asyncio.get_running_loop().time()
