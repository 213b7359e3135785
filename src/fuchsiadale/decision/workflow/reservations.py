"""Workers that a planning pass reserves, and what may start on them nevertheless."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from attrs import Factory, define, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.durations import DurationModel
from fuchsiadale.decision.workflow.jobs import Run, RunState, Step
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.decision.workflow.ordering import MOST_URGENT, WaitingStep
from fuchsiadale.decision.workflow.placement import (
    LARGE_TASK_SHARE,
    count_places,
    has_room,
)
from fuchsiadale.decision.workflow.preemption import estimate_remaining_s
from fuchsiadale.decision.workflow.revocable_runs import list_revocable_runs
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

BLOCKED = MOST_URGENT - 1
"""Priority of a reservation that nothing passes."""

MAX_OVERRUN = 4.0
"""Multiple of its expected duration after which the end of a run is not known."""

MIN_OVERRUN_S = 5.0
"""Age in seconds up to which the end of a run counts as known in any case."""

STOP_S = 1.0
"""Seconds that a run takes to stop."""


@frozen
class Reservation:
    """Room on a worker that is kept for a more urgent step.

    Attributes
    ----------
    priority : int
        Priority of the step; less urgent steps are kept from the worker.
    needed : Resources or None
        Room that the step needs there; None if the room is being made by stopping
        runs, so that nothing else may start there.
    starts_in_s : float
        Expected time until the step starts, in seconds.
    waiting : WaitingStep or None
        The step; None if the room is being made.
    """

    priority: int
    needed: Resources | None
    starts_in_s: float
    waiting: WaitingStep | None = None


@frozen
class _Timeline:
    """Free room on a worker as its runs end, if nothing else starts there.

    Attributes
    ----------
    ends_in_s : list of float
        Expected times until a run ends, in order; those that are not known are left
        out.
    rooms : list of Resources
        Free room now, and from each of these times on.
    """

    ends_in_s: list[float]
    rooms: list[Resources]

    def room_at(self, in_s: float) -> Resources:
        """Return the free room after some time, in seconds."""
        return self.rooms[bisect_right(self.ends_in_s, in_s)]


_TimelineKey = tuple[str, int, StepName | None]
"""A worker, the number of its runs, and the step for which some may be stopped."""


@frozen
class _Candidate:
    """A worker that may be reserved for a step.

    Attributes
    ----------
    waiting : WaitingStep
        The step.
    worker : TrackedWorker
        The worker.
    timeline : _Timeline
        Its free room as its runs end.
    """

    waiting: WaitingStep
    worker: TrackedWorker
    timeline: _Timeline

    @property
    def step(self) -> Step:
        """The step."""
        return self.waiting.step

    @property
    def lacking_share(self) -> float:
        """Share of the worker that is missing now for a task."""
        lacking = self.step.specification.charged - self.worker.free
        return lacking.dominant_share(self.worker.entry.capacity)

    def count_places(self, in_s: float, max_count: int) -> int:
        """Return how many of `max_count` tasks fit after some time, in seconds."""
        specification = self.step.specification
        room = self.timeline.room_at(in_s)
        if specification.charged == NO_RESOURCES and not specification.max_per_worker:
            return max_count if has_room(self.step, self.worker, room, 0) else 0
        return min(count_places(self.step, self.worker, room), max_count)

    def make_reservation(
        self, priority: int, starts_in_s: float, places: int
    ) -> Reservation:
        """Return a reservation of the worker for some tasks of the step."""
        needed = self.step.specification.charged.times(places)
        return Reservation(priority, needed, starts_in_s, self.waiting)


@define
class Reservations:
    """The reservations of one planning pass.

    Workers are reserved for a step up to the time at which it is expected to start.
    There is none without such a time. A less urgent task may use room on a reserved
    worker if the reserving step can start as soon as without it: the task leaves the
    room that the step needs, or ends before the step starts. This is the backfilling of
    Mu'alem and Feitelson, "Utilization, predictability, workloads, and user runtime
    estimates in scheduling the IBM SP2 with backfilling", IEEE TPDS, 2001.

    Parameters
    ----------
    durations : DurationModel
        Predicts the durations of tasks.
    now_s : float
        The time on the loop's clock.
    """

    _durations: DurationModel
    _now_s: float
    _by_worker: dict[str, Reservation] = Factory(dict)
    _timelines: dict[_TimelineKey, _Timeline] = Factory(dict)

    def block(self, worker_id: str) -> None:
        """Keep everything from a worker on which runs are stopped to make room."""
        self._by_worker[worker_id] = Reservation(BLOCKED, None, STOP_S)

    def is_reserved(self, worker_id: str, priority: int) -> bool:
        """Tell whether a worker is reserved for work more urgent than `priority`."""
        reservation = self._by_worker.get(worker_id)
        return reservation is not None and reservation.priority < priority

    def list_holders(self, pool: Iterable[str], priority: int) -> dict[str, float]:
        """Return the more urgent steps that reserve workers, and when they start.

        Parameters
        ----------
        pool : iterable of str
            Ids of the workers.
        priority : int
            Priority of the work that the workers are kept from.

        Returns
        -------
        holders : dict of str to float
            Expected time in seconds until the step starts, by its name.
        """
        held = (
            self._by_worker[worker_id]
            for worker_id in pool
            if self.is_reserved(worker_id, priority)
        )
        return {
            str(item.waiting.step.name): round(item.starts_in_s, 3)
            for item in held
            if item.waiting is not None
        }

    def split(
        self, workers: list[TrackedWorker], priority: int
    ) -> tuple[list[TrackedWorker], list[TrackedWorker]]:
        """Return the workers open to work of a priority, and those reserved."""
        if not self._by_worker:
            return workers, []
        open_workers: list[TrackedWorker] = []
        reserved: list[TrackedWorker] = []
        for worker in workers:
            is_reserved = self.is_reserved(worker.entry.worker_id, priority)
            (reserved if is_reserved else open_workers).append(worker)
        return open_workers, reserved

    def usable_room(
        self, step: Step, worker: TrackedWorker, priority: int
    ) -> Resources:
        """Return the room on a worker that tasks of a step may use now.

        Parameters
        ----------
        step : Step
            The step.
        worker : TrackedWorker
            The worker, which may be reserved.
        priority : int
            Priority with which the step uses room.

        Returns
        -------
        room : Resources
            All free room, or what is left of it without delaying the reserving step.
        """
        reservation = self._by_worker.get(worker.entry.worker_id)
        if reservation is None or reservation.priority >= priority:
            return worker.free
        if reservation.needed is None or reservation.waiting is None:
            return NO_RESOURCES
        expected_s = worker.speed.expected_s(self.expected_s(step), self._now_s)
        if expected_s <= reservation.starts_in_s:
            return worker.free
        timeline = self._find_timeline(worker, reservation.waiting)
        room = timeline.room_at(reservation.starts_in_s)
        return worker.free.minimum(room - reservation.needed)

    def usable_rooms(
        self, step: Step, workers: list[TrackedWorker], priority: int
    ) -> dict[str, Resources]:
        """Return the room that tasks of a step may use now, by id of the worker."""
        return {
            worker.entry.worker_id: self.usable_room(step, worker, priority)
            for worker in workers
        }

    def list_admitting(
        self, step: Step, reserved: list[TrackedWorker], priority: int
    ) -> list[TrackedWorker]:
        """Return the reserved workers on which a task of a step delays nothing."""
        charged = step.specification.charged
        return [
            worker
            for worker in reserved
            if charged.fits_in(worker.free)
            and charged.fits_in(self.usable_room(step, worker, priority))
        ]

    def expected_s(self, step: Step) -> float:
        """Return how long a task of a step is expected to run, in seconds."""
        specification = step.specification
        if specification.is_lasting:
            return float("inf")
        queue = step.job.record.queue
        return self._durations.predict_s(queue, specification.estimated_s)

    def reserve_earliest(
        self,
        waiting: WaitingStep,
        workers: list[TrackedWorker],
        task_count: int,
        priority: int,
    ) -> bool:
        """Reserve the workers on which tasks of a step fit at the earliest time.

        Of these workers, those that lack the least room are taken. Once advice was
        received, only workers that it granted are reserved.

        Parameters
        ----------
        waiting : WaitingStep
            The step.
        workers : list of TrackedWorker
            The workers that may be reserved.
        task_count : int
            Number of tasks that start at once.
        priority : int
            Priority of the reservations.

        Returns
        -------
        is_reserved : bool
            Whether there is such a time; False if the tasks will not fit by the ends of
            runs whose ends are known.
        """
        candidates = [
            _Candidate(waiting, worker, self._find_timeline(worker, waiting))
            for worker in workers
            if _may_reserve(waiting.step, worker)
        ]

        def is_enough(in_s: float) -> bool:
            missing = task_count
            for candidate in candidates:
                missing -= candidate.count_places(in_s, missing)
                if missing <= 0:
                    return True
            return False

        if not is_enough(float("inf")):
            return False
        times = {0.0}.union(*(item.timeline.ends_in_s for item in candidates))
        sorted_times = sorted(times)
        starts_in_s = sorted_times[bisect_left(sorted_times, True, key=is_enough)]
        candidates.sort(key=lambda candidate: candidate.lacking_share)
        missing = task_count
        for candidate in candidates:
            places = candidate.count_places(starts_in_s, missing)
            if places:
                reservation = candidate.make_reservation(priority, starts_in_s, places)
                worker_id = candidate.worker.entry.worker_id
                self._by_worker.setdefault(worker_id, reservation)
                missing -= places
            if not missing:
                break
        return True

    def _find_timeline(self, worker: TrackedWorker, waiting: WaitingStep) -> _Timeline:
        """Return the timeline of a worker for a step that may reserve it.

        It is reused until a run is added, and for other steps if none of the runs is
        revocable.
        """
        revocable: list[Run] = []
        if worker.revocable_runs:
            step, priority = waiting.step, waiting.queue.priority
            revocable = list_revocable_runs(worker, step, priority)
        name = waiting.step.name if revocable else None
        key = (worker.entry.worker_id, len(worker.runs), name)
        timeline = self._timelines.get(key)
        if timeline is None:
            ends = [
                (remaining_s, run.task.step.specification.charged)
                for run in worker.runs.values()
                if (remaining_s := self._remaining_s(run, worker, run in revocable))
                != float("inf")
            ]
            ends.sort(key=lambda item: item[0])
            rooms = [worker.free]
            for _, charged in ends:
                rooms.append(rooms[-1] + charged)
            timeline = _Timeline([remaining_s for remaining_s, _ in ends], rooms)
            self._timelines[key] = timeline
        return timeline

    def _remaining_s(
        self, run: Run, worker: TrackedWorker, is_revocable: bool
    ) -> float:
        """Return the expected time until a run ends in seconds; infinite if unknown."""
        if run.state is RunState.STOPPING or is_revocable:
            return STOP_S
        remaining_s = estimate_remaining_s(run, self._now_s)
        if remaining_s != float("inf"):
            return remaining_s
        usual_s = self.expected_s(run.task.step)
        expected_s = worker.speed.expected_s(usual_s, run.started_s)
        age_s = self._now_s - run.started_s
        if age_s > max(MAX_OVERRUN * expected_s, MIN_OVERRUN_S):
            return float("inf")
        return max(0.0, expected_s - age_s)


def has_large_tasks(step: Step, workers: list[TrackedWorker]) -> bool:
    """Tell whether a task of a step is large for every worker that could run it."""
    charged = step.specification.charged
    return bool(workers) and all(
        charged.dominant_share(worker.entry.capacity) >= LARGE_TASK_SHARE
        for worker in workers
    )


def _may_reserve(step: Step, worker: TrackedWorker) -> bool:
    """Tell whether a step could use a worker if the worker had the room."""
    answers = step.advice_by_worker
    is_granted = answers.get(worker.entry.worker_id, not answers)
    return is_granted and has_room(step, worker, worker.entry.capacity, 0)
