"""Plans which waiting tasks start, which runs to preempt and what advice to request.

The advice service says which workers may run a step and issues a ticket for each.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve

from fuchsiadale.decision.workflow.advice_planning import AdvicePlanner
from fuchsiadale.decision.workflow.jobs import Step, Task
from fuchsiadale.decision.workflow.lapse_advice import LapseAdvicePlanner
from fuchsiadale.decision.workflow.messages import Order
from fuchsiadale.decision.workflow.ordering import (
    MOST_URGENT,
    WaitingStep,
    sort_waiting_steps,
)
from fuchsiadale.decision.workflow.placement import (
    choose_gang_workers,
    choose_isolated_worker,
    choose_worker,
    count_suspect_workers,
    has_places,
)
from fuchsiadale.decision.workflow.plan_state import PlanState, count_choices
from fuchsiadale.decision.workflow.preemption import Preemptor, count_tasks_without_room
from fuchsiadale.decision.workflow.reservations import Reservations, has_large_tasks
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.unplaced_steps import (
    UnplacedSteps,
    count_placed_at_once,
    effective_headroom_share,
)
from fuchsiadale.decision.workflow.usable_workers import UsablePool, find_usable_pools
from fuchsiadale.decision.workflow.waiting_report import WaitingReporter
from fuchsiadale.decision.workflow.waiting_times import WaitingTimes

MAX_RESERVING_STEPS = 1
"""Maximum number of steps per pool that reserve workers; reserved room stays idle."""

MAX_OVERDUE_SHARE = 0.25
"""Maximum share of the workers of a pool that overdue steps reserve; at least one."""

MAX_OVERDUE_STEPS = 8
"""Maximum number of overdue steps per pool that reserve a worker in one pass."""


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
        self._waiting_times = WaitingTimes()
        self._is_cut_short = False

    @property
    def is_cut_short(self) -> bool:
        """Whether the last plan ended early, so that another has to follow at once."""
        return self._is_cut_short

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
        advice = AdvicePlanner(scheduler, preemptor, max_advice_calls)
        reservations = Reservations(scheduler.durations, now_s)
        state = PlanState(
            now_s,
            find_usable_pools(scheduler.workers.values(), now_s, scheduler.drains),
            preemptor,
            advice,
            reservations,
            UnplacedSteps(reservations, advice, now_s),
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
            if state.is_over:
                state.outcomes.append((waiting, "deferred"))
                continue
            if self._waiting_times.may_pass_reservations(waiting, pool, now_s):
                waiting = evolve(waiting, passes_reservations=True)
            if state.unplaced_steps.rule_out(waiting, pool):
                state.outcomes.append((waiting, "skipped"))
                continue
            suitable = pool.list_suitable(step)
            if not self._can_be_placed(waiting, suitable):
                state.outcomes.append((waiting, "cannot_be_placed"))
                continue
            waiting_before = len(step.waiting_tasks)
            self._plan_step(waiting, pool, suitable, state)
            if len(step.waiting_tasks) == waiting_before:
                state.unplaced_steps.add(waiting, pool)
                state.outcomes.append((waiting, "not_placed"))
        self._is_cut_short = state.is_over
        lapse_advice.request_for_ending_steps()
        unplaced = (waiting.step.name for waiting, _ in state.outcomes)
        self._waiting_times.update(unplaced, now_s)
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
        state: PlanState,
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
            self._plan_gang(waiting, workers, allowed, reserved_allowed, state)
            if step.waiting_tasks and waiting.passes_reservations:
                state.advice.request(waiting, suitable, len(step.tasks), state.now_s)
            return
        self._plan_tasks(waiting, allowed, pool, state)
        self._backfill(waiting, reserved_allowed, pool, state)
        if step.waiting_tasks and not state.is_over:
            advisable = workers
            if waiting.queue.advice is not None and reserved:
                advisable = workers + state.reservations.list_admitting(
                    step, reserved, waiting.reservation_priority
                )
            self._make_room(waiting, workers, allowed, advisable, state)

    def _plan_tasks(
        self,
        waiting: WaitingStep,
        allowed: list[TrackedWorker],
        pool: UsablePool,
        state: PlanState,
    ) -> None:
        """Place single tasks of a step on the `allowed` workers."""
        step = waiting.step
        for task in waiting.list_tasks():
            if state.is_over or not self._is_within_limit(step, 1):
                return
            worker = self._choose_worker(waiting, task, allowed, pool, state)
            if worker is not None:
                choices = count_choices(step, allowed)
                state.place(self._scheduler, task, worker, choices)
            elif not task.is_suspect:
                return

    def _backfill(
        self,
        waiting: WaitingStep,
        reserved: list[TrackedWorker],
        pool: UsablePool,
        state: PlanState,
    ) -> None:
        """Place single tasks on reserved workers, where they delay nothing if possible.

        Runs that would delay the reserving step are revocable.
        """
        step = waiting.step
        for task in waiting.list_tasks() if reserved else ():
            if state.is_over or not self._is_within_limit(step, 1):
                return
            worker = None
            if not task.is_suspect:
                priority = waiting.queue.priority
                admitting = state.reservations.list_admitting(step, reserved, priority)
                worker = self._choose_worker(waiting, task, admitting, pool, state)
            is_revocable = worker is None and waiting.passes_reservations
            if is_revocable:
                priority = waiting.reservation_priority
                admitting = state.reservations.list_admitting(step, reserved, priority)
                worker = self._choose_worker(waiting, task, admitting, pool, state)
            if worker is None and not task.is_suspect:
                return
            if worker is not None:
                choices = count_choices(step, reserved)
                state.place(self._scheduler, task, worker, choices, is_revocable)

    def _choose_worker(
        self,
        waiting: WaitingStep,
        task: Task,
        allowed: list[TrackedWorker],
        pool: UsablePool,
        state: PlanState,
    ) -> TrackedWorker | None:
        """Return the best of the allowed workers for a single task, if any is fit."""
        if not task.is_suspect:
            headroom_share = effective_headroom_share(waiting, pool)
            return choose_worker(task, allowed, headroom_share, waiting.haste)
        max_workers = 1
        if task.step.specification.is_lasting:
            tracked = self._scheduler.workers
            max_workers = count_suspect_workers(task.step, tracked, state.now_s)
        return choose_isolated_worker(task, allowed, state.now_s, max_workers)

    def _make_room(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        allowed: list[TrackedWorker],
        advisable: list[TrackedWorker],
        state: PlanState,
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
        state : PlanState
            State of the planning pass.
        """
        step = waiting.step
        without_room = count_tasks_without_room(step, waiting.list_tasks(), allowed)
        has_room = False
        if allowed and without_room:
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
        reserved: list[TrackedWorker],
        state: PlanState,
    ) -> None:
        """Place a whole gang on `allowed` workers, or also on `reserved` ones."""
        step, haste = waiting.step, waiting.haste
        placements = choose_gang_workers(step.tasks, allowed, haste=haste)
        is_revocable = False
        if placements is None and reserved:
            priority = waiting.queue.priority
            rooms = state.reservations.usable_rooms(step, reserved, priority)
            placements = choose_gang_workers(
                step.tasks, allowed + reserved, rooms, haste
            )
        if placements is None and reserved and waiting.passes_reservations:
            is_revocable = True
            priority = waiting.reservation_priority
            rooms = state.reservations.usable_rooms(step, reserved, priority)
            placements = choose_gang_workers(
                step.tasks, allowed + reserved, rooms, haste
            )
        if placements is not None:
            self._start_gang(step, placements, is_revocable)
            choices = count_choices(step, allowed + reserved)
            state.placing_work += len(placements) * choices
            return
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
        state: PlanState,
    ) -> None:
        """Reserve workers for a gang or for a large task."""
        pool = waiting.queue.pool
        reserving_count = state.reserving_steps.get(pool, 0)
        if reserving_count < MAX_RESERVING_STEPS:
            is_reserved = state.reservations.reserve_earliest(
                waiting, workers, task_count, waiting.queue.priority
            )
            state.reserving_steps[pool] = reserving_count + is_reserved

    def _reserve_for_overdue(
        self, waiting: WaitingStep, workers: list[TrackedWorker], state: PlanState
    ) -> None:
        """Reserve a worker for an overdue task, from more urgent work as well."""
        pool = waiting.queue.pool
        count = state.overdue_steps.get(pool, 0)
        pool_size = len(state.pools[pool].workers)
        if count >= min(MAX_OVERDUE_STEPS, max(1.0, MAX_OVERDUE_SHARE * pool_size)):
            return
        reserve_earliest = state.reservations.reserve_earliest
        if reserve_earliest(waiting, workers, 1, MOST_URGENT):
            state.overdue_steps[pool] = count + 1

    def _start_gang(
        self,
        step: Step,
        placements: list[tuple[Task, TrackedWorker]],
        is_revocable: bool,
    ) -> None:
        number = self._scheduler.next_run_number(step.tasks)
        checkpoint = _gang_checkpoint(step.tasks)
        for task, worker in placements:
            task.checkpoint = checkpoint
            self._scheduler.place_task(task, worker, number, is_revocable)

    def _preempt_runs(
        self,
        waiting: WaitingStep,
        allowed: list[TrackedWorker],
        task_count: int,
        state: PlanState,
    ) -> bool:
        """Preempt runs to make room for tasks of a step.

        A gang claims room for all of its tasks or for none. Work that will be late in
        any case only stops runs that use room which was reserved for it.

        Returns
        -------
        is_complete : bool
            Whether there will be room for every task.
        """
        if waiting.is_infeasible and not any(item.revocable_runs for item in allowed):
            return False
        claims = state.preemptor.claim_places(
            waiting.step,
            allowed,
            waiting.preemption_priority,
            task_count,
            only_revocable=waiting.is_infeasible,
        )
        for worker, victims in claims:
            state.reservations.block(worker.entry.worker_id)
            for run in victims:
                self._scheduler.preempt(run)
        return len(claims) == task_count

    def _is_within_limit(self, step: Step, task_count: int) -> bool:
        workspace = step.job.record.workspace
        limit = self._scheduler.limit_of(workspace)
        amount = step.specification.request.times(task_count)
        return self._scheduler.usage.allows(workspace, amount, limit)


def _gang_checkpoint(tasks: list[Task]) -> str:
    """Return the checkpoint that all tasks of a gang resume from; empty if none."""
    return next((task.checkpoint for task in tasks if task.checkpoint), "")
