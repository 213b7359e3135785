"""Decides what to start next, whom to ask for advice and what to stop for it."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.jobs import Run, Step, Task
from fuchsiadale.decision.workflow.messages import Order, RequestAdvice
from fuchsiadale.decision.workflow.ordering import WaitingStep, in_order
from fuchsiadale.decision.workflow.placement import (
    choose_gang,
    choose_worker,
    is_suitable,
    places,
)
from fuchsiadale.decision.workflow.preemption import RoomMaker
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

MAX_ADVISED = 30
"""Workers named in one call for advice: what the objective allows for."""

MAX_HOLDERS = 1
"""Steps that may hold workers free at once in each pool; idle room serves nobody."""

LARGE_SHARE = 0.5
"""Share of a worker from which a task finds room only if it is held for it."""

CLAIMED = -1
"""Urgency of a claim: nothing is placed on a worker where room is being made."""

DEAR_ADVICE_S = 0.1
"""Cost from which a call for advice may not take the last lanes."""

CHEAP_LANES = 2
"""Lanes kept for cheap calls, which urgent steps wait for."""


FRONT_STEPS = 3
"""Waiting steps of a pool whose tickets are renewed before there is room for them."""

RENEWAL_SHARE = 0.5
"""Share of the lanes that renewals may take; first calls for a step come before."""

RENEWAL_MARGIN_S = 0.1
"""Seconds before it is needed at which a renewed ticket should be there."""

MAX_UNPLACED = 24
"""Steps of one urgency in a pool that are tried in vain before the rest is left."""


KEPT_SHARE = 0.15
"""Share of a worker that work which cannot be stopped leaves to urgent work."""


@define
class _Round:
    """What one plan has used up so far."""

    now_s: float
    advice_lanes: int
    usable: dict[str, list[TrackedWorker]]
    room: RoomMaker
    held: dict[str, int] = Factory(dict)
    holders: dict[str, int] = Factory(dict)
    unplaced: dict[tuple[str, int], int] = Factory(dict)
    front: dict[str, int] = Factory(dict)

    def is_held(self, worker: TrackedWorker, priority: int) -> bool:
        """Tell whether a worker is kept free for more urgent work."""
        return self.held.get(worker.entry.worker_id, priority) < priority

    def takes_front(self, waiting: WaitingStep) -> bool:
        """Tell whether a step is among the first of its pool that wait for room."""
        if waiting.is_hopeless or waiting.step.job.exceeds_rate:
            return False
        pool = waiting.queue.pool
        self.front[pool] = self.front.get(pool, 0) + 1
        return self.front[pool] <= FRONT_STEPS


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
        now_s = scheduler.clock.now()
        usable: dict[str, list[TrackedWorker]] = {}
        for worker in scheduler.workers.values():
            if worker.is_usable(now_s):
                usable.setdefault(worker.entry.pool, []).append(worker)
        room = RoomMaker(scheduler.queue_of, now_s)
        current = _Round(now_s, advice_lanes, usable, room)
        steps = scheduler.active_steps.values()
        forecast = scheduler.forecast()
        for waiting in in_order(steps, scheduler.queue_of, forecast, now_s):
            group = (waiting.queue.pool, waiting.queue.priority)
            if current.unplaced.get(group, 0) >= MAX_UNPLACED:
                continue
            left = len(waiting.step.waiting_tasks)
            self._plan_step(waiting, current)
            if len(waiting.step.waiting_tasks) == left:
                current.unplaced[group] = current.unplaced.get(group, 0) + 1
        return scheduler.pop_orders()

    def _plan_step(self, waiting: WaitingStep, current: _Round) -> None:
        step = waiting.step
        workers = [
            worker
            for worker in current.usable.get(waiting.queue.pool, [])
            if not current.is_held(worker, waiting.queue.priority)
            and is_suitable(step, worker)
        ]
        if step.specification.is_gang:
            self._plan_gang(waiting, workers, current)
        else:
            self._plan_tasks(waiting, workers, current)

    def _plan_tasks(
        self, waiting: WaitingStep, workers: list[TrackedWorker], current: _Round
    ) -> None:
        step = waiting.step
        allowed = _with_tickets(waiting, workers, current.now_s)
        kept_share = _kept_share(waiting)
        for task in list(step.waiting_tasks.values()):
            if not self._is_within_limit(step, 1):
                return
            worker = choose_worker(task, allowed, kept_share)
            if worker is None:
                break
            self._scheduler.place_task(
                task, worker, self._scheduler.next_run_number([task])
            )
        if not step.waiting_tasks:
            return
        if allowed and not waiting.is_hopeless:
            self._make_room(waiting, allowed, len(step.waiting_tasks), current)
        if waiting.queue.advice is not None:
            self._ask(waiting, workers, 1, current)
        if not waiting.is_hopeless and _is_large(step, workers):
            self._hold_room(waiting, workers, 1, current)

    def _plan_gang(
        self, waiting: WaitingStep, workers: list[TrackedWorker], current: _Round
    ) -> None:
        step = waiting.step
        if len(step.waiting_tasks) < len(step.tasks):
            return
        if not self._is_within_limit(step, len(step.tasks)):
            return
        allowed = _with_tickets(waiting, workers, current.now_s)
        placements = choose_gang(step.tasks, allowed)
        if placements is not None:
            self._start_gang(step, placements)
            return
        if not waiting.is_hopeless:
            made = self._make_room(waiting, allowed, len(step.tasks), current)
            if made:
                return
        if waiting.queue.advice is not None:
            self._ask(waiting, workers, len(step.tasks), current)
        self._hold_room(waiting, workers, len(step.tasks), current)

    def _hold_room(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        tasks: int,
        current: _Round,
    ) -> None:
        """Keep workers free for a gang, or for a task that takes most of one."""
        pool = waiting.queue.pool
        count = current.holders.get(pool, 0)
        if count < MAX_HOLDERS:
            current.holders[pool] = count + 1
            priority = waiting.queue.priority
            for worker_id in _nearest_to_free(waiting.step, workers, tasks):
                current.held.setdefault(worker_id, priority)

    def _start_gang(
        self, step: Step, placements: list[tuple[Task, TrackedWorker]]
    ) -> None:
        number = self._scheduler.next_run_number(step.tasks)
        checkpoint = _gang_checkpoint(step.tasks)
        for task, worker in placements:
            task.checkpoint = checkpoint
            self._scheduler.place_task(task, worker, number)

    def _make_room(
        self,
        waiting: WaitingStep,
        allowed: list[TrackedWorker],
        tasks: int,
        current: _Round,
    ) -> bool:
        """Stop less urgent runs; tell whether room for every task will be free.

        A gang claims room for all of its tasks or for none.
        """
        step = waiting.step
        needed = step.specification.charged
        priority = waiting.queue.priority
        claims: list[tuple[TrackedWorker, list[Run]]] = []
        for _ in range(tasks):
            claim = _cheapest_claim(current.room, allowed, needed, priority)
            if claim is None:
                break
            claims.append(claim)
        is_whole = len(claims) == tasks
        if step.specification.is_gang and not is_whole:
            for worker, victims in claims:
                current.room.release(worker, needed, victims)
            return False
        for worker, victims in claims:
            current.held[worker.entry.worker_id] = CLAIMED
            for run in victims:
                self._scheduler.preempt(run)
        return is_whole

    def _ask(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        tasks: int,
        current: _Round,
    ) -> None:
        """Ask for tickets on workers that have, or can make, room for the step."""
        scheduler = self._scheduler
        step, advice = waiting.step, waiting.queue.advice
        if (
            advice is None
            or step.is_awaiting_advice
            or current.now_s < step.next_advice_request_s
        ):
            return
        needed = step.specification.charged
        priority = None if waiting.is_hopeless else waiting.queue.priority
        is_front = current.takes_front(waiting)
        is_front = (
            is_front
            and scheduler.pending_advice_requests < RENEWAL_SHARE * current.advice_lanes
        )
        renewed_s = current.now_s + advice.base_s + RENEWAL_MARGIN_S
        with_room = 0
        named: list[tuple[int, str]] = []
        for worker in workers:
            worker_id = worker.entry.worker_id
            if step.advice_by_worker.get(worker_id) is False:
                continue
            free = current.room.reachable(worker, priority, advice.base_s)
            room = places(free, needed)
            if step.has_valid_ticket(worker_id, current.now_s):
                with_room += room if tasks > 1 else 0
                if is_front and not step.has_valid_ticket(worker_id, renewed_s):
                    named.append((-room, worker_id))
                continue
            with_room += room
            is_granted = step.advice_by_worker.get(worker_id, False)
            if (
                room
                or worker_id not in step.advice_by_worker
                or (is_front and is_granted)
            ):
                named.append((-room, worker_id))
        if (with_room < tasks and not is_front) or not named:
            return
        named.sort()
        chosen = tuple(worker_id for _, worker_id in named[:MAX_ADVISED])
        cost_s = advice.call_duration_s(len(chosen))
        kept = CHEAP_LANES if cost_s >= DEAR_ADVICE_S else 0
        if scheduler.pending_advice_requests >= max(1, current.advice_lanes - kept):
            return
        step.is_awaiting_advice = True
        scheduler.issue_order(RequestAdvice(step.name, chosen, cost_s))

    def _is_within_limit(self, step: Step, tasks: int) -> bool:
        workspace = step.job.record.workspace
        limit = self._scheduler.limit_of(workspace)
        amount = step.specification.request.times(tasks)
        return self._scheduler.usage.allows(workspace, amount, limit)


def _with_tickets(
    waiting: WaitingStep, workers: list[TrackedWorker], now_s: float
) -> list[TrackedWorker]:
    """Return the workers that may run a step now."""
    if waiting.queue.advice is None:
        return workers
    return [
        worker
        for worker in workers
        if waiting.step.has_valid_ticket(worker.entry.worker_id, now_s)
    ]


def _kept_share(waiting: WaitingStep) -> float:
    """Return the share of a worker that a step has to leave free.

    Answers bursts of urgent work on pools filled with work that loses what it has done
    when it is stopped. Lasting work and work that resumes fill a worker whole.
    """
    specification = waiting.step.specification
    is_short = not specification.is_lasting and not specification.is_checkpointing
    return KEPT_SHARE if waiting.queue.priority > 0 and is_short else 0.0


def _cheapest_claim(
    room: RoomMaker, workers: Iterable[TrackedWorker], needed: Resources, priority: int
) -> tuple[TrackedWorker, list[Run]] | None:
    """Claim room on the worker where the fewest runs have to stop for it."""
    best: tuple[TrackedWorker, list[Run]] | None = None
    for worker in workers:
        victims = room.claim(worker, needed, priority)
        if victims is None:
            continue
        if best is not None and len(best[1]) <= len(victims):
            room.release(worker, needed, victims)
            continue
        if best is not None:
            room.release(best[0], needed, best[1])
        best = (worker, victims)
        if not victims:
            break
    return best


def _is_large(step: Step, workers: list[TrackedWorker]) -> bool:
    """Tell whether a task takes most of any worker that may run it."""
    charged = step.specification.charged
    return bool(workers) and all(
        charged.dominant_share(worker.entry.capacity) >= LARGE_SHARE
        for worker in workers
    )


def _nearest_to_free(step: Step, workers: list[TrackedWorker], tasks: int) -> set[str]:
    """Return the workers to keep free until tasks fit, nearest to it first."""
    needed = step.specification.charged
    candidates = [
        worker
        for worker in workers
        if step.advice_by_worker.get(worker.entry.worker_id, not step.advice_by_worker)
    ]
    candidates.sort(
        key=lambda worker: (needed - worker.free).dominant_share(worker.entry.capacity)
    )
    held: set[str] = set()
    count = 0
    for worker in candidates:
        if count >= tasks:
            break
        count += places(worker.entry.capacity, needed)
        held.add(worker.entry.worker_id)
    return held if count >= tasks or not step.specification.is_gang else set()


def _gang_checkpoint(tasks: list[Task]) -> str:
    """Return a checkpoint that every member of a gang can resume from."""
    return next((task.checkpoint for task in tasks if task.checkpoint), "")
