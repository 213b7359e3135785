"""Foretells how long jobs still take and when their objectives lapse.

A job's objective is its queue's stretch times the longest chain of its work, and the
queue's slack. A step that is wider than a quarter of its pool, or than its workspace
may run at once, counts in waves.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from attrs import frozen

from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.durations import Durations
from fuchsiadale.decision.workflow.jobs import Job, Step
from fuchsiadale.decision.workflow.placement import places
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

WAVE_SHARE = 0.25
"""Share of a pool that a step may take before it counts in waves, by contract."""


@frozen
class _Outlook:
    """What lies ahead of an occurrence after some tasks of its job were done."""

    done_tasks: int
    due_s: float
    chain_s: float
    work_s: float


class Forecast:
    """Answers questions about what lies ahead, as far as is known when it is made.

    Parameters
    ----------
    durations : Durations
        What was learnt of tasks' durations.
    workers : dict of str to list of TrackedWorker
        The workers of each pool.
    limit_of : callable
        Returns the limit of a workspace.
    """

    def __init__(
        self,
        durations: Durations,
        workers: dict[str, list[TrackedWorker]],
        limit_of: Callable[[str], Resources],
    ) -> None:
        self._durations = durations
        self._workers = workers
        self._limit_of = limit_of
        self._places: dict[tuple[str, Resources], int] = {}
        self._step_s: dict[Step, float] = {}
        self._outlooks: dict[tuple[str, int], _Outlook] = {}

    def step_s(self, step: Step) -> float:
        """Return how long a task of a step takes, in seconds."""
        if step.measured_runs:
            return step.measured_runs_total_s / step.measured_runs
        known_s = self._step_s.get(step)
        if known_s is None:
            queue = step.job.record.queue
            estimated_s = step.specification.estimated_s
            known_s = self._durations.expect_s(queue, estimated_s)
            self._step_s[step] = known_s
        return known_s

    def due_s(self, job: Job, occurrence: int, queue: Queue) -> float:
        """Return when an occurrence's objective lapses, on the loop's clock."""
        return self._outlook(job, occurrence, queue).due_s

    def remaining_chain_s(self, job: Job, occurrence: int, queue: Queue) -> float:
        """Return the longest chain of work that is not done, in seconds."""
        return self._outlook(job, occurrence, queue).chain_s

    def remaining_work_s(self, job: Job, occurrence: int, queue: Queue) -> float:
        """Return the seconds for which remaining work would fill the whole pool."""
        return self._outlook(job, occurrence, queue).work_s

    def _outlook(self, job: Job, occurrence: int, queue: Queue) -> _Outlook:
        key = (job.record.job_id, occurrence)
        known = self._outlooks.get(key)
        if known is None or known.done_tasks != job.done_tasks:
            whole_s = self._longest_chain_s(job, occurrence, queue, is_whole=True)
            begin_s = job.occurrence_start_s(occurrence)
            known = _Outlook(
                job.done_tasks,
                begin_s + queue.stretch * whole_s + queue.slack_s,
                self._longest_chain_s(job, occurrence, queue, is_whole=False),
                self._work_s(job, occurrence, queue),
            )
            self._outlooks[key] = known
        return known

    def _work_s(self, job: Job, occurrence: int, queue: Queue) -> float:
        work_s = 0.0
        for step in job.occurrence_steps(occurrence):
            left = len(step.tasks) - step.done_count
            room = self._room(queue.pool, step.specification.charged)
            work_s += left * self.step_s(step) / max(room, 1)
        return work_s

    def _longest_chain_s(
        self, job: Job, occurrence: int, queue: Queue, is_whole: bool
    ) -> float:
        lengths: list[float] = []
        for step in job.occurrence_steps(occurrence):
            before = max(
                (lengths[index] for index in step.specification.after), default=0.0
            )
            own_s = 0.0
            if is_whole:
                own_s = self.step_s(step) * self._waves(step, queue)
            elif not step.is_done:
                own_s = self.step_s(step)
            lengths.append(before + own_s)
        return max(lengths, default=0.0)

    def _waves(self, step: Step, queue: Queue) -> int:
        specification = step.specification
        room = self._room(queue.pool, specification.charged)
        at_once = WAVE_SHARE * room
        limit = self._limit_of(step.job.record.workspace)
        if limit != NO_LIMIT:
            at_once = min(at_once, places(limit, specification.request))
        return ceil(specification.count / max(at_once, 1.0))

    def _room(self, pool: str, needed: Resources) -> int:
        """Return how many such tasks a pool can run at once."""
        key = (pool, needed)
        room = self._places.get(key)
        if room is None:
            room = sum(
                places(worker.entry.capacity, needed)
                for worker in self._workers.get(pool, ())
            )
            self._places[key] = room
        return room
