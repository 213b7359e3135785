"""Which incarnation of a worker answers, and whether its registration is known.

A worker may start again under its id, as one of another kind or with other room.
"""

from __future__ import annotations

from attrs import define

from fuchsiadale.decision.workflow.messages import WorkerEntry

MAX_REGISTRATION_AGE_S = 4.5
"""Seconds after which a worker that has restarted is no longer registered as before.

Registrations are removed after three heartbeat intervals of silence, of 1.5 s each.
"""


@define(eq=False)
class WorkerIncarnation:
    """A worker's registration and the incarnation of it that answers.

    Attributes
    ----------
    entry : WorkerEntry
        The worker's registration.
    started_ms : int
        Start of the worker's incarnation that last answered, in Unix milliseconds; 0
        before its first answer.
    restarted_s : float or None
        When that incarnation first answered after another one, on the event loop's
        clock; None if no other one is known to have answered.
    """

    entry: WorkerEntry
    started_ms: int = 0
    restarted_s: float | None = None

    @property
    def rack(self) -> str:
        """Name of the worker's rack, which is its last label; empty without labels."""
        return self.entry.labels[-1] if self.entry.labels else ""

    def note_started(self, started_ms: int, now_s: float) -> None:
        """Note that an incarnation has answered for the first time."""
        if self.started_ms:
            self.restarted_s = now_s
        self.started_ms = started_ms

    def is_registered(self, now_s: float) -> bool:
        """Return whether the registration is that of the incarnation that answers.

        One that gives no start is so once that of an earlier incarnation has expired.
        """
        if self.entry.started_ms and self.started_ms:
            return self.entry.started_ms == self.started_ms
        restarted_s = self.restarted_s
        return restarted_s is None or now_s - restarted_s >= MAX_REGISTRATION_AGE_S

    def has_restarted_since(self, time_s: float) -> bool:
        """Return whether another incarnation has answered since a time."""
        return self.restarted_s is not None and self.restarted_s > time_s
