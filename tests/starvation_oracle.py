"""Tells which waiting steps a plan has passed over without a reason; plain and slow."""

from __future__ import annotations

from attrs import Factory, define

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Run, Step
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

HEADROOM_PERCENT = 15
"""Share of a worker that less urgent work without checkpoints leaves free."""

MAX_IDLE_S = 3.0
"""Seconds for which a step may have nothing running on a half-free pool with room."""

STOP_S = 1.0
"""Seconds that a run takes to stop."""

MIN_RUN_AGE_S = 0.2
"""Age in seconds below which no run is stopped."""

LARGE_PERCENT = 50
"""Share of a worker from which a task may reserve one."""

NOW = -1.0
"""Time before the expected end of every run, also of one that should have ended."""


@define
class StarvationOracle:
    """Judges the state that a plan has left, with workers of one pool and no advice.

    A step may wait if it could not start, or if on each worker where it could, it
    would take room from a more urgent step that will start by a known time. The latter
    is no reason for a step that has had nothing running for `MAX_IDLE_S` while the pool
    is half-free.

    Attributes
    ----------
    scheduler : Scheduler
        Holds the tasks and the workers.
    """

    scheduler: Scheduler
    _idle_since_s: dict[str, float] = Factory(dict)

    def find_starved_steps(self) -> list[str]:
        """Return the names of the waiting steps without a reason to wait."""
        self._note_idle_steps()
        steps = [step for step in self._steps() if self._is_ready(step)]
        return [
            str(step.name)
            for step in steps
            if self._count_free_places(step, steps) >= self._needed_at_once(step)
        ]

    def find_displaced_steps(self) -> list[str]:
        """Return the names of steps that only less urgent revocable runs keep out.

        Each of them is more urgent than all others that wait.
        """
        steps = [step for step in self._steps() if self._is_ready(step)]
        return [
            str(step.name)
            for step in steps
            if all(
                other is step
                or self._queue(other).priority > self._queue(step).priority
                for other in steps
            )
            and sum(self._places_by_stops(step, item) for item in self._workers())
            >= self._needed_at_once(step)
        ]

    def _places_by_stops(self, step: Step, worker: TrackedWorker) -> int:
        now_s = self.scheduler.clock.now()
        taken = Resources()
        for run in worker.runs.values():
            if not (
                self._is_revocable(run, step, worker)
                and now_s - run.started_s >= MIN_RUN_AGE_S
            ):
                taken = taken + run.task.step.specification.charged
        return self._places(step, worker, float("inf"), taken)

    def _is_revocable(self, run: Run, step: Step, worker: TrackedWorker) -> bool:
        specification = step.specification
        charged, capacity = specification.charged, worker.entry.capacity
        is_large = any(
            100 * needed >= LARGE_PERCENT * whole
            for needed, whole in (
                (charged.cpu_millis, capacity.cpu_millis),
                (charged.memory_mb, capacity.memory_mb),
                (charged.accelerators, capacity.accelerators),
            )
        )
        return (
            run.revocable_priority is not None
            and self._queue(run.task.step).priority > self._queue(step).priority
            and (specification.is_gang or specification.is_lasting or is_large)
        )

    def _note_idle_steps(self) -> None:
        now_s = self.scheduler.clock.now()
        self._idle_since_s = {
            str(step.name): self._idle_since_s.get(str(step.name), now_s)
            for step in self._steps()
            if step.is_idle
        }

    def _has_waited_long(self, step: Step) -> bool:
        """Tell whether no reservation may keep a step from room any longer."""
        now_s = self.scheduler.clock.now()
        idle_s = now_s - self._idle_since_s.get(str(step.name), now_s)
        return idle_s >= MAX_IDLE_S and self._is_half_free()

    def _steps(self) -> list[Step]:
        return [s for s in self.scheduler.active_steps.values() if s.waiting_tasks]

    def _is_ready(self, step: Step) -> bool:
        count = self._needed_at_once(step)
        workspace = step.job.record.workspace
        amount = step.specification.request.times(count)
        limit = self.scheduler.limit_of(workspace)
        is_within = self.scheduler.usage.allows(workspace, amount, limit)
        return is_within and len(step.waiting_tasks) >= count

    def _needed_at_once(self, step: Step) -> int:
        return len(step.tasks) if step.specification.is_gang else 1

    def _count_free_places(self, step: Step, steps: list[Step]) -> int:
        urgent = [
            (other, starts_in_s)
            for other in steps
            if not self._has_waited_long(step)
            and self._queue(other).priority < self._queue(step).priority
            and (starts_in_s := self._earliest_start_s(other)) is not None
        ]
        return sum(
            self._leaves_headroom(step, worker)
            and not any(
                self._hinders(step, worker, other, starts_in_s, count)
                for other, starts_in_s in urgent
            )
            for worker in self._workers()
            for count in range(1, self._places(step, worker, NOW) + 1)
        )

    def _hinders(
        self,
        step: Step,
        worker: TrackedWorker,
        other: Step,
        starts_in_s: float,
        count: int,
    ) -> bool:
        """Tell whether tasks of a step would keep another's from room on a worker."""
        if self._duration_s(step, worker) <= starts_in_s:
            return False
        taken = step.specification.charged.times(count)
        places = self._places(other, worker, starts_in_s)
        return self._places(other, worker, starts_in_s, taken) < places

    def _earliest_start_s(self, step: Step) -> float | None:
        """Return when a step fits if nothing else starts; None if it is not known."""
        times = {
            self._remaining_s(run, worker, step)
            for worker in self._workers()
            for run in worker.runs.values()
        }
        for in_s in sorted(times | {0.0}):
            places = sum(self._places(step, item, in_s) for item in self._workers())
            if in_s != float("inf") and places >= self._needed_at_once(step):
                return in_s
        return None

    def _places(
        self,
        step: Step,
        worker: TrackedWorker,
        in_s: float,
        taken: Resources | None = None,
    ) -> int:
        """Return how many tasks of a step fit on a worker after some time."""
        specification = step.specification
        label = specification.required_label
        if label and label not in worker.entry.labels:
            return 0
        room = worker.entry.capacity - (taken or Resources())
        same = 0
        for run in worker.runs.values():
            same += run.task.step is step
            if self._remaining_s(run, worker, step) > in_s:
                room = room - run.task.step.specification.charged
        most = self._needed_at_once(step)
        if specification.max_per_worker:
            most = min(most, specification.max_per_worker - same)
        count = 0
        while count < most and specification.charged.times(count + 1).fits_in(room):
            count += 1
        return count

    def _leaves_headroom(self, step: Step, worker: TrackedWorker) -> bool:
        specification = step.specification
        is_exempt = (
            specification.is_lasting
            or specification.is_checkpointing
            or specification.is_gang
            or self._queue(step).priority == 0
        )
        runs = [run.task.step.specification for run in worker.runs.values()]
        if is_exempt or all(run.is_lasting for run in runs):
            return True
        if self._is_half_free() and len(step.waiting_tasks) == len(step.tasks):
            return True
        capacity = worker.entry.capacity
        room = capacity - specification.charged
        for run in runs:
            room = room - run.charged
        return (
            100 * room.cpu_millis >= HEADROOM_PERCENT * capacity.cpu_millis
            and 100 * room.memory_mb >= HEADROOM_PERCENT * capacity.memory_mb
        )

    def _is_half_free(self) -> bool:
        total = used = Resources()
        for worker in self._workers():
            total = total + worker.entry.capacity
            for run in worker.runs.values():
                used = used + run.task.step.specification.charged
        return used.times(2).fits_in(total)

    def _remaining_s(self, run: Run, worker: TrackedWorker, step: Step) -> float:
        """Return when a run ends, or may be stopped for a step that waits."""
        if self._is_revocable(run, step, worker):
            return STOP_S
        age_s = self.scheduler.clock.now() - run.started_s
        return max(0.0, self._duration_s(run.task.step, worker) - age_s)

    def _duration_s(self, step: Step, worker: TrackedWorker) -> float:
        specification = step.specification
        if specification.is_lasting:
            return float("inf")
        expected_s = self.scheduler.durations.predict_s(
            step.job.record.queue, specification.estimated_s
        )
        return expected_s * worker.slowdown

    def _queue(self, step: Step) -> Queue:
        queue = self.scheduler.queue_of(step.job)
        assert queue is not None
        return queue

    def _workers(self) -> list[TrackedWorker]:
        return list(self.scheduler.workers.values())
