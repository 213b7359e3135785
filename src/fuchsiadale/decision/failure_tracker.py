"""Distinguishes work that fails on every worker from workers that fail all work."""

from __future__ import annotations

from attrs import define, field, frozen

from fuchsiadale.decision.constants import (
    MAX_FAILURES_PER_TASK,
    POISON_WORKER_THRESHOLD,
    QUARANTINE_DURATION_S,
    QUARANTINE_FAILURE_THRESHOLD,
)
from fuchsiadale.decision.work import work_id_of

# A worker that fails attempts of this many submissions, without a success of its own in
# between, is quarantined even if none of the submissions succeeds on another worker.
CONSECUTIVE_FAILURE_THRESHOLD = 2 * QUARANTINE_FAILURE_THRESHOLD


@frozen
class _Crash:
    worker: str
    boot_id: str
    is_confirmed: bool


@define
class _WorkerRecord:
    confirmed_failures: int = 0
    failed_work_ids: set[str] = field(factory=set)
    quarantined_at_s: float | None = None


class FailureTracker:
    """Counts failures by work and by worker.

    If work succeeds on one worker after it failed on others, its failures are confirmed
    to be faults of those workers. A success of a worker resets its own count. Work that
    fails on several workers, or of which one task crashes them, is poison. Crashes do
    not count against the workers.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerRecord] = {}
        self._failed_workers: dict[str, set[str]] = {}
        # Tasks by work id. Those with and without a confirmed crash count apart, so
        # that one crash is two items.
        self._crash_suspects: dict[_Crash, dict[str, set[str]]] = {}

    def record_failure(self, work_id: str, worker: str) -> bool:
        """Record a failure; return whether the worker should be quarantined."""
        self._failed_workers.setdefault(work_id, set()).add(worker)
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.failed_work_ids.add(work_id)
        return len(record.failed_work_ids) >= CONSECUTIVE_FAILURE_THRESHOLD

    def record_crash(
        self, task_id: str, worker: str, boot_id: str, is_confirmed: bool
    ) -> int:
        """Record that a worker may have crashed just after it had started a task.

        Parameters
        ----------
        task_id, worker, boot_id : str
            The task, the worker and its boot identifier before the crash.
        is_confirmed : bool
            Whether the worker had confirmed the start, and was not silent until the
            lease of the attempt had lapsed. It may have crashed before the order for
            another reached it, or after another had ended.

        Returns
        -------
        int
            Number of works that may have caused the crash, as far as is known. The
            crash counts only for the one that remains when the others succeeded.
        """
        crash = _Crash(worker, boot_id, is_confirmed)
        suspects = self._crash_suspects.setdefault(crash, {})
        suspects.setdefault(work_id_of(task_id), set()).add(task_id)
        return len(suspects)

    def clear_crashes(self, task_id: str) -> None:
        """Discard the crashes of a task that has run for long since."""
        work_id = work_id_of(task_id)
        for suspects in self._crash_suspects.values():
            tasks = suspects.get(work_id, set())
            tasks.discard(task_id)
            if not tasks:
                suspects.pop(work_id, None)

    def record_success(self, work_id: str, worker: str) -> list[str]:
        """Record a success; return the workers to quarantine for failing the work."""
        own_record = self._workers.pop(worker, None)
        if own_record is not None and own_record.quarantined_at_s is not None:
            self.record_quarantine(worker, own_record.quarantined_at_s)
        for suspects in self._crash_suspects.values():
            suspects.pop(work_id, None)
        workers_to_quarantine: list[str] = []
        for failed_worker in self._failed_workers.pop(work_id, set()) - {worker}:
            record = self._workers.get(failed_worker)
            if record is None:
                continue
            record.confirmed_failures += 1
            if record.confirmed_failures >= QUARANTINE_FAILURE_THRESHOLD:
                workers_to_quarantine.append(failed_worker)
        return workers_to_quarantine

    def list_failing_workers(self) -> list[str]:
        """Return the workers that failed several works since their last success."""
        return [
            name
            for name, record in self._workers.items()
            if len(record.failed_work_ids) >= QUARANTINE_FAILURE_THRESHOLD
        ]

    def is_poison(self, task_id: str) -> bool:
        """Return whether the work failed on, or the task crashed, too many workers.

        Workers that crash at the same moment under several tasks of the work count
        once for each of them, since the cause may lie outside. Unconfirmed crashes
        count only once all crashes are as many as a task may have failures.
        """
        work_id = work_id_of(task_id)
        failed_workers = self._failed_workers.get(work_id, set())
        crashes = [
            crash
            for crash, suspects in self._crash_suspects.items()
            if suspects.keys() == {work_id} and task_id in suspects[work_id]
        ]
        crashed_workers = {crash.worker for crash in crashes if crash.is_confirmed}
        return (
            len(failed_workers | crashed_workers) >= POISON_WORKER_THRESHOLD
            or len(crashes) >= MAX_FAILURES_PER_TASK
        )

    def forget_work(self, work_id: str) -> None:
        """Discard the failures and crashes of work that ended."""
        self._failed_workers.pop(work_id, None)
        self._crash_suspects = {
            crash: suspects
            for crash, suspects in self._crash_suspects.items()
            if suspects and work_id not in suspects
        }

    def record_quarantine(self, worker: str, now_s: float) -> None:
        """Record that a worker was quarantined at `now_s`."""
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.quarantined_at_s = now_s

    def list_quarantined_workers(self) -> list[str]:
        """Return the workers whose quarantine has not ended."""
        return [
            name
            for name, record in self._workers.items()
            if record.quarantined_at_s is not None
        ]

    def end_expired_quarantines(self, now_s: float) -> list[str]:
        """End the quarantines that have lasted long enough, and return their workers.

        A single further confirmed failure puts such a worker back in quarantine.
        """
        released: list[str] = []
        for name, record in self._workers.items():
            since_s = record.quarantined_at_s
            if since_s is None or now_s - since_s < QUARANTINE_DURATION_S:
                continue
            record.quarantined_at_s = None
            record.confirmed_failures = QUARANTINE_FAILURE_THRESHOLD - 1
            record.failed_work_ids.clear()
            released.append(name)
        return released
