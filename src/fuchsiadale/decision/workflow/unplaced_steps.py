"""Tells which steps a planning pass need not try after others found no room.

A pass over a full pool with a long queue would otherwise search the workers in vain for
each waiting step. Once enough steps with the same constraints found no room, a further
one is tried only if a look at each worker shows that it could start. That look is left
out if a step that needs no more of anything found no room.
"""

from __future__ import annotations

from attrs import Factory, define, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.advice_planning import AdvicePlanner
from fuchsiadale.decision.workflow.jobs import Step
from fuchsiadale.decision.workflow.ordering import WaitingStep
from fuchsiadale.decision.workflow.placement import (
    count_places,
    has_room,
    leaves_headroom,
)
from fuchsiadale.decision.workflow.reservations import Reservations
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.usable_workers import UsablePool

MAX_UNPLACED_STEPS = 24
"""Steps without room after which those with the same constraints are looked at first.

Steps that have to wait however much room there is do not count.
"""

MAX_FAILED_NEEDS = 16
"""Maximum number of needs kept that no room was found for, by constraints."""

URGENT_HEADROOM_SHARE = 0.15
"""Share of a worker left free for urgent work; see `required_headroom_share`."""


@frozen
class _Constraints:
    """What decides on which workers a step may be placed, besides its need.

    Attributes
    ----------
    pool : str
        Pool of the workers.
    priority : int
        Priority with which the step uses room.
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


@frozen
class _Need:
    """What a step needs to start.

    Attributes
    ----------
    charged : Resources
        Room of each task.
    task_count : int
        Number of tasks that only start together.
    expected_s : float
        Expected duration in seconds; infinite for lasting tasks. Shorter tasks may use
        more of the room on reserved workers.
    """

    charged: Resources
    task_count: int
    expected_s: float

    def is_within(self, other: _Need) -> bool:
        """Tell whether it is no more than another need in any respect."""
        return (
            self.task_count <= other.task_count
            and self.expected_s <= other.expected_s
            and self.charged.fits_in(other.charged)
        )


@define
class _FailedAttempts:
    """Steps under the same constraints for which a planning pass found no room.

    Attributes
    ----------
    count : int
        Number of the steps that were tried.
    needs : list of _Need
        Needs that no room was found for; none of them is within another.
    """

    count: int = 0
    needs: list[_Need] = Factory(list)

    def add_need(self, need: _Need) -> None:
        """Add a need that no room was found for, unless too many are kept."""
        if self.rule_out(need):
            return
        self.needs = [other for other in self.needs if not need.is_within(other)]
        if len(self.needs) < MAX_FAILED_NEEDS:
            self.needs.append(need)

    def rule_out(self, need: _Need) -> bool:
        """Tell whether there is no room for a need."""
        return any(other.is_within(need) for other in self.needs)


@define
class UnplacedSteps:
    """Steps for which one planning pass found no room.

    Free room only shrinks, and reservations are only added, in the course of a pass.

    Parameters
    ----------
    reservations : Reservations
        The reservations of the pass.
    advice : AdvicePlanner
        Tells whether a step may ask for advice.
    now_s : float
        The time on the loop's clock.
    """

    _reservations: Reservations
    _advice: AdvicePlanner
    _now_s: float
    _attempts: dict[_Constraints, _FailedAttempts] = Factory(dict)
    _isolated_jobs: dict[str, set[str]] = Factory(dict)  # by pool
    _most_free: dict[str, Resources] = Factory(dict)  # by pool

    def rule_out(self, waiting: WaitingStep, pool: UsablePool) -> bool:
        """Tell whether a step cannot start in this pass and need not be tried."""
        attempts = self._attempts.get(_constraints_of(waiting, pool))
        if attempts is None or attempts.count < MAX_UNPLACED_STEPS:
            return False
        step = waiting.step
        if not step.specification.charged.fits_in(self._find_most_free(waiting, pool)):
            return True
        need = self._need_of(step)
        is_comparable = self._is_comparable(waiting, pool)
        if is_comparable and attempts.rule_out(need):
            return True
        if self._has_room(waiting, pool):
            return False
        if is_comparable:
            attempts.add_need(need)
        return True

    def add(self, waiting: WaitingStep, pool: UsablePool) -> None:
        """Add a step that was tried and found no room."""
        constraints = _constraints_of(waiting, pool)
        attempts = self._attempts.setdefault(constraints, _FailedAttempts())
        attempts.count += 1
        if self._is_comparable(waiting, pool):
            attempts.add_need(self._need_of(waiting.step))

    def _need_of(self, step: Step) -> _Need:
        return _Need(
            step.specification.charged,
            count_placed_at_once(step),
            self._reservations.expected_s(step),
        )

    def _is_comparable(self, waiting: WaitingStep, pool: UsablePool) -> bool:
        """Tell whether only its need and its constraints keep a step from a worker."""
        step = waiting.step
        if (
            waiting.queue.advice is not None
            or step.has_suspects
            or step.specification.max_per_worker
        ):
            return False
        isolated = self._isolated_jobs.get(waiting.queue.pool)
        if isolated is None:
            isolated = {worker.isolated_for for worker in pool.workers}
            self._isolated_jobs[waiting.queue.pool] = isolated
        return step.name.job_id not in isolated

    def _find_most_free(self, waiting: WaitingStep, pool: UsablePool) -> Resources:
        """Return the element-wise maximum of the free room, which is found once."""
        most_free = self._most_free.get(waiting.queue.pool)
        if most_free is None:
            most_free = NO_RESOURCES
            for worker in pool.workers:
                most_free = most_free.maximum(worker.free)
            self._most_free[waiting.queue.pool] = most_free
        return most_free

    def _has_room(self, waiting: WaitingStep, pool: UsablePool) -> bool:
        """Tell whether tasks of a step could start now, or once advice permits them."""
        step = waiting.step
        workers = pool.list_suitable(step)
        if waiting.queue.advice is not None:
            if self._advice.can_call(waiting, self._now_s):
                answers = step.advice_by_worker
                workers = [
                    worker
                    for worker in workers
                    if answers.get(worker.entry.worker_id, True)
                ]
            else:
                workers = pool.list_with_tickets(step, self._now_s)
        missing = count_placed_at_once(step)
        headroom_share = effective_headroom_share(waiting, pool)
        for worker in workers:
            missing -= self._count_places(waiting, worker, headroom_share)
            if missing <= 0:
                return True
        return False

    def _count_places(
        self, waiting: WaitingStep, worker: TrackedWorker, headroom_share: float
    ) -> int:
        step = waiting.step
        charged = step.specification.charged
        if not charged.fits_in(worker.free):
            return 0
        priority = waiting.reservation_priority
        room = self._reservations.usable_room(step, worker, priority)
        if headroom_share and not leaves_headroom(step, worker, headroom_share):
            return 0
        if charged == NO_RESOURCES and not step.specification.max_per_worker:
            return len(step.tasks) if has_room(step, worker, room, 0) else 0
        return count_places(step, worker, room)


def count_placed_at_once(step: Step) -> int:
    """Return the number of tasks of a step that only start together."""
    return len(step.tasks) if step.specification.is_gang else 1


def required_headroom_share(waiting: WaitingStep) -> float:
    """Return the share of a worker that tasks of a step must leave free.

    The headroom is for bursts of urgent work on a pool that is full of work without
    checkpoints, which would lose its progress if it was stopped. Tasks with
    checkpoints, lasting tasks, gangs and tasks of priority 0 may use all of a worker.
    """
    specification = waiting.step.specification
    must_leave_headroom = (
        not specification.is_lasting
        and not specification.is_checkpointing
        and not specification.is_gang
    )
    return (
        URGENT_HEADROOM_SHARE
        if waiting.queue.priority > 0 and must_leave_headroom
        else 0.0
    )


def effective_headroom_share(waiting: WaitingStep, pool: UsablePool) -> float:
    """Return the share that the next task of a step must leave free.

    On a half-free pool, no headroom may keep a step from all service.
    """
    if pool.is_half_free and waiting.step.is_idle:
        return 0.0
    return required_headroom_share(waiting)


def _constraints_of(waiting: WaitingStep, pool: UsablePool) -> _Constraints:
    queue, specification = waiting.queue, waiting.step.specification
    return _Constraints(
        queue.pool,
        waiting.reservation_priority,
        queue.advice is not None,
        specification.required_label,
        bool(specification.max_per_worker),
        specification.is_filler,
        effective_headroom_share(waiting, pool),
    )
