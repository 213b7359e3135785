"""Workers that a planning pass reserves, and what may start on them nevertheless."""

from __future__ import annotations

from attrs import Factory, define, frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.durations import DurationModel
from fuchsiadale.decision.workflow.jobs import Run, Step
from fuchsiadale.decision.workflow.placement import (
    count_fitting_tasks,
    has_room,
)
from fuchsiadale.decision.workflow.preemption import estimate_remaining_s
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

LARGE_TASK_SHARE = 0.5
"""Share of a worker from which a task counts as large, so that it needs a reservation
to find room that smaller tasks would keep taking.
"""

MOST_URGENT = -1
"""Priority that precedes that of every queue."""


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
    """

    priority: int
    needed: Resources | None


@define
class Reservations:
    """The reservations of one planning pass.

    A less urgent task may use room on a reserved worker if the reserving step can start
    there as soon as without it: the task leaves the room that the step needs, or ends
    before the runs whose room the step waits for. This is the backfilling of Mu'alem
    and Feitelson, "Utilization, predictability, workloads, and user runtime estimates
    in scheduling the IBM SP2 with backfilling", IEEE TPDS, 2001.

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
    _remaining: dict[tuple[str, int], list[tuple[float, Run]]] = Factory(dict)

    def reserve(self, worker_id: str, priority: int, needed: Resources) -> None:
        """Reserve a worker for a step, unless it is reserved already."""
        self._by_worker.setdefault(worker_id, Reservation(priority, needed))

    def block(self, worker_id: str) -> None:
        """Keep everything from a worker on which runs are stopped to make room."""
        self._by_worker[worker_id] = Reservation(MOST_URGENT, None)

    def is_reserved(self, worker_id: str, priority: int) -> bool:
        """Tell whether a worker is reserved for work more urgent than `priority`."""
        reservation = self._by_worker.get(worker_id)
        return reservation is not None and reservation.priority < priority

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

    def admits(self, step: Step, worker: TrackedWorker) -> bool:
        """Tell whether a task of a step may use room on a reserved worker.

        The caller checks that the worker has the room.
        """
        reservation = self._by_worker[worker.entry.worker_id]
        if reservation.needed is None:
            return False
        room, ready_in_s = self.find_room(worker, reservation.needed)
        spare = room - reservation.needed
        specification = step.specification
        if specification.charged.fits_in(spare):
            return True
        if specification.is_lasting:
            return False
        queue = step.job.record.queue
        expected_s = self._durations.predict_s(queue, specification.estimated_s)
        return expected_s * worker.slowdown <= ready_in_s

    def find_room(
        self, worker: TrackedWorker, needed: Resources
    ) -> tuple[Resources, float]:
        """Return the room once `needed` fits on a worker, and when that is.

        Returns
        -------
        room : Resources
            Free room at that time, if nothing else starts there.
        ready_in_s : float
            Expected time until then in seconds; infinite if lasting runs are in the
            way.
        """
        room, ready_in_s = worker.free, 0.0
        for remaining_s, run in self._list_remaining(worker):
            if needed.fits_in(room):
                break
            room = room + run.task.step.specification.charged
            ready_in_s = remaining_s
        return room, ready_in_s

    def reserve_soonest(self, step: Step, workers: list[TrackedWorker]) -> bool:
        """Reserve the worker where a task of a step fits soonest, from all others.

        Once advice was received, only workers that it granted are reserved.

        Returns
        -------
        is_reserved : bool
            Whether there is such a worker; False if lasting runs are in the way on
            each of them.
        """
        needed = step.specification.charged
        best: TrackedWorker | None = None
        best_key = (float("inf"), float("inf"))
        for worker in workers:
            worker_id = worker.entry.worker_id
            if not step.advice_by_worker.get(worker_id, not step.advice_by_worker):
                continue
            if not has_room(step, worker, worker.entry.capacity, 0):
                continue
            ready_in_s = self.find_room(worker, needed)[1]
            if ready_in_s == float("inf"):
                continue
            lacking = (needed - worker.free).dominant_share(worker.entry.capacity)
            if (ready_in_s, lacking) < best_key:
                best, best_key = worker, (ready_in_s, lacking)
        if best is not None:
            self.reserve(best.entry.worker_id, MOST_URGENT, needed)
        return best is not None

    def _list_remaining(self, worker: TrackedWorker) -> list[tuple[float, Run]]:
        """Return the runs of a worker with their remaining times, in order of these.

        The list is reused until a run is added.
        """
        key = (worker.entry.worker_id, len(worker.runs))
        remaining = self._remaining.get(key)
        if remaining is None:
            remaining = [
                (self._remaining_s(run, worker), run) for run in worker.runs.values()
            ]
            remaining.sort(key=lambda item: item[0])
            self._remaining[key] = remaining
        return remaining

    def _remaining_s(self, run: Run, worker: TrackedWorker) -> float:
        """Return the expected time until a run ends, in seconds."""
        specification = run.task.step.specification
        remaining_s = estimate_remaining_s(run, self._now_s)
        if specification.is_lasting or remaining_s != float("inf"):
            return remaining_s
        queue = run.task.step.job.record.queue
        expected_s = self._durations.predict_s(queue, specification.estimated_s)
        return max(0.0, expected_s * worker.slowdown - (self._now_s - run.started_s))


def has_large_tasks(step: Step, workers: list[TrackedWorker]) -> bool:
    """Tell whether a task of a step is large for every worker that could run it."""
    charged = step.specification.charged
    return bool(workers) and all(
        charged.dominant_share(worker.entry.capacity) >= LARGE_TASK_SHARE
        for worker in workers
    )


def choose_workers_to_reserve(
    step: Step, workers: list[TrackedWorker], task_count: int
) -> list[TrackedWorker]:
    """Return the workers to reserve, preferring those that lack the least room.

    Once advice was received, only workers that it granted are reserved. No worker is
    reserved for a gang whose tasks would not all fit even on empty workers.
    """
    needed = step.specification.charged
    candidates = [
        worker
        for worker in workers
        if step.advice_by_worker.get(worker.entry.worker_id, not step.advice_by_worker)
    ]
    candidates.sort(
        key=lambda worker: (needed - worker.free).dominant_share(worker.entry.capacity)
    )
    chosen: list[TrackedWorker] = []
    fitting = 0
    for worker in candidates:
        if fitting >= task_count:
            break
        fitting += count_fitting_tasks(worker.entry.capacity, needed)
        chosen.append(worker)
    return chosen if fitting >= task_count or not step.specification.is_gang else []
