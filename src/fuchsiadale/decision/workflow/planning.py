"""Plans which waiting tasks start, which runs to preempt and what advice to request.

The advice service says which workers may run a step and issues a ticket for each.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.jobs import Run, Step, Task
from fuchsiadale.decision.workflow.messages import Order, RequestAdvice
from fuchsiadale.decision.workflow.ordering import WaitingStep, sort_waiting_steps
from fuchsiadale.decision.workflow.placement import (
    choose_gang_workers,
    choose_worker,
    count_fitting_tasks,
    is_suitable,
)
from fuchsiadale.decision.workflow.preemption import Preemptor
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

MAX_ADVISED_WORKERS = 30
"""Workers named in one advice call; a longer call could make jobs miss objectives."""

MAX_RESERVING_STEPS = 1
"""Maximum number of steps per pool that reserve workers; reserved room stays idle."""

LARGE_TASK_SHARE = 0.5
"""Share of a worker from which a task counts as large, so that it needs a reservation
to find room that smaller tasks would keep taking.
"""

PREEMPTION_RESERVATION_PRIORITY = -1
"""Priority under which a worker with claimed room is reserved.

Lower is more urgent and queues start at 0, so the pass places nothing else there.
"""

EXPENSIVE_ADVICE_S = 0.1
"""Duration in seconds from which an advice call counts as expensive."""

CALLS_KEPT_FOR_CHEAP_ADVICE = 2
"""Concurrent advice calls that expensive ones leave free for those of urgent steps."""

MAX_EARLY_ADVICE_STEPS = 3
"""Steps per pool that get and renew tickets before there is room for them."""

EARLY_CALL_SHARE = 0.5
"""Share of the maximum; once as many calls are open, steps without room make none."""

RENEWAL_MARGIN_S = 0.1
"""Seconds by which a renewal should arrive before the present ticket expires."""

MAX_UNPLACED_STEPS = 24
"""Steps of a pool and priority that a plan fails to place before it skips the rest."""

URGENT_HEADROOM_SHARE = 0.15
"""Share of a worker left free for urgent work; see `_required_headroom_share`."""


@define
class _PlanState:
    """State of one planning pass."""

    now_s: float
    max_advice_calls: int
    usable_workers: dict[str, list[TrackedWorker]]
    preemptor: Preemptor
    reservations: dict[str, int] = Factory(dict)  # priority it is for, by worker
    reserving_steps: dict[str, int] = Factory(dict)  # number by pool
    unplaced_steps: dict[tuple[str, int], int] = Factory(dict)  # pool, priority
    early_advice_steps: dict[str, int] = Factory(dict)  # number by pool

    def is_reserved_against(self, worker: TrackedWorker, priority: int) -> bool:
        """Tell whether a worker is reserved for work more urgent than `priority`."""
        return self.reservations.get(worker.entry.worker_id, priority) < priority

    def admit_early_advice(self, waiting: WaitingStep) -> bool:
        """Tell whether a step is among the first of its pool in planning order.

        Steps of infeasible jobs and of jobs beyond their submission rate do not count.
        """
        if waiting.is_infeasible or waiting.step.job.exceeds_rate:
            return False
        pool = waiting.queue.pool
        self.early_advice_steps[pool] = self.early_advice_steps.get(pool, 0) + 1
        return self.early_advice_steps[pool] <= MAX_EARLY_ADVICE_STEPS


class Planner:
    """Starts waiting tasks in order, as far as room, limits and tickets allow.

    Parameters
    ----------
    scheduler : Scheduler
        Holds the tasks and the workers, and takes the orders.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    def plan(self, max_advice_calls: int) -> list[Order]:
        """Place waiting tasks; preempt runs or request advice for those without room.

        Parameters
        ----------
        max_advice_calls : int
            Maximum number of concurrent advice calls.

        Returns
        -------
        orders : list of Order
            The orders to carry out, including those pending from earlier events.
        """
        scheduler = self._scheduler
        now_s = scheduler.clock.now()
        usable_workers: dict[str, list[TrackedWorker]] = {}
        for worker in scheduler.workers.values():
            if worker.is_usable(now_s):
                usable_workers.setdefault(worker.entry.pool, []).append(worker)
        preemptor = Preemptor(scheduler.queue_of, now_s)
        state = _PlanState(now_s, max_advice_calls, usable_workers, preemptor)
        steps = scheduler.active_steps.values()
        forecast = scheduler.forecast()
        for waiting in sort_waiting_steps(steps, scheduler.queue_of, forecast, now_s):
            group = (waiting.queue.pool, waiting.queue.priority)
            if state.unplaced_steps.get(group, 0) >= MAX_UNPLACED_STEPS:
                continue
            waiting_before = len(waiting.step.waiting_tasks)
            self._plan_step(waiting, state)
            if len(waiting.step.waiting_tasks) == waiting_before:
                state.unplaced_steps[group] = state.unplaced_steps.get(group, 0) + 1
        return scheduler.pop_orders()

    def _plan_step(self, waiting: WaitingStep, state: _PlanState) -> None:
        step = waiting.step
        workers = [
            worker
            for worker in state.usable_workers.get(waiting.queue.pool, [])
            if not state.is_reserved_against(worker, waiting.queue.priority)
            and is_suitable(step, worker)
        ]
        if step.specification.is_gang:
            self._plan_gang(waiting, workers, state)
        else:
            self._plan_tasks(waiting, workers, state)

    def _plan_tasks(
        self, waiting: WaitingStep, workers: list[TrackedWorker], state: _PlanState
    ) -> None:
        step = waiting.step
        allowed = _workers_with_tickets(waiting, workers, state.now_s)
        headroom_share = _required_headroom_share(waiting)
        for task in list(step.waiting_tasks.values()):
            if not self._is_within_limit(step, 1):
                return
            worker = choose_worker(task, allowed, headroom_share)
            if worker is None:
                break
            self._scheduler.place_task(
                task, worker, self._scheduler.next_run_number([task])
            )
        if not step.waiting_tasks:
            return
        if allowed and not waiting.is_infeasible:
            self._preempt_runs(waiting, allowed, len(step.waiting_tasks), state)
        if waiting.queue.advice is not None:
            self._request_advice(waiting, workers, 1, state)
        if not waiting.is_infeasible and _has_large_tasks(step, workers):
            self._reserve_workers(waiting, workers, 1, state)

    def _plan_gang(
        self, waiting: WaitingStep, workers: list[TrackedWorker], state: _PlanState
    ) -> None:
        step = waiting.step
        if len(step.waiting_tasks) < len(step.tasks):
            return
        if not self._is_within_limit(step, len(step.tasks)):
            return
        allowed = _workers_with_tickets(waiting, workers, state.now_s)
        placements = choose_gang_workers(step.tasks, allowed)
        if placements is not None:
            self._start_gang(step, placements)
            return
        if not waiting.is_infeasible:
            has_room = self._preempt_runs(waiting, allowed, len(step.tasks), state)
            if has_room:
                return
        if waiting.queue.advice is not None:
            self._request_advice(waiting, workers, len(step.tasks), state)
        self._reserve_workers(waiting, workers, len(step.tasks), state)

    def _reserve_workers(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        task_count: int,
        state: _PlanState,
    ) -> None:
        """Reserve workers for a gang or for a large task."""
        pool = waiting.queue.pool
        reserving_count = state.reserving_steps.get(pool, 0)
        if reserving_count < MAX_RESERVING_STEPS:
            state.reserving_steps[pool] = reserving_count + 1
            priority = waiting.queue.priority
            for worker_id in _workers_to_reserve(waiting.step, workers, task_count):
                state.reservations.setdefault(worker_id, priority)

    def _start_gang(
        self, step: Step, placements: list[tuple[Task, TrackedWorker]]
    ) -> None:
        number = self._scheduler.next_run_number(step.tasks)
        checkpoint = _gang_checkpoint(step.tasks)
        for task, worker in placements:
            task.checkpoint = checkpoint
            self._scheduler.place_task(task, worker, number)

    def _preempt_runs(
        self,
        waiting: WaitingStep,
        allowed: list[TrackedWorker],
        task_count: int,
        state: _PlanState,
    ) -> bool:
        """Preempt less urgent runs to make room for tasks of a step.

        A gang claims room for all of its tasks or for none.

        Returns
        -------
        is_complete : bool
            Whether there will be room for every task.
        """
        step = waiting.step
        needed = step.specification.charged
        priority = waiting.queue.priority
        claims: list[tuple[TrackedWorker, list[Run]]] = []
        for _ in range(task_count):
            claim = _claim_cheapest_room(state.preemptor, allowed, needed, priority)
            if claim is None:
                break
            claims.append(claim)
        is_complete = len(claims) == task_count
        if step.specification.is_gang and not is_complete:
            for worker, victims in claims:
                state.preemptor.release_room(worker, needed, victims)
            return False
        for worker, victims in claims:
            state.reservations[worker.entry.worker_id] = PREEMPTION_RESERVATION_PRIORITY
            for run in victims:
                self._scheduler.preempt(run)
        return is_complete

    def _request_advice(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        task_count: int,
        state: _PlanState,
    ) -> None:
        """Request tickets for workers that have or can get room for tasks of a step."""
        scheduler = self._scheduler
        step, advice = waiting.step, waiting.queue.advice
        if (
            advice is None
            or step.is_awaiting_advice
            or state.now_s < step.next_advice_request_s
        ):
            return
        needed = step.specification.charged
        priority = None if waiting.is_infeasible else waiting.queue.priority
        asks_early = state.admit_early_advice(waiting)
        asks_early = (
            asks_early
            and scheduler.pending_advice_requests
            < EARLY_CALL_SHARE * state.max_advice_calls
        )
        renew_before_s = state.now_s + advice.base_s + RENEWAL_MARGIN_S
        total_fitting = 0
        candidates: list[tuple[int, str]] = []
        for worker in workers:
            worker_id = worker.entry.worker_id
            if step.advice_by_worker.get(worker_id) is False:
                continue
            room = state.preemptor.find_attainable_room(worker, priority, advice.base_s)
            fitting = count_fitting_tasks(room, needed)
            if step.has_valid_ticket(worker_id, state.now_s):
                # A gang also uses the workers that it has tickets for; a single task
                # would have been placed there already.
                total_fitting += fitting if task_count > 1 else 0
                if asks_early and not step.has_valid_ticket(worker_id, renew_before_s):
                    candidates.append((-fitting, worker_id))
                continue
            total_fitting += fitting
            is_granted = step.advice_by_worker.get(worker_id, False)
            if (
                fitting
                or worker_id not in step.advice_by_worker
                or (asks_early and is_granted)
            ):
                candidates.append((-fitting, worker_id))
        if (total_fitting < task_count and not asks_early) or not candidates:
            return
        candidates.sort()
        chosen = tuple(worker_id for _, worker_id in candidates[:MAX_ADVISED_WORKERS])
        duration_s = advice.call_duration_s(len(chosen))
        kept = CALLS_KEPT_FOR_CHEAP_ADVICE if duration_s >= EXPENSIVE_ADVICE_S else 0
        if scheduler.pending_advice_requests >= max(1, state.max_advice_calls - kept):
            return
        step.is_awaiting_advice = True
        scheduler.issue_order(RequestAdvice(step.name, chosen, duration_s))

    def _is_within_limit(self, step: Step, task_count: int) -> bool:
        workspace = step.job.record.workspace
        limit = self._scheduler.limit_of(workspace)
        amount = step.specification.request.times(task_count)
        return self._scheduler.usage.allows(workspace, amount, limit)


def _workers_with_tickets(
    waiting: WaitingStep, workers: list[TrackedWorker], now_s: float
) -> list[TrackedWorker]:
    """Return the workers that advice permits to run tasks of a step now."""
    if waiting.queue.advice is None:
        return workers
    return [
        worker
        for worker in workers
        if waiting.step.has_valid_ticket(worker.entry.worker_id, now_s)
    ]


def _required_headroom_share(waiting: WaitingStep) -> float:
    """Return the share of a worker that tasks of a step must leave free.

    The headroom is for bursts of urgent work on a pool that is full of work without
    checkpoints, which would lose its progress if it was stopped. Tasks with
    checkpoints, lasting tasks and tasks of priority 0 may use all of a worker.
    """
    specification = waiting.step.specification
    must_leave_headroom = (
        not specification.is_lasting and not specification.is_checkpointing
    )
    return (
        URGENT_HEADROOM_SHARE
        if waiting.queue.priority > 0 and must_leave_headroom
        else 0.0
    )


def _claim_cheapest_room(
    preemptor: Preemptor,
    workers: Iterable[TrackedWorker],
    needed: Resources,
    priority: int,
) -> tuple[TrackedWorker, list[Run]] | None:
    """Claim room where it takes the fewest preemptions; None if no worker has room."""
    best: tuple[TrackedWorker, list[Run]] | None = None
    for worker in workers:
        victims = preemptor.claim_room(worker, needed, priority)
        if victims is None:
            continue
        if best is not None and len(best[1]) <= len(victims):
            preemptor.release_room(worker, needed, victims)
            continue
        if best is not None:
            preemptor.release_room(best[0], needed, best[1])
        best = (worker, victims)
        if not victims:
            break
    return best


def _has_large_tasks(step: Step, workers: list[TrackedWorker]) -> bool:
    """Tell whether a task of a step is large for every worker that could run it."""
    charged = step.specification.charged
    return bool(workers) and all(
        charged.dominant_share(worker.entry.capacity) >= LARGE_TASK_SHARE
        for worker in workers
    )


def _workers_to_reserve(
    step: Step, workers: list[TrackedWorker], task_count: int
) -> set[str]:
    """Return the ids of the workers to reserve, preferring those that lack least room.

    Once advice was received, only workers that it granted are reserved. No worker is
    reserved for a gang whose tasks would not all fit even on empty workers.
    """
    needed = step.specification.charged
    candidates = [
        worker
        for worker in workers
        if step.advice_by_worker.get(worker.entry.worker_id, not step.advice_by_worker)
    ]
    candidates.sort(
        key=lambda worker: (needed - worker.free).dominant_share(worker.entry.capacity)
    )
    chosen: set[str] = set()
    fitting = 0
    for worker in candidates:
        if fitting >= task_count:
            break
        fitting += count_fitting_tasks(worker.entry.capacity, needed)
        chosen.add(worker.entry.worker_id)
    return chosen if fitting >= task_count or not step.specification.is_gang else set()


def _gang_checkpoint(tasks: list[Task]) -> str:
    """Return the checkpoint that all tasks of a gang resume from; empty if none."""
    return next((task.checkpoint for task in tasks if task.checkpoint), "")
