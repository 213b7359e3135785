"""Steps whose tasks will wait once the leases of silent workers lapse."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import frozen

from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Job, Step, Task
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker


@frozen
class LapsingStep:
    """A step with tasks that will wait once leases of silent workers have lapsed.

    Attributes
    ----------
    step : Step
        The step.
    queue : Queue
        The queue of its job.
    task_count : int
        Number of the tasks.
    lapses_s : float
        When the first of the leases lapses, on the loop's clock.
    """

    step: Step
    queue: Queue
    task_count: int
    lapses_s: float

    @property
    def is_lasting(self) -> bool:
        """Whether the tasks last."""
        return self.step.specification.is_lasting


def find_lapsing_steps(
    workers: Iterable[TrackedWorker],
    queue_of: Callable[[Job], Queue | None],
    until_s: float,
) -> list[LapsingStep]:
    """Return the steps with tasks that will wait, urgent ones first.

    Gangs are left out: which workers have room for them is known once the members
    that are left have been stopped.

    Parameters
    ----------
    workers : iterable of TrackedWorker
        The workers of the cell.
    queue_of : callable
        Returns the queue of a job, or None if it is not known.
    until_s : float
        Time up to which leases that lapse count, on the loop's clock.

    Returns
    -------
    lapsing : list of LapsingStep
        The steps.
    """
    lapses_by_worker: dict[str, float] = {}
    tasks: dict[Task, None] = {}
    for worker in workers:
        is_silent = worker.unresponsive_since_s is not None
        if is_silent and worker.runs and worker.leases.end_s <= until_s:
            lapses_by_worker[worker.entry.worker_id] = worker.leases.end_s
            tasks.update((run.task, None) for run in worker.runs.values())
    tasks_by_step: dict[Step, list[Task]] = {}
    for task in tasks:
        if _will_wait(task, lapses_by_worker):
            tasks_by_step.setdefault(task.step, []).append(task)
    lapsing = []
    for step, lost in tasks_by_step.items():
        queue = queue_of(step.job)
        if queue is not None:
            lapses_s = min(
                lapses_by_worker[run.worker_id] for task in lost for run in task.runs
            )
            lapsing.append(LapsingStep(step, queue, len(lost), lapses_s))
    lapsing.sort(key=_sort_key)
    return lapsing


def _will_wait(task: Task, lapses_by_worker: dict[str, float]) -> bool:
    """Tell whether a task is needed and each of its runs is on a silent worker."""
    step = task.step
    if task.is_done or step.job.state.is_final or step.specification.is_gang:
        return False
    return all(run.worker_id in lapses_by_worker for run in task.runs)


def _sort_key(lapsing: LapsingStep) -> tuple[int, float, str]:
    return lapsing.queue.priority, lapsing.lapses_s, str(lapsing.step.name)
