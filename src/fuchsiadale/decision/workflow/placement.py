"""Chooses workers for single tasks and for whole gangs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.attempts import RECENT_START_S
from fuchsiadale.decision.workflow.jobs import Run, Step, Task
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.worker_speeds import Haste

EARLIER_FAILURE_PENALTY = 100.0
"""Penalty on a worker where the task failed before; outweighs all other penalties."""

EARLIER_CRASH_PENALTY = 50.0
"""Penalty on a worker that crashed under the task long after its start."""

INTERFERENCE_PENALTY = 10.0
"""Penalty where filler and serving tasks would disturb each other on a worker."""

ISOLATION_S = 2.0 * RECENT_START_S
"""Seconds for which a worker is kept free of starts for a suspect task to start there.

The starts of other jobs are no longer recent when half of it is over.
"""

LARGE_TASK_SHARE = 0.5
"""Share of a worker from which a task counts as large, so that it needs a reservation
to find room that smaller tasks would keep taking.
"""

MAX_RUNS_PER_WORKER = 4_000
"""Runs on a worker from which nothing more is placed there.

The store keeps the runs of a worker in one row, which must not outgrow its limit.
"""

MAX_UNANSWERED_STARTS = 1
"""Suspect tasks of a lasting step whose unanswered starts keep no other from starting.

More of them point to the tasks as the cause.
"""

OTHER_RACK_PENALTY = 1.0
"""Penalty outside the preferred rack; outweighs any difference in fit."""


def is_suitable(step: Step, worker: TrackedWorker) -> bool:
    """Tell whether a worker, if empty, could run a task of a step."""
    requirements = step.specification
    if (
        requirements.required_label
        and requirements.required_label not in worker.entry.labels
    ):
        return False
    return requirements.charged.fits_in(worker.entry.capacity)


def has_places(step: Step, workers: Iterable[TrackedWorker], task_count: int) -> bool:
    """Tell whether workers could run more tasks of a step if no other step used them.

    Parameters
    ----------
    step : Step
        The step, of which the workers may have runs already.
    workers : iterable of TrackedWorker
        The workers.
    task_count : int
        Number of tasks to place at once.

    Returns
    -------
    has_places : bool
        Whether they could run `task_count` more tasks.
    """
    requirements, name = step.specification, step.name
    needed = requirements.charged
    places = 0
    for worker in workers:
        fitting = task_count
        if needed != NO_RESOURCES:
            fitting = count_fitting_tasks(worker.entry.capacity, needed)
        if requirements.max_per_worker:
            running_here = worker.count_step_runs(
                name.job_id, name.occurrence, name.step
            )
            fitting = min(fitting, requirements.max_per_worker - running_here)
        places += max(fitting, 0)
        if places >= task_count:
            return True
    return False


def choose_worker(
    task: Task,
    workers: Iterable[TrackedWorker],
    headroom_share: float = 0.0,
    haste: Haste | None = None,
) -> TrackedWorker | None:
    """Return the worker that fits a task best.

    Best fit leaves whole workers free for the tasks that need one.

    Parameters
    ----------
    task : Task
        The task to place.
    workers : iterable of TrackedWorker
        The workers that may run the task.
    headroom_share : float, default=0.0
        Share of a worker's processors and memory that must stay free, unless the
        worker has no runs but lasting ones.
    haste : Haste, optional
        How much delay the task can bear.

    Returns
    -------
    best : TrackedWorker or None
        The worker; None if no worker has room and keeps the headroom.
    """
    step = task.step
    best: TrackedWorker | None = None
    best_score = float("inf")
    for worker in workers:
        if not has_room(step, worker, worker.free, 0):
            continue
        if headroom_share and not leaves_headroom(step, worker, headroom_share):
            continue
        score = _score(task, worker, haste)
        if score < best_score:
            best, best_score = worker, score
    return best


def choose_isolated_worker(
    task: Task, workers: Iterable[TrackedWorker], now_s: float, max_workers: int = 1
) -> TrackedWorker | None:
    """Return the worker on which a task that may crash workers does the least harm.

    If the worker crashes, no task of another job may have started just before, so that
    it is known which job has caused it. If there is no such worker, one is isolated, so
    that it will be. The suspect tasks of a step use a few workers at a time, and the
    next starts on one of them once the start of the one before is confirmed there. One
    that lasts does not wait for the lease of another whose start was left unanswered.

    Parameters
    ----------
    task : Task
        The task to place.
    workers : iterable of TrackedWorker
        The workers that may run the task.
    now_s : float
        The time on the event loop's clock.
    max_workers : int, default=1
        Number of workers on which suspect tasks of the step may have just started; see
        `count_suspect_workers`.

    Returns
    -------
    best : TrackedWorker or None
        The worker with the fewest runs, rather one at an address where none has
        crashed; None if no worker is fit now.
    """
    step = task.step
    job_id = step.name.job_id
    recent = [
        run
        for other in step.tasks
        if other.is_suspect
        for run in other.runs
        if run.is_recent(now_s)
    ]
    unanswered = [run for run in recent if _is_left_unanswered(run, now_s)]
    unproven = recent
    if len(unanswered) <= MAX_UNANSWERED_STARTS:
        unproven = [run for run in recent if run not in unanswered]
    unproven_on = {run.worker_id for run in unproven}
    unconfirmed_on = {run.worker_id for run in recent if run.confirmed_s is None}
    may_use_more = len(unproven_on) < max_workers
    if not may_use_more and any(run.confirmed_s is None for run in unproven):
        return None
    candidates = [
        worker
        for worker in workers
        if worker.entry.worker_id not in unconfirmed_on
        and (may_use_more or worker.entry.worker_id in unproven_on)
        and has_room(step, worker, worker.free, 0)
    ]
    crashed = task.crashes.addresses
    candidates.sort(
        key=lambda worker: (
            worker.entry.address in crashed,
            worker.entry.worker_id not in unproven_on,
            len(worker.runs),
            _score(task, worker),
        )
    )
    for worker in candidates:
        if not worker.has_recent_start(now_s, job_id):
            return worker
    shared = [worker for worker in candidates if worker.isolated_for != job_id]
    isolated_count = len(candidates) - len(shared)
    used_up = unproven_on.difference(worker.entry.worker_id for worker in candidates)
    if shared and isolated_count + len(used_up) < max_workers:
        shared[0].isolate(job_id, now_s + ISOLATION_S)
    return None


def count_suspect_workers(
    step: Step, tracked: Mapping[str, TrackedWorker], now_s: float
) -> int:
    """Return the number of workers on which suspect tasks may have just started.

    It is one after a crash, or the loss of a worker with a run of the step, and one
    more for each run that has started since and outlived its start, so that it doubles
    while no worker is lost.

    Parameters
    ----------
    step : Step
        The step.
    tracked : mapping of str to TrackedWorker
        The known workers, by id.
    now_s : float
        The time on the event loop's clock.
    """
    runs = [
        run
        for task in step.tasks
        for run in task.runs
        if not run.is_inherited and run.started_s > step.crashed_s
    ]
    workers = (tracked.get(run.worker_id) for run in runs)
    losses_s = (w.lost_s for w in workers if w is not None and w.lost_s is not None)
    since_s = max(losses_s, default=step.crashed_s)
    return 1 + sum(run.started_s > since_s and not run.is_recent(now_s) for run in runs)


def _is_left_unanswered(run: Run, now_s: float) -> bool:
    """Tell whether other suspect tasks of a run's step need no longer wait for it."""
    return (
        run.task.step.specification.is_lasting
        and run.unanswered_s is not None
        and now_s - run.unanswered_s >= RECENT_START_S
    )


def choose_gang_workers(
    tasks: list[Task],
    workers: Iterable[TrackedWorker],
    rooms: Mapping[str, Resources] | None = None,
    haste: Haste | None = None,
) -> list[tuple[Task, TrackedWorker]] | None:
    """Return a worker for each task of a gang.

    If the tasks are slow when spread over racks, each single rack is tried first.

    Parameters
    ----------
    tasks : list of Task
        All tasks of the gang.
    workers : iterable of TrackedWorker
        The workers that may run the tasks.
    rooms : mapping of str to Resources, optional
        Room that the tasks may use, by worker; all free room of the others.
    haste : Haste, optional
        How much delay the tasks can bear.

    Returns
    -------
    placements : list of tuple of Task and TrackedWorker, or None
        The tasks with their workers; None if the tasks do not all fit at once.
    """
    candidates = list(workers)
    if tasks[0].step.specification.same_rack:
        for rack in sorted({worker.rack for worker in candidates}):
            on_rack = [worker for worker in candidates if worker.rack == rack]
            placements = _place_all(tasks, on_rack, rooms or {}, haste)
            if placements is not None:
                return placements
    return _place_all(tasks, candidates, rooms or {}, haste)


def _place_all(
    tasks: list[Task],
    workers: list[TrackedWorker],
    rooms: Mapping[str, Resources],
    haste: Haste | None,
) -> list[tuple[Task, TrackedWorker]] | None:
    step = tasks[0].step
    free: dict[str, Resources] = {
        worker.entry.worker_id: rooms.get(worker.entry.worker_id, worker.free)
        for worker in workers
    }
    placed_counts: dict[str, int] = {}
    placements: list[tuple[Task, TrackedWorker]] = []
    for task in tasks:
        options = [
            worker
            for worker in workers
            if has_room(
                step,
                worker,
                free[worker.entry.worker_id],
                placed_counts.get(worker.entry.worker_id, 0),
            )
        ]
        if not options:
            return None
        worker = min(options, key=lambda option: _score(task, option, haste))
        worker_id = worker.entry.worker_id
        free[worker_id] = free[worker_id] - step.specification.charged
        placed_counts[worker_id] = placed_counts.get(worker_id, 0) + 1
        placements.append((task, worker))
    return placements


def has_room(
    step: Step, worker: TrackedWorker, free: Resources, planned_here: int
) -> bool:
    """Tell whether a task of a step may start on a worker now.

    Parameters
    ----------
    step : Step
        The step.
    worker : TrackedWorker
        The worker.
    free : Resources
        Room that is left on the worker.
    planned_here : int
        Number of tasks of the step that are to start there besides.
    """
    requirements = step.specification
    if worker.isolated_for not in ("", step.name.job_id):
        return False
    if len(worker.runs) + planned_here >= MAX_RUNS_PER_WORKER:
        return False
    if not requirements.charged.fits_in(free):
        return False
    if not requirements.max_per_worker:
        return True
    name = step.name
    running_here = worker.count_step_runs(name.job_id, name.occurrence, name.step)
    return running_here + planned_here < requirements.max_per_worker


def count_places(step: Step, worker: TrackedWorker, free: Resources) -> int:
    """Return how many tasks of a step may start on a worker with free room."""
    if not has_room(step, worker, free, 0):
        return 0
    places = count_fitting_tasks(free, step.specification.charged)
    limit = step.specification.max_per_worker
    if not limit:
        return places
    name = step.name
    running_here = worker.count_step_runs(name.job_id, name.occurrence, name.step)
    return min(places, limit - running_here)


def leaves_headroom(step: Step, worker: TrackedWorker, share: float) -> bool:
    """Tell whether a task would leave a share of a worker free.

    It need not on a worker that has only lasting runs.
    """
    if all(run.task.step.specification.is_lasting for run in worker.runs.values()):
        return True
    remaining = worker.free - step.specification.charged
    capacity = worker.entry.capacity
    return (
        remaining.cpu_millis >= share * capacity.cpu_millis
        and remaining.memory_mb >= share * capacity.memory_mb
    )


def _score(task: Task, worker: TrackedWorker, haste: Haste | None = None) -> float:
    """Return the cost of placing a task on a worker; the lowest is best."""
    requirements = task.step.specification
    remaining = worker.free - requirements.charged
    capacity = worker.entry.capacity
    score = remaining.dominant_share(capacity)
    if worker.entry.worker_id in task.failed_on:
        score += EARLIER_FAILURE_PENALTY
    if any(crash.address == worker.entry.address for crash in task.crashes.late):
        score += EARLIER_CRASH_PENALTY
    if requirements.preferred_rack and requirements.preferred_rack != worker.rack:
        score += OTHER_RACK_PENALTY
    if requirements.is_filler and any(
        _is_serving(run.task) for run in worker.runs.values()
    ):
        score += INTERFERENCE_PENALTY
    if requirements.target_s and any(
        run.task.step.specification.is_filler for run in worker.runs.values()
    ):
        score += INTERFERENCE_PENALTY
    return score + worker.failure_score + worker.speed.placement_cost(haste)


def _is_serving(task: Task) -> bool:
    return task.step.specification.target_s > 0.0


def count_fitting_tasks(free: Resources, needed: Resources) -> int:
    """Return how many tasks fit into free room; 1 if a task needs no resources."""
    # Planning calls this for each worker and step, so it builds no lists.
    count: int | None = None
    if needed.cpu_millis > 0:
        count = free.cpu_millis // needed.cpu_millis
    if needed.memory_mb > 0:
        by_memory = free.memory_mb // needed.memory_mb
        count = by_memory if count is None or by_memory < count else count
    if needed.accelerators > 0:
        by_accelerators = free.accelerators // needed.accelerators
        count = by_accelerators if count is None else min(count, by_accelerators)
    return 1 if count is None else max(0, count)
