"""Runs that use reserved room and are stopped once the reserving step can start.

On a half-free pool a reservation may not keep a step from all service for long (see
`waiting_times`). What starts on reserved room nevertheless is revocable, so that the
step that the room is reserved for starts as soon as it could have without it.
"""

from __future__ import annotations

from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Run, Step
from fuchsiadale.decision.workflow.placement import LARGE_TASK_SHARE
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker


def find_revocable_priority(step: Step, queue: Queue | None) -> int | None:
    """Return the priority to note in a revocable run of a step.

    Parameters
    ----------
    step : Step
        The step.
    queue : Queue or None
        The queue of its job; None if it is not known.

    Returns
    -------
    priority : int or None
        Priority of the queue; None if its disruption budget forbids to stop all tasks
        of the step at once, so that none of its runs is revocable.
    """
    budget = step.specification.disruption_budget
    if queue is None or (budget is not None and budget < step.specification.count):
        return None
    return queue.priority


def list_revocable_runs(worker: TrackedWorker, step: Step, priority: int) -> list[Run]:
    """Return the runs on a worker that may be stopped so that a step can start.

    An owner does not know which of the lasting runs that it has inherited use reserved
    room. They count as such towards a step without any run so far whose job was
    accepted before theirs, so that it has waited since before they started.

    Parameters
    ----------
    worker : TrackedWorker
        The worker.
    step : Step
        The step, which waits for room. Only steps that may reserve workers stop runs.
    priority : int
        Only runs of queues less urgent than this are stopped.
    """
    if not worker.revocable_runs or not _is_of_reserving_kind(step, worker):
        return []
    accepted_s = step.job.record.accepted_s
    has_run = any(task.last_run > 0 for task in step.tasks)
    return [
        run
        for run in worker.revocable_runs.values()
        if run.revocable_priority is not None
        and run.revocable_priority > priority
        and (
            not run.is_inherited
            or (not has_run and accepted_s < run.task.step.job.record.accepted_s)
        )
    ]


def _is_of_reserving_kind(step: Step, worker: TrackedWorker) -> bool:
    """Tell whether a step is a gang, is lasting, or has large tasks for a worker."""
    specification = step.specification
    share = specification.charged.dominant_share(worker.entry.capacity)
    return (
        specification.is_gang or specification.is_lasting or share >= LARGE_TASK_SHARE
    )
