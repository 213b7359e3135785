"""Decisions on the work, the queue and the workers of one partition."""

from __future__ import annotations

from result import Err, Ok, Result

from fuchsiadale.decision.actions import Acknowledgement, Actions, StopOrder
from fuchsiadale.decision.admission import check_admission
from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import MAX_FAILURES_PER_TASK, RETRY_BACKOFF_MAX_S
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.events import AcceptedEvent, CancelledEvent
from fuchsiadale.decision.failure_tracker import FailureTracker
from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.ledger import Ledger
from fuchsiadale.decision.pending_tasks import PendingTasks
from fuchsiadale.decision.quarantine import QuarantineManager
from fuchsiadale.decision.retry import (
    RETRY_TABLE,
    RetryBudgets,
    RetryDecision,
    backoff_s,
)
from fuchsiadale.decision.scheduler import Scheduler
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
from fuchsiadale.decision.work_registry import WorkRegistry, ended_event, planned_event


class Partition:
    """Makes the scheduling decisions for one partition in one epoch.

    The methods only change state in memory. The orders to send and the events to
    write to the journal are collected, and `step` returns them.

    Parameters
    ----------
    name : str
        Name of the partition.
    epoch : int
        Epoch of the partition's owner.
    clock : Clock
        Clock that all times of the partition are read from.
    authority : Authority
        Tells whether the owner may act.
    weights : OrderWeights, optional
        Weights of usage and waiting time when teams are sorted.
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
        self.work_registry = WorkRegistry()
        self.failure_tracker = FailureTracker()
        self.scheduler = Scheduler(self.ledger, clock, epoch, weights or OrderWeights())
        self.quarantine = QuarantineManager(self.ledger, self.failure_tracker, clock)
        self._clock = clock
        self._pending_tasks = PendingTasks(self.scheduler, authority, clock)
        self._retry_budgets = RetryBudgets()
        self._actions = Actions()
        self._is_paused = False

    def pause(self) -> None:
        """Stop placing tasks for good, so that the partition can be handed over."""
        self._is_paused = True

    def accept(self, submission: Submission) -> Result[Work, Refusal]:
        """Accept a submission; return its work, or the earlier work that it repeats.

        A refusal is returned if admission fails or if the key was used for other work.
        """
        duplicate = self.work_registry.find_duplicate(submission)
        if isinstance(duplicate, Err):
            return duplicate
        if duplicate.ok_value is not None:
            self._activate_resubmitted(duplicate.ok_value)
            return Ok(duplicate.ok_value)
        refusal = check_admission(submission, self.ledger, self.scheduler.queued_count)
        if refusal is not None:
            self._actions.counts[f"refused.{refusal.kind.value}"] += 1
            return Err(refusal)
        work = self.work_registry.add(submission, self._clock.now())
        if submission.is_journalled:
            self._actions.events.append(AcceptedEvent(submission))
        self._retry_budgets.deposit(submission.queue, submission.tasks)
        for task in work.tasks:
            self.enqueue(task, may_be_running=submission.resubmitted)
        return Ok(work)

    def roll_back_acceptance(self, work: Work) -> None:
        """Remove accepted work whose acceptance could not be written to the journal."""
        for task in work.tasks:
            self.dequeue(task)
            if task.attempt is not None:
                self.scheduler.release(task.attempt)
        self.work_registry.discard(work)

    def cancel(self, work: Work, refusal: Refusal) -> None:
        """Cancel work: tasks without a sent start order never run, others are stopped.

        Parameters
        ----------
        work : Work
            The work to cancel.
        refusal : Refusal
            Error that is reported for the work, unless a task may have run.
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
        """Cancel the unfinished tasks of cancelled work."""
        for task in work.tasks:
            self._cancel_task(task)

    def enqueue(self, task: Task, may_be_running: bool = False) -> None:
        """Make a task pending and queue it, unless its work awaits resubmission.

        Parameters
        ----------
        task : Task
            The task.
        may_be_running : bool, default=False
            Whether a former owner may have started it, so that it has to wait until
            the authority allows such tasks to be run again.
        """
        task.state = TaskState.PENDING
        task.attempt = None
        task.stop_requested = False
        task.start_valid_until_s = None
        if not task.work.awaits_resubmission:
            self._pending_tasks.add(task, may_be_running)

    def dequeue(self, task: Task) -> None:
        """Remove a task from the queue if it is pending."""
        if task.state is TaskState.PENDING and not task.work.awaits_resubmission:
            self._pending_tasks.remove(task)

    def mark_sent(self, attempt: Attempt, valid_until_s: float) -> bool:
        """Record that a start order is about to be sent.

        Parameters
        ----------
        attempt : Attempt
            The attempt to start.
        valid_until_s : float
            Reading of the worker's clock after which the start order has no effect.

        Returns
        -------
        bool
            False if the order must not be sent, since the attempt is not placed any
            more or the owner may not act.
        """
        task = self.work_registry.find_task_by_current_attempt(attempt.attempt_id)
        if task is None or task.state is not TaskState.PLACED:
            return False
        if not self.authority.may_act():
            return False
        task.state = TaskState.STARTING
        task.start_valid_until_s = valid_until_s
        return True

    def mark_started(self, attempt_id: str) -> None:
        """Record that a worker confirmed that it runs an attempt."""
        task = self.work_registry.find_task_by_current_attempt(attempt_id)
        if task is None:
            return
        task.reported_at_s = self._clock.now()
        if task.state not in (TaskState.PLACED, TaskState.STARTING):
            self.quarantine.record_running(task)
            return
        task.state = TaskState.RUNNING
        task.start_valid_until_s = None
        task.acknowledged_at_s = self._clock.now()
        if task.started_at_s is None:
            task.started_at_s = self._clock.now()
        self.scheduler.add_running(task)

    def mark_ended(
        self, attempt_id: str, end: AttemptEnd, answer: bytes = b"", reason: str = ""
    ) -> None:
        """Record that an attempt runs no more, and finish or retry its task.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        end : AttemptEnd
            Outcome of the attempt.
        answer : bytes
            Output of the attempt, or the error message if it failed.
        reason : str
            Reason of a refusal or loss; a retry is counted as ``retried.<reason>``, or
            by `end` if it is empty.
        """
        task = self.work_registry.find_task_by_current_attempt(attempt_id)
        if task is None or task.attempt is None:
            return
        attempt = task.attempt
        self.scheduler.release(attempt)
        if end is not AttemptEnd.NOT_RUN:
            task.may_have_run = True
        quarantined_count = self.quarantine.record_end(
            task.submission.work_id, attempt, end
        )
        if quarantined_count:
            self._actions.counts["worker.quarantined"] += quarantined_count
        next_step = RETRY_TABLE[(end, task.submission.idempotent)]
        if task.work.cancelled and end is not AttemptEnd.SUCCEEDED:
            self._finish_cancelled_task(task, end)
        elif next_step is RetryDecision.FINISH:
            task.answer = TaskAnswer(attempt_id, attempt.worker, answer)
            self._finish_task(task, TaskState.SUCCEEDED, end)
        elif next_step is RetryDecision.FAIL_AS_UNKNOWN:
            message = "the task may have been started; its outcome cannot be determined"
            task.work.refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
            self._finish_task(task, TaskState.UNKNOWN, end)
        elif next_step is RetryDecision.FAIL:
            self._fail_task(task, answer, end)
        else:
            self._retry_or_fail_task(task, answer, end, reason)

    def stop_task(self, task: Task, checkpoint: bool) -> None:
        """Order the worker to stop a task's attempt, unless it has been ordered to.

        Parameters
        ----------
        task : Task
            The task, of which the current attempt is stopped.
        checkpoint : bool
            Whether the program is asked to write a checkpoint first, if it can.
        """
        if task.attempt is None or task.stop_requested:
            return
        task.stop_requested = True
        attempt = task.attempt
        self._actions.stops.append(
            StopOrder(attempt.worker, attempt.attempt_id, checkpoint)
        )

    def stop_superseded_attempt(self, order: StopOrder) -> None:
        """Order a worker to stop an attempt that is not its task's current one."""
        self._actions.stops.append(order)

    def acknowledge(self, worker: str, attempt_id: str) -> None:
        """Acknowledge the end of an attempt; its worker may then discard the answer."""
        self._actions.acknowledgements.append(Acknowledgement(worker, attempt_id))

    def mark_delivered(self, work: Work) -> None:
        """Record that the client's entry has the answer of a request."""
        work.is_delivered = True
        for task in work.tasks:
            if task.is_end_record_deferred:
                task.is_end_record_deferred = False
                self._actions.events.append(
                    ended_event(task, task.state, AttemptEnd.SUCCEEDED)
                )
            if task.is_acknowledgement_deferred and task.attempt is not None:
                task.is_acknowledgement_deferred = False
                self.acknowledge(task.attempt.worker, task.attempt.attempt_id)

    def step(self) -> Actions:
        """Place the tasks that fit, and return the actions since the last call."""
        self._pending_tasks.release_ready()
        self.quarantine.update_workers()
        if self.authority.may_act() and not self._is_paused:
            for placement in self.scheduler.schedule():
                task = placement.task
                attempt = placement.attempt
                if task.submission.is_journalled:
                    self._actions.events.append(planned_event(attempt))
                self._actions.starts.append(attempt)
            self._preempt_for_urgent()
        actions = self._actions
        self._actions = Actions()
        return actions

    def evacuate_worker(self, name: str) -> None:
        """Stop the idempotent job tasks on a leaving worker, to run them elsewhere."""
        for attempt in self.ledger.workers[name].attempts.values():
            task = self.work_registry.find_task_by_current_attempt(attempt.attempt_id)
            if task is None or task.submission.kind is WorkKind.REQUEST:
                continue
            if task.submission.idempotent and not task.stop_requested:
                self._actions.counts["retried.evacuated"] += 1
                self.stop_task(task, checkpoint=True)

    def enforce_grant(self, team: str) -> None:
        """Stop the youngest attempts of a team so that it is within its grant."""
        for attempt in self.scheduler.attempts_above_grant(team):
            task = self.work_registry.find_task_by_current_attempt(attempt.attempt_id)
            if task is not None:
                self._actions.counts["preempted.limit"] += 1
                self.stop_task(task, checkpoint=True)

    def _activate_resubmitted(self, work: Work) -> None:
        """Queue a recovered request, as its resubmission shows that a client waits."""
        if not work.awaits_resubmission:
            return
        work.awaits_resubmission = False
        for task in work.tasks:
            if task.state is TaskState.PENDING:
                self.enqueue(task, may_be_running=True)

    def _cancel_task(self, task: Task) -> None:
        if task.state.is_final:
            return
        if task.state in (TaskState.PENDING, TaskState.PLACED):
            self.dequeue(task)
            if task.attempt is not None:
                self.scheduler.release(task.attempt)
            self._finish_cancelled_task(task, AttemptEnd.NOT_RUN)
            task.attempt = None
        else:
            self.stop_task(task, checkpoint=False)

    def _finish_cancelled_task(self, task: Task, end: AttemptEnd) -> None:
        if end is AttemptEnd.NOT_RUN and not task.may_have_run:
            self._finish_task(task, TaskState.CANCELLED, end)
            return
        kind = ErrorKind.CANCELLED
        if task.submission.kind is WorkKind.REQUEST:
            kind = ErrorKind.OUTCOME_UNKNOWN
        message = "what had started was stopped, the rest did not run"
        task.work.refusal = Refusal(kind, message)
        self._finish_task(task, TaskState.CANCELLED, end)

    def _fail_task(self, task: Task, answer: bytes, end: AttemptEnd) -> None:
        kind = ErrorKind.TASK_FAILED
        if self.failure_tracker.is_poison(task.task_id):
            kind = ErrorKind.POISON
        message = answer.decode("utf-8", "replace") or "the task failed"
        task.work.refusal = Refusal(kind, message)
        self._actions.counts[f"failed.{kind.value}"] += 1
        self._finish_task(task, TaskState.FAILED, end)

    def _retry_or_fail_task(
        self, task: Task, answer: bytes, end: AttemptEnd, reason: str
    ) -> None:
        if end is AttemptEnd.FAILED or self.quarantine.record_crash(task, end):
            task.failures += end is AttemptEnd.FAILED
            task.failed_worker_names.add(task.attempt.worker if task.attempt else "")
            is_poison = self.failure_tracker.is_poison(task.task_id)
            if is_poison or task.failures_and_crashes >= MAX_FAILURES_PER_TASK:
                self._fail_task(task, answer, end)
                return
        self._actions.counts[f"retried.{reason or end.value}"] += 1
        self._record_end(task, TaskState.PENDING, end)
        task.eligible_at_s = self._clock.now() + self._retry_delay_s(task, end)
        is_gang = task.submission.kind is WorkKind.GANG
        self.enqueue(task)
        if is_gang:
            self._stop_siblings(task.work)

    def _retry_delay_s(self, task: Task, end: AttemptEnd) -> float:
        if end is AttemptEnd.STOPPED:
            return 0.0
        if not self._retry_budgets.withdraw(task.submission.queue):
            self._actions.counts["retried.over_budget"] += 1
            return RETRY_BACKOFF_MAX_S + task.crash_delay_s
        return backoff_s(task.attempts_made) + task.crash_delay_s

    def _stop_siblings(self, work: Work) -> None:
        """Stop the other tasks of a gang that lost one, to restart all of them."""
        for sibling in work.tasks:
            if sibling.state in (TaskState.STARTING, TaskState.RUNNING):
                self.stop_task(sibling, checkpoint=True)

    def _finish_task(self, task: Task, state: TaskState, end: AttemptEnd) -> None:
        self._record_end(task, state, end)
        self.work_registry.finish_task(task, state, self._clock.now())
        if task.work.is_final:
            self.failure_tracker.forget_work(task.submission.work_id)
            self._actions.finished.append(task.work)

    def _record_end(self, task: Task, state: TaskState, end: AttemptEnd) -> None:
        if not task.submission.is_journalled:
            return
        is_request = task.submission.kind is WorkKind.REQUEST
        if is_request and task.answer is not None and not task.answer.fits_in_journal:
            task.is_end_record_deferred = True
            return
        self._actions.events.append(ended_event(task, state, end))

    def _preempt_for_urgent(self) -> None:
        for plan in self.scheduler.plan_preemptions():
            self._actions.counts["preempted.urgent"] += len(plan.victims)
            for victim in plan.victims:
                task = self.work_registry.find_task_by_current_attempt(
                    victim.attempt_id
                )
                if task is not None:
                    self.stop_task(task, checkpoint=True)
