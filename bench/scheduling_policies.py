"""The scheduler and two baseline policies, behind one interface."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterator

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.scheduler import Placement, Scheduler
from fuchsiadale.decision.work import Attempt, Task, TaskState


class SchedulingPolicy(ABC):
    """Places queued tasks on the workers of a ledger."""

    @abstractmethod
    def add(self, task: Task) -> None:
        """Add a task to the queue."""

    @abstractmethod
    def schedule(self) -> Iterator[Placement]:
        """Place queued tasks as long as the policy allows, and yield the placements."""

    @abstractmethod
    def release(self, attempt: Attempt) -> None:
        """Free the resources that are allocated to an attempt that has ended."""


class FuchsiadalePolicy(SchedulingPolicy):
    """The scheduler of this project, for a partition whose owner has epoch 1.

    Parameters
    ----------
    ledger : Ledger
        Ledger of the workers.
    clock : Clock
        Clock of the scheduler.
    weights : OrderWeights
        Weights of usage and waiting time when teams are sorted.
    shares : dict of str to float
        Shares by team.
    """

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        weights: OrderWeights,
        shares: dict[str, float],
    ) -> None:
        self._scheduler = Scheduler(ledger, clock, 1, weights)
        for team, share in shares.items():
            self._scheduler.set_share(team, share)

    def add(self, task: Task) -> None:
        """Add a task to the queue."""
        self._scheduler.add(task)

    def schedule(self) -> Iterator[Placement]:
        """Place queued tasks as long as the policy allows, and yield the placements."""
        yield from self._scheduler.schedule()

    def release(self, attempt: Attempt) -> None:
        """Free the resources that are allocated to an attempt that has ended."""
        self._scheduler.release(attempt)


class FirstComeFirstFit(SchedulingPolicy):
    """Baseline that places tasks in order of arrival on the first worker that fits.

    If the first task of the queue fits on no worker, all tasks behind it wait too.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._queue: deque[Task] = deque()

    def add(self, task: Task) -> None:
        """Add a task to the queue."""
        self._queue.append(task)

    def schedule(self) -> Iterator[Placement]:
        """Place queued tasks as long as the policy allows, and yield the placements."""
        while self._queue:
            worker = self._choose_worker(self._queue[0])
            if worker is None:
                return
            yield self._place(self._queue.popleft(), worker)

    def release(self, attempt: Attempt) -> None:
        """Free the resources that are allocated to an attempt that has ended."""
        self._ledger.deallocate(attempt)

    def _choose_worker(self, task: Task) -> Worker | None:
        requested = task.submission.resources
        for worker in self._ledger.workers.values():
            if requested.fits_in(worker.unallocated):
                return worker
        return None

    def _place(self, task: Task, worker: Worker) -> Placement:
        submission = task.submission
        attempt = Attempt(
            f"{task.task_id}#1.1",
            task.task_id,
            worker.info.name,
            1,
            submission.resources,
            submission.program,
            submission.team,
        )
        self._ledger.allocate(attempt)
        task.attempt = attempt
        task.state = TaskState.PLACED
        return Placement(task, attempt)


class RandomFit(FirstComeFirstFit):
    """Baseline that places tasks in order of arrival on a random worker that fits."""

    def __init__(self, ledger: Ledger, seed: int) -> None:
        super().__init__(ledger)
        self._random = random.Random(seed)

    def _choose_worker(self, task: Task) -> Worker | None:
        requested = task.submission.resources
        fitting_workers = [
            worker
            for worker in self._ledger.workers.values()
            if requested.fits_in(worker.unallocated)
        ]
        return self._random.choice(fitting_workers) if fitting_workers else None
