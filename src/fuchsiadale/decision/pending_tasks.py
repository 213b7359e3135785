"""Pending tasks, from their submission or retry until the scheduler takes them."""

from __future__ import annotations

from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.delayed import DelayedTasks
from fuchsiadale.decision.scheduler import Scheduler
from fuchsiadale.decision.work import Task


class PendingTasks:
    """Hands each pending task to the scheduler as soon as it may be placed.

    A task waits until a retry delay has passed, or until no attempt of a former owner
    can still be running it.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler that places the tasks.
    authority : Authority
        Tells whether tasks that a former owner may have started can be run again.
    clock : Clock
        Clock that retry delays are measured on.
    """

    def __init__(
        self, scheduler: Scheduler, authority: Authority, clock: Clock
    ) -> None:
        self._scheduler = scheduler
        self._authority = authority
        self._clock = clock
        self._delayed = DelayedTasks()
        self._possibly_running: list[Task] = []

    def add(self, task: Task, may_be_running: bool) -> None:
        """Add a pending task.

        Parameters
        ----------
        task : Task
            The task.
        may_be_running : bool
            Whether a former owner may have started it, so that it has to wait until
            the authority allows such tasks to be run again. Tasks that are not
            idempotent never wait: without a record they have not been started.
        """
        is_held = may_be_running and task.submission.idempotent
        if is_held and not self._authority.may_rerun_unreported():
            self._possibly_running.append(task)
        elif task.eligible_at_s > self._clock.now():
            self._delayed.push(task)
        else:
            self._scheduler.add(task)

    def remove(self, task: Task) -> None:
        """Remove a pending task, also if the scheduler already has it."""
        if task in self._possibly_running:
            self._possibly_running.remove(task)
        elif not self._delayed.discard(task):
            self._scheduler.remove(task)

    def release_ready(self) -> None:
        """Hand the tasks that may be placed now to the scheduler."""
        if self._possibly_running and self._authority.may_rerun_unreported():
            for task in self._possibly_running:
                self._scheduler.add(task)
            self._possibly_running.clear()
        for task in self._delayed.pop_due(self._clock.now()):
            self._scheduler.add(task)
