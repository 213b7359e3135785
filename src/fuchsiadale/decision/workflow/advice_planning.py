"""Decides for which steps to call the advice service and which workers to name.

A call takes time for each worker that it names, and the service answers one call of
each machine at a time. Calls are therefore made for steps whose tasks have, or can get,
room on workers that advice may still permit, and ahead of room for the first few steps
of a pool only.
"""

from __future__ import annotations

from fuchsiadale.decision.workflow.configuration import AdviceTiming
from fuchsiadale.decision.workflow.jobs import Step
from fuchsiadale.decision.workflow.messages import RequestAdvice
from fuchsiadale.decision.workflow.ordering import WaitingStep
from fuchsiadale.decision.workflow.placement import count_fitting_tasks
from fuchsiadale.decision.workflow.preemption import Preemptor
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

MAX_ADVISED_WORKERS = 30
"""Workers named in one advice call; a longer call could make jobs miss objectives."""

EXPENSIVE_ADVICE_S = 0.1
"""Duration in seconds from which an advice call counts as expensive."""

CALLS_KEPT_FOR_CHEAP_ADVICE = 2
"""Concurrent advice calls that expensive ones leave free for those of urgent steps."""

MAX_EARLY_ADVICE_STEPS = 3
"""Steps per pool that get and renew tickets before there is room for them."""

EARLY_CALL_SHARE = 0.5
"""Share of the maximum; once as many calls are open, steps without room make none."""

FREE_ROOM_FACTOR = 4
"""Multiple of a step's tasks that the named workers must have free room for.

Advice permits a third of the workers for some kinds of work. With less free room, room
that preemption or the end of runs will bring is weighed, too.
"""

RENEWAL_MARGIN_S = 0.1
"""Seconds by which a renewal should arrive before the present ticket expires."""


class AdvicePlanner:
    """Requests advice for the steps of one planning pass, in planning order.

    Parameters
    ----------
    scheduler : Scheduler
        Takes the orders.
    preemptor : Preemptor
        Tells how much room a worker can offer.
    max_calls : int
        Maximum number of concurrent advice calls.
    """

    def __init__(
        self, scheduler: Scheduler, preemptor: Preemptor, max_calls: int
    ) -> None:
        self._scheduler = scheduler
        self._preemptor = preemptor
        self._max_calls = max_calls
        self._early_steps: dict[str, int] = {}  # number by pool

    def request(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        task_count: int,
        now_s: float,
    ) -> None:
        """Request tickets for workers that have or can get room for tasks of a step.

        Parameters
        ----------
        waiting : WaitingStep
            The step; nothing happens if its queue needs no advice.
        workers : list of TrackedWorker
            The workers that could run it.
        task_count : int
            Number of tasks that need room at once.
        now_s : float
            The time on the loop's clock.
        """
        step, advice = waiting.step, waiting.queue.advice
        if (
            advice is None
            or step.is_awaiting_advice
            or now_s < step.next_advice_request_s
        ):
            return
        asks_early = self._admit_early(waiting)
        if self._scheduler.pending_advice_requests >= max(1, self._max_calls):
            return
        asks_early = (
            asks_early
            and self._scheduler.pending_advice_requests
            < EARLY_CALL_SHARE * self._max_calls
        )
        chosen = self._choose_workers(waiting, workers, task_count, asks_early, now_s)
        self.call(step, advice, chosen)

    def can_call(self, waiting: WaitingStep, now_s: float) -> bool:
        """Tell whether a call for a step could be issued now.

        Parameters
        ----------
        waiting : WaitingStep
            The step.
        now_s : float
            The time on the loop's clock.
        """
        step, advice = waiting.step, waiting.queue.advice
        if (
            advice is None
            or step.is_awaiting_advice
            or now_s < step.next_advice_request_s
        ):
            return False
        max_calls = self._max_calls_of(advice.call_duration_s(1))
        return self._scheduler.pending_advice_requests < max_calls

    def call(self, step: Step, advice: AdviceTiming, chosen: tuple[str, ...]) -> bool:
        """Name workers in a call, if there are any and few enough calls are open.

        Returns
        -------
        is_called : bool
            Whether the call was issued.
        """
        duration_s = advice.call_duration_s(len(chosen))
        max_calls = self._max_calls_of(duration_s)
        if not chosen or self._scheduler.pending_advice_requests >= max_calls:
            return False
        step.is_awaiting_advice = True
        asked_s = self._scheduler.clock.now()
        order = RequestAdvice(step.name, chosen, duration_s, asked_s)
        self._scheduler.issue_order(order)
        return True

    def _max_calls_of(self, duration_s: float) -> int:
        """Return the maximum number of calls for one of a duration in seconds."""
        kept = CALLS_KEPT_FOR_CHEAP_ADVICE if duration_s >= EXPENSIVE_ADVICE_S else 0
        return max(1, self._max_calls - kept)

    def _admit_early(self, waiting: WaitingStep) -> bool:
        """Tell whether a step is among the first of its pool in planning order.

        Steps of infeasible jobs and of jobs beyond their submission rate do not count.
        """
        if waiting.is_infeasible or waiting.step.job.exceeds_rate:
            return False
        pool = waiting.queue.pool
        self._early_steps[pool] = self._early_steps.get(pool, 0) + 1
        return self._early_steps[pool] <= MAX_EARLY_ADVICE_STEPS

    def _choose_free_workers(
        self, waiting: WaitingStep, workers: list[TrackedWorker]
    ) -> tuple[str, ...]:
        """Return the ids of workers with free room and without advice for the step.

        There are none unless they have ample room for all of its tasks.
        """
        step = waiting.step
        needed = step.specification.charged
        candidates = [
            (-fitting, worker.entry.worker_id)
            for worker in workers
            if worker.entry.worker_id not in step.advice_by_worker
            and (fitting := count_fitting_tasks(worker.free, needed))
        ]
        candidates.sort()
        chosen = candidates[:MAX_ADVISED_WORKERS]
        free_room = -sum(fitting for fitting, _ in chosen)
        if free_room < FREE_ROOM_FACTOR * len(step.waiting_tasks):
            return ()
        return tuple(worker_id for _, worker_id in chosen)

    def _choose_workers(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        task_count: int,
        asks_early: bool,
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the ids of the workers to name, those with the most room first.

        There are none if the tasks would not have room even with all tickets, unless
        the step asks ahead of room.
        """
        free_choice = self._choose_free_workers(waiting, workers)
        if free_choice:
            return free_choice
        step, advice = waiting.step, waiting.queue.advice
        assert advice is not None
        needed = step.specification.charged
        priority = None if waiting.is_infeasible else waiting.queue.priority
        renew_before_s = now_s + advice.base_s + RENEWAL_MARGIN_S
        answers, tickets = step.advice_by_worker, step.tickets
        find_attainable_room = self._preemptor.find_attainable_room
        total_fitting = 0
        candidates: list[tuple[int, str]] = []
        for worker in workers:
            worker_id = worker.entry.worker_id
            is_granted = answers.get(worker_id)
            if is_granted is False:
                continue
            room = find_attainable_room(worker, priority, advice.base_s)
            fitting = count_fitting_tasks(room, needed)
            ticket = tickets.get(worker_id)
            if ticket is not None and ticket.expires_s > now_s:
                # A gang also uses the workers that it has tickets for; a single task
                # would have been placed there already.
                total_fitting += fitting if task_count > 1 else 0
                if asks_early and ticket.expires_s <= renew_before_s:
                    candidates.append((-fitting, worker_id))
                continue
            total_fitting += fitting
            if fitting or is_granted is None or asks_early:
                candidates.append((-fitting, worker_id))
        if total_fitting < task_count and not asks_early:
            return ()
        candidates.sort()
        return tuple(worker_id for _, worker_id in candidates[:MAX_ADVISED_WORKERS])
