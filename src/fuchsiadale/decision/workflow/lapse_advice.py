"""Requests advice for tasks on silent workers shortly before their leases lapse.

Such a task waits from the lapse on, and could not start before its step has a ticket.
Lasting tasks come first. Tasks that end get what the waiting steps leave.
"""

from __future__ import annotations

from fuchsiadale.decision.workflow.advice_planning import (
    EARLY_CALL_SHARE,
    FREE_ROOM_FACTOR,
    MAX_ADVISED_WORKERS,
    AdvicePlanner,
)
from fuchsiadale.decision.workflow.configuration import AdviceTiming
from fuchsiadale.decision.workflow.lapsing_steps import LapsingStep, find_lapsing_steps
from fuchsiadale.decision.workflow.ordering import is_infeasible, raised_priority
from fuchsiadale.decision.workflow.placement import count_places
from fuchsiadale.decision.workflow.preemption import Preemptor
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.usable_workers import UsablePool

LAPSE_ADVICE_MARGIN_S = 1.0
"""Seconds by which advice should arrive before the lease lapses.

Calls wait for each other if many steps lose tasks at once.
"""

MAX_MARGIN_SHARE = 0.5
"""Maximum of that margin as a share of the time for which tickets are valid."""

LAPSE_PLAN_S = 0.3
"""Seconds for which tickets must be valid after a lease has lapsed.

Lapses are found by a periodic check, and a plan follows it.
"""

MAX_PLAN_SHARE = 0.25
"""Maximum of that time as a share of the time for which tickets are valid."""


class LapseAdvicePlanner:
    """Requests advice for steps of one planning pass with tasks on silent workers.

    Parameters
    ----------
    scheduler : Scheduler
        Holds the tasks and the workers, and takes the orders.
    pools : dict of str to UsablePool
        The workers on which tasks may be placed, by pool.
    max_calls : int
        Maximum number of concurrent advice calls.
    """

    def __init__(
        self, scheduler: Scheduler, pools: dict[str, UsablePool], max_calls: int
    ) -> None:
        self._scheduler = scheduler
        self._pools = pools
        self._now_s = scheduler.clock.now()
        self._max_early_calls = EARLY_CALL_SHARE * max_calls
        # Its own preemptor, as the other one caches room for the rest of the pass.
        self._preemptor = Preemptor(scheduler.queue_of, self._now_s)
        self._planner = AdvicePlanner(scheduler, self._preemptor, max_calls)
        self._lapsing = self._find_lapsing_steps()

    def request_for_lasting_steps(self) -> None:
        """Request tickets for lasting tasks, with a share of the calls at most."""
        lasting = [item for item in self._lapsing if item.is_lasting]
        open_calls = sum(item.step.is_awaiting_advice for item in lasting)
        for lapsing in lasting:
            if open_calls >= self._max_early_calls:
                return
            open_calls += self._request(lapsing)

    def request_for_ending_steps(self) -> None:
        """Request tickets for tasks that end, if few calls are open."""
        for lapsing in self._lapsing:
            if self._scheduler.pending_advice_requests >= self._max_early_calls:
                return
            if not lapsing.is_lasting and not self._is_late(lapsing):
                self._request(lapsing)

    def _find_lapsing_steps(self) -> list[LapsingStep]:
        lead_s = max(
            (
                _lead_s(queue.advice)
                for queue in self._scheduler.configuration.queues
                if queue.advice is not None
            ),
            default=None,
        )
        if lead_s is None:
            return []
        workers = self._scheduler.workers.values()
        until_s = self._now_s + lead_s
        return find_lapsing_steps(workers, self._scheduler.queue_of, until_s)

    def _is_late(self, lapsing: LapsingStep) -> bool:
        """Tell whether waiting steps of other jobs precede a step in any case."""
        step, forecast = lapsing.step, self._scheduler.forecast()
        return step.job.exceeds_rate or is_infeasible(
            step, lapsing.queue, forecast, self._now_s
        )

    def _request(self, lapsing: LapsingStep) -> bool:
        """Request tickets if it is time; return whether a call was issued."""
        step, advice = lapsing.step, lapsing.queue.advice
        pool = self._pools.get(lapsing.queue.pool)
        if (
            advice is None
            or pool is None
            or step.is_awaiting_advice
            or self._now_s < step.next_advice_request_s
            or self._now_s < lapsing.lapses_s - _lead_s(advice)
        ):
            return False
        workers = pool.list_suitable(step)
        chosen = self._choose_workers(lapsing, advice, workers)
        return self._planner.call(step, advice, chosen)

    def _choose_workers(
        self, lapsing: LapsingStep, advice: AdviceTiming, workers: list[TrackedWorker]
    ) -> tuple[str, ...]:
        """Return the ids of the workers to name.

        Those that advice is known to permit come first, and suffice if they have ample
        room. There are none if the tickets that will be valid do.
        """
        step, queue = lapsing.step, lapsing.queue
        # A lasting task is overdue by the time that the lease has lapsed.
        priority = raised_priority(queue) if lapsing.is_lasting else queue.priority
        until_s = lapsing.lapses_s + min(LAPSE_PLAN_S, MAX_PLAN_SHARE * advice.valid_s)
        with_tickets = permitted = 0
        candidates: list[tuple[bool, int, str]] = []
        for worker in workers:
            worker_id = worker.entry.worker_id
            is_granted = step.advice_by_worker.get(worker_id)
            if is_granted is False:
                continue
            room = self._preemptor.find_attainable_room(worker, priority, advice.base_s)
            places = count_places(step, worker, room)
            if not places:
                continue
            if step.has_valid_ticket(worker_id, until_s):
                with_tickets += places
                continue
            permitted += places if is_granted else 0
            candidates.append((is_granted is None, -places, worker_id))
        if with_tickets >= lapsing.task_count:
            return ()
        if with_tickets + permitted >= FREE_ROOM_FACTOR * lapsing.task_count:
            candidates = [item for item in candidates if not item[0]]
        candidates.sort()
        return tuple(worker_id for _, _, worker_id in candidates[:MAX_ADVISED_WORKERS])


def _lead_s(advice: AdviceTiming) -> float:
    """Return how long before a lapse to request advice, in seconds."""
    margin_s = min(LAPSE_ADVICE_MARGIN_S, MAX_MARGIN_SHARE * advice.valid_s)
    return advice.call_duration_s(MAX_ADVISED_WORKERS) + margin_s
