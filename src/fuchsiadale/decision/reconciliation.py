"""Brings a partition's book into line with what a worker reports."""

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
from fuchsiadale.decision.reports import (
    EndedAttempt,
    RunningAttempt,
    WorkerReport,
)
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
class _OrphanAnswer:
    """The end of an attempt whose work is not known, kept for a resubmission."""

    attempt: Attempt
    ended: EndedAttempt
    since_s: float


class Reconciler:
    """Applies worker reports to a partition.

    Parameters
    ----------
    partition : Partition
        The partition.
    clock : Clock
        The clock.
    """

    def __init__(self, partition: Partition, clock: Clock) -> None:
        self._partition = partition
        self._clock = clock
        self._heard_s: dict[str, float] = {}
        self._orphans: dict[str, Attempt] = {}
        self._orphan_answers: dict[str, _OrphanAnswer] = {}
        self._stranded: list[str] = []
        self._opened_s = clock.now()

    def recover_tasks(self) -> None:
        """Charge what the journal says may run, and hold what has to wait."""
        partition = self._partition
        for work in list(partition.book.works.values()):
            work.is_dormant = work.submission.kind is WorkKind.REQUEST
            for task in work.tasks:
                if task.state.is_final:
                    continue
                attempt = task.attempt
                if attempt is None:
                    partition.enqueue(task, held=True)
                elif attempt.worker in partition.ledger.workers:
                    partition.scheduler.charge(attempt)
                else:
                    self._stranded.append(attempt.attempt_id)
            if work.cancelled:
                partition.resume_cancellation(work)

    def set_workers(
        self, workers: Iterable[WorkerInfo], witnesses: Iterable[str]
    ) -> None:
        """Take the workers that the host list gives this partition.

        Parameters
        ----------
        workers : iterable of WorkerInfo
            The listed workers that tasks may be placed on.
        witnesses : iterable of str
            The workers in the partition's row; those not listed have gone.
        """
        ledger = self._partition.ledger
        listed: set[str] = set()
        for info in workers:
            ledger.add(info)
            listed.add(info.name)
            if info.leaving:
                self._partition.evacuate(info.name)
        for name in set(ledger.workers) - listed:
            self._remove(name)
        for name in set(witnesses) - listed:
            self._partition.authority.record_adoption(name)

    def process_adoption(self, name: str, report: WorkerReport, sent_s: float) -> None:
        """Take over a worker that accepted this epoch."""
        partition = self._partition
        self._hear(name, sent_s)
        for running in report.running:
            self._adopt_running(name, running)
        for ended in report.ended:
            self._take_end(name, ended)
        partition.ledger.workers[name].boot_id = report.boot_id
        partition.ledger.set_usage(name, report.usage)
        self._settle_former_attempts(name, report)
        partition.ledger.change_state(name, "adopt")
        self._note_leaving(name, report)
        partition.authority.record_adoption(name)

    def process_heartbeat(self, name: str, report: WorkerReport, sent_s: float) -> None:
        """Take the answer to a heartbeat that was sent at `sent_s`."""
        partition = self._partition
        if name not in partition.ledger.workers:
            return
        self._hear(name, sent_s)
        partition.authority.record_acknowledgement(name, sent_s)
        for ended in report.ended:
            self._take_end(name, ended)
        partition.ledger.workers[name].boot_id = report.boot_id
        present = {running.attempt_id for running in report.running}
        for attempt_id in present:
            partition.started(attempt_id)
            self._stop_unwanted(name, attempt_id)
        self._end_absent(name, present, sent_s, report)
        if partition.ledger.workers[name].state is WorkerState.SILENT:
            partition.ledger.change_state(name, "adopt")
        self._note_leaving(name, report)
        partition.ledger.set_usage(name, report.usage)

    def process_timeouts(self) -> None:
        """Close workers that fell silent, and end attempts whose leases lapsed."""
        now_s = self._clock.now()
        if self._stranded and now_s - self._opened_s > RERUN_WAIT_S:
            for attempt_id in self._stranded:
                self._partition.ended(attempt_id, AttemptEnd.LOST, reason="worker_gone")
            self._stranded.clear()
        for name, worker in self._partition.ledger.workers.items():
            silent_s = now_s - self._heard_s.get(name, self._opened_s)
            if silent_s > SESSION_TIMEOUT_S:
                self._partition.ledger.change_state(name, "fall_silent")
            if silent_s > RERUN_WAIT_S:
                self._lose_all(name, list(worker.attempts.values()))

    def discard_expired_ends(self) -> None:
        """Let workers forget answers that nobody asked for in time."""
        now_s = self._clock.now()
        for attempt_id, answer in list(self._orphan_answers.items()):
            if now_s - answer.since_s > RESULT_RETENTION_S:
                del self._orphan_answers[attempt_id]
                self._partition.acknowledge(answer.attempt.worker, attempt_id)

    def attach_orphans(self, work: Work) -> None:
        """Join a resubmitted work to attempts that its former owner started."""
        for task in work.tasks:
            if task.state is not TaskState.PENDING:
                continue
            for attempt in list(self._orphans.values()):
                if attempt.task_id == task.task_id:
                    self._join(work.submission, attempt)
            for answer in list(self._orphan_answers.values()):
                if answer.attempt.task_id == task.task_id:
                    del self._orphan_answers[answer.attempt.attempt_id]
                    self._join(work.submission, answer.attempt)
                    self._take_end(answer.attempt.worker, answer.ended)

    def _join(self, submission: Submission, orphan: Attempt) -> None:
        """Make an orphan the attempt in hand of its task."""
        task = self._partition.book.task(orphan.task_id)
        if task is None or task.state is not TaskState.PENDING:
            return
        self._partition.unqueue(task)
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
        self._partition.started(orphan.attempt_id)

    def _adopt_running(self, name: str, running: RunningAttempt) -> None:
        partition = self._partition
        attempt = evolve(
            self._foreign_attempt(name, running.attempt_id),
            resources=running.resources,
            team=running.team,
        )
        partition.scheduler.charge(attempt)
        if partition.book.current_task(running.attempt_id) is not None:
            partition.started(running.attempt_id)
            return
        task = partition.book.task(attempt.task_id)
        if task is not None and task.state is TaskState.PENDING:
            self._orphans[running.attempt_id] = attempt
            self._join(task.submission, attempt)
        elif task is not None:
            partition.order_stop(StopOrder(name, running.attempt_id, False))
            self._orphans[running.attempt_id] = attempt
        else:
            self._orphans[running.attempt_id] = attempt

    def _foreign_attempt(self, name: str, attempt_id: str) -> Attempt:
        """Return an attempt of which only the id and the worker are known."""
        return Attempt(
            attempt_id=attempt_id,
            task_id=task_id_of(attempt_id),
            worker=name,
            epoch=self._partition.epoch,
            resources=NO_RESOURCES,
            program=Program(""),
            team="",
        )

    def _take_end(self, name: str, ended: EndedAttempt) -> None:
        partition = self._partition
        attempt_id = ended.attempt_id
        task = partition.book.task(task_id_of(attempt_id))
        orphan = self._orphans.pop(attempt_id, None)
        if orphan is not None:
            partition.scheduler.release(orphan)
        if task is None:
            attempt = orphan or self._foreign_attempt(name, attempt_id)
            self._orphan_answers[attempt_id] = _OrphanAnswer(
                attempt, ended, self._clock.now()
            )
            return
        if task.state is TaskState.PENDING:
            self._join(task.submission, self._foreign_attempt(name, attempt_id))
        if partition.book.current_task(attempt_id) is not None:
            partition.ended(attempt_id, ended.end, ended.answer)
            is_recorded = task.submission.is_journalled and not task.record_due
            if task.state.is_final and not is_recorded:
                task.acknowledgement_due = True
                return
        if not task.acknowledgement_due:
            partition.acknowledge(name, attempt_id)

    def _settle_former_attempts(self, name: str, report: WorkerReport) -> None:
        """Settle what a former owner planned and the worker does not report.

        A worker that compares epochs takes no start of the former owner any more. One
        that does not may still take one until the start's validity is over.
        """
        partition = self._partition
        worker = partition.ledger.workers[name]
        present = {running.attempt_id for running in report.running}
        for attempt in list(worker.attempts.values()):
            attempt_id = attempt.attempt_id
            if attempt_id in present or attempt.epoch == partition.epoch:
                continue
            task = partition.book.current_task(attempt_id)
            if task is None:
                self._drop_orphan(attempt)
            elif worker.info.fencing:
                self._end_unseen(attempt, report)
            else:
                task.state = TaskState.STARTING
                task.start_valid_until_s = report.clock_s + START_VALIDITY_S

    def _end_absent(
        self, name: str, present: set[str], sent_s: float, report: WorkerReport
    ) -> None:
        """End attempts that the worker should run but does not report.

        Parameters
        ----------
        name : str
            The worker.
        present : set of str
            The attempts that it reports as running.
        sent_s : float
            When the heartbeat was sent; younger starts are not expected in it.
        report : WorkerReport
            The answer to the heartbeat.
        """
        partition = self._partition
        for attempt in list(partition.ledger.workers[name].attempts.values()):
            attempt_id = attempt.attempt_id
            if attempt_id in present:
                continue
            task = partition.book.current_task(attempt_id)
            if task is None:
                self._drop_orphan(attempt)
            elif task.state is TaskState.RUNNING:
                if task.acknowledged_at_s < sent_s:
                    partition.ended(attempt_id, AttemptEnd.LOST, reason="vanished")
            elif task.state is TaskState.STARTING:
                valid_until_s = task.start_valid_until_s
                if valid_until_s is not None and report.clock_s > valid_until_s:
                    self._end_unseen(attempt, report)

    def _end_unseen(self, attempt: Attempt, report: WorkerReport) -> None:
        """End an attempt that its worker neither runs nor remembers.

        A worker remembers what ended until it is acknowledged, which follows only on
        the record of the end. So in the boot in which the attempt was planned it never
        ran; in a later boot nothing is known.
        """
        end = AttemptEnd.LOST
        if attempt.boot_id and attempt.boot_id == report.boot_id:
            end = AttemptEnd.NOT_RUN
        self._partition.ended(attempt.attempt_id, end, reason="never_started")

    def _drop_orphan(self, attempt: Attempt) -> None:
        """Give back the room of an orphan that runs no more."""
        if self._orphans.pop(attempt.attempt_id, None) is not None:
            self._partition.scheduler.release(attempt)

    def _lose_all(self, name: str, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            task = self._partition.book.current_task(attempt.attempt_id)
            if task is None:
                self._orphans.pop(attempt.attempt_id, None)
                self._partition.scheduler.release(attempt)
            elif task.state is TaskState.PLACED:
                self._partition.ended(
                    attempt.attempt_id, AttemptEnd.NOT_RUN, reason="worker_silent"
                )
            else:
                self._partition.ended(
                    attempt.attempt_id, AttemptEnd.LOST, reason="worker_silent"
                )

    def _stop_unwanted(self, name: str, attempt_id: str) -> None:
        """Stop an attempt whose task no longer wants it."""
        partition = self._partition
        if attempt_id in self._orphans or partition.book.current_task(attempt_id):
            return
        if partition.book.task(task_id_of(attempt_id)) is not None:
            partition.order_stop(StopOrder(name, attempt_id, False))

    def _hear(self, name: str, sent_s: float) -> None:
        self._heard_s[name] = max(self._heard_s.get(name, sent_s), sent_s)

    def _note_leaving(self, name: str, report: WorkerReport) -> None:
        ledger = self._partition.ledger
        worker = ledger.workers[name]
        if report.leaving:
            ledger.change_state(name, "leave")
            self._partition.evacuate(name)
        elif worker.state is WorkerState.LEAVING and not worker.info.leaving:
            ledger.change_state(name, "return_")
            ledger.change_state(name, "adopt")

    def _remove(self, name: str) -> None:
        """Close a worker that has gone; forget it once nothing is charged to it."""
        ledger = self._partition.ledger
        ledger.change_state(name, "vanish")
        if not ledger.workers[name].attempts:
            ledger.remove(name)
