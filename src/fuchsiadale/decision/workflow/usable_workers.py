"""Workers that one planning pass may use, and those of them that suit a step.

A pass over hundreds of workers and waiting steps must not look at every worker for
every step. Steps whose tasks fit on the smallest worker of a pool and need no label
share one list, and the workers that a step has tickets for are found from its tickets.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.domain_drains import DomainDrains
from fuchsiadale.decision.workflow.jobs import Step
from fuchsiadale.decision.workflow.placement import is_suitable
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

MAX_HOLD_OF_LASTING_S = 8.0
"""Longest time for which a worker may hold leases when a task that lasts starts on it.

Such a task runs again within 9 s of the loss of its worker. Once the leases have ended,
one second is left to place it.
"""


@define
class UsablePool:
    """Workers of a pool on which tasks may be placed, in a fixed order.

    Attributes
    ----------
    workers : list of TrackedWorker
        The workers.
    positions : dict of str to int
        Position of each worker in `workers`, by its id.
    capacity : Resources
        Sum of the workers' capacities.
    least_capacity : Resources
        Element-wise minimum of the workers' capacities.
    is_half_free : bool
        Whether at least half of each resource was free when the pass began.
    long_leased : frozenset of str
        Ids of workers that may hold leases for longer than `MAX_HOLD_OF_LASTING_S`.
    """

    workers: list[TrackedWorker]
    positions: dict[str, int]
    capacity: Resources
    least_capacity: Resources
    is_half_free: bool
    long_leased: frozenset[str] = frozenset()

    def is_still_half_free(self) -> bool:
        """Return whether the pass has left at least half of each resource free."""
        return self.is_half_free and _is_half_free(self.capacity, self.workers)

    def list_suitable(self, step: Step) -> list[TrackedWorker]:
        """Return the workers that could run a task of a step if they were empty."""
        specification = step.specification
        if (
            not specification.required_label
            and not (specification.is_lasting and self.long_leased)
            and specification.charged.fits_in(self.least_capacity)
        ):
            return self.workers
        return [worker for worker in self.workers if self._is_suitable(step, worker)]

    def list_with_tickets(self, step: Step, now_s: float) -> list[TrackedWorker]:
        """Return the suitable workers for which a step has a valid ticket."""
        positions = sorted(
            position
            for worker_id, ticket in step.tickets.items()
            if ticket.expires_s > now_s
            and (position := self.positions.get(worker_id)) is not None
        )
        permitted = (self.workers[position] for position in positions)
        return [worker for worker in permitted if self._is_suitable(step, worker)]

    def _is_suitable(self, step: Step, worker: TrackedWorker) -> bool:
        is_lasting = step.specification.is_lasting
        if is_lasting and worker.entry.worker_id in self.long_leased:
            return False
        return is_suitable(step, worker)


def find_usable_pools(
    workers: Iterable[TrackedWorker], now_s: float, drains: DomainDrains | None = None
) -> dict[str, UsablePool]:
    """Return the workers on which tasks may be placed now, by pool.

    Parameters
    ----------
    workers : iterable of TrackedWorker
        All workers.
    now_s : float
        The time on the event loop's clock.
    drains : DomainDrains, optional
        Failure domains in which nothing may start; none by default.
    """
    if drains is not None and drains.is_outdated:
        return {}
    drained = frozenset() if drains is None else drains.domains
    by_pool: dict[str, list[TrackedWorker]] = {}
    for worker in workers:
        if worker.entry.zone not in drained and worker.is_usable(now_s):
            worker.update_isolation(now_s)
            by_pool.setdefault(worker.entry.pool, []).append(worker)
    return {name: _make_pool(members, now_s) for name, members in by_pool.items()}


def _make_pool(workers: list[TrackedWorker], now_s: float) -> UsablePool:
    least_capacity = workers[0].entry.capacity
    positions = {}
    total = NO_RESOURCES
    for position, worker in enumerate(workers):
        positions[worker.entry.worker_id] = position
        capacity = worker.entry.capacity
        total = total + capacity
        if not least_capacity.fits_in(capacity):
            least_capacity = least_capacity.minimum(capacity)
    is_half_free = _is_half_free(total, workers)
    long_leased = frozenset(
        worker.entry.worker_id
        for worker in workers
        if worker.leases.end_s - now_s > MAX_HOLD_OF_LASTING_S
    )
    return UsablePool(
        workers, positions, total, least_capacity, is_half_free, long_leased
    )


def _is_half_free(capacity: Resources, workers: list[TrackedWorker]) -> bool:
    free = NO_RESOURCES
    for worker in workers:
        free = free + worker.free
    return (capacity - free).fits_in(free)
