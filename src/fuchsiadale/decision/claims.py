"""Claims that let room gather for the tasks of teams below their share."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import Ledger, Worker, WorkerState
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import Task

CLAIM_S = 60.0
WORKERS_PER_CLAIM = 8


@frozen
class _Claim:
    task_id: str
    worker: str
    until_s: float


class WorkerClaims:
    """Keeps a worker for a task that fits nowhere, so that its room gathers.

    Without a claim, small tasks of teams above their share take every bit of room
    that becomes free, and a large task of a team below its share waits for ever.

    Parameters
    ----------
    ledger : Ledger
        The partition's workers.
    clock : Clock
        The clock.
    """

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._by_worker: dict[str, _Claim] = {}
        self._by_task: dict[str, _Claim] = {}

    @property
    def is_below_limit(self) -> bool:
        """Whether one more claim may be made."""
        most = max(1, len(self._ledger.workers) // WORKERS_PER_CLAIM)
        return len(self._by_worker) < most

    def allows_placement(self, task: Task, worker: Worker) -> bool:
        """Tell whether no other task claims the worker."""
        claim = self._by_worker.get(worker.info.name)
        return claim is None or claim.task_id == task.task_id

    def claim_worker(self, task: Task, allowed: Callable[[Worker], bool]) -> None:
        """Claim the worker that is nearest to having room for a task.

        Parameters
        ----------
        task : Task
            The task.
        allowed : callable
            Tells whether a worker is kept for nobody else.
        """
        if task.task_id in self._by_task:
            return
        worker = self._nearest(task.submission.resources, allowed)
        if worker is None:
            return
        until_s = self._clock.now() + CLAIM_S
        claim = _Claim(task.task_id, worker.info.name, until_s)
        self._by_worker[claim.worker] = claim
        self._by_task[claim.task_id] = claim

    def drop(self, task_id: str) -> None:
        """End the claim of a task that was placed or cancelled."""
        claim = self._by_task.pop(task_id, None)
        if claim is not None:
            del self._by_worker[claim.worker]

    def drop_claims_on(self, workers: frozenset[str]) -> None:
        """End the claims on workers that were reserved for a gang."""
        for name in workers & set(self._by_worker):
            self.drop(self._by_worker[name].task_id)

    def drop_expired(self) -> None:
        """End the claims that were not met in time."""
        now_s = self._clock.now()
        for claim in list(self._by_task.values()):
            if now_s >= claim.until_s:
                self.drop(claim.task_id)

    def _nearest(
        self, need: Resources, allowed: Callable[[Worker], bool]
    ) -> Worker | None:
        """Return the open worker that lacks the least of what is needed."""
        best = None
        best_lack = 0.0
        for worker in self._ledger.workers.values():
            if worker.state is not WorkerState.READY:
                continue
            is_kept = worker.info.name in self._by_worker or not allowed(worker)
            if is_kept or not need.fits_in(worker.info.capacity):
                continue
            lacking = (need - worker.available).maximum(Resources())
            lack = lacking.dominant_share(worker.info.capacity)
            if best is None or lack < best_lack:
                best = worker
                best_lack = lack
        return best
