"""The scheduler and the two baselines that it is compared with."""

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
    """Places tasks on the workers of a ledger."""

    @abstractmethod
    def add(self, task: Task) -> None:
        """Queue a task."""

    @abstractmethod
    def schedule(self) -> Iterator[Placement]:
        """Place what fits now."""

    @abstractmethod
    def release(self, attempt: Attempt) -> None:
        """Give back the room of an attempt that ended."""


class FuchsiadalePolicy(SchedulingPolicy):
    """The scheduler under test."""

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
        """Queue a task."""
        self._scheduler.add(task)

    def schedule(self) -> Iterator[Placement]:
        """Place what fits now."""
        yield from self._scheduler.schedule()

    def release(self, attempt: Attempt) -> None:
        """Give back the room of an attempt that ended."""
        self._scheduler.release(attempt)


class FirstComeFirstFit(SchedulingPolicy):
    """First come, first served, on the first worker that fits.

    The queue's head waits until it fits, and everything behind it waits with it.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._queue: deque[Task] = deque()

    def add(self, task: Task) -> None:
        """Queue a task."""
        self._queue.append(task)

    def schedule(self) -> Iterator[Placement]:
        """Place what fits now."""
        while self._queue:
            worker = self._choose(self._queue[0])
            if worker is None:
                return
            yield self._place(self._queue.popleft(), worker)

    def release(self, attempt: Attempt) -> None:
        """Give back the room of an attempt that ended."""
        self._ledger.deallocate(attempt)

    def _choose(self, task: Task) -> Worker | None:
        need = task.submission.resources
        for worker in self._ledger.workers.values():
            if need.fits_in(worker.unallocated):
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
    """First come, first served, on a random worker that fits."""

    def __init__(self, ledger: Ledger, seed: int) -> None:
        super().__init__(ledger)
        self._random = random.Random(seed)

    def _choose(self, task: Task) -> Worker | None:
        need = task.submission.resources
        fitting = [
            worker
            for worker in self._ledger.workers.values()
            if need.fits_in(worker.unallocated)
        ]
        return self._random.choice(fitting) if fitting else None
