"""A partition: the queue, the workers and the work that one owner decides on."""

from __future__ import annotations

from result import Err, Ok, Result

from fuchsiadale.decision.actions import Acknowledgement, Actions, StopOrder
from fuchsiadale.decision.admission import refusal_of
from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import (
    MAX_FAILURES_PER_TASK,
    RETRY_BACKOFF_MAX_S,
)
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.events import (
    AcceptedEvent,
    CancelledEvent,
)
from fuchsiadale.decision.failure_tracker import FailureTracker
from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.ledger import Ledger
from fuchsiadale.decision.quarantine import QuarantineManager
from fuchsiadale.decision.retry import (
    RETRY_TABLE,
    RetryBudgets,
    RetryDecision,
    backoff_s,
)
from fuchsiadale.decision.scheduler import Scheduler
from fuchsiadale.decision.waiting import PendingTasks
from fuchsiadale.decision.work import (
    Attempt,
    AttemptEnd,
    Submission,
    Task,
    TaskAnswer,
    TaskState,
    Work,
    WorkKind,
)
from fuchsiadale.decision.workbook import WorkBook, ended, planned


class Partition:
    """Decides for one partition in one epoch.

    Every method changes state only; what has to be sent or recorded is collected and
    handed over by `step`.

    Parameters
    ----------
    name : str
        Name of the partition.
    epoch : int
        The owner's epoch.
    clock : Clock
        The clock.
    authority : Authority
        Tells whether the owner may act.
    weights : OrderWeights, optional
        How teams are ordered.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        clock: Clock,
        authority: Authority,
        weights: OrderWeights | None = None,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.authority = authority
        self.ledger = Ledger()
        self.book = WorkBook()
        self.blame = FailureTracker()
        self.scheduler = Scheduler(self.ledger, clock, epoch, weights or OrderWeights())
        self._quarantine = QuarantineManager(self.ledger, self.blame, clock)
        self._clock = clock
        self._pending = PendingTasks(self.scheduler, authority, clock)
        self._budgets = RetryBudgets()
        self._actions = Actions()
        self._is_paused = False

    def pause(self) -> None:
        """Place nothing more, so that the partition can be handed over."""
        self._is_paused = True

    def accept(self, submission: Submission) -> Result[Work, Refusal]:
        """Accept a submission, or return the work that it repeats."""
        found = self.book.find(submission)
        if isinstance(found, Err):
            return found
        if found.ok_value is not None:
            self._wake(found.ok_value)
            return Ok(found.ok_value)
        refusal = refusal_of(submission, self.ledger, self.scheduler.pending_count)
        if refusal is not None:
            self._actions.counts[f"refused.{refusal.kind.value}"] += 1
            return Err(refusal)
        work = self.book.add(submission, self._clock.now())
        if submission.is_journalled:
            self._actions.events.append(AcceptedEvent(submission))
        self._budgets.deposit(submission.queue, submission.tasks)
        for task in work.tasks:
            self.enqueue(task, held=submission.resubmitted)
        return Ok(work)

    def withdraw(self, work: Work) -> None:
        """Take back an acceptance that could not be recorded."""
        for task in work.tasks:
            self.unqueue(task)
            if task.attempt is not None:
                self.scheduler.release(task.attempt)
        self.book.discard(work)

    def cancel(self, work: Work, refusal: Refusal) -> None:
        """End work: what was not sent never runs, what runs is stopped.

        Parameters
        ----------
        work : Work
            The work to end.
        refusal : Refusal
            What is told of its tasks that did not run.
        """
        if work.is_final or work.cancelled:
            return
        work.cancelled = True
        work.refusal = refusal
        if work.submission.is_journalled:
            self._actions.events.append(
                CancelledEvent(work.submission.work_id, refusal)
            )
        self.resume_cancellation(work)

    def resume_cancellation(self, work: Work) -> None:
        """End what is left of cancelled work."""
        for task in work.tasks:
            self._cancel_task(task)

    def enqueue(self, task: Task, held: bool = False) -> None:
        """Queue a pending task.

        Parameters
        ----------
        task : Task
            The task.
        held : bool, default=False
            Whether an earlier owner may have started it, so that it has to wait
            until nothing can run unseen.
        """
        task.state = TaskState.PENDING
        task.attempt = None
        task.stop_requested = False
        task.start_valid_until_s = None
        if not task.work.is_dormant:
            self._pending.add(task, held)

    def unqueue(self, task: Task) -> None:
        """Take a pending task out of whatever it waits in."""
        if task.state is TaskState.PENDING and not task.work.is_dormant:
            self._pending.remove(task)

    def mark_sent(self, attempt: Attempt, valid_until_s: float) -> bool:
        """Note that a start is about to be sent; return False if it must not be.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        valid_until_s : float
            Reading of the worker's clock after which the start has no effect.
        """
        task = self.book.current_task(attempt.attempt_id)
        if task is None or task.state is not TaskState.PLACED:
            return False
        if not self.authority.may_act():
            return False
        task.state = TaskState.STARTING
        task.start_valid_until_s = valid_until_s
        return True

    def started(self, attempt_id: str) -> None:
        """Note that a worker runs an attempt."""
        task = self.book.current_task(attempt_id)
        if task is None or task.state not in (TaskState.PLACED, TaskState.STARTING):
            return
        task.state = TaskState.RUNNING
        task.start_valid_until_s = None
        task.acknowledged_at_s = self._clock.now()
        if task.started_at_s is None:
            task.started_at_s = self._clock.now()
        self.scheduler.started(task)

    def ended(
        self, attempt_id: str, end: AttemptEnd, answer: bytes = b"", reason: str = ""
    ) -> None:
        """Note that an attempt surely runs no more.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        end : AttemptEnd
            How it ended.
        answer : bytes
            What it returned.
        reason : str
            Why it was refused or lost, for the counters.
        """
        task = self.book.current_task(attempt_id)
        if task is None or task.attempt is None:
            return
        attempt = task.attempt
        self.scheduler.release(attempt)
        if end is not AttemptEnd.NOT_RUN:
            task.may_have_run = True
        closed = self._quarantine.record_end(task.submission.work_id, attempt, end)
        if closed:
            self._actions.counts["worker.quarantined"] += closed
        step = RETRY_TABLE[(end, task.submission.idempotent)]
        if task.work.cancelled and end is not AttemptEnd.SUCCEEDED:
            self._finish_cancelled(task, end)
        elif step is RetryDecision.FINISH:
            task.answer = TaskAnswer(attempt_id, attempt.worker, answer)
            self._finish(task, TaskState.SUCCEEDED, end)
        elif step is RetryDecision.FAIL_AS_UNKNOWN:
            message = "the task was started and its outcome cannot be learnt"
            task.work.refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
            self._finish(task, TaskState.UNKNOWN, end)
        elif step is RetryDecision.FAIL:
            self._fail(task, answer, end)
        else:
            self._retry(task, answer, end, reason)

    def stop(self, task: Task, checkpoint: bool) -> None:
        """Order a running attempt to end, once."""
        if task.attempt is None or task.stop_requested:
            return
        task.stop_requested = True
        attempt = task.attempt
        self._actions.stops.append(
            StopOrder(attempt.worker, attempt.attempt_id, checkpoint)
        )

    def order_stop(self, order: StopOrder) -> None:
        """Order the end of an attempt that the book does not hold."""
        self._actions.stops.append(order)

    def acknowledge(self, worker: str, attempt_id: str) -> None:
        """Let a worker forget an ended attempt."""
        self._actions.acknowledgements.append(Acknowledgement(worker, attempt_id))

    def delivered(self, work: Work) -> None:
        """Note that the caller's entry has the answer of a request."""
        work.is_delivered = True
        for task in work.tasks:
            if task.record_due:
                task.record_due = False
                self._actions.events.append(
                    ended(task, task.state, AttemptEnd.SUCCEEDED)
                )
            if task.acknowledgement_due and task.attempt is not None:
                task.acknowledgement_due = False
                self.acknowledge(task.attempt.worker, task.attempt.attempt_id)

    def step(self) -> Actions:
        """Place what can be placed and return all that has to be carried out."""
        self._pending.release()
        self._quarantine.release_due_workers()
        if self.authority.may_act() and not self._is_paused:
            for placement in self.scheduler.schedule():
                task = placement.task
                attempt = placement.attempt
                if task.submission.is_journalled:
                    self._actions.events.append(planned(attempt))
                self._actions.starts.append(attempt)
            self._preempt()
        actions = self._actions
        self._actions = Actions()
        return actions

    def evacuate(self, name: str) -> None:
        """Stop the jobs' tasks on a leaving worker, so that they run elsewhere."""
        for attempt in self.ledger.workers[name].attempts.values():
            task = self.book.current_task(attempt.attempt_id)
            if task is None or task.submission.kind is WorkKind.REQUEST:
                continue
            if task.submission.idempotent and not task.stop_requested:
                self._actions.counts["retried.evacuated"] += 1
                self.stop(task, checkpoint=True)

    def enforce_grant(self, team: str) -> None:
        """Stop the team's youngest attempts until it is within its grant."""
        for attempt in self.scheduler.attempts_above_grant(team):
            task = self.book.current_task(attempt.attempt_id)
            if task is not None:
                self._actions.counts["preempted.limit"] += 1
                self.stop(task, checkpoint=True)

    def _wake(self, work: Work) -> None:
        """Let a recovered request start, now that its caller is known to wait."""
        if not work.is_dormant:
            return
        work.is_dormant = False
        for task in work.tasks:
            if task.state is TaskState.PENDING:
                self.enqueue(task, held=True)

    def _cancel_task(self, task: Task) -> None:
        if task.state.is_final:
            return
        if task.state in (TaskState.PENDING, TaskState.PLACED):
            self.unqueue(task)
            if task.attempt is not None:
                self.scheduler.release(task.attempt)
            self._finish_cancelled(task, AttemptEnd.NOT_RUN)
            task.attempt = None
        else:
            self.stop(task, checkpoint=False)

    def _finish_cancelled(self, task: Task, end: AttemptEnd) -> None:
        if end is AttemptEnd.NOT_RUN and not task.may_have_run:
            self._finish(task, TaskState.CANCELLED, end)
            return
        kind = ErrorKind.CANCELLED
        if task.submission.kind is WorkKind.REQUEST:
            kind = ErrorKind.OUTCOME_UNKNOWN
        message = "what had started was stopped, the rest did not run"
        task.work.refusal = Refusal(kind, message)
        self._finish(task, TaskState.CANCELLED, end)

    def _fail(self, task: Task, answer: bytes, end: AttemptEnd) -> None:
        kind = ErrorKind.TASK_FAILED
        if self.blame.is_poison(task.submission.work_id):
            kind = ErrorKind.POISON
        message = answer.decode("utf-8", "replace") or "the task failed"
        task.work.refusal = Refusal(kind, message)
        self._actions.counts[f"failed.{kind.value}"] += 1
        self._finish(task, TaskState.FAILED, end)

    def _retry(self, task: Task, answer: bytes, end: AttemptEnd, reason: str) -> None:
        if end is AttemptEnd.FAILED:
            task.failures += 1
            task.failed_on.add(task.attempt.worker if task.attempt else "")
            is_poison = self.blame.is_poison(task.submission.work_id)
            if is_poison or task.failures >= MAX_FAILURES_PER_TASK:
                self._fail(task, answer, end)
                return
        self._actions.counts[f"retried.{reason or end.value}"] += 1
        self._record_end(task, TaskState.PENDING, end)
        task.eligible_at_s = self._clock.now() + self._retry_delay_s(task, end)
        gang = task.submission.kind is WorkKind.GANG
        self.enqueue(task)
        if gang:
            self._regroup(task.work)

    def _retry_delay_s(self, task: Task, end: AttemptEnd) -> float:
        if end is AttemptEnd.STOPPED:
            return 0.0
        if not self._budgets.withdraw(task.submission.queue):
            self._actions.counts["retried.over_budget"] += 1
            return RETRY_BACKOFF_MAX_S
        return backoff_s(task.attempts_made)

    def _regroup(self, work: Work) -> None:
        """Stop the rest of a gang that lost a task, so that all start anew."""
        for sibling in work.tasks:
            if sibling.state in (TaskState.STARTING, TaskState.RUNNING):
                self.stop(sibling, checkpoint=True)

    def _finish(self, task: Task, state: TaskState, end: AttemptEnd) -> None:
        self._record_end(task, state, end)
        self.book.finish(task, state, self._clock.now())
        if task.work.is_final:
            self.blame.forget_work(task.submission.work_id)
            self._actions.finished.append(task.work)

    def _record_end(self, task: Task, state: TaskState, end: AttemptEnd) -> None:
        if not task.submission.is_journalled:
            return
        is_request = task.submission.kind is WorkKind.REQUEST
        if is_request and task.answer is not None and not task.answer.is_recordable:
            task.record_due = True
            return
        self._actions.events.append(ended(task, state, end))

    def _preempt(self) -> None:
        for plan in self.scheduler.plan_preemptions():
            self._actions.counts["preempted.urgent"] += len(plan.victims)
            for victim in plan.victims:
                task = self.book.current_task(victim.attempt_id)
                if task is not None:
                    self.stop(task, checkpoint=True)
