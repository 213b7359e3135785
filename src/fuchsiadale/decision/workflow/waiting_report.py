"""Tells why the tasks of a step still wait, for the log of decisions."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.domain_drains import DomainDrains
from fuchsiadale.decision.workflow.messages import WorkerState
from fuchsiadale.decision.workflow.ordering import WaitingStep
from fuchsiadale.decision.workflow.placement import (
    has_room,
    is_suitable,
    leaves_headroom,
)
from fuchsiadale.decision.workflow.reservations import Reservations
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.unplaced_steps import required_headroom_share

REPORT_AFTER_S = 2.0
"""Seconds without a start after which it is reported why the tasks of a step wait."""

REPORT_INTERVAL_S = 2.0
"""Seconds between two reports on the same step."""

MAX_REPORTS_PER_PLAN = 3
"""Steps that one plan reports on, so that a long queue costs no plan much time."""

MAX_LISTED_WORKERS = 16
"""Workers that a report names one by one; the others are only counted."""


DRAINED = "domain_drained"
"""Obstacle of a worker in a failure domain that is kept free."""


@define
class _Wait:
    """Since when the tasks of a step wait, and when that was last reported."""

    since_s: float
    reported_s: float


@define
class WaitingReporter:
    """Reports on steps whose tasks have waited for long.

    Parameters
    ----------
    scheduler : Scheduler
        Holds the workers and takes the reports as decisions.
    """

    _scheduler: Scheduler
    _waits: dict[str, _Wait] = Factory(dict)

    def report(
        self,
        unplaced: Iterable[tuple[WaitingStep, str]],
        reservations: Reservations,
        now_s: float,
    ) -> None:
        """Report on the steps that a plan has left waiting.

        Parameters
        ----------
        unplaced : iterable of tuple of WaitingStep and str
            Each such step with the outcome of the plan for it.
        reservations : Reservations
            The workers that the plan has reserved.
        now_s : float
            The time on the loop's clock.
        """
        waits: dict[str, _Wait] = {}
        reports = 0
        for waiting, outcome in unplaced:
            name = str(waiting.step.name)
            wait = waits[name] = self._waits.get(name) or _Wait(now_s, now_s)
            is_due = now_s - wait.reported_s >= REPORT_INTERVAL_S
            if now_s - wait.since_s < REPORT_AFTER_S or not is_due:
                continue
            if reports < MAX_REPORTS_PER_PLAN:
                reports += 1
                wait.reported_s = now_s
                self._report_step(
                    waiting, outcome, reservations, now_s, now_s - wait.since_s
                )
        self._waits = waits

    def _report_step(
        self,
        waiting: WaitingStep,
        outcome: str,
        reservations: Reservations,
        now_s: float,
        waited_s: float,
    ) -> None:
        step = waiting.step
        workers = [
            worker
            for worker in self._scheduler.workers.values()
            if worker.entry.pool == waiting.queue.pool
        ]
        obstacles = {
            worker.entry.worker_id: find_obstacle(
                waiting, worker, reservations, now_s, self._scheduler.drains
            )
            for worker in workers
        }
        counts: dict[str, int] = {}
        for obstacle in obstacles.values():
            counts[obstacle] = counts.get(obstacle, 0) + 1
        if DRAINED in counts and counts.keys() <= {DRAINED, "unsuitable", "denied"}:
            self._scheduler.record_decision(
                "step_awaits_drained_domain",
                step.job.record.job_id,
                step=str(step.name),
                failure_domains=sorted(
                    {
                        worker.entry.zone
                        for worker in workers
                        if obstacles[worker.entry.worker_id] == DRAINED
                    }
                ),
            )
        permitted = {
            worker.entry.worker_id: _describe(obstacles[worker.entry.worker_id], worker)
            for worker in workers
            if obstacles[worker.entry.worker_id] not in ("denied", "unsuitable")
        }
        workspace = step.job.record.workspace
        past_use = self._scheduler.hold_back.past_use
        limit = self._scheduler.limit_of(workspace)
        request = step.specification.request
        is_within_limit = self._scheduler.usage.allows(workspace, request, limit)
        self._scheduler.record_decision(
            "step_waits",
            step.job.record.job_id,
            step=str(step.name),
            outcome=outcome,
            waiting=len(step.waiting_tasks),
            suspects=sum(task.is_suspect for task in step.waiting_tasks.values()),
            waited_s=round(waited_s, 3),
            priority=waiting.queue.priority,
            needed=_amounts(request),
            is_infeasible=waiting.is_infeasible,
            exceeds_rate=step.job.exceeds_rate,
            hold_s=round(waiting.hold_s, 3),
            heaviness=round(past_use.heaviness_of(workspace), 3),
            is_within_limit=is_within_limit,
            is_awaiting_advice=step.is_awaiting_advice,
            held_for=reservations.list_holders(obstacles, waiting.queue.priority),
            passes_reservations=waiting.passes_reservations,
            workers=counts,
            permitted=dict(list(permitted.items())[:MAX_LISTED_WORKERS]),
        )


def find_obstacle(
    waiting: WaitingStep,
    worker: TrackedWorker,
    reservations: Reservations,
    now_s: float,
    drains: DomainDrains,
) -> str:
    """Return what kept a plan from placing tasks of a step on a worker.

    Returns
    -------
    obstacle : str
        The first of these that applies: ``unsuitable``, ``denied`` by the advice
        service, ``domain_drained``, ``drains_unknown`` if the requests to drain failure
        domains were not read lately, ``unlisted``, ``draining``, ``silent``,
        ``not_adopted``, ``unregistered``, ``unknown_runs``, ``unrecorded``,
        ``quarantined``, ``reserved``, ``isolated``, ``room``, ``headroom``,
        ``unadvised`` if the advice service was not asked, ``ticket``; or ``order`` if
        none does, so that the plan did not try, or tasks that may crash workers have
        to wait for each other.
    """
    step = waiting.step
    if not is_suitable(step, worker):
        return "unsuitable"
    worker_id = worker.entry.worker_id
    needs_advice = waiting.queue.advice is not None
    if needs_advice and step.advice_by_worker.get(worker_id) is False:
        return "denied"
    unusable = _find_defect(worker, now_s, drains)
    if unusable:
        return unusable
    if reservations.is_reserved(worker_id, waiting.queue.priority):
        return "reserved"
    if worker.isolated_for not in ("", step.name.job_id):
        return "isolated"
    if not has_room(step, worker, worker.free, 0):
        return "room"
    headroom_share = required_headroom_share(waiting)
    if headroom_share and not leaves_headroom(step, worker, headroom_share):
        return "headroom"
    if needs_advice and not step.has_valid_ticket(worker_id, now_s):
        return "ticket" if worker_id in step.advice_by_worker else "unadvised"
    return "order"


def _describe(obstacle: str, worker: TrackedWorker) -> str:
    """Return an obstacle with the free room of the worker and its number of runs."""
    return f"{obstacle}, free {_amounts(worker.free)}, {len(worker.runs)} runs"


def _amounts(resources: Resources) -> str:
    amounts = (resources.cpu_millis, resources.memory_mb, resources.accelerators)
    return "/".join(map(str, amounts))


def _find_defect(worker: TrackedWorker, now_s: float, drains: DomainDrains) -> str:
    """Return why nothing may be placed on a worker; empty if it is usable."""
    defects = {
        DRAINED: worker.entry.zone in drains.domains,
        "drains_unknown": drains.is_outdated,
        "unlisted": not worker.is_listed,
        "draining": worker.entry.state is WorkerState.DRAINING,
        "silent": worker.unresponsive_since_s is not None,
        "not_adopted": not worker.is_adopted,
        "unregistered": not worker.is_registered(now_s),
        "unknown_runs": bool(worker.unknown_job_runs),
        "unrecorded": not worker.is_recorded,
        "quarantined": worker.quarantined_until_s > now_s,
    }
    return next((name for name, is_present in defects.items() if is_present), "")
