"""Workers that ceased to answer at the same moment, which points to a common cause."""

from __future__ import annotations

from collections import deque

from attrs import frozen

SIMULTANEOUS_S = 0.1
"""Seconds by which workers lost for the same cause may be noticed apart.

Connections to crashed workers are closed at once, so only the owner's own delay counts.
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
    lost_s : float
        When it was noticed, on the event loop's clock.
    has_fresh_run : bool
        Whether a run that had just started may be the cause.
    """

    worker_id: str
    lost_s: float
    has_fresh_run: bool


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
        if 0.0 <= lost_s - self._pause_ended_s <= SIMULTANEOUS_S:
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

    def list_simultaneous(self, worker_id: str, lost_s: float) -> list[WorkerLoss]:
        """Return the losses of other workers at about a time, in order of time."""
        return [
            loss
            for loss in self._losses
            if loss.worker_id != worker_id
            and abs(loss.lost_s - lost_s) <= SIMULTANEOUS_S
        ]
