"""Registry of the work that a partition has accepted."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import evolve, frozen
from result import Err, Ok, Result

from fuchsiadale.decision.constants import (
    DELIVERED_RETENTION_S,
    JOB_RETENTION_S,
    RESULT_RETENTION_S,
)
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.events import (
    AcceptedEvent,
    CancelledEvent,
    EndedEvent,
    JournalEvent,
    PlannedEvent,
)
from fuchsiadale.decision.work import (
    Attempt,
    AttemptEnd,
    Submission,
    Task,
    TaskAnswer,
    TaskState,
    Work,
    WorkKind,
    make_work,
    task_id_of,
    work_id_of,
)

_END_BY_STATE = {
    TaskState.SUCCEEDED: AttemptEnd.SUCCEEDED,
    TaskState.FAILED: AttemptEnd.FAILED,
    TaskState.CANCELLED: AttemptEnd.STOPPED,
    TaskState.UNKNOWN: AttemptEnd.LOST,
}


@frozen
class IdempotencyKey:
    """An idempotency key in the scope of one team."""

    team: str
    key: str


def planned_event(attempt: Attempt) -> PlannedEvent:
    """Return the journal event that records a planned attempt."""
    return PlannedEvent(
        task_id=attempt.task_id,
        attempt_id=attempt.attempt_id,
        worker=attempt.worker,
        epoch=attempt.epoch,
        boot_id=attempt.boot_id,
    )


def ended_event(task: Task, state: TaskState, end: AttemptEnd) -> EndedEvent:
    """Return the journal event that records the end of a task's attempt.

    Parameters
    ----------
    task : Task
        The task, with its answer and the attempt that ended, if it had one.
    state : TaskState
        State of the task after the attempt.
    end : AttemptEnd
        Outcome of the attempt.
    """
    attempt = task.attempt
    answer = task.answer
    is_recordable = answer is None or answer.fits_in_journal
    return EndedEvent(
        task_id=task.task_id,
        attempt_id=attempt.attempt_id if attempt else "",
        worker=attempt.worker if attempt else "",
        end=end,
        state=state,
        answer=answer.body if answer is not None and is_recordable else b"",
        is_omitted=not is_recordable or (answer is not None and answer.is_omitted),
        refusal=task.work.refusal,
    )


class WorkRegistry:
    """Holds the work of a partition, by work id and by idempotency key."""

    def __init__(self) -> None:
        self._work_by_id: dict[str, Work] = {}
        self._work_id_by_key: dict[IdempotencyKey, str] = {}

    @property
    def works(self) -> dict[str, Work]:
        """All work by work id."""
        return self._work_by_id

    def find_duplicate(self, submission: Submission) -> Result[Work | None, Refusal]:
        """Return the accepted work that a submission repeats.

        Parameters
        ----------
        submission : Submission
            A submission that may repeat an earlier one, with the same work id or the
            same idempotency key.

        Returns
        -------
        Result
            The earlier work, or None if there is none. A refusal with kind
            ``KEY_REUSED`` if the earlier submission with this key differs in
            more than its work id, deadline or resubmission mark.
        """
        work = self._work_by_id.get(submission.work_id)
        if work is not None:
            return Ok(work)
        if not submission.key:
            return Ok(None)
        work_id = self._work_id_by_key.get(
            IdempotencyKey(submission.team, submission.key)
        )
        if work_id is None:
            return Ok(None)
        earlier = self._work_by_id[work_id]
        repeated = evolve(
            submission,
            work_id=earlier.submission.work_id,
            resubmitted=earlier.submission.resubmitted,
            deadline_s=earlier.submission.deadline_s,
        )
        if repeated != earlier.submission:
            message = f"idempotency key {submission.key!r} was used for other work"
            return Err(Refusal(ErrorKind.KEY_REUSED, message))
        return Ok(earlier)

    def add(self, submission: Submission, now_s: float) -> Work:
        """Register a submission and return its work."""
        work = make_work(submission, now_s)
        self._work_by_id[submission.work_id] = work
        if submission.key:
            key = IdempotencyKey(submission.team, submission.key)
            self._work_id_by_key[key] = submission.work_id
        return work

    def discard(self, work: Work) -> None:
        """Remove work as if it had never been registered."""
        submission = work.submission
        self._work_by_id.pop(submission.work_id, None)
        if submission.key:
            self._work_id_by_key.pop(
                IdempotencyKey(submission.team, submission.key), None
            )

    def find_task(self, task_id: str) -> Task | None:
        """Return the task with this id, or None if it is unknown."""
        work = self._work_by_id.get(work_id_of(task_id))
        if work is None:
            return None
        index = int(task_id.rpartition("/")[2])
        return work.tasks[index] if index < len(work.tasks) else None

    def find_task_by_current_attempt(self, attempt_id: str) -> Task | None:
        """Return the unfinished task whose current attempt has this id, if any."""
        task = self.find_task(task_id_of(attempt_id))
        if task is None or task.attempt is None or task.state.is_final:
            return None
        return task if task.attempt.attempt_id == attempt_id else None

    def has_unconfirmed_starts(self) -> bool:
        """Tell whether any attempt is planned or sent, but not confirmed to run."""
        return any(
            task.state in (TaskState.PLACED, TaskState.STARTING)
            for work in self._work_by_id.values()
            if not work.is_final
            for task in work.tasks
        )

    def finish_task(self, task: Task, state: TaskState, now_s: float) -> None:
        """Put a task into a final state, unless it has ended already."""
        if task.state.is_final:
            return
        task.state = state
        task.work.unfinished_count -= 1
        if task.work.is_final:
            task.work.ended_at_s = now_s

    def remove_expired(self, now_s: float) -> int:
        """Remove work that is no longer retained; return the number removed.

        This is ended work after its retention time, and recovered requests that were
        not submitted again in time.
        """
        expired: list[Work] = []
        for work in self._work_by_id.values():
            if work.awaits_resubmission and _is_abandoned(work, now_s):
                expired.append(work)
            if work.ended_at_s is None:
                continue
            if now_s - work.ended_at_s > _retention_s(work):
                expired.append(work)
        for work in expired:
            self.discard(work)
        return len(expired)

    def replay(self, event: JournalEvent, epoch: int, now_s: float) -> None:
        """Apply a journal event of a former owner.

        Parameters
        ----------
        event : JournalEvent
            The event.
        epoch : int
            Epoch of the new owner; not used.
        now_s : float
            Clock time that is recorded as the queue time of replayed submissions and as
            the end time of work that ended.
        """
        match event:
            case AcceptedEvent(submission=submission):
                if submission.work_id not in self._work_by_id:
                    self.add(submission, now_s)
            case PlannedEvent():
                self._replay_planned(event)
            case EndedEvent():
                self._replay_ended(event, now_s)
            case CancelledEvent(work_id=work_id, refusal=refusal):
                work = self._work_by_id.get(work_id)
                if work is not None:
                    work.cancelled = True
                    work.refusal = refusal

    def snapshot_events(self) -> Iterator[JournalEvent]:
        """Yield journal events whose replay restores the journalled work."""
        for work in self._work_by_id.values():
            if not work.submission.is_journalled:
                continue
            yield AcceptedEvent(work.submission)
            if work.cancelled and work.refusal is not None:
                yield CancelledEvent(work.submission.work_id, work.refusal)
            for task in work.tasks:
                yield from self._snapshot_task(task)

    def _snapshot_task(self, task: Task) -> Iterator[JournalEvent]:
        attempt = task.attempt
        if task.state.is_final:
            yield ended_event(task, task.state, _END_BY_STATE[task.state])
        elif attempt is not None:
            yield planned_event(attempt)

    def _replay_planned(self, event: PlannedEvent) -> None:
        task = self.find_task(event.task_id)
        if task is None or task.state.is_final:
            return
        submission = task.submission
        task.state = TaskState.STARTING
        task.attempt = Attempt(
            attempt_id=event.attempt_id,
            task_id=event.task_id,
            worker=event.worker,
            epoch=event.epoch,
            resources=submission.resources,
            program=submission.program,
            team=submission.team,
            boot_id=event.boot_id,
        )

    def _replay_ended(self, event: EndedEvent, now_s: float) -> None:
        task = self.find_task(event.task_id)
        if task is None or task.state.is_final:
            return
        attempt = task.attempt
        is_other_attempt = (
            attempt is not None and attempt.attempt_id != event.attempt_id
        )
        if event.attempt_id and is_other_attempt:
            return
        if event.state.is_final:
            task.work.refusal = event.refusal
            task.answer = TaskAnswer(
                event.attempt_id, event.worker, event.answer, event.is_omitted
            )
            self.finish_task(task, event.state, now_s)
        else:
            task.attempt = None
            task.state = TaskState.PENDING
            if event.end is not AttemptEnd.NOT_RUN:
                task.may_have_run = True


def _retention_s(work: Work) -> float:
    """Return for how many seconds after its end work is kept."""
    if work.submission.kind is not WorkKind.REQUEST:
        return JOB_RETENTION_S
    if work.is_delivered and not work.submission.key:
        return DELIVERED_RETENTION_S
    return RESULT_RETENTION_S


def _is_abandoned(work: Work, now_s: float) -> bool:
    """Tell whether a recovered request was not submitted again in time."""
    return all(
        task.attempt is None and now_s - task.queued_at_s > RESULT_RETENTION_S
        for task in work.tasks
    )
