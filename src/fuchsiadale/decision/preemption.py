"""Frees resources for urgent tasks by stopping tasks that can be run again."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.work import Attempt, Priority, Task, WorkKind

MAX_SAMPLED_ATTEMPTS = 64
"""Number of youngest preemptible attempts whose workers are considered."""

HOLD_DURATION_S = 5.0
"""Seconds for which the worker of a planned preemption is held for the urgent task."""


@frozen
class Preemption:
    """Decision to stop attempts on one worker so that an urgent task fits there.

    Attributes
    ----------
    task : Task
        The urgent task.
    worker : str
        Name of the worker.
    victims : list of Attempt
        The attempts to stop.
    """

    task: Task
    worker: str
    victims: list[Attempt]


@frozen
class _WorkerHold:
    """Hold on a worker for the urgent task with a preemption planned there."""

    task_id: str
    expires_s: float


def is_preemptible(task: Task) -> bool:
    """Tell whether a task may be stopped so that an urgent one can run."""
    submission = task.submission
    return (
        submission.kind in (WorkKind.BATCH, WorkKind.GANG)
        and submission.priority is not Priority.URGENT
        and submission.idempotent
    )


class PreemptionPlanner:
    """Chooses attempts to stop, and holds their workers for the urgent tasks.

    Parameters
    ----------
    ledger : Ledger
        Ledger of the partition's workers.
    clock : Clock
        Clock that the end of a hold is measured on.
    """

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._preemptible_by_id: dict[str, Attempt] = {}
        self._stoppable_by_team: dict[str, dict[str, Attempt]] = {}
        self._hold_by_worker: dict[str, _WorkerHold] = {}
        self._worker_by_task: dict[str, str] = {}

    def add_running(self, task: Task) -> None:
        """Register a task's running attempt as the youngest, if it may be stopped."""
        attempt = task.attempt
        if attempt is None:
            return
        if is_preemptible(task):
            self._preemptible_by_id[attempt.attempt_id] = attempt
        if task.submission.idempotent and task.submission.kind is not WorkKind.REQUEST:
            team_attempts = self._stoppable_by_team.setdefault(attempt.team, {})
            team_attempts[attempt.attempt_id] = attempt

    def remove_running(self, attempt: Attempt) -> None:
        """Remove an attempt that ended."""
        self._preemptible_by_id.pop(attempt.attempt_id, None)
        team_attempts = self._stoppable_by_team.get(attempt.team)
        if team_attempts is not None:
            team_attempts.pop(attempt.attempt_id, None)
            if not team_attempts:
                del self._stoppable_by_team[attempt.team]

    def drop_hold(self, task: Task) -> None:
        """Drop the worker hold of a task that was placed or cancelled."""
        worker = self._worker_by_task.pop(task.task_id, None)
        if worker is not None:
            self._hold_by_worker.pop(worker, None)

    def stoppable_youngest_first(self, team: str) -> Iterator[Attempt]:
        """Yield the running attempts of a team that may be stopped, youngest first.

        They belong to idempotent work other than requests. They may be stopped to
        enforce a grant; for an urgent task, only preemptible ones are stopped.
        """
        yield from reversed(list(self._stoppable_by_team.get(team, {}).values()))

    def allows_placement(self, task: Task, worker: Worker) -> bool:
        """Tell whether the worker is not held for another task."""
        hold = self._hold_by_worker.get(worker.info.name)
        if hold is None or hold.task_id == task.task_id:
            return True
        return self._clock.now() >= hold.expires_s

    def plan(self, tasks: Iterable[Task]) -> list[Preemption]:
        """Return a preemption for each task that holds no worker yet, where possible.

        Parameters
        ----------
        tasks : iterable of Task
            Pending urgent tasks.
        """
        self._drop_expired_holds()
        plans: list[Preemption] = []
        for task in tasks:
            if task.task_id in self._worker_by_task:
                continue
            plan = self._plan_preemption(task)
            if plan is not None:
                self._hold_worker(plan)
                plans.append(plan)
        return plans

    def _plan_preemption(self, task: Task) -> Preemption | None:
        """Return the preemption with the fewest victims for a task, if any."""
        best: Preemption | None = None
        seen_workers: set[str] = set()
        youngest = reversed(self._preemptible_by_id.values())
        for _, attempt in zip(range(MAX_SAMPLED_ATTEMPTS), youngest, strict=False):
            if attempt.worker in seen_workers or attempt.worker in self._hold_by_worker:
                continue
            seen_workers.add(attempt.worker)
            victims = self._choose_victims(attempt.worker, task)
            if victims is None:
                continue
            if best is None or len(victims) < len(best.victims):
                best = Preemption(task, attempt.worker, victims)
        return best

    def _choose_victims(self, name: str, task: Task) -> list[Attempt] | None:
        """Return as few of a worker's youngest preemptible attempts as needed.

        Returns
        -------
        list of Attempt or None
            None if the task may not be placed on the worker, if all of them do not
            suffice or if none is needed.
        """
        worker = self._ledger.workers[name]
        if not worker.is_schedulable or name in task.failed_worker_names:
            return None
        demand = task.submission.resources
        available = worker.available
        victims: list[Attempt] = []
        for attempt in reversed(worker.attempts.values()):
            if demand.fits_in(available):
                break
            if attempt.attempt_id in self._preemptible_by_id:
                victims.append(attempt)
                available = available + attempt.resources
        return victims if victims and demand.fits_in(available) else None

    def _hold_worker(self, plan: Preemption) -> None:
        expires_s = self._clock.now() + HOLD_DURATION_S
        self._hold_by_worker[plan.worker] = _WorkerHold(plan.task.task_id, expires_s)
        self._worker_by_task[plan.task.task_id] = plan.worker

    def _drop_expired_holds(self) -> None:
        now_s = self._clock.now()
        expired = [
            name
            for name, worker_hold in self._hold_by_worker.items()
            if now_s >= worker_hold.expires_s
        ]
        for name in expired:
            hold = self._hold_by_worker.pop(name)
            self._worker_by_task.pop(hold.task_id, None)
