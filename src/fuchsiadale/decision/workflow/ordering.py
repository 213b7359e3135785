"""The order in which waiting steps are served.

Answers a pool that is asked for more than it can do: urgent queues first, then jobs
that can still meet their objective, and among them the one whose objective lapses
first; jobs beyond their workspace's rate come last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from attrs import frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Job, Step
from fuchsiadale.decision.workflow.triage import (
    Demand,
    jobs_to_defer,
    remaining_work_s,
)

ESTIMATE_TRUST = 0.7
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
    is_hopeless : bool
        Whether its job cannot meet its objective any more.
    """

    step: Step
    queue: Queue
    is_hopeless: bool


def remaining_chain_s(job: Job, occurrence: int) -> float:
    """Return the longest chain of estimated work that is not done, in seconds."""
    lengths: list[float] = []
    for step in job.occurrence_steps(occurrence):
        before = max(
            (lengths[index] for index in step.specification.after), default=0.0
        )
        own_s = 0.0 if step.is_done else step.specification.estimated_s
        lengths.append(before + own_s)
    return max(lengths, default=0.0)


def is_hopeless(step: Step, now_s: float) -> bool:
    """Tell whether a step's job cannot meet its objective any more."""
    if step.specification.is_lasting:
        return False
    left_s = ESTIMATE_TRUST * remaining_chain_s(step.job, step.name.occurrence)
    return now_s + left_s > step.job.due_s


def in_order(
    steps: Iterable[Step],
    queue_of: Callable[[Job], Queue | None],
    pools: Mapping[str, Resources],
    now_s: float,
) -> list[WaitingStep]:
    """Return the steps with waiting tasks, the first to serve first.

    Parameters
    ----------
    steps : iterable of Step
        Steps whose predecessors are done.
    queue_of : callable
        Returns a job's queue.
    pools : mapping of str to Resources
        What the workers in use have, by pool.
    now_s : float
        The time on the loop's clock.
    """
    waiting = []
    for step in steps:
        queue = queue_of(step.job) if step.waiting else None
        if queue is not None:
            waiting.append(WaitingStep(step, queue, is_hopeless(step, now_s)))
    deferred = _deferred(waiting, pools, now_s)
    waiting.sort(key=lambda item: _rank(item, deferred))
    return waiting


def _rank(
    waiting: WaitingStep, deferred: set[str]
) -> tuple[bool, int, bool, bool, float, str]:
    job = waiting.step.job
    return (
        job.is_excess,
        waiting.queue.priority,
        waiting.is_hopeless,
        job.record.job_id in deferred,
        job.due_s,
        str(waiting.step.name),
    )


def _deferred(
    waiting: list[WaitingStep], pools: Mapping[str, Resources], now_s: float
) -> set[str]:
    """Return the jobs that have to wait so that most of their urgency are in time."""
    demands: dict[tuple[str, int], dict[str, Demand]] = {}
    for item in waiting:
        job, step = item.step.job, item.step
        if item.is_hopeless or job.is_excess or step.specification.is_lasting:
            continue
        occurrence = step.name.occurrence
        pool = pools.get(item.queue.pool, NO_RESOURCES)
        group = demands.setdefault((item.queue.pool, item.queue.priority), {})
        group[job.record.job_id] = Demand(
            job.record.job_id,
            remaining_work_s(job, occurrence, pool),
            ESTIMATE_TRUST * remaining_chain_s(job, occurrence),
            job.due_s,
        )
    deferred: set[str] = set()
    for group in demands.values():
        deferred |= jobs_to_defer(group.values(), now_s)
    return deferred
