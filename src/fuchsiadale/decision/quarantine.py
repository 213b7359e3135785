"""Quarantines workers that cause failures, and releases them after a time."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import (
    CRASH_CLEARANCE_AGE_S,
    CRASH_SUSPECT_AGE_S,
    CRASH_SUSPECT_MAX_DELAY_S,
    CRASH_SUSPECT_SPACING_S,
)
from fuchsiadale.decision.failure_tracker import FailureTracker
from fuchsiadale.decision.ledger import Ledger
from fuchsiadale.decision.work import Attempt, AttemptEnd, Task, TaskState


@frozen
class _SilentSuspect:
    """An attempt that may have crashed its worker, which has not answered since."""

    task: Task
    attempt: Attempt


class QuarantineManager:
    """Quarantines workers according to how their attempts end.

    Parameters
    ----------
    ledger : Ledger
        The partition's workers.
    failure_tracker : FailureTracker
        Counts the failures of work and of workers.
    clock : Clock
        The clock.
    """

    def __init__(
        self, ledger: Ledger, failure_tracker: FailureTracker, clock: Clock
    ) -> None:
        self._ledger = ledger
        self._failure_tracker = failure_tracker
        self._clock = clock
        self._silent_suspects: dict[str, list[_SilentSuspect]] = {}  # by worker

    def record_end(self, work_id: str, attempt: Attempt, end: AttemptEnd) -> int:
        """Record an attempt's end; return how many workers it put in quarantine."""
        workers_to_quarantine: list[str] = []
        if end is AttemptEnd.FAILED and self._failure_tracker.record_failure(
            work_id, attempt.worker
        ):
            if not self._most_workers_fail():
                workers_to_quarantine = [attempt.worker]
        elif end is AttemptEnd.SUCCEEDED:
            workers_to_quarantine = self._failure_tracker.record_success(
                work_id, attempt.worker
            )
        return sum(self._quarantine(name) for name in workers_to_quarantine)

    def record_crash(self, task: Task, end: AttemptEnd) -> bool:
        """Record an attempt that may have crashed its worker; return whether it may.

        Its worker reports another boot id before the attempt is known to have run for
        longer than `CRASH_SUSPECT_AGE_S`. If the worker is silent, its crash is
        recorded when it reports another boot id, as an unconfirmed one: it may have
        restarted after the lease of the attempt had lapsed.
        """
        attempt = task.attempt
        if end is not AttemptEnd.LOST or attempt is None or not attempt.boot_id:
            return False
        worker = self._ledger.workers.get(attempt.worker)
        if worker is None:
            return False
        is_confirmed = task.state is TaskState.RUNNING
        age_s = task.reported_at_s - task.acknowledged_at_s
        if is_confirmed and age_s > CRASH_SUSPECT_AGE_S:
            return False
        # A new owner does not know the boot id before the worker's first report.
        if worker.boot_id in ("", attempt.boot_id):
            suspect = _SilentSuspect(task, attempt)
            self._silent_suspects.setdefault(attempt.worker, []).append(suspect)
        else:
            self._count_crash(task, attempt, is_confirmed)
        return True

    def record_boot(self, name: str, boot_id: str) -> None:
        """Record the boot id that a worker reports; it is another one after a crash."""
        self._ledger.workers[name].boot_id = boot_id
        for suspect in self._silent_suspects.pop(name, ()):
            is_crash = suspect.attempt.boot_id != boot_id
            if is_crash and not suspect.task.state.is_final:
                self._count_crash(suspect.task, suspect.attempt, is_confirmed=False)

    def record_running(self, task: Task) -> None:
        """Record that a task's worker reported its current attempt as running."""
        age_s = task.reported_at_s - task.acknowledged_at_s
        if task.may_crash_workers and age_s > CRASH_CLEARANCE_AGE_S:
            task.may_crash_workers = False
            task.suspected_crashes = 0
            self._failure_tracker.clear_crashes(task.task_id)

    def update_workers(self) -> None:
        """Release the workers whose quarantine is over, and keep the others in it.

        A worker that is back after it was out of contact is ready at first.
        """
        for name in self._failure_tracker.end_expired_quarantines(self._clock.now()):
            if name in self._ledger.workers:
                self._ledger.change_state(name, "release")
        for name in self._failure_tracker.list_quarantined_workers():
            if name in self._ledger.workers:
                self._ledger.change_state(name, "quarantine")

    def _count_crash(self, task: Task, attempt: Attempt, is_confirmed: bool) -> None:
        suspect_count = self._failure_tracker.record_crash(
            task.task_id, attempt.worker, attempt.boot_id, is_confirmed
        )
        task.may_crash_workers = True
        if is_confirmed:
            task.suspected_crashes += 1
            task.crash_delay_s = min(
                (suspect_count - 1) * CRASH_SUSPECT_SPACING_S, CRASH_SUSPECT_MAX_DELAY_S
            )

    def _most_workers_fail(self) -> bool:
        """Tell whether most workers fail work, which is then no fault of a worker."""
        failing = self._failure_tracker.list_failing_workers()
        failing_count = sum(name in self._ledger.workers for name in failing)
        return 2 * failing_count > len(self._ledger.workers)

    def _quarantine(self, name: str) -> bool:
        """Quarantine a worker; return False if it has gone or is not ready."""
        if name not in self._ledger.workers:
            return False
        if not self._ledger.change_state(name, "quarantine"):
            return False
        self._failure_tracker.record_quarantine(name, self._clock.now())
        return True
