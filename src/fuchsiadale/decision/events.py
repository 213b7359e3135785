"""Events that the journal of a partition records about its work."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.work import AttemptEnd, Submission, TaskState


@frozen
class AcceptedEvent:
    """A submission was accepted.

    Attributes
    ----------
    submission : Submission
        The accepted submission.
    """

    submission: Submission


@frozen
class PlannedEvent:
    """An attempt was planned, and its start may have been sent.

    Attributes
    ----------
    task_id, attempt_id, worker : str
        Ids of the task and the attempt, and the name of the worker that is to run it.
    epoch : int
        The epoch of the owner that planned the attempt.
    boot_id : str
        The boot of the worker at the time of the planning.
    """

    task_id: str
    attempt_id: str
    worker: str
    epoch: int
    boot_id: str = ""


@frozen
class EndedEvent:
    """An attempt ended, or a task ended before it had an attempt.

    Attributes
    ----------
    task_id, attempt_id : str
        Ids of the task and the attempt; the latter is empty if the task had none.
    worker : str
        Name of the worker that the attempt was planned on; empty if there was no
        attempt.
    end : AttemptEnd
        How the attempt ended.
    state : TaskState
        The state of the task after the end.
    answer : bytes
        What the task returned; empty if it is too large to record.
    is_omitted : bool
        Whether the answer is too large to record.
    refusal : Refusal or None
        The error of the whole work at that time; None if it has none.
    """

    task_id: str
    attempt_id: str
    worker: str
    end: AttemptEnd
    state: TaskState
    answer: bytes = b""
    is_omitted: bool = False
    refusal: Refusal | None = None


@frozen
class CancelledEvent:
    """A caller cancelled the work, or its deadline passed.

    Attributes
    ----------
    work_id : str
        Id of the work.
    refusal : Refusal
        The error that callers receive for the work.
    """

    work_id: str
    refusal: Refusal


JournalEvent = AcceptedEvent | PlannedEvent | EndedEvent | CancelledEvent
