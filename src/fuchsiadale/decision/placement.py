"""Placement policies: which worker a task of each kind of work goes to."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Sequence

from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import Attempt, Task

WorkerFilter = Callable[[Worker], bool]

ACCELERATOR_STRANDING_PENALTY = 1.0


class PlacementPolicy(ABC):
    """Chooses a worker with room for a task."""

    @abstractmethod
    def choose_worker(
        self, task: Task, ledger: Ledger, allowed: WorkerFilter
    ) -> Worker | None:
        """Return the worker to place `task` on.

        Parameters
        ----------
        task : Task
            The task to place.
        ledger : Ledger
            The partition's workers.
        allowed : callable
            Tells whether the task may be placed on a worker that has room.

        Returns
        -------
        Worker or None
            None if no sampled worker has room.
        """


def stranding_score(worker: Worker, need: Resources) -> float:
    """Rate how much room a placement would strand; lower is better.

    The score is the larger the more unevenly the processors and memory that stay
    free are left over, and the more of them stay free. A task without accelerators
    on a worker that has free ones is charged a penalty.
    """
    capacity = worker.info.capacity
    free = worker.available
    cpu_left = (free.cpu_millis - need.cpu_millis) / max(capacity.cpu_millis, 1)
    memory_left = (free.memory_mb - need.memory_mb) / max(capacity.memory_mb, 1)
    score = abs(cpu_left - memory_left) + 0.5 * (cpu_left + memory_left)
    if capacity.accelerators > 0:
        if need.accelerators == 0:
            score += ACCELERATOR_STRANDING_PENALTY
        else:
            left = free.accelerators - need.accelerators
            score += left / capacity.accelerators
    return score


def _best_of(
    workers: Sequence[Worker], task: Task, allowed: WorkerFilter
) -> Worker | None:
    need = task.submission.resources
    best = None
    best_score = 0.0
    for worker in workers:
        if worker.info.name in task.failed_worker_names or not allowed(worker):
            continue
        score = stranding_score(worker, need)
        if best is None or score < best_score:
            best = worker
            best_score = score
    return best


class BestFitPlacement(PlacementPolicy):
    """Fill the worker that would strand the least room."""

    def choose_worker(
        self, task: Task, ledger: Ledger, allowed: WorkerFilter
    ) -> Worker | None:
        """Return the best worker of the smallest size class that has one."""
        for workers in ledger.candidate_batches(task.submission.resources):
            best = _best_of(workers, task, allowed)
            if best is not None:
                return best
        return None


class SpreadPlacement(PlacementPolicy):
    """Spread the tasks of one piece of work over failure domains and workers."""

    def choose_worker(
        self, task: Task, ledger: Ledger, allowed: WorkerFilter
    ) -> Worker | None:
        """Return a worker in the failure domain that holds the fewest siblings."""
        per_domain: Counter[str] = Counter()
        per_worker: Counter[str] = Counter()
        for sibling in task.work.tasks:
            attempt = sibling.attempt
            if sibling is task or attempt is None or sibling.state.is_final:
                continue
            per_worker[attempt.worker] += 1
            worker = ledger.workers.get(attempt.worker)
            if worker is not None:
                per_domain[worker.info.failure_domain] += 1

        domains = sorted(
            ledger.failure_domains, key=lambda name: (per_domain[name], name)
        )
        for domain in domains:
            candidates = [
                worker
                for workers in ledger.candidate_batches(
                    task.submission.resources, domain
                )
                for worker in workers
                if allowed(worker) and worker.info.name not in task.failed_worker_names
            ]
            if candidates:
                fewest = min(per_worker[worker.info.name] for worker in candidates)
                emptiest = [
                    worker
                    for worker in candidates
                    if per_worker[worker.info.name] == fewest
                ]
                return _best_of(emptiest, task, allowed)
        return None


def place_all_or_none(
    policy: PlacementPolicy,
    tasks: Sequence[Task],
    ledger: Ledger,
    allowed: WorkerFilter,
    reserve: Callable[[Task, Worker], Attempt],
    undo: Callable[[Task], None],
) -> bool:
    """Place every task or none of them.

    Parameters
    ----------
    policy : PlacementPolicy
        Chooses the worker of each task.
    tasks : sequence of Task
        The tasks to place together.
    ledger : Ledger
        The partition's workers.
    allowed : callable
        Tells whether a worker may be used.
    reserve : callable
        Charges one task to a worker.
    undo : callable
        Takes a charge back.

    Returns
    -------
    bool
        Whether all tasks were placed.
    """
    placed: list[Task] = []
    for task in tasks:
        worker = policy.choose_worker(task, ledger, allowed)
        if worker is None:
            for earlier in placed:
                undo(earlier)
            return False
        reserve(task, worker)
        placed.append(task)
    return True
