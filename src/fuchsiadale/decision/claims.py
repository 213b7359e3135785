"""Claims that keep workers free for tasks of teams below their share."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import Task

CLAIM_DURATION_S = 60.0
"""Seconds after which a claim ends even if its task was not placed."""

WORKERS_PER_CLAIM = 8
"""A partition may hold one claim per this number of workers, and at least one."""


@frozen
class _Claim:
    """Claim of one task on one worker, which ends at `expires_s`."""

    task_id: str
    worker: str
    expires_s: float


class WorkerClaims:
    """Keeps a worker for a task that fits nowhere, until enough resources are free.

    Without a claim, small tasks of teams above their share take all resources that
    are released, and a large task of a team below its share starves.

    Parameters
    ----------
    ledger : Ledger
        Ledger of the partition's workers.
    clock : Clock
        Clock that the end of a claim is measured on.
    """

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._claim_by_worker: dict[str, _Claim] = {}
        self._claim_by_task: dict[str, _Claim] = {}

    @property
    def is_below_limit(self) -> bool:
        """Whether the number of claims is below its limit."""
        limit = max(1, len(self._ledger.workers) // WORKERS_PER_CLAIM)
        return len(self._claim_by_worker) < limit

    def allows_placement(self, task: Task, worker: Worker) -> bool:
        """Tell whether no other task holds a claim on the worker."""
        claim = self._claim_by_worker.get(worker.info.name)
        return claim is None or claim.task_id == task.task_id

    def claim_worker(self, task: Task, is_allowed: Callable[[Worker], bool]) -> None:
        """Claim the worker that lacks the least resources to fit a task.

        A task that already holds a claim keeps it.

        Parameters
        ----------
        task : Task
            The task to claim a worker for.
        is_allowed : callable
            Tells whether no other task or gang holds the worker.
        """
        if task.task_id in self._claim_by_task:
            return
        worker = self._find_closest_fit(task.submission.resources, is_allowed)
        if worker is None:
            return
        expires_s = self._clock.now() + CLAIM_DURATION_S
        claim = _Claim(task.task_id, worker.info.name, expires_s)
        self._claim_by_worker[claim.worker] = claim
        self._claim_by_task[claim.task_id] = claim

    def drop(self, task_id: str) -> None:
        """Drop the claim of a task that was placed or cancelled, if it holds one."""
        claim = self._claim_by_task.pop(task_id, None)
        if claim is not None:
            del self._claim_by_worker[claim.worker]

    def drop_claims_on(self, workers: frozenset[str]) -> None:
        """Drop the claims on workers that were reserved for a gang."""
        for name in workers & set(self._claim_by_worker):
            self.drop(self._claim_by_worker[name].task_id)

    def drop_expired(self) -> None:
        """Drop the claims whose duration is over."""
        now_s = self._clock.now()
        for claim in list(self._claim_by_task.values()):
            if now_s >= claim.expires_s:
                self.drop(claim.task_id)

    def _find_closest_fit(
        self, demand: Resources, is_allowed: Callable[[Worker], bool]
    ) -> Worker | None:
        """Return the worker that lacks the least of `demand` now, if any.

        It is ready, unclaimed and allowed, and its capacity is enough for `demand`.
        """
        best = None
        least_shortfall = 0.0
        for worker in self._ledger.workers.values():
            if not worker.is_schedulable:
                continue
            is_unavailable = (
                worker.info.name in self._claim_by_worker or not is_allowed(worker)
            )
            if is_unavailable or not demand.fits_in(worker.info.capacity):
                continue
            missing_resources = (demand - worker.available).maximum(Resources())
            shortfall = missing_resources.dominant_share(worker.info.capacity)
            if best is None or shortfall < least_shortfall:
                best = worker
                least_shortfall = shortfall
        return best
