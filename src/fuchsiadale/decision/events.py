"""What the journal records about a partition's work."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.work import AttemptEnd, Submission, TaskState


@frozen
class AcceptedEvent:
    """A submission was accepted."""

    submission: Submission


@frozen
class PlannedEvent:
    """An attempt was planned; its start may have been sent.

    Attributes
    ----------
    task_id, attempt_id, worker : str
        The task, the attempt and where it is to run.
    epoch : int
        The epoch of the owner that planned it.
    boot_id : str
        The worker's boot in which it was planned.
    """

    task_id: str
    attempt_id: str
    worker: str
    epoch: int
    boot_id: str = ""


@frozen
class EndedEvent:
    """An attempt ended, and left its task in `state`.

    Attributes
    ----------
    task_id, attempt_id : str
        The task and the attempt; the attempt is empty if the task had none.
    worker : str
        Where it ran; empty if it had no attempt.
    end : AttemptEnd
        How the attempt ended.
    state : TaskState
        The task's state from here on.
    answer : bytes
        What the task returned, if it is small enough to record.
    is_omitted : bool
        Whether it was too large.
    refusal : Refusal or None
        What is told of the work if it did not succeed.
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
    """A caller cancelled a piece of work, or its deadline passed."""

    work_id: str
    refusal: Refusal


JournalEvent = AcceptedEvent | PlannedEvent | EndedEvent | CancelledEvent
