"""Sorts waiting steps into the order in which they are served.

The order matters on an overloaded pool. Steps with lasting tasks that have been without
a run for long come first, since these must run again however full the pool is. Jobs
beyond the submission rate of their workspace come last, whatever their priority. The
others are ordered by the priority of
their queue. Within a priority, jobs that can still meet their objective precede those
that cannot, deferred jobs (see `triage`) follow the other feasible ones, and then the
earliest deadline comes first. Where past use counts, the deadlines of workspaces that
have used much are extended by a bounded time (see `hold_back`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import evolve, frozen

from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.forecast import Forecast
from fuchsiadale.decision.workflow.hold_back import HoldBack
from fuchsiadale.decision.workflow.jobs import Job, Step, Task
from fuchsiadale.decision.workflow.triage import Demand, select_deferred_jobs
from fuchsiadale.decision.workflow.worker_speeds import Haste

LEAST_DURATION_SHARE = 0.7
"""Share of an expected duration that remaining work is assumed to take at the least.

Callers' estimates are off by half on average.
"""

OVERDUE_AFTER_S = 3.0
"""Seconds without a run after which a lasting task is overdue.

Users want it to run again six seconds after its last run.
"""

PREEMPTING_AFTER_S = 5.0
"""Seconds without a run after which a lasting task preempts runs that are as urgent.

A run takes about a second to stop.
"""

MOST_URGENT_QUEUE = 0
"""Priority of the most urgent queues."""

MOST_URGENT = -1
"""Priority that precedes that of every queue."""


@frozen
class WaitingStep:
    """A step with waiting tasks, and what its place in the order depends on.

    Attributes
    ----------
    step : Step
        The step.
    queue : Queue
        The queue of its job.
    due_s : float
        Deadline of its job by the objective, on the loop's clock.
    is_infeasible : bool
        Whether its job can no longer meet its objective.
    lasting_wait_s : float
        For how long a lasting task of it has been without a run, in seconds; 0 if it
        has none that had one.
    hold_s : float
        Seconds that are added to its deadline in the order, for the past use of its
        workspace.
    haste : Haste or None
        How much delay its tasks can bear; None if it is not known.
    passes_reservations : bool
        Whether it may use room that is reserved for others, since reservations have
        kept it from room for too long.
    """

    step: Step
    queue: Queue
    due_s: float
    is_infeasible: bool
    lasting_wait_s: float = 0.0
    hold_s: float = 0.0
    haste: Haste | None = None
    passes_reservations: bool = False

    def list_tasks(self) -> list[Task]:
        """Return the tasks to place: those that had a run if it is overdue."""
        tasks = list(self.step.waiting_tasks.values())
        if self.is_overdue and not self.step.specification.is_gang:
            return [task for task in tasks if task.last_run > 0]
        return tasks

    @property
    def is_overdue(self) -> bool:
        """Whether a lasting task of it has been without a run for long."""
        return self.lasting_wait_s >= OVERDUE_AFTER_S

    @property
    def reservation_priority(self) -> int:
        """Priority with which it uses room; it passes less urgent reservations."""
        return MOST_URGENT if self.passes_reservations else self.queue.priority

    @property
    def preemption_priority(self) -> int:
        """Priority of the queues whose runs it may not preempt, nor more urgent ones.

        It is raised for a lasting task that has been without a run for very long.
        """
        if self.lasting_wait_s < PREEMPTING_AFTER_S:
            return self.queue.priority
        return raised_priority(self.queue)


def is_infeasible(step: Step, queue: Queue, forecast: Forecast, now_s: float) -> bool:
    """Tell whether the job of a step can no longer meet its objective.

    Parameters
    ----------
    step : Step
        The step; a lasting one is never infeasible.
    queue : Queue
        The queue of the job.
    forecast : Forecast
        Predicts the remaining time and the deadline of the job.
    now_s : float
        The time on the loop's clock.

    Returns
    -------
    is_infeasible : bool
        Whether the job would be late even if its work took the least expected time.
    """
    if step.specification.is_lasting:
        return False
    job, occurrence = step.job, step.name.occurrence
    least_remaining_s = LEAST_DURATION_SHARE * forecast.remaining_critical_path_s(
        job, occurrence, queue
    )
    return now_s + least_remaining_s > forecast.due_s(job, occurrence, queue)


def raised_priority(queue: Queue) -> int:
    """Return the priority with which long overdue lasting tasks of a queue preempt.

    They may preempt runs of queues that are as urgent as their own, and of all but the
    most urgent ones.
    """
    return min(queue.priority - 1, MOST_URGENT_QUEUE)


def longest_wait_s(step: Step, now_s: float) -> float:
    """Return for how long a lasting task of a step has been without a run.

    Parameters
    ----------
    step : Step
        The step.
    now_s : float
        The time on the loop's clock.

    Returns
    -------
    waited_s : float
        Longest such time in seconds; infinite if a task waited under an earlier owner.
        0 if the step is not lasting or none of its waiting tasks had a run.
    """
    if not step.specification.is_lasting:
        return 0.0
    return max(
        (
            float("inf") if task.idle_since_s is None else now_s - task.idle_since_s
            for task in step.waiting_tasks.values()
            if task.last_run > 0
        ),
        default=0.0,
    )


def sort_waiting_steps(
    steps: Iterable[Step],
    queue_of: Callable[[Job], Queue | None],
    forecast: Forecast,
    now_s: float,
    hold_back: HoldBack | None = None,
) -> list[WaitingStep]:
    """Return the steps with waiting tasks in the order in which to serve them.

    Parameters
    ----------
    steps : iterable of Step
        The steps whose predecessors are done.
    queue_of : callable
        Returns the queue of a job, or None if it is not known.
    forecast : Forecast
        Predicts the remaining time and the deadlines of jobs.
    now_s : float
        The time on the loop's clock.
    hold_back : HoldBack, optional
        Holds work back for past use; without it no past use counts.

    Returns
    -------
    waiting : list of WaitingStep
        The steps, the first to serve first.
    """
    waiting = []
    steps = list(steps)
    longest_s: dict[tuple[str, int], float] = {}
    if hold_back is not None and hold_back.is_enabled:
        longest_s = _find_longest_tasks(steps, queue_of, forecast)
    for step in steps:
        queue = queue_of(step.job) if step.waiting_tasks else None
        if queue is not None:
            due_s = forecast.due_s(step.job, step.name.occurrence, queue)
            infeasible = is_infeasible(step, queue, forecast, now_s)
            wait_s = longest_wait_s(step, now_s)
            hold_s = 0.0
            if hold_back is not None and hold_back.is_enabled:
                remaining_s = forecast.remaining_critical_path_s(
                    step.job, step.name.occurrence, queue
                )
                remaining_s += longest_s.get((queue.pool, queue.priority), 0.0)
                hold_s = hold_back.hold_s(
                    step.job.record.workspace, due_s - now_s - remaining_s, infeasible
                )
            haste = _find_haste(step, queue, due_s, infeasible, forecast, now_s)
            item = WaitingStep(step, queue, due_s, infeasible, wait_s, hold_s, haste)
            waiting.append(item)
            if item.is_overdue and any(
                task.last_run == 0 for task in step.waiting_tasks.values()
            ):
                # Its tasks without a run so far wait in the usual order.
                waiting.append(evolve(item, lasting_wait_s=0.0))
    deferred = _find_deferred_jobs(waiting, forecast, now_s)
    waiting.sort(key=lambda item: _sort_key(item, deferred))
    return waiting


def _find_longest_tasks(
    steps: list[Step], queue_of: Callable[[Job], Queue | None], forecast: Forecast
) -> dict[tuple[str, int], float]:
    """Return the longest expected duration of a waiting task, by pool and priority.

    One that starts in place of a held task keeps its room for that long.
    """
    longest_s: dict[tuple[str, int], float] = {}
    for step in steps:
        queue = queue_of(step.job) if step.waiting_tasks else None
        if queue is not None and not step.specification.is_lasting:
            key = (queue.pool, queue.priority)
            task_s = forecast.predict_task_s(step)
            longest_s[key] = max(task_s, longest_s.get(key, 0.0))
    return longest_s


def _find_haste(
    step: Step,
    queue: Queue,
    due_s: float,
    is_infeasible: bool,
    forecast: Forecast,
    now_s: float,
) -> Haste:
    """Return how much delay the tasks of a step can bear.

    A job that is late in any case can wait for those that need not be. A lasting task
    is bound to no time, unless it serves requests.
    """
    spare_s = float("inf")
    if step.specification.is_lasting:
        if step.specification.target_s:
            spare_s = 0.0
    elif not is_infeasible:
        remaining_s = forecast.remaining_critical_path_s(
            step.job, step.name.occurrence, queue
        )
        spare_s = due_s - now_s - remaining_s
    return Haste(forecast.predict_task_s(step), spare_s)


def _sort_key(
    waiting: WaitingStep, deferred: set[str]
) -> tuple[bool, bool, int, bool, bool, float, str]:
    job = waiting.step.job
    return (
        not waiting.is_overdue,
        job.exceeds_rate,
        waiting.queue.priority,
        waiting.is_infeasible,
        job.record.job_id in deferred,
        waiting.due_s + waiting.hold_s,
        str(waiting.step.name),
    )


def _find_deferred_jobs(
    waiting: list[WaitingStep], forecast: Forecast, now_s: float
) -> set[str]:
    """Return the ids of the jobs to defer so that the most jobs are in time.

    Jobs of each pool and priority are considered by themselves.
    """
    demands: dict[tuple[str, int], dict[str, Demand]] = {}
    for item in waiting:
        job, step, queue = item.step.job, item.step, item.queue
        if item.is_infeasible or job.exceeds_rate or step.specification.is_lasting:
            continue
        occurrence = step.name.occurrence
        group = demands.setdefault((queue.pool, queue.priority), {})
        critical_path_s = forecast.remaining_critical_path_s(job, occurrence, queue)
        group[job.record.job_id] = Demand(
            job.record.job_id,
            forecast.remaining_work_s(job, occurrence, queue),
            LEAST_DURATION_SHARE * critical_path_s,
            item.due_s,
        )
    deferred: set[str] = set()
    for group in demands.values():
        deferred |= select_deferred_jobs(group.values(), now_s)
    return deferred
