"""Workers that a planning pass reserves, and what may start on them nevertheless."""

from __future__ import annotations

from attrs import Factory, define, frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.durations import DurationModel
from fuchsiadale.decision.workflow.jobs import Run, Step
from fuchsiadale.decision.workflow.placement import count_fitting_tasks
from fuchsiadale.decision.workflow.preemption import estimate_remaining_s
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

LARGE_TASK_SHARE = 0.5
"""Share of a worker from which a task counts as large, so that it needs a reservation
to find room that smaller tasks would keep taking.
"""


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

    def reserve(self, worker_id: str, priority: int, needed: Resources) -> None:
        """Reserve a worker for a step, unless it is reserved already."""
        self._by_worker.setdefault(worker_id, Reservation(priority, needed))

    def block(self, worker_id: str) -> None:
        """Keep everything from a worker on which runs are stopped to make room."""
        self._by_worker[worker_id] = Reservation(-1, None)

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
        room, ready_in_s = worker.free, 0.0
        remaining = [
            (self._remaining_s(run, worker), run) for run in worker.runs.values()
        ]
        for remaining_s, run in sorted(remaining, key=lambda item: item[0]):
            if reservation.needed.fits_in(room):
                break
            room = room + run.task.step.specification.charged
            ready_in_s = remaining_s
        spare = room - reservation.needed
        specification = step.specification
        if specification.charged.fits_in(spare):
            return True
        if specification.is_lasting:
            return False
        queue = step.job.record.queue
        expected_s = self._durations.predict_s(queue, specification.estimated_s)
        return expected_s * worker.slowdown <= ready_in_s

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
