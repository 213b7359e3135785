"""Where pending tasks wait: for a time, for a takeover to settle, or for room."""

from __future__ import annotations

from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.delayed import DelayedTasks
from fuchsiadale.decision.scheduler import Scheduler
from fuchsiadale.decision.work import Task


class PendingTasks:
    """Hands pending tasks to the scheduler as soon as they may be placed.

    Parameters
    ----------
    scheduler : Scheduler
        Places tasks that wait for room alone.
    authority : Authority
        Tells whether what a former owner may have started can run again.
    clock : Clock
        The clock.
    """

    def __init__(
        self, scheduler: Scheduler, authority: Authority, clock: Clock
    ) -> None:
        self._scheduler = scheduler
        self._authority = authority
        self._clock = clock
        self._delayed = DelayedTasks()
        self._held: list[Task] = []

    def add(self, task: Task, is_held: bool) -> None:
        """Add a task.

        Parameters
        ----------
        task : Task
            The task.
        is_held : bool
            Whether an earlier owner may have started it, so that it has to wait
            until nothing can run unseen.
        """
        if is_held and not self._authority.may_rerun_unreported():
            self._held.append(task)
        elif task.eligible_at_s > self._clock.now():
            self._delayed.push(task)
        else:
            self._scheduler.add(task)

    def remove(self, task: Task) -> None:
        """Take a task out of whatever it waits in."""
        if task in self._held:
            self._held.remove(task)
        elif not self._delayed.discard(task):
            self._scheduler.remove(task)

    def release(self) -> None:
        """Hand over the tasks that need to wait for nothing but room."""
        if self._held and self._authority.may_rerun_unreported():
            for task in self._held:
                self._scheduler.add(task)
            self._held.clear()
        for task in self._delayed.pop_due(self._clock.now()):
            self._scheduler.add(task)
