"""Chooses workers for tasks, and for all tasks of a gang at once."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.jobs import Step, Task
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

FAILED_HERE_PENALTY = 100.0
"""Score added where the task has failed before; above every other term."""

CROWDING_PENALTY = 10.0
"""Score added where filling and serving tasks would disturb each other."""

REMOTE_PENALTY = 1.0
"""Score added outside the preferred rack; above any difference in fit."""


def is_suitable(step: Step, worker: TrackedWorker) -> bool:
    """Tell whether a worker could ever run a task of a step."""
    needed = step.specification
    if needed.required_label and needed.required_label not in worker.entry.labels:
        return False
    return needed.charged.fits_in(worker.entry.capacity)


def choose_worker(
    task: Task, workers: Iterable[TrackedWorker], kept_share: float = 0.0
) -> TrackedWorker | None:
    """Return the worker with room that fits a task best, or None.

    Best fit keeps whole workers free for tasks that need one.

    Parameters
    ----------
    task : Task
        The task.
    workers : iterable of TrackedWorker
        The workers that may run it.
    kept_share : float, default=0.0
        Share of a worker's processors and memory that has to stay free.
    """
    step = task.step
    best: TrackedWorker | None = None
    best_score = float("inf")
    for worker in workers:
        if not _has_room(step, worker, worker.free, 0):
            continue
        if kept_share and not _keeps(step, worker, kept_share):
            continue
        score = _score(task, worker)
        if score < best_score:
            best, best_score = worker, score
    return best


def choose_gang(
    tasks: list[Task], workers: Iterable[TrackedWorker]
) -> list[tuple[Task, TrackedWorker]] | None:
    """Return workers for all tasks of a gang, or None if they do not fit at once.

    Members that are slow over several racks are tried on one rack first.
    """
    candidates = list(workers)
    if tasks[0].step.specification.same_rack:
        for rack in sorted({worker.rack for worker in candidates}):
            on_rack = [worker for worker in candidates if worker.rack == rack]
            placements = _fit_all(tasks, on_rack)
            if placements is not None:
                return placements
    return _fit_all(tasks, candidates)


def _fit_all(
    tasks: list[Task], workers: list[TrackedWorker]
) -> list[tuple[Task, TrackedWorker]] | None:
    step = tasks[0].step
    free: dict[str, Resources] = {
        worker.entry.worker_id: worker.free for worker in workers
    }
    placed: dict[str, int] = {}
    placements: list[tuple[Task, TrackedWorker]] = []
    for task in tasks:
        options = [
            worker
            for worker in workers
            if _has_room(
                step,
                worker,
                free[worker.entry.worker_id],
                placed.get(worker.entry.worker_id, 0),
            )
        ]
        if not options:
            return None
        worker = min(options, key=lambda option: _score(task, option))
        worker_id = worker.entry.worker_id
        free[worker_id] = free[worker_id] - step.specification.charged
        placed[worker_id] = placed.get(worker_id, 0) + 1
        placements.append((task, worker))
    return placements


def _has_room(step: Step, worker: TrackedWorker, free: Resources, placed: int) -> bool:
    needed = step.specification
    if not needed.charged.fits_in(free):
        return False
    if not needed.max_per_worker:
        return True
    name = step.name
    present = worker.count_step_runs(name.job_id, name.occurrence, name.step)
    return present + placed < needed.max_per_worker


def _keeps(step: Step, worker: TrackedWorker, share: float) -> bool:
    if not worker.runs:
        return True
    left = worker.free - step.specification.charged
    capacity = worker.entry.capacity
    return (
        left.cpu_millis >= share * capacity.cpu_millis
        and left.memory_mb >= share * capacity.memory_mb
    )


def _score(task: Task, worker: TrackedWorker) -> float:
    needed = task.step.specification
    left = worker.free - needed.charged
    capacity = worker.entry.capacity
    score = left.dominant_share(capacity)
    if worker.entry.worker_id in task.failed_on:
        score += FAILED_HERE_PENALTY
    if needed.preferred_rack and needed.preferred_rack != worker.rack:
        score += REMOTE_PENALTY
    if needed.is_filler and any(_serves(run.task) for run in worker.runs.values()):
        score += CROWDING_PENALTY
    if needed.target_s and any(
        run.task.step.specification.is_filler for run in worker.runs.values()
    ):
        score += CROWDING_PENALTY
    return score + worker.failure_score + worker.slowdown


def _serves(task: Task) -> bool:
    return task.step.specification.target_s > 0.0


def places(free: Resources, needed: Resources) -> int:
    """Return how many tasks fit into some room."""
    counts = [
        have // need
        for have, need in (
            (free.cpu_millis, needed.cpu_millis),
            (free.memory_mb, needed.memory_mb),
            (free.accelerators, needed.accelerators),
        )
        if need > 0
    ]
    return max(0, min(counts, default=1))
