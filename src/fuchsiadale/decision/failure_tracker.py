"""Tells poison work apart from workers that fail everything."""

from __future__ import annotations

from attrs import define, field

from fuchsiadale.decision.constants import (
    POISON_WORKER_THRESHOLD,
    QUARANTINE_DURATION_S,
    QUARANTINE_FAILURE_THRESHOLD,
)

CONSECUTIVE_FAILURE_THRESHOLD = 2 * QUARANTINE_FAILURE_THRESHOLD


@define
class _WorkerRecord:
    strikes: int = 0
    failed_works: set[str] = field(factory=set)
    quarantined_at_s: float | None = None


class FailureTracker:
    """Counts failures by work and by worker.

    A failure of work that later succeeds elsewhere is a strike against the worker
    that failed it. Work that failed on several workers is poison.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerRecord] = {}
        self._failed_on: dict[str, set[str]] = {}

    def record_failure(self, work_id: str, worker: str) -> bool:
        """Note a failure; return whether the worker should be quarantined."""
        self._failed_on.setdefault(work_id, set()).add(worker)
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.failed_works.add(work_id)
        return len(record.failed_works) >= CONSECUTIVE_FAILURE_THRESHOLD

    def record_success(self, work_id: str, worker: str) -> list[str]:
        """Note a success; return the workers that should be quarantined for it."""
        self._workers.pop(worker, None)
        suspects: list[str] = []
        for other in self._failed_on.pop(work_id, set()) - {worker}:
            record = self._workers.get(other)
            if record is None:
                continue
            record.strikes += 1
            if record.strikes >= QUARANTINE_FAILURE_THRESHOLD:
                suspects.append(other)
        return suspects

    def is_poison(self, work_id: str) -> bool:
        """Tell whether the work failed on so many workers that it is at fault."""
        return len(self._failed_on.get(work_id, ())) >= POISON_WORKER_THRESHOLD

    def forget_work(self, work_id: str) -> None:
        """Drop the failures of work that ended."""
        self._failed_on.pop(work_id, None)

    def record_quarantine(self, worker: str, now_s: float) -> None:
        """Note when a worker was quarantined."""
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.quarantined_at_s = now_s

    def end_due_quarantines(self, now_s: float) -> list[str]:
        """Return the quarantined workers that may be tried again.

        One more strike sends a probed worker back.
        """
        due: list[str] = []
        for name, record in self._workers.items():
            since_s = record.quarantined_at_s
            if since_s is None or now_s - since_s < QUARANTINE_DURATION_S:
                continue
            record.quarantined_at_s = None
            record.strikes = QUARANTINE_FAILURE_THRESHOLD - 1
            record.failed_works.clear()
            due.append(name)
        return due
