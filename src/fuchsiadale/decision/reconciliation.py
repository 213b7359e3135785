"""Reconciles the recorded tasks of a partition with the reports of its workers."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve, frozen

from fuchsiadale.decision.actions import StopOrder
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import (
    RERUN_WAIT_S,
    RESULT_RETENTION_S,
    SESSION_TIMEOUT_S,
    START_VALIDITY_S,
)
from fuchsiadale.decision.ledger import WorkerInfo, WorkerState
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.reports import EndedAttempt, RunningAttempt, WorkerReport
from fuchsiadale.decision.resources import NO_RESOURCES
from fuchsiadale.decision.work import (
    Attempt,
    AttemptEnd,
    Program,
    Submission,
    TaskState,
    Work,
    WorkKind,
    task_id_of,
)


@frozen
class _OrphanEnd:
    """The end of an attempt of unknown work, kept in case the work is resubmitted."""

    attempt: Attempt
    ended: EndedAttempt
    received_at_s: float


class Reconciler:
    """Applies the reports of workers to a partition.

    An orphan is an attempt that a worker reports and that is not the current attempt of
    a task, usually because a former owner started it and did not record it.

    Parameters
    ----------
    partition : Partition
        The partition to update.
    clock : Clock
        The clock.
    """

    def __init__(self, partition: Partition, clock: Clock) -> None:
        self._partition = partition
        self._clock = clock
        self._last_contact_s: dict[str, float] = {}
        self._orphans: dict[str, Attempt] = {}
        self._orphan_ends: dict[str, _OrphanEnd] = {}
        self._attempts_without_worker: list[str] = []

    def recover_tasks(self) -> None:
        """Allocate resources to recovered attempts, and queue the other tasks.

        The queued tasks are held until every attempt of a former owner that may still
        run has been reported or has ended. Requests are not queued before their callers
        submit them again. Cancellations that a former owner began are resumed.
        """
        partition = self._partition
        for work in list(partition.work_registry.works.values()):
            work.awaits_resubmission = work.submission.kind is WorkKind.REQUEST
            for task in work.tasks:
                if task.state.is_final:
                    continue
                attempt = task.attempt
                if attempt is None:
                    partition.enqueue(task, may_be_running=True)
                elif attempt.worker in partition.ledger.workers:
                    partition.scheduler.allocate_running(attempt)
                else:
                    self._attempts_without_worker.append(attempt.attempt_id)
            if work.cancelled:
                partition.resume_cancellation(work)

    def set_workers(
        self, workers: Iterable[WorkerInfo], witnesses: Iterable[str]
    ) -> None:
        """Set the workers that the host list assigns to this partition.

        Parameters
        ----------
        workers : iterable of WorkerInfo
            The listed workers that tasks may be placed on.
        witnesses : iterable of str
            Names of the workers in the partition's row. Those not listed take no part
            in the adoption any more.
        """
        ledger = self._partition.ledger
        listed: set[str] = set()
        for info in workers:
            ledger.add_or_update(info)
            listed.add(info.name)
            if info.leaving:
                self._partition.evacuate_worker(info.name)
        for name in set(ledger.workers) - listed:
            self._remove_worker(name)
        for name in set(witnesses) - listed:
            self._partition.authority.record_departure(name)

    def process_adoption(self, name: str, report: WorkerReport, sent_s: float) -> None:
        """Process a worker's answer to an adoption that was sent at `sent_s`.

        The worker has accepted the epoch of this owner.
        """
        partition = self._partition
        self._record_contact(name, sent_s)
        for running in report.running:
            self._adopt_running(name, running)
        for ended in report.ended:
            self._process_end(name, ended)
        partition.quarantine.record_boot(name, report.boot_id)
        partition.ledger.set_measured_usage(name, report.usage)
        self._resolve_former_attempts(name, report)
        partition.ledger.change_state(name, "adopt")
        self._update_leaving_state(name, report)
        partition.authority.record_adoption(name)

    def process_heartbeat(self, name: str, report: WorkerReport, sent_s: float) -> None:
        """Process a worker's answer to a heartbeat that was sent at `sent_s`."""
        partition = self._partition
        if name not in partition.ledger.workers:
            return
        self._record_contact(name, sent_s)
        partition.authority.record_acknowledgement(name, sent_s)
        for ended in report.ended:
            self._process_end(name, ended)
        partition.quarantine.record_boot(name, report.boot_id)
        reported_ids = {running.attempt_id for running in report.running}
        for attempt_id in reported_ids:
            partition.mark_started(attempt_id)
            self._stop_if_superseded(name, attempt_id)
        self._end_unreported(name, reported_ids, sent_s, report)
        if partition.ledger.workers[name].state is WorkerState.SILENT:
            partition.ledger.change_state(name, "adopt")
        self._update_leaving_state(name, report)
        partition.ledger.set_measured_usage(name, report.usage)

    def process_timeouts(self) -> None:
        """Mark workers without recent contact as silent, and end expired attempts.

        An attempt is expired once its worker has been out of contact for so long that
        the worker has certainly ended it. On a worker that has not been in contact with
        this owner, or is no longer listed, a former owner may have renewed its lease
        until a majority of the witnesses followed this owner.
        """
        now_s = self._clock.now()
        have_former_runs_ended = self._partition.authority.have_former_runs_ended()
        if self._attempts_without_worker and have_former_runs_ended:
            for attempt_id in self._attempts_without_worker:
                self._partition.mark_ended(
                    attempt_id, AttemptEnd.LOST, reason="worker_gone"
                )
            self._attempts_without_worker.clear()
        for name, worker in self._partition.ledger.workers.items():
            silent_s = now_s - self._last_contact_s.get(name, now_s)
            if silent_s > SESSION_TIMEOUT_S:
                self._partition.ledger.change_state(name, "fall_silent")
            is_unadopted = name not in self._last_contact_s
            if silent_s > RERUN_WAIT_S or (is_unadopted and have_former_runs_ended):
                self._end_all_attempts(name, list(worker.attempts.values()))

    def discard_expired_ends(self) -> None:
        """Discard the ends of orphans whose work was not resubmitted in time.

        They are acknowledged, so that the workers discard them too.
        """
        now_s = self._clock.now()
        for attempt_id, orphan_end in list(self._orphan_ends.items()):
            if now_s - orphan_end.received_at_s > RESULT_RETENTION_S:
                del self._orphan_ends[attempt_id]
                self._partition.acknowledge(orphan_end.attempt.worker, attempt_id)

    def attach_orphans(self, work: Work) -> None:
        """Attach orphans to the tasks of resubmitted work that they belong to."""
        for task in work.tasks:
            if task.state is not TaskState.PENDING:
                continue
            for attempt in list(self._orphans.values()):
                if attempt.task_id == task.task_id:
                    self._attach_orphan(work.submission, attempt)
            for orphan_end in list(self._orphan_ends.values()):
                if orphan_end.attempt.task_id == task.task_id:
                    del self._orphan_ends[orphan_end.attempt.attempt_id]
                    self._attach_orphan(work.submission, orphan_end.attempt)
                    self._process_end(orphan_end.attempt.worker, orphan_end.ended)

    def _attach_orphan(self, submission: Submission, orphan: Attempt) -> None:
        """Make an orphan the current attempt of its task, if the task is pending."""
        task = self._partition.work_registry.find_task(orphan.task_id)
        if task is None or task.state is not TaskState.PENDING:
            return
        self._partition.dequeue(task)
        task.attempt = Attempt(
            attempt_id=orphan.attempt_id,
            task_id=orphan.task_id,
            worker=orphan.worker,
            epoch=orphan.epoch,
            resources=orphan.resources,
            program=submission.program,
            team=orphan.team,
        )
        task.state = TaskState.STARTING
        self._orphans.pop(orphan.attempt_id, None)
        self._partition.mark_started(orphan.attempt_id)

    def _adopt_running(self, name: str, running: RunningAttempt) -> None:
        """Allocate resources to a running attempt, and relate it to its task.

        It becomes the attempt of a pending task. If its task has ended or has another
        attempt, it is stopped. If its work is unknown, it is kept as an orphan.
        """
        partition = self._partition
        attempt = evolve(
            self._make_placeholder_attempt(name, running.attempt_id),
            resources=running.resources,
            team=running.team,
        )
        partition.scheduler.allocate_running(attempt)
        if (
            partition.work_registry.find_task_by_current_attempt(running.attempt_id)
            is not None
        ):
            partition.mark_started(running.attempt_id)
            return
        task = partition.work_registry.find_task(attempt.task_id)
        if task is not None and task.state is TaskState.PENDING:
            self._orphans[running.attempt_id] = attempt
            self._attach_orphan(task.submission, attempt)
        elif task is not None:
            partition.stop_superseded_attempt(
                StopOrder(name, running.attempt_id, False)
            )
            self._orphans[running.attempt_id] = attempt
        else:
            self._orphans[running.attempt_id] = attempt

    def _make_placeholder_attempt(self, name: str, attempt_id: str) -> Attempt:
        """Return an attempt for which only the id and the worker are known."""
        return Attempt(
            attempt_id=attempt_id,
            task_id=task_id_of(attempt_id),
            worker=name,
            epoch=self._partition.epoch,
            resources=NO_RESOURCES,
            program=Program(""),
            team="",
        )

    def _process_end(self, name: str, ended: EndedAttempt) -> None:
        """Apply the end of an attempt to its task, or keep it if the work is unknown.

        The end is acknowledged once it is recorded or delivered.
        """
        partition = self._partition
        attempt_id = ended.attempt_id
        task = partition.work_registry.find_task(task_id_of(attempt_id))
        orphan = self._orphans.pop(attempt_id, None)
        if orphan is not None:
            partition.scheduler.release(orphan)
        if task is None:
            attempt = orphan or self._make_placeholder_attempt(name, attempt_id)
            self._orphan_ends[attempt_id] = _OrphanEnd(
                attempt, ended, self._clock.now()
            )
            return
        if task.state is TaskState.PENDING:
            self._attach_orphan(
                task.submission, self._make_placeholder_attempt(name, attempt_id)
            )
        if partition.work_registry.find_task_by_current_attempt(attempt_id) is not None:
            partition.mark_ended(attempt_id, ended.end, ended.answer)
            is_recorded = (
                task.submission.is_journalled and not task.is_end_record_deferred
            )
            if task.state.is_final and not is_recorded:
                task.is_acknowledgement_deferred = True
                return
        if not task.is_acknowledgement_deferred:
            partition.acknowledge(name, attempt_id)

    def _resolve_former_attempts(self, name: str, report: WorkerReport) -> None:
        """Resolve attempts that a former owner planned and the worker does not report.

        A worker that compares epochs now refuses the starts of the former owner. A
        worker that does not may still accept one until its validity has expired.
        """
        partition = self._partition
        worker = partition.ledger.workers[name]
        reported_ids = {running.attempt_id for running in report.running}
        for attempt in list(worker.attempts.values()):
            attempt_id = attempt.attempt_id
            if attempt_id in reported_ids or attempt.epoch == partition.epoch:
                continue
            task = partition.work_registry.find_task_by_current_attempt(attempt_id)
            if task is None:
                self._release_orphan(attempt)
            elif worker.info.fencing:
                self._end_unstarted_or_lost(attempt, report)
            else:
                task.state = TaskState.STARTING
                task.start_valid_until_s = report.clock_s + START_VALIDITY_S

    def _end_unreported(
        self, name: str, reported_ids: set[str], sent_s: float, report: WorkerReport
    ) -> None:
        """End attempts that have resources allocated on a worker but are not reported.

        Parameters
        ----------
        name : str
            Name of the worker.
        reported_ids : set of str
            Ids of the attempts that it reports as running.
        sent_s : float
            Time at which the heartbeat was sent; the report need not include attempts
            that started later.
        report : WorkerReport
            The answer of the worker to the heartbeat.
        """
        partition = self._partition
        for attempt in list(partition.ledger.workers[name].attempts.values()):
            attempt_id = attempt.attempt_id
            if attempt_id in reported_ids:
                continue
            task = partition.work_registry.find_task_by_current_attempt(attempt_id)
            if task is None:
                self._release_orphan(attempt)
            elif task.state is TaskState.RUNNING:
                if task.acknowledged_at_s < sent_s:
                    partition.mark_ended(attempt_id, AttemptEnd.LOST, reason="vanished")
            elif task.state is TaskState.STARTING:
                valid_until_s = task.start_valid_until_s
                if valid_until_s is not None and report.clock_s > valid_until_s:
                    self._end_unstarted_or_lost(attempt, report)

    def _end_unstarted_or_lost(self, attempt: Attempt, report: WorkerReport) -> None:
        """End an attempt that its worker reports neither as running nor as ended.

        A worker reports the end of an attempt until it is acknowledged, and the owner
        acknowledges it only after it is recorded or the caller has the result. So if
        the worker has not rebooted since the attempt was planned, the attempt never
        ran; otherwise it is unknown whether it ran.
        """
        end = AttemptEnd.LOST
        if attempt.boot_id and attempt.boot_id == report.boot_id:
            end = AttemptEnd.NOT_RUN
        self._partition.mark_ended(attempt.attempt_id, end, reason="never_started")

    def _release_orphan(self, attempt: Attempt) -> None:
        """Release the resources of an orphan that is no longer running."""
        if self._orphans.pop(attempt.attempt_id, None) is not None:
            self._partition.scheduler.release(attempt)

    def _end_all_attempts(self, name: str, attempts: list[Attempt]) -> None:
        """End attempts that a silent worker has certainly ended.

        Those that were not sent count as not run, the others as lost.
        """
        for attempt in attempts:
            task = self._partition.work_registry.find_task_by_current_attempt(
                attempt.attempt_id
            )
            if task is None:
                self._orphans.pop(attempt.attempt_id, None)
                self._partition.scheduler.release(attempt)
            elif task.state is TaskState.PLACED:
                self._partition.mark_ended(
                    attempt.attempt_id, AttemptEnd.NOT_RUN, reason="worker_silent"
                )
            else:
                self._partition.mark_ended(
                    attempt.attempt_id, AttemptEnd.LOST, reason="worker_silent"
                )

    def _stop_if_superseded(self, name: str, attempt_id: str) -> None:
        """Stop a reported attempt that its known task no longer needs.

        Such an attempt is neither the current attempt of the task nor an orphan.
        """
        partition = self._partition
        if (
            attempt_id in self._orphans
            or partition.work_registry.find_task_by_current_attempt(attempt_id)
        ):
            return
        if partition.work_registry.find_task(task_id_of(attempt_id)) is not None:
            partition.stop_superseded_attempt(StopOrder(name, attempt_id, False))

    def _record_contact(self, name: str, sent_s: float) -> None:
        self._last_contact_s[name] = max(self._last_contact_s.get(name, sent_s), sent_s)

    def _update_leaving_state(self, name: str, report: WorkerReport) -> None:
        ledger = self._partition.ledger
        worker = ledger.workers[name]
        if report.leaving:
            ledger.change_state(name, "leave")
            self._partition.evacuate_worker(name)
        elif worker.state is WorkerState.LEAVING and not worker.info.leaving:
            ledger.change_state(name, "return_")
            ledger.change_state(name, "adopt")

    def _remove_worker(self, name: str) -> None:
        """Mark a worker as gone, and remove it if it has no attempts."""
        ledger = self._partition.ledger
        ledger.change_state(name, "vanish")
        if not ledger.workers[name].attempts:
            ledger.remove(name)
