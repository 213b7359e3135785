"""Admission control for submissions to a partition."""

from __future__ import annotations

from fuchsiadale.decision.constants import MAX_QUEUED_TASKS
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.ledger import Ledger, WorkerState
from fuchsiadale.decision.reservation import count_fitting_tasks
from fuchsiadale.decision.work import Submission, WorkKind


def check_admission(
    submission: Submission, ledger: Ledger, queued_count: int
) -> Refusal | None:
    """Return the refusal of a submission, or None if it is admitted.

    A submission is refused if the queue is full, or if the workers could never run it.

    Parameters
    ----------
    submission : Submission
        The submission to check.
    ledger : Ledger
        Ledger of the partition's workers.
    queued_count : int
        Number of tasks in the queue.
    """
    if queued_count + submission.tasks > MAX_QUEUED_TASKS:
        return Refusal(
            ErrorKind.QUEUE_FULL,
            "the submission's tasks exceed the free space of the partition's queue",
        )
    if not ledger.fits_capacity_of_any_worker(submission.resources):
        message = "no worker of the pool is large enough for one task"
        return Refusal(ErrorKind.INFEASIBLE, message)
    if submission.kind is not WorkKind.GANG:
        return None
    max_concurrent_tasks = sum(
        count_fitting_tasks(worker.info.capacity, submission.resources)
        for worker in ledger.workers.values()
        if worker.state is not WorkerState.GONE
    )
    if max_concurrent_tasks >= submission.tasks:
        return None
    message = (
        f"the workers can run at most {max_concurrent_tasks} such tasks at once,"
        f" but the gang has {submission.tasks}"
    )
    return Refusal(ErrorKind.INFEASIBLE, message)
