"""The order in which waiting steps are served.

Answers a pool that is asked for more than it can do: urgent queues first, then jobs
that can still meet their objective, and among them the one whose objective lapses
first; jobs beyond their workspace's rate come last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import frozen

from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.forecast import Forecast
from fuchsiadale.decision.workflow.jobs import Job, Step
from fuchsiadale.decision.workflow.triage import Demand, select_deferred_jobs

LEAST_DURATION_SHARE = 0.7
"""Share of an estimate that work surely takes: callers are off by half on average."""


@frozen
class WaitingStep:
    """A step with waiting tasks, in its place of the order.

    Attributes
    ----------
    step : Step
        The step.
    queue : Queue
        Its queue.
    due_s : float
        When its job's objective lapses, on the loop's clock.
    is_hopeless : bool
        Whether its job cannot meet its objective any more.
    """

    step: Step
    queue: Queue
    due_s: float
    is_infeasible: bool


def is_infeasible(step: Step, queue: Queue, forecast: Forecast, now_s: float) -> bool:
    """Tell whether a step's job cannot meet its objective any more."""
    if step.specification.is_lasting:
        return False
    job, occurrence = step.job, step.name.occurrence
    least_remaining_s = LEAST_DURATION_SHARE * forecast.remaining_critical_path_s(
        job, occurrence, queue
    )
    return now_s + least_remaining_s > forecast.due_s(job, occurrence, queue)


def sort_waiting_steps(
    steps: Iterable[Step],
    queue_of: Callable[[Job], Queue | None],
    forecast: Forecast,
    now_s: float,
) -> list[WaitingStep]:
    """Return the steps with waiting tasks, the first to serve first.

    Parameters
    ----------
    steps : iterable of Step
        Steps whose predecessors are done.
    queue_of : callable
        Returns a job's queue.
    forecast : Forecast
        Foretells durations and objectives.
    now_s : float
        The time on the loop's clock.
    """
    waiting = []
    for step in steps:
        queue = queue_of(step.job) if step.waiting else None
        if queue is not None:
            due_s = forecast.due_s(step.job, step.name.occurrence, queue)
            infeasible = is_infeasible(step, queue, forecast, now_s)
            waiting.append(WaitingStep(step, queue, due_s, infeasible))
    deferred = _find_deferred_jobs(waiting, forecast, now_s)
    waiting.sort(key=lambda item: _sort_key(item, deferred))
    return waiting


def _sort_key(
    waiting: WaitingStep, deferred: set[str]
) -> tuple[bool, int, bool, bool, float, str]:
    job = waiting.step.job
    return (
        job.is_excess,
        waiting.queue.priority,
        waiting.is_infeasible,
        job.record.job_id in deferred,
        waiting.due_s,
        str(waiting.step.name),
    )


def _find_deferred_jobs(
    waiting: list[WaitingStep], forecast: Forecast, now_s: float
) -> set[str]:
    """Return the jobs that have to wait so that most of their urgency are in time."""
    demands: dict[tuple[str, int], dict[str, Demand]] = {}
    for item in waiting:
        job, step, queue = item.step.job, item.step, item.queue
        if item.is_infeasible or job.is_excess or step.specification.is_lasting:
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
