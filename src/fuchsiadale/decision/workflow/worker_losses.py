"""Workers that ceased to answer at the same moment, which points to a common cause."""

from __future__ import annotations

from collections import deque

from attrs import frozen

SIMULTANEOUS_S = 0.7
"""Seconds by which workers may be lost apart for the same cause.

Connections to workers that crash together end within this time.
"""

NOTICING_S = 0.1
"""Seconds after which the owner has noticed a connection that has ended."""

MAX_POLL_S = 2.3
"""Seconds that a poll takes at most; it returns as soon as a run has ended."""

MAX_NOTICING_S = SIMULTANEOUS_S + MAX_POLL_S
"""Seconds from a loss to when all workers lost for its cause have been noticed.

A worker that falls silent is noticed once its poll times out.
"""

MIN_PAUSE_S = 0.1
"""Seconds without an event after which the owner may have noticed a loss late.

Polls of a few workers alone bring events more often.
"""

LOSS_MEMORY_S = 60.0
"""Seconds for which a loss is kept; a crash is confirmed well before that."""


@frozen
class WorkerLoss:
    """A worker that ceased to answer.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    earliest_s : float
        From when it may have been lost, on the event loop's clock.
    lost_s : float
        When it was noticed, on the event loop's clock.
    has_fresh_run : bool
        Whether a run that had just started may be the cause.
    """

    worker_id: str
    earliest_s: float
    lost_s: float
    has_fresh_run: bool

    def is_simultaneous(self, other: WorkerLoss) -> bool:
        """Return whether another worker may have been lost for the same cause."""
        return (
            self.earliest_s - other.lost_s <= SIMULTANEOUS_S
            and other.earliest_s - self.lost_s <= SIMULTANEOUS_S
        )

    def is_noticed_with(self, other: WorkerLoss) -> bool:
        """Return whether the owner noticed another loss at about the same time."""
        return abs(self.lost_s - other.lost_s) <= NOTICING_S


class LossHistory:
    """Keeps the workers that were lost lately, and the owner's last pause."""

    def __init__(self) -> None:
        self._losses: deque[WorkerLoss] = deque()
        self._last_event_s = 0.0
        self._pause_began_s = 0.0
        self._pause_ended_s = 0.0

    def note_event(self, now_s: float) -> None:
        """Note that the owner is at work."""
        if now_s - self._last_event_s > MIN_PAUSE_S:
            self._pause_began_s, self._pause_ended_s = self._last_event_s, now_s
        self._last_event_s = now_s

    def earliest_loss_s(self, lost_s: float) -> float:
        """Return the earliest time of a loss that the owner noticed at a time.

        What happens during a pause of the owner is noticed at its end.
        """
        self.note_event(lost_s)
        if 0.0 <= lost_s - self._pause_ended_s <= NOTICING_S:
            return self._pause_began_s
        return lost_s

    def add(self, loss: WorkerLoss) -> None:
        """Add a loss, and forget those that are too old."""
        while self._losses and loss.lost_s - self._losses[0].lost_s > LOSS_MEMORY_S:
            self._losses.popleft()
        self._losses.append(loss)

    def discard(self, worker_id: str) -> None:
        """Remove the last loss of a worker that answers without having crashed."""
        for loss in reversed(self._losses):
            if loss.worker_id == worker_id:
                self._losses.remove(loss)
                return

    def list_simultaneous(self, loss: WorkerLoss) -> list[WorkerLoss]:
        """Return the losses of other workers that may have the cause of a loss."""
        return [
            other
            for other in self._losses
            if other.worker_id != loss.worker_id and other.is_simultaneous(loss)
        ]
