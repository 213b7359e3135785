"""What a partition refuses at the door."""

from __future__ import annotations

from fuchsiadale.decision.constants import MAX_QUEUED_TASKS
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.ledger import Ledger, WorkerState
from fuchsiadale.decision.reservation import count_fitting_tasks
from fuchsiadale.decision.work import Submission, WorkKind


def check_admission(
    submission: Submission, ledger: Ledger, pending_count: int
) -> Refusal | None:
    """Return why a submission can never run or may not wait, or None.

    Parameters
    ----------
    submission : Submission
        The submission.
    ledger : Ledger
        The partition's workers.
    pending_count : int
        Number of tasks that wait already.
    """
    if pending_count + submission.tasks > MAX_QUEUED_TASKS:
        return Refusal(ErrorKind.QUEUE_FULL, "the partition's queue is full")
    if not ledger.fits_any_empty_worker(submission.resources):
        message = "no worker of the pool is large enough for one task"
        return Refusal(ErrorKind.INFEASIBLE, message)
    if submission.kind is not WorkKind.GANG:
        return None
    most = sum(
        count_fitting_tasks(worker.info.capacity, submission.resources)
        for worker in ledger.workers.values()
        if worker.state is not WorkerState.GONE
    )
    if most >= submission.tasks:
        return None
    message = (
        f"the workers hold at most {most} such tasks at once,"
        f" the gang has {submission.tasks}"
    )
    return Refusal(ErrorKind.INFEASIBLE, message)
