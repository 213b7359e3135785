"""Plans starts of waiting tasks, calls for advice and preemptions."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.jobs import Run, Step, Task
from fuchsiadale.decision.workflow.ledger import WorkerLedger
from fuchsiadale.decision.workflow.messages import AskAdvice, Order
from fuchsiadale.decision.workflow.ordering import WaitingStep, sort_waiting_steps
from fuchsiadale.decision.workflow.placement import (
    choose_gang_workers,
    choose_worker,
    count_fitting_tasks,
    is_suitable,
)
from fuchsiadale.decision.workflow.preemption import Preemptor
from fuchsiadale.decision.workflow.scheduler import Scheduler

MAX_WORKERS_PER_ADVICE_CALL = 30
"""Maximum number of workers named in one call for advice.

Each adds to the duration of the call; more would endanger the objective.
"""

MAX_RESERVING_STEPS = 1
"""Maximum number of steps per pool that reserve workers; reserved room stays idle."""

LARGE_TASK_SHARE = 0.5
"""Share of a worker from which a task finds room only if the worker is reserved."""

PREEMPTION_RESERVATION = -1
"""Priority of the reservation of a worker on which runs are preempted.

It is more urgent than every queue, so the planning pass places nothing there.
"""

EXPENSIVE_ADVICE_S = 0.1
"""Duration in seconds from which a call for advice counts as expensive."""

CALLS_KEPT_FOR_CHEAP_ADVICE = 2
"""Concurrent calls kept for advice that is not expensive, which urgent steps need."""

MAX_RENEWING_STEPS = 3
"""Steps per pool whose tickets are renewed while they still wait for room."""

RENEWAL_CALL_SHARE = 0.5
"""Share of the concurrent calls for renewals; the rest is for first calls of steps."""

RENEWAL_MARGIN_S = 0.1
"""Seconds by which a renewed ticket should arrive before it is needed."""

MAX_UNPLACED_STEPS = 24
"""Steps of a pool and priority that a plan fails to place before it skips the rest."""

URGENT_HEADROOM_SHARE = 0.15
"""Share of a worker that non-preemptible work leaves free for urgent work."""


@define
class _PlanState:
    """State of one planning pass.

    Attributes
    ----------
    now_s : float
        The time of the pass, on the loop's clock.
    max_advice_calls : int
        Maximum number of concurrent calls for advice.
    usable_workers : dict of str to list of WorkerLedger
        The workers that accept new tasks, by pool.
    preemptor : Preemptor
        Selects the runs to preempt.
    reservations : dict of str to int
        Priority of the work that a worker is reserved for, by worker.
    reserving_steps : dict of str to int
        Number of steps that have reserved workers, by pool.
    unplaced_steps : dict of tuple of str and int to int
        Number of steps that could place no task, by pool and priority.
    renewing_steps : dict of str to int
        Number of steps considered for renewal of their tickets, by pool.
    """

    now_s: float
    max_advice_calls: int
    usable_workers: dict[str, list[WorkerLedger]]
    preemptor: Preemptor
    reservations: dict[str, int] = Factory(dict)
    reserving_steps: dict[str, int] = Factory(dict)
    unplaced_steps: dict[tuple[str, int], int] = Factory(dict)
    renewing_steps: dict[str, int] = Factory(dict)

    def is_reserved_against(self, worker: WorkerLedger, priority: int) -> bool:
        """Tell whether a worker is reserved for work more urgent than `priority`."""
        return self.reservations.get(worker.entry.worker_id, priority) < priority

    def admit_ticket_renewal(self, waiting: WaitingStep) -> bool:
        """Count a step and tell whether it is one of the first feasible in its pool."""
        if waiting.is_infeasible or waiting.step.job.is_excess:
            return False
        pool = waiting.queue.pool
        self.renewing_steps[pool] = self.renewing_steps.get(pool, 0) + 1
        return self.renewing_steps[pool] <= MAX_RENEWING_STEPS


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
        """Place the waiting tasks that can start now.

        Parameters
        ----------
        max_advice_calls : int
            Maximum number of concurrent calls for advice.

        Returns
        -------
        orders : list of Order
            The orders to carry out.
        """
        scheduler = self._scheduler
        now_s = scheduler.clock.now()
        usable_workers: dict[str, list[WorkerLedger]] = {}
        for worker in scheduler.workers.values():
            if worker.is_usable(now_s):
                usable_workers.setdefault(worker.entry.pool, []).append(worker)
        preemptor = Preemptor(scheduler.queue_of, now_s)
        state = _PlanState(now_s, max_advice_calls, usable_workers, preemptor)
        steps = scheduler.live_steps.values()
        forecast = scheduler.forecast()
        for waiting in sort_waiting_steps(steps, scheduler.queue_of, forecast, now_s):
            group = (waiting.queue.pool, waiting.queue.priority)
            if state.unplaced_steps.get(group, 0) >= MAX_UNPLACED_STEPS:
                continue
            waiting_before = len(waiting.step.waiting)
            self._plan_step(waiting, state)
            if len(waiting.step.waiting) == waiting_before:
                state.unplaced_steps[group] = state.unplaced_steps.get(group, 0) + 1
        return scheduler.take_orders()

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
        self, waiting: WaitingStep, workers: list[WorkerLedger], state: _PlanState
    ) -> None:
        step = waiting.step
        allowed = _workers_with_tickets(waiting, workers, state.now_s)
        headroom_share = _required_headroom_share(waiting)
        for task in list(step.waiting.values()):
            if not self._is_within_limit(step, 1):
                return
            worker = choose_worker(task, allowed, headroom_share)
            if worker is None:
                break
            self._scheduler.place(task, worker, self._scheduler.next_run([task]))
        if not step.waiting:
            return
        if allowed and not waiting.is_infeasible:
            self._preempt_runs(waiting, allowed, len(step.waiting), state)
        if waiting.queue.advice is not None:
            self._request_advice(waiting, workers, 1, state)
        if not waiting.is_infeasible and _has_large_tasks(step, workers):
            self._reserve_workers(waiting, workers, 1, state)

    def _plan_gang(
        self, waiting: WaitingStep, workers: list[WorkerLedger], state: _PlanState
    ) -> None:
        step = waiting.step
        if len(step.waiting) < len(step.tasks):
            return
        if not self._is_within_limit(step, len(step.tasks)):
            return
        allowed = _workers_with_tickets(waiting, workers, state.now_s)
        placements = choose_gang_workers(step.tasks, allowed)
        if placements is not None:
            self._start_gang(step, placements)
            return
        if not waiting.is_infeasible:
            will_have_room = self._preempt_runs(
                waiting, allowed, len(step.tasks), state
            )
            if will_have_room:
                return
        if waiting.queue.advice is not None:
            self._request_advice(waiting, workers, len(step.tasks), state)
        self._reserve_workers(waiting, workers, len(step.tasks), state)

    def _reserve_workers(
        self,
        waiting: WaitingStep,
        workers: list[WorkerLedger],
        task_count: int,
        state: _PlanState,
    ) -> None:
        """Reserve workers for a gang or for a large task."""
        pool = waiting.queue.pool
        reserving_count = state.reserving_steps.get(pool, 0)
        if reserving_count < MAX_RESERVING_STEPS:
            state.reserving_steps[pool] = reserving_count + 1
            priority = waiting.queue.priority
            for worker_id in _select_workers_to_reserve(
                waiting.step, workers, task_count
            ):
                state.reservations.setdefault(worker_id, priority)

    def _start_gang(
        self, step: Step, placements: list[tuple[Task, WorkerLedger]]
    ) -> None:
        number = self._scheduler.next_run(step.tasks)
        checkpoint = _gang_checkpoint(step.tasks)
        for task, worker in placements:
            task.checkpoint = checkpoint
            self._scheduler.place(task, worker, number)

    def _preempt_runs(
        self,
        waiting: WaitingStep,
        allowed: list[WorkerLedger],
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
        claims: list[tuple[WorkerLedger, list[Run]]] = []
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
            state.reservations[worker.entry.worker_id] = PREEMPTION_RESERVATION
            for run in victims:
                self._scheduler.preempt(run)
        return is_complete

    def _request_advice(
        self,
        waiting: WaitingStep,
        workers: list[WorkerLedger],
        task_count: int,
        state: _PlanState,
    ) -> None:
        """Request tickets for workers that have or can get room for tasks of a step."""
        scheduler = self._scheduler
        step, advice = waiting.step, waiting.queue.advice
        if advice is None or step.is_asking or state.now_s < step.ask_not_before_s:
            return
        needed = step.specification.charged
        priority = None if waiting.is_infeasible else waiting.queue.priority
        may_renew = state.admit_ticket_renewal(waiting)
        may_renew = (
            may_renew and scheduler.asking < RENEWAL_CALL_SHARE * state.max_advice_calls
        )
        renewal_threshold_s = state.now_s + advice.base_s + RENEWAL_MARGIN_S
        total_fitting = 0
        candidates: list[tuple[int, str]] = []
        for worker in workers:
            worker_id = worker.entry.worker_id
            if step.advised.get(worker_id) is False:
                continue
            free = state.preemptor.find_attainable_room(worker, priority, advice.base_s)
            fitting = count_fitting_tasks(free, needed)
            if step.has_ticket(worker_id, state.now_s):
                total_fitting += fitting if task_count > 1 else 0
                if may_renew and not step.has_ticket(worker_id, renewal_threshold_s):
                    candidates.append((-fitting, worker_id))
                continue
            total_fitting += fitting
            is_granted = step.advised.get(worker_id, False)
            if fitting or worker_id not in step.advised or (may_renew and is_granted):
                candidates.append((-fitting, worker_id))
        if (total_fitting < task_count and not may_renew) or not candidates:
            return
        candidates.sort()
        chosen = tuple(
            worker_id for _, worker_id in candidates[:MAX_WORKERS_PER_ADVICE_CALL]
        )
        cost_s = advice.cost_s(len(chosen))
        kept_calls = CALLS_KEPT_FOR_CHEAP_ADVICE if cost_s >= EXPENSIVE_ADVICE_S else 0
        if scheduler.asking >= max(1, state.max_advice_calls - kept_calls):
            return
        step.is_asking = True
        scheduler.order(AskAdvice(step.name, chosen, cost_s))

    def _is_within_limit(self, step: Step, task_count: int) -> bool:
        workspace = step.job.record.workspace
        limit = self._scheduler.limit_of(workspace)
        amount = step.specification.request.times(task_count)
        return self._scheduler.usage.allows(workspace, amount, limit)


def _workers_with_tickets(
    waiting: WaitingStep, workers: list[WorkerLedger], now_s: float
) -> list[WorkerLedger]:
    """Return the workers that advice permits to run tasks of a step now."""
    if waiting.queue.advice is None:
        return workers
    return [
        worker
        for worker in workers
        if waiting.step.has_ticket(worker.entry.worker_id, now_s)
    ]


def _required_headroom_share(waiting: WaitingStep) -> float:
    """Return the share of a worker that tasks of a step must leave free.

    The headroom is for bursts of urgent work on a pool that is full of work without
    checkpoints, which would lose its progress if it was stopped. Tasks with checkpoints
    and tasks that run until their job is cancelled may use all of a worker.
    """
    specification = waiting.step.specification
    is_short_lived = not specification.is_lasting and not specification.is_checkpointing
    return (
        URGENT_HEADROOM_SHARE if waiting.queue.priority > 0 and is_short_lived else 0.0
    )


def _claim_cheapest_room(
    preemptor: Preemptor,
    workers: Iterable[WorkerLedger],
    needed: Resources,
    priority: int,
) -> tuple[WorkerLedger, list[Run]] | None:
    """Claim room on the worker where the fewest runs have to be preempted for it."""
    best: tuple[WorkerLedger, list[Run]] | None = None
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


def _has_large_tasks(step: Step, workers: list[WorkerLedger]) -> bool:
    """Tell whether a task of a step is large for every worker that could run it."""
    charged = step.specification.charged
    return bool(workers) and all(
        charged.dominant_share(worker.entry.capacity) >= LARGE_TASK_SHARE
        for worker in workers
    )


def _select_workers_to_reserve(
    step: Step, workers: list[WorkerLedger], task_count: int
) -> set[str]:
    """Return the workers to reserve for tasks, those that lack the least room first.

    A gang gets none if its tasks would not all fit even on empty workers.
    """
    needed = step.specification.charged
    candidates = [
        worker
        for worker in workers
        if step.advised.get(worker.entry.worker_id, not step.advised)
    ]
    candidates.sort(
        key=lambda worker: (needed - worker.free).dominant_share(worker.entry.capacity)
    )
    selected: set[str] = set()
    fitting = 0
    for worker in candidates:
        if fitting >= task_count:
            break
        fitting += count_fitting_tasks(worker.entry.capacity, needed)
        selected.add(worker.entry.worker_id)
    return (
        selected if fitting >= task_count or not step.specification.is_gang else set()
    )


def _gang_checkpoint(tasks: list[Task]) -> str:
    """Return the checkpoint that all tasks of a gang resume from; empty if none."""
    return next((task.checkpoint for task in tasks if task.checkpoint), "")
