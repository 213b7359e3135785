"""The book of a partition's accepted work."""

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

_END_OF_STATE = {
    TaskState.SUCCEEDED: AttemptEnd.SUCCEEDED,
    TaskState.FAILED: AttemptEnd.FAILED,
    TaskState.CANCELLED: AttemptEnd.STOPPED,
    TaskState.UNKNOWN: AttemptEnd.LOST,
}


@frozen
class TeamKey:
    """An idempotency key, which belongs to one team."""

    team: str
    key: str


def planned(attempt: Attempt) -> PlannedEvent:
    """Return the event that records an attempt."""
    return PlannedEvent(
        task_id=attempt.task_id,
        attempt_id=attempt.attempt_id,
        worker=attempt.worker,
        epoch=attempt.epoch,
        boot_id=attempt.boot_id,
    )


def ended(task: Task, state: TaskState, end: AttemptEnd) -> EndedEvent:
    """Return the event that records the end of a task's attempt.

    Parameters
    ----------
    task : Task
        The task, with the attempt that ended and its answer.
    state : TaskState
        The task's state from here on.
    end : AttemptEnd
        How the attempt ended.
    """
    attempt = task.attempt
    answer = task.answer
    is_recordable = answer is None or answer.is_recordable
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


class WorkBook:
    """All work of a partition, by id and by idempotency key."""

    def __init__(self) -> None:
        self._works: dict[str, Work] = {}
        self._keys: dict[TeamKey, str] = {}

    @property
    def works(self) -> dict[str, Work]:
        """The works by id."""
        return self._works

    def find(self, submission: Submission) -> Result[Work | None, Refusal]:
        """Return the work that a repeated submission refers to.

        Parameters
        ----------
        submission : Submission
            A submission that may repeat an earlier one, by work id or by key.

        Returns
        -------
        Result
            The earlier work, None if there is none, or a refusal with kind
            ``KEY_REUSED`` if the key was used for something else.
        """
        work = self._works.get(submission.work_id)
        if work is not None:
            return Ok(work)
        if not submission.key:
            return Ok(None)
        work_id = self._keys.get(TeamKey(submission.team, submission.key))
        if work_id is None:
            return Ok(None)
        earlier = self._works[work_id]
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
        """Enter a submission."""
        work = make_work(submission, now_s)
        self._works[submission.work_id] = work
        if submission.key:
            key = TeamKey(submission.team, submission.key)
            self._keys[key] = submission.work_id
        return work

    def discard(self, work: Work) -> None:
        """Remove work as if it had never been entered."""
        submission = work.submission
        self._works.pop(submission.work_id, None)
        if submission.key:
            self._keys.pop(TeamKey(submission.team, submission.key), None)

    def task(self, task_id: str) -> Task | None:
        """Return the task with this id, if it is known."""
        work = self._works.get(work_id_of(task_id))
        if work is None:
            return None
        index = int(task_id.rpartition("/")[2])
        return work.tasks[index] if index < len(work.tasks) else None

    def current_task(self, attempt_id: str) -> Task | None:
        """Return the task whose attempt in hand has this id."""
        task = self.task(task_id_of(attempt_id))
        if task is None or task.attempt is None or task.state.is_final:
            return None
        return task if task.attempt.attempt_id == attempt_id else None

    def has_unsettled_starts(self) -> bool:
        """Tell whether an attempt is planned or sent, but not confirmed."""
        return any(
            task.state in (TaskState.PLACED, TaskState.STARTING)
            for work in self._works.values()
            if not work.is_final
            for task in work.tasks
        )

    def finish(self, task: Task, state: TaskState, now_s: float) -> None:
        """Put a task into a final state."""
        if task.state.is_final:
            return
        task.state = state
        task.work.remaining -= 1
        if task.work.is_final:
            task.work.ended_at_s = now_s

    def expire(self, now_s: float) -> int:
        """Drop work that ended long ago; return how much was dropped."""
        old: list[Work] = []
        for work in self._works.values():
            if work.is_dormant and _is_abandoned(work, now_s):
                old.append(work)
            if work.ended_at_s is None:
                continue
            if now_s - work.ended_at_s > _retention_s(work):
                old.append(work)
        for work in old:
            self.discard(work)
        return len(old)

    def replay(self, event: JournalEvent, epoch: int, now_s: float) -> None:
        """Apply a recorded event of an earlier owner.

        Parameters
        ----------
        event : JournalEvent
            The event.
        epoch : int
            The epoch of the new owner.
        now_s : float
            The clock time that ages are counted from.
        """
        match event:
            case AcceptedEvent(submission=submission):
                if submission.work_id not in self._works:
                    self.add(submission, now_s)
            case PlannedEvent():
                self._replay_planned(event)
            case EndedEvent():
                self._replay_ended(event, now_s)
            case CancelledEvent(work_id=work_id, refusal=refusal):
                work = self._works.get(work_id)
                if work is not None:
                    work.cancelled = True
                    work.refusal = refusal

    def snapshot(self) -> Iterator[JournalEvent]:
        """Yield the events that lead to the present state."""
        for work in self._works.values():
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
            yield ended(task, task.state, _END_OF_STATE[task.state])
        elif attempt is not None:
            yield planned(attempt)

    def _replay_planned(self, event: PlannedEvent) -> None:
        task = self.task(event.task_id)
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
        task = self.task(event.task_id)
        if task is None or task.state.is_final:
            return
        attempt = task.attempt
        is_other = attempt is not None and attempt.attempt_id != event.attempt_id
        if event.attempt_id and is_other:
            return
        if event.state.is_final:
            task.work.refusal = event.refusal
            task.answer = TaskAnswer(
                event.attempt_id, event.worker, event.answer, event.is_omitted
            )
            self.finish(task, event.state, now_s)
        else:
            task.attempt = None
            task.state = TaskState.PENDING
            if event.end is not AttemptEnd.NOT_RUN:
                task.may_have_run = True


def _retention_s(work: Work) -> float:
    """Return the seconds for which ended work may still be asked for."""
    if work.submission.kind is not WorkKind.REQUEST:
        return JOB_RETENTION_S
    if work.is_delivered and not work.submission.key:
        return DELIVERED_RETENTION_S
    return RESULT_RETENTION_S


def _is_abandoned(work: Work, now_s: float) -> bool:
    """Tell whether nobody asked for a recovered request in time."""
    return all(
        task.attempt is None and now_s - task.queued_at_s > RESULT_RETENTION_S
        for task in work.tasks
    )
