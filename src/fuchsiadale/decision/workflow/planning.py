"""Plans which waiting tasks start, which runs to preempt and what advice to request.

The advice service says which workers may run a step and issues a ticket for each.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.advice_planning import AdvicePlanner
from fuchsiadale.decision.workflow.jobs import Run, Step, Task
from fuchsiadale.decision.workflow.lapse_advice import LapseAdvicePlanner
from fuchsiadale.decision.workflow.messages import Order
from fuchsiadale.decision.workflow.ordering import WaitingStep, sort_waiting_steps
from fuchsiadale.decision.workflow.placement import (
    choose_gang_workers,
    choose_isolated_worker,
    choose_worker,
    count_fitting_tasks,
    count_suspect_workers,
    has_places,
)
from fuchsiadale.decision.workflow.preemption import Preemptor
from fuchsiadale.decision.workflow.reservations import (
    Reservations,
    choose_workers_to_reserve,
    has_large_tasks,
)
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.unplaced_steps import (
    UnplacedSteps,
    count_placed_at_once,
    required_headroom_share,
)
from fuchsiadale.decision.workflow.usable_workers import UsablePool, find_usable_pools
from fuchsiadale.decision.workflow.waiting_report import WaitingReporter

MAX_RESERVING_STEPS = 1
"""Maximum number of steps per pool that reserve workers; reserved room stays idle."""

MAX_OVERDUE_SHARE = 0.25
"""Maximum share of the workers of a pool that overdue steps reserve; at least one."""

MAX_OVERDUE_STEPS = 8
"""Maximum number of overdue steps per pool that reserve a worker in one pass."""


@define
class _PlanState:
    """State of one planning pass."""

    now_s: float
    pools: dict[str, UsablePool]
    preemptor: Preemptor
    advice: AdvicePlanner
    reservations: Reservations
    reserving_steps: dict[str, int] = Factory(dict)  # number by pool
    overdue_steps: dict[str, int] = Factory(dict)  # number that reserve, by pool
    unplaced_steps: UnplacedSteps = Factory(UnplacedSteps)
    outcomes: list[tuple[WaitingStep, str]] = Factory(list)  # of unplaced steps


class Planner:
    """Starts waiting tasks in order, as far as room, limits and tickets allow.

    Parameters
    ----------
    scheduler : Scheduler
        Holds the tasks and the workers, and takes the orders.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._reporter = WaitingReporter(scheduler)

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
        preemptor = Preemptor(scheduler.queue_of, now_s)
        state = _PlanState(
            now_s,
            find_usable_pools(scheduler.workers.values(), now_s, scheduler.drains),
            preemptor,
            AdvicePlanner(scheduler, preemptor, max_advice_calls),
            Reservations(scheduler.durations, now_s),
        )
        lapse_advice = LapseAdvicePlanner(scheduler, state.pools, max_advice_calls)
        lapse_advice.request_for_lasting_steps()
        steps = scheduler.active_steps.values()
        forecast = scheduler.forecast()
        for waiting in sort_waiting_steps(
            steps, scheduler.queue_of, forecast, now_s, scheduler.hold_back
        ):
            step = waiting.step
            pool = state.pools.get(waiting.queue.pool)
            if pool is None:
                state.outcomes.append((waiting, "no_usable_worker"))
                continue
            if not state.unplaced_steps.rule_out(waiting):
                suitable = pool.list_suitable(step)
            elif pool.has_room_with_advice(step):
                suitable = pool.list_granted(step)
            else:
                state.outcomes.append((waiting, "skipped"))
                continue
            if not self._can_be_placed(waiting, suitable):
                state.outcomes.append((waiting, "cannot_be_placed"))
                continue
            waiting_before = len(step.waiting_tasks)
            self._plan_step(waiting, pool, suitable, state)
            if len(step.waiting_tasks) == waiting_before:
                state.unplaced_steps.add(waiting)
                state.outcomes.append((waiting, "not_placed"))
        lapse_advice.request_for_ending_steps()
        self._reporter.report(state.outcomes, state.reservations, now_s)
        return scheduler.pop_orders()

    def _can_be_placed(
        self, waiting: WaitingStep, suitable: list[TrackedWorker]
    ) -> bool:
        """Tell whether a step could start if no other step used the workers.

        A step that could not must not use up the attempts of a plan, since there may be
        room for the steps behind it.
        """
        step = waiting.step
        task_count = count_placed_at_once(step)
        if len(step.waiting_tasks) < task_count:
            return False
        if not self._is_within_limit(step, task_count):
            return False
        permitted: Iterable[TrackedWorker] = suitable
        if waiting.queue.advice is not None:
            answers = step.advice_by_worker
            permitted = (
                worker
                for worker in suitable
                if answers.get(worker.entry.worker_id, True)
            )
        return has_places(step, permitted, task_count)

    def _plan_step(
        self,
        waiting: WaitingStep,
        pool: UsablePool,
        suitable: list[TrackedWorker],
        state: _PlanState,
    ) -> None:
        """Place a step that can be placed, or make room for it."""
        step = waiting.step
        priority = waiting.queue.priority
        workers, reserved = state.reservations.split(suitable, priority)
        allowed, reserved_allowed = workers, reserved
        if waiting.queue.advice is not None:
            permitted = pool.list_with_tickets(step, state.now_s)
            allowed, reserved_allowed = state.reservations.split(permitted, priority)
        if step.specification.is_gang:
            self._plan_gang(waiting, workers, allowed, state)
            return
        self._plan_tasks(waiting, allowed, pool)
        self._backfill(waiting, reserved_allowed, state)
        if step.waiting_tasks:
            advisable = workers
            if waiting.queue.advice is not None and reserved:
                admits = state.reservations.admits
                advisable = workers + [item for item in reserved if admits(step, item)]
            self._make_room(waiting, workers, allowed, advisable, state)

    def _plan_tasks(
        self, waiting: WaitingStep, allowed: list[TrackedWorker], pool: UsablePool
    ) -> None:
        """Place single tasks of a step on the `allowed` workers."""
        step = waiting.step
        headroom_share = required_headroom_share(waiting)
        now_s = self._scheduler.clock.now()
        max_workers = 1
        if step.has_suspects and step.specification.is_lasting:
            tracked = self._scheduler.workers
            max_workers = count_suspect_workers(step, tracked, now_s)
        for task in waiting.list_tasks():
            if not self._is_within_limit(step, 1):
                return
            if task.is_suspect:
                worker = choose_isolated_worker(task, allowed, now_s, max_workers)
                if worker is None:
                    continue
            else:
                # On a half-free pool, no headroom may keep a step from all service.
                is_excepted = pool.is_half_free and step.is_idle
                share = 0.0 if is_excepted else headroom_share
                worker = choose_worker(task, allowed, share)
            if worker is None:
                break
            self._scheduler.place_task(
                task, worker, self._scheduler.next_run_number([task])
            )

    def _backfill(
        self, waiting: WaitingStep, reserved: list[TrackedWorker], state: _PlanState
    ) -> None:
        """Place single tasks on reserved workers where they delay nothing."""
        step = waiting.step
        headroom_share = required_headroom_share(waiting)
        for task in waiting.list_tasks() if reserved else ():
            if task.is_suspect or not self._is_within_limit(step, 1):
                return
            admitting = (
                worker for worker in reserved if state.reservations.admits(step, worker)
            )
            worker = choose_worker(task, admitting, headroom_share)
            if worker is None:
                return
            self._scheduler.place_task(
                task, worker, self._scheduler.next_run_number([task])
            )

    def _make_room(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        allowed: list[TrackedWorker],
        advisable: list[TrackedWorker],
        state: _PlanState,
    ) -> None:
        """Preempt runs, request advice and reserve a worker for waiting single tasks.

        Parameters
        ----------
        waiting : WaitingStep
            The step.
        workers : list of TrackedWorker
            The suitable workers that are not reserved for more urgent work.
        allowed : list of TrackedWorker
            Those of them that the step has tickets for, or all if it needs none.
        advisable : list of TrackedWorker
            The workers to request tickets for.
        state : _PlanState
            State of the planning pass.
        """
        step = waiting.step
        without_room = _count_tasks_without_room(waiting, allowed)
        has_room = False
        if allowed and without_room and not waiting.is_infeasible:
            has_room = self._preempt_runs(waiting, allowed, without_room, state)
        state.advice.request(waiting, advisable, 1, state.now_s)
        if waiting.is_overdue:
            if without_room and not has_room:
                self._reserve_for_overdue(waiting, workers, state)
        elif not waiting.is_infeasible and has_large_tasks(step, workers):
            self._reserve_workers(waiting, workers, 1, state)

    def _plan_gang(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        allowed: list[TrackedWorker],
        state: _PlanState,
    ) -> None:
        """Place a whole gang on the `allowed` ones of the suitable `workers`."""
        step = waiting.step
        placements = choose_gang_workers(step.tasks, allowed)
        if placements is not None:
            self._start_gang(step, placements)
            return
        if not waiting.is_infeasible:
            has_room = self._preempt_runs(waiting, allowed, len(step.tasks), state)
            if has_room:
                return
        state.advice.request(waiting, workers, len(step.tasks), state.now_s)
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
            needed = waiting.step.specification.charged
            for worker in choose_workers_to_reserve(waiting.step, workers, task_count):
                fitting = count_fitting_tasks(worker.entry.capacity, needed)
                state.reservations.reserve(
                    worker.entry.worker_id,
                    priority,
                    needed.times(min(fitting, task_count)),
                )

    def _reserve_for_overdue(
        self, waiting: WaitingStep, workers: list[TrackedWorker], state: _PlanState
    ) -> None:
        """Reserve a worker for an overdue task, from more urgent work as well."""
        pool = waiting.queue.pool
        count = state.overdue_steps.get(pool, 0)
        pool_size = len(state.pools[pool].workers)
        if count >= min(MAX_OVERDUE_STEPS, max(1.0, MAX_OVERDUE_SHARE * pool_size)):
            return
        if state.reservations.reserve_soonest(waiting.step, workers):
            state.overdue_steps[pool] = count + 1

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
        """Preempt runs to make room for tasks of a step.

        A gang claims room for all of its tasks or for none.

        Returns
        -------
        is_complete : bool
            Whether there will be room for every task.
        """
        step = waiting.step
        needed = step.specification.charged
        priority = waiting.preemption_priority
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
            state.reservations.block(worker.entry.worker_id)
            for run in victims:
                self._scheduler.preempt(run)
        return is_complete

    def _is_within_limit(self, step: Step, task_count: int) -> bool:
        workspace = step.job.record.workspace
        limit = self._scheduler.limit_of(workspace)
        amount = step.specification.request.times(task_count)
        return self._scheduler.usage.allows(workspace, amount, limit)


def _count_tasks_without_room(
    waiting: WaitingStep, workers: list[TrackedWorker]
) -> int:
    """Return the number of waiting tasks that preemption could help.

    Suspect tasks start one after another, and often wait for more than room.
    """
    tasks = waiting.list_tasks()
    if not waiting.step.has_suspects:
        return len(tasks)
    suspects = [task for task in tasks if task.is_suspect]
    count = len(tasks) - len(suspects)
    if not count and suspects and choose_worker(suspects[0], workers) is None:
        return 1
    return count


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


def _gang_checkpoint(tasks: list[Task]) -> str:
    """Return the checkpoint that all tasks of a gang resume from; empty if none."""
    return next((task.checkpoint for task in tasks if task.checkpoint), "")
