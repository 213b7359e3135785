"""Decides what to start next, and whom to ask for advice.

Answers a full pool: urgent queues first, jobs that can still meet their objective
before those that cannot, and jobs beyond their workspace's rate last.
"""

from __future__ import annotations

from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Step, Task
from fuchsiadale.decision.workflow.ledger import WorkerLedger
from fuchsiadale.decision.workflow.messages import AskAdvice, Order
from fuchsiadale.decision.workflow.placement import (
    choose_gang,
    choose_worker,
    is_suitable,
)
from fuchsiadale.decision.workflow.scheduler import Scheduler

MAX_ADVISED = 30
"""Workers named in one call for advice: what the objective allows for."""

GANG_ROOM_HOLD = 2
"""Gangs that may hold workers free at once in each pool."""


class Planner:
    """Starts waiting tasks in order, as far as room, limits and tickets allow.

    Parameters
    ----------
    scheduler : Scheduler
        Whose tasks it starts.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    def plan(self, advice_lanes: int) -> list[Order]:
        """Start what can start now.

        Parameters
        ----------
        advice_lanes : int
            Calls for advice that can be under way at once.

        Returns
        -------
        orders : list of Order
            What to carry out.
        """
        scheduler = self._scheduler
        now = scheduler.clock.now()
        usable: dict[str, list[WorkerLedger]] = {}
        for worker in scheduler.workers.values():
            if worker.is_usable(now):
                usable.setdefault(worker.entry.pool, []).append(worker)
        held: set[str] = set()
        gangs_waiting: dict[str, int] = {}
        for step, queue in self._in_order(now):
            if scheduler.is_held(step.job):
                continue
            workers = [
                worker
                for worker in usable.get(queue.pool, [])
                if worker.entry.worker_id not in held and is_suitable(step, worker)
            ]
            if step.specification.is_gang:
                if not self._plan_gang(step, queue, workers, now, advice_lanes):
                    count = gangs_waiting.get(queue.pool, 0)
                    if count < GANG_ROOM_HOLD:
                        gangs_waiting[queue.pool] = count + 1
                        held.update(self._hold_for_gang(step, workers))
            else:
                self._plan_tasks(step, queue, workers, now, advice_lanes)
        return scheduler.take_orders()

    def _in_order(self, now: float) -> list[tuple[Step, Queue]]:
        ordered = []
        for step in self._scheduler.live_steps.values():
            if not step.waiting:
                continue
            job = step.job
            queue = self._scheduler.queue_of(job)
            if queue is None:
                continue
            key = (job.is_excess, queue.priority, job.due_s < now, job.due_s)
            ordered.append((key, str(step.name), step, queue))
        ordered.sort(key=lambda item: item[:2])
        return [(step, queue) for _, _, step, queue in ordered]

    def _plan_tasks(
        self,
        step: Step,
        queue: Queue,
        workers: list[WorkerLedger],
        now: float,
        advice_lanes: int,
    ) -> None:
        if queue.advice is None:
            allowed = workers
        else:
            allowed = [
                worker
                for worker in workers
                if step.has_ticket(worker.entry.worker_id, now)
            ]
        for task in list(step.waiting.values()):
            if not self._is_within_limit(step, 1):
                return
            worker = choose_worker(task, allowed)
            if worker is None:
                break
            self._scheduler.place(task, worker, self._scheduler.next_run([task]))
        if step.waiting and queue.advice is not None:
            self._ask(step, queue, workers, now, advice_lanes, 1)

    def _plan_gang(
        self,
        step: Step,
        queue: Queue,
        workers: list[WorkerLedger],
        now: float,
        advice_lanes: int,
    ) -> bool:
        """Start a gang; tell whether it needs no room held for it."""
        if len(step.waiting) < len(step.tasks):
            return True
        if not self._is_within_limit(step, len(step.tasks)):
            return True
        allowed = workers
        if queue.advice is not None:
            allowed = [
                worker
                for worker in workers
                if step.has_ticket(worker.entry.worker_id, now)
            ]
        placements = choose_gang(step.tasks, allowed)
        if placements is None:
            if queue.advice is not None:
                self._ask(step, queue, workers, now, advice_lanes, len(step.tasks))
            return False
        number = self._scheduler.next_run(step.tasks)
        checkpoint = _gang_checkpoint(step.tasks)
        for placement in placements:
            placement.task.checkpoint = checkpoint
            self._scheduler.place(placement.task, placement.worker, number)
        return True

    def _hold_for_gang(self, step: Step, workers: list[WorkerLedger]) -> set[str]:
        """Return workers to keep free until a gang fits: those nearest to it."""
        needed = step.specification.charged
        candidates = [
            worker
            for worker in workers
            if step.advised.get(worker.entry.worker_id, not step.advised)
        ]
        candidates.sort(
            key=lambda worker: (needed - worker.free).dominant_share(
                worker.entry.capacity
            )
        )
        held: set[str] = set()
        places = 0
        for worker in candidates:
            if places >= len(step.tasks):
                break
            places += _places(worker.entry.capacity, needed)
            held.add(worker.entry.worker_id)
        return held if places >= len(step.tasks) else set()

    def _ask(
        self,
        step: Step,
        queue: Queue,
        workers: list[WorkerLedger],
        now: float,
        advice_lanes: int,
        places: int,
    ) -> None:
        """Ask for tickets on workers that have room for a waiting task."""
        scheduler = self._scheduler
        if step.is_asking or now < step.ask_not_before_s:
            return
        if scheduler.asking >= advice_lanes or queue.advice is None:
            return
        needed = step.specification.charged
        with_room = 0
        named = []
        for worker in workers:
            worker_id = worker.entry.worker_id
            if step.advised.get(worker_id) is False:
                continue
            if step.has_ticket(worker_id, now):
                with_room += _places(worker.free, needed) if places > 1 else 0
                continue
            room = _places(worker.free, needed)
            with_room += room
            if room or worker_id not in step.advised:
                named.append((-room, worker_id))
        if with_room < places or not named:
            return
        named.sort()
        chosen = tuple(worker_id for _, worker_id in named[:MAX_ADVISED])
        step.is_asking = True
        cost_s = queue.advice.cost_s(len(chosen))
        scheduler.order(AskAdvice(step.name, chosen, cost_s))

    def _is_within_limit(self, step: Step, tasks: int) -> bool:
        workspace = step.job.record.workspace
        configured = self._scheduler.configuration.workspace(workspace)
        limit = NO_LIMIT if configured is None else configured.limit
        amount = step.specification.request.times(tasks)
        return self._scheduler.usage.allows(workspace, amount, limit)


def _places(free: Resources, needed: Resources) -> int:
    """Return how many tasks fit into some room."""
    counts = [
        have // need
        for have, need in (
            (free.cpu_millis, needed.cpu_millis),
            (free.memory_mb, needed.memory_mb),
            (free.accelerators, needed.accelerators),
        )
        if need > 0
    ]
    return max(0, min(counts, default=1))


def _gang_checkpoint(tasks: list[Task]) -> str:
    """Return a checkpoint that every member of a gang can resume from."""
    return next((task.checkpoint for task in tasks if task.checkpoint), "")
