"""Closes workers that are to blame for failures, and probes them again."""

from __future__ import annotations

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.failure_tracker import FailureTracker
from fuchsiadale.decision.ledger import Ledger
from fuchsiadale.decision.work import Attempt, AttemptEnd


class QuarantineManager:
    """Acts on what the ends of attempts say of their workers.

    Parameters
    ----------
    ledger : Ledger
        The partition's workers.
    blame : FailureTracker
        Counts failures.
    clock : Clock
        The clock.
    """

    def __init__(self, ledger: Ledger, blame: FailureTracker, clock: Clock) -> None:
        self._ledger = ledger
        self._blame = blame
        self._clock = clock

    def record_end(self, work_id: str, attempt: Attempt, end: AttemptEnd) -> int:
        """Note an attempt's end; return how many workers were closed for it."""
        suspects: list[str] = []
        if end is AttemptEnd.FAILED and self._blame.record_failure(
            work_id, attempt.worker
        ):
            suspects = [attempt.worker]
        elif end is AttemptEnd.SUCCEEDED:
            suspects = self._blame.record_success(work_id, attempt.worker)
        return sum(self._close(name) for name in suspects)

    def release_due_workers(self) -> None:
        """Open the workers that may be tried again."""
        for name in self._blame.end_due_quarantines(self._clock.now()):
            if name in self._ledger.workers:
                self._ledger.change_state(name, "release")

    def _close(self, name: str) -> bool:
        """Close a worker, unless it has gone; return whether it was open."""
        if name not in self._ledger.workers:
            return False
        if not self._ledger.change_state(name, "quarantine"):
            return False
        self._blame.record_quarantine(name, self._clock.now())
        return True
