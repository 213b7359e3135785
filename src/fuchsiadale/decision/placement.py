"""Placement policies, which choose the worker that a task is placed on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Sequence

from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import Attempt, Task

WorkerFilter = Callable[[Worker], bool]

ACCELERATOR_STRANDING_PENALTY = 1.0
"""Added to the score of a task without accelerators on a worker that has some."""


class PlacementPolicy(ABC):
    """Chooses a worker with enough available resources for a task."""

    @abstractmethod
    def choose_worker(
        self, task: Task, ledger: Ledger, is_allowed: WorkerFilter
    ) -> Worker | None:
        """Return the worker to place `task` on.

        Parameters
        ----------
        task : Task
            The task to place.
        ledger : Ledger
            Ledger of the partition's workers.
        is_allowed : callable
            Tells whether the task may be placed on a worker that it fits on.

        Returns
        -------
        Worker or None
            None if the task fits on no sampled worker that is allowed.
        """


def stranding_score(worker: Worker, demand: Resources) -> float:
    """Return how badly a placement would strand resources; lower is better.

    The score grows with the processors and memory that stay available, and with the
    difference between the two as fractions of the capacity. On a worker with
    accelerators, a task that uses none adds a penalty, and a task that uses some
    adds the fraction of them that stays available.

    Parameters
    ----------
    worker : Worker
        The worker that the task would be placed on.
    demand : Resources
        Resources that the task requests.
    """
    capacity = worker.info.capacity
    unused = worker.available
    cpu_left = (unused.cpu_millis - demand.cpu_millis) / max(capacity.cpu_millis, 1)
    memory_left = (unused.memory_mb - demand.memory_mb) / max(capacity.memory_mb, 1)
    score = abs(cpu_left - memory_left) + 0.5 * (cpu_left + memory_left)
    if capacity.accelerators > 0:
        if demand.accelerators == 0:
            score += ACCELERATOR_STRANDING_PENALTY
        else:
            accelerators_left = unused.accelerators - demand.accelerators
            score += accelerators_left / capacity.accelerators
    return score


def _choose_least_stranding(
    workers: Sequence[Worker], task: Task, is_allowed: WorkerFilter
) -> Worker | None:
    demand = task.submission.resources
    best = None
    best_score = 0.0
    for worker in workers:
        if worker.info.name in task.failed_worker_names or not is_allowed(worker):
            continue
        score = stranding_score(worker, demand)
        if best is None or score < best_score:
            best = worker
            best_score = score
    return best


class BestFitPlacement(PlacementPolicy):
    """Places a task on the worker where it strands the least resources."""

    def choose_worker(
        self, task: Task, ledger: Ledger, is_allowed: WorkerFilter
    ) -> Worker | None:
        """Return the best worker of the smallest size class that has a suitable one."""
        for workers in ledger.candidate_batches(task.submission.resources):
            best = _choose_least_stranding(workers, task, is_allowed)
            if best is not None:
                return best
        return None


class SpreadPlacement(PlacementPolicy):
    """Spreads the tasks of one submission over failure domains and workers."""

    def choose_worker(
        self, task: Task, ledger: Ledger, is_allowed: WorkerFilter
    ) -> Worker | None:
        """Return a worker in the failure domain with the fewest of the work's tasks.

        Of the suitable workers sampled there, it has the fewest of these tasks.
        Failure domains without a suitable worker are skipped.
        """
        siblings_by_domain: Counter[str] = Counter()
        siblings_by_worker: Counter[str] = Counter()
        for sibling in task.work.tasks:
            attempt = sibling.attempt
            if sibling is task or attempt is None or sibling.state.is_final:
                continue
            siblings_by_worker[attempt.worker] += 1
            worker = ledger.workers.get(attempt.worker)
            if worker is not None:
                siblings_by_domain[worker.info.failure_domain] += 1

        domains = sorted(
            ledger.failure_domains, key=lambda name: (siblings_by_domain[name], name)
        )
        for domain in domains:
            candidates = [
                worker
                for workers in ledger.candidate_batches(
                    task.submission.resources, domain
                )
                for worker in workers
                if is_allowed(worker)
                and worker.info.name not in task.failed_worker_names
            ]
            if candidates:
                fewest = min(
                    siblings_by_worker[worker.info.name] for worker in candidates
                )
                workers_with_fewest = [
                    worker
                    for worker in candidates
                    if siblings_by_worker[worker.info.name] == fewest
                ]
                return _choose_least_stranding(workers_with_fewest, task, is_allowed)
        return None


def place_all_or_none(
    policy: PlacementPolicy,
    tasks: Sequence[Task],
    ledger: Ledger,
    is_allowed: WorkerFilter,
    allocate: Callable[[Task, Worker], Attempt],
    deallocate: Callable[[Task], None],
) -> bool:
    """Place every task or none of them.

    Parameters
    ----------
    policy : PlacementPolicy
        Chooses the worker of each task.
    tasks : sequence of Task
        The tasks to place together.
    ledger : Ledger
        Ledger of the partition's workers.
    is_allowed : callable
        Tells whether the tasks may be placed on a worker.
    allocate : callable
        Allocates the resources of one task on a worker.
    deallocate : callable
        Releases the resources of one task again.

    Returns
    -------
    bool
        Whether all tasks were placed.
    """
    placed: list[Task] = []
    for task in tasks:
        worker = policy.choose_worker(task, ledger, is_allowed)
        if worker is None:
            for earlier in placed:
                deallocate(earlier)
            return False
        allocate(task, worker)
        placed.append(task)
    return True
