"""The order in which waiting steps are served.

Answers a pool that is asked for more than it can do: urgent queues first, then jobs
that can still meet their objective, and among them the one whose objective lapses
first; jobs beyond their workspace's rate come last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import frozen

from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Job, Step

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
    steps: Iterable[Step], queue_of: Callable[[Job], Queue | None], now_s: float
) -> list[WaitingStep]:
    """Return the steps with waiting tasks, the first to serve first."""
    keyed = []
    for step in steps:
        queue = queue_of(step.job) if step.waiting else None
        if queue is None:
            continue
        hopeless = is_hopeless(step, now_s)
        job = step.job
        key = (job.is_excess, queue.priority, hopeless, job.due_s, str(step.name))
        keyed.append((key, WaitingStep(step, queue, hopeless)))
    keyed.sort(key=lambda item: item[0])
    return [waiting for _, waiting in keyed]
