"""Records lost replies of workers and limits the wait of polls after a loss."""

from __future__ import annotations

import asyncio

LOSS_MEMORY_S = 4.0
"""Seconds for which a loss shortens polls; losses come in bursts of a few seconds."""

SHORT_POLL_WAIT_S = 0.2
"""Shortest wait of a shortened poll in seconds.

It limits the delay with which the end of a run is noticed after a lost reply.
"""

MAX_SHORT_POLLS_PER_S = 100.0
"""Maximum rate of shortened polls to all workers; uses a tenth of a small core.

The wait of a shortened poll therefore grows with the number of workers.
"""


class ReplyLossTracker:
    """Limits the wait of polls for some seconds after a reply of any worker was lost.

    A lost reply is noticed only when its poll times out, after the poll's wait. With
    shorter waits, the next poll repeats sooner what the lost reply reported.

    Attributes
    ----------
    worker_count : int
        Number of workers that are polled.
    """

    def __init__(self) -> None:
        self.worker_count = 0
        self._last_loss_s: float | None = None

    def limit_wait_s(self, wait_s: float) -> float:
        """Return the time that a poll waits, at most `wait_s`, in seconds."""
        if self._last_loss_s is None:
            return wait_s
        if asyncio.get_running_loop().time() - self._last_loss_s > LOSS_MEMORY_S:
            return wait_s
        return min(
            wait_s, max(SHORT_POLL_WAIT_S, self.worker_count / MAX_SHORT_POLLS_PER_S)
        )

    def record_loss(self) -> None:
        """Record that the reply to a call did not arrive."""
        self._last_loss_s = asyncio.get_running_loop().time()
