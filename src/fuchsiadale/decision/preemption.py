"""Makes room for urgent tasks by stopping tasks that can run again."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.work import Attempt, Priority, Task, WorkKind

SAMPLED_VICTIMS = 64
EARMARK_S = 5.0


@frozen
class Preemption:
    """Attempts to stop on one worker for one urgent task."""

    task: Task
    worker: str
    victims: list[Attempt]


@frozen
class _Earmark:
    task_id: str
    until_s: float


def is_preemptible(task: Task) -> bool:
    """Tell whether a task may be stopped for an urgent one."""
    submission = task.submission
    return (
        submission.kind in (WorkKind.BATCH, WorkKind.GANG)
        and submission.priority is not Priority.URGENT
        and submission.idempotent
    )


class PreemptionPlanner:
    """Chooses what to stop and keeps the freed room for who asked.

    Parameters
    ----------
    ledger : Ledger
        The partition's workers.
    clock : Clock
        The clock.
    """

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._preemptible: dict[str, Attempt] = {}
        self._stoppable: dict[str, dict[str, Attempt]] = {}
        self._earmarks: dict[str, _Earmark] = {}
        self._planned: dict[str, str] = {}

    def add_running(self, task: Task) -> None:
        """Note a started attempt; the order of calls is the order of age."""
        attempt = task.attempt
        if attempt is None:
            return
        if is_preemptible(task):
            self._preemptible[attempt.attempt_id] = attempt
        if task.submission.idempotent and task.submission.kind is not WorkKind.REQUEST:
            of_team = self._stoppable.setdefault(attempt.team, {})
            of_team[attempt.attempt_id] = attempt

    def remove_running(self, attempt: Attempt) -> None:
        """Forget an attempt."""
        self._preemptible.pop(attempt.attempt_id, None)
        of_team = self._stoppable.get(attempt.team)
        if of_team is not None:
            of_team.pop(attempt.attempt_id, None)
            if not of_team:
                del self._stoppable[attempt.team]

    def drop_hold(self, task: Task) -> None:
        """Drop the earmark of a task that was placed or cancelled."""
        worker = self._planned.pop(task.task_id, None)
        if worker is not None:
            self._earmarks.pop(worker, None)

    def stoppable_youngest_first(self, team: str) -> Iterator[Attempt]:
        """Yield a team's attempts that may be stopped, youngest first."""
        yield from reversed(list(self._stoppable.get(team, {}).values()))

    def allows_placement(self, task: Task, worker: Worker) -> bool:
        """Tell whether no other task has the worker earmarked."""
        earmark = self._earmarks.get(worker.info.name)
        if earmark is None or earmark.task_id == task.task_id:
            return True
        return self._clock.now() >= earmark.until_s

    def plan(self, tasks: Iterable[Task]) -> list[Preemption]:
        """Return what to stop for each task that has no live plan yet."""
        self._expire()
        plans: list[Preemption] = []
        for task in tasks:
            if task.task_id in self._planned:
                continue
            plan = self._plan_one(task)
            if plan is not None:
                self._earmark(plan)
                plans.append(plan)
        return plans

    def _plan_one(self, task: Task) -> Preemption | None:
        best: Preemption | None = None
        seen: set[str] = set()
        youngest = reversed(self._preemptible.values())
        for _, attempt in zip(range(SAMPLED_VICTIMS), youngest, strict=False):
            if attempt.worker in seen or attempt.worker in self._earmarks:
                continue
            seen.add(attempt.worker)
            victims = self._victims_on(attempt.worker, task)
            if victims is None:
                continue
            if best is None or len(victims) < len(best.victims):
                best = Preemption(task, attempt.worker, victims)
        return best

    def _victims_on(self, name: str, task: Task) -> list[Attempt] | None:
        """Return the fewest youngest attempts whose end makes room, if any do."""
        worker = self._ledger.workers[name]
        if not worker.is_schedulable or name in task.failed_worker_names:
            return None
        need = task.submission.resources
        room = worker.available
        victims: list[Attempt] = []
        for attempt in reversed(worker.attempts.values()):
            if need.fits_in(room):
                break
            if attempt.attempt_id in self._preemptible:
                victims.append(attempt)
                room = room + attempt.resources
        return victims if victims and need.fits_in(room) else None

    def _earmark(self, plan: Preemption) -> None:
        until_s = self._clock.now() + EARMARK_S
        self._earmarks[plan.worker] = _Earmark(plan.task.task_id, until_s)
        self._planned[plan.task.task_id] = plan.worker

    def _expire(self) -> None:
        now_s = self._clock.now()
        expired = [
            name for name, mark in self._earmarks.items() if now_s >= mark.until_s
        ]
        for name in expired:
            earmark = self._earmarks.pop(name)
            self._planned.pop(earmark.task_id, None)
