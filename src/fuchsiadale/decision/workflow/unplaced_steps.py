"""Tells which steps a planning pass need not try after others found no room.

A pass over a full pool with a long queue would otherwise search the workers in vain for
each waiting step. That a step found no room tells nothing about one that needs less of
a resource or may use other workers.
"""

from __future__ import annotations

from attrs import define, frozen

from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.jobs import Step
from fuchsiadale.decision.workflow.ordering import WaitingStep

MAX_UNPLACED_STEPS = 24
"""Steps without room after which a plan skips those with the same constraints.

Steps that have to wait however much room there is do not count.
"""

URGENT_HEADROOM_SHARE = 0.15
"""Share of a worker left free for urgent work; see `required_headroom_share`."""


@frozen
class _Constraints:
    """What decides on which workers a step may be placed, besides their room.

    Attributes
    ----------
    pool : str
        Pool of the workers.
    priority : int
        Priority of the queue.
    needs_tickets : bool
        Whether the step needs a ticket for each worker.
    required_label : str
        Label that the worker must have; empty for none.
    is_spread : bool
        Whether the number of its tasks on a worker is limited.
    is_filler : bool
        Whether no processors are reserved for its tasks.
    headroom_share : float
        Share of a worker that must stay free.
    """

    pool: str
    priority: int
    needs_tickets: bool
    required_label: str
    is_spread: bool
    is_filler: bool
    headroom_share: float


@define
class _FailedAttempts:
    """Steps under the same constraints for which a planning pass found no room.

    Attributes
    ----------
    count : int
        Number of the steps.
    least_needed : Resources
        Element-wise minimum of the resources that each needs at once.
    """

    count: int = 0
    least_needed: Resources = NO_LIMIT

    def add(self, needed: Resources) -> None:
        """Count a step that needs `needed` at once."""
        self.count += 1
        self.least_needed = self.least_needed.minimum(needed)

    def rule_out(self, needed: Resources) -> bool:
        """Tell whether a step that needs `needed` at once is not worth a try."""
        return self.count >= MAX_UNPLACED_STEPS and self.least_needed.fits_in(needed)


class UnplacedSteps:
    """Steps for which one planning pass found no room."""

    def __init__(self) -> None:
        self._attempts: dict[_Constraints, _FailedAttempts] = {}

    def rule_out(self, waiting: WaitingStep) -> bool:
        """Tell whether a step is not worth a try in this pass."""
        attempts = self._attempts.get(_constraints_of(waiting))
        return attempts is not None and attempts.rule_out(_needed_at_once(waiting.step))

    def add(self, waiting: WaitingStep) -> None:
        """Add a step for which there was no room."""
        constraints = _constraints_of(waiting)
        attempts = self._attempts.setdefault(constraints, _FailedAttempts())
        attempts.add(_needed_at_once(waiting.step))


def count_placed_at_once(step: Step) -> int:
    """Return the number of tasks of a step that only start together."""
    return len(step.tasks) if step.specification.is_gang else 1


def required_headroom_share(waiting: WaitingStep) -> float:
    """Return the share of a worker that tasks of a step must leave free.

    The headroom is for bursts of urgent work on a pool that is full of work without
    checkpoints, which would lose its progress if it was stopped. Tasks with
    checkpoints, lasting tasks and tasks of priority 0 may use all of a worker.
    """
    specification = waiting.step.specification
    must_leave_headroom = (
        not specification.is_lasting and not specification.is_checkpointing
    )
    return (
        URGENT_HEADROOM_SHARE
        if waiting.queue.priority > 0 and must_leave_headroom
        else 0.0
    )


def _needed_at_once(step: Step) -> Resources:
    return step.specification.charged.times(count_placed_at_once(step))


def _constraints_of(waiting: WaitingStep) -> _Constraints:
    queue, specification = waiting.queue, waiting.step.specification
    return _Constraints(
        queue.pool,
        queue.priority,
        queue.advice is not None,
        specification.required_label,
        bool(specification.max_per_worker),
        specification.is_filler,
        required_headroom_share(waiting),
    )
