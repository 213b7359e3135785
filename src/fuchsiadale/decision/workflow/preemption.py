"""Selects runs to preempt so that more urgent work gets room.

Preemption serves bursts of urgent work on a full pool. Only runs that can resume from
a checkpoint are preempted: what such a run loses is the time to restore it. Runs that
have started on reserved room are stopped for the step that reserves it, too.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Job, Run, RunState, Step, Task
from fuchsiadale.decision.workflow.placement import choose_worker, has_room
from fuchsiadale.decision.workflow.revocable_runs import list_revocable_runs
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

NEARLY_DONE_PERCENT = 85
"""Progress in percent from which a run is left to end by itself."""

MIN_RUN_AGE_S = 0.2
"""Age in seconds below which a run is not stopped.

Stopping a younger run would waste the time that it took to restore its checkpoint.
"""

MIN_EXTRAPOLATION_PERCENT = 10
"""Progress in percent from which the remaining time of a run is extrapolated."""

FULL_PERCENT = 100

Claim = tuple[TrackedWorker, list[Run]]
"""A worker on which room is claimed for a task, and the runs to preempt for it."""


class Preemptor:
    """Selects runs to preempt and tracks the room that is claimed on workers.

    Parameters
    ----------
    queue_of : callable
        Returns the queue of a job, or None if it is not known.
    now_s : float
        The time on the loop's clock.
    """

    def __init__(self, queue_of: Callable[[Job], Queue | None], now_s: float) -> None:
        self._queue_of = queue_of
        self._now_s = now_s
        self._claimed: dict[str, Resources] = {}
        self._victims: dict[str, list[Run]] = {}
        self._attainable_room_cache: dict[tuple[str, int | None, float], Resources] = {}
        self._reclaimable_room_cache: dict[tuple[str, int | None], Resources] = {}

    @property
    def claimed_workers(self) -> set[str]:
        """The ids of the workers on which room was claimed, even if released since."""
        return set(self._claimed)

    def claim_places(
        self,
        step: Step,
        workers: list[TrackedWorker],
        priority: int,
        task_count: int,
        only_revocable: bool = False,
    ) -> list[Claim]:
        """Claim room for tasks of a step where it takes the fewest preemptions.

        Workers are claimed only if room for the step is being made. A single task that
        did not start on a worker with room for it waits for something else there.

        Parameters
        ----------
        step : Step
            The step.
        workers : list of TrackedWorker
            The workers that may run it.
        priority : int
            Only runs of queues less urgent than this are preempted.
        task_count : int
            Number of tasks to claim room for.
        only_revocable : bool, default=False
            Whether to stop only runs that use room which is reserved for the step.

        Returns
        -------
        claims : list of Claim
            One for each task that there will be room for; for a gang, one for every
            task or none.
        """
        needed = step.specification.charged
        is_gang = step.specification.is_gang
        if not is_gang:
            workers = [item for item in workers if not needed.fits_in(item.free)]
        claims: list[Claim] = []
        counts: dict[str, int] = {}
        for _ in range(task_count):
            claim = self._claim_cheapest_room(
                step, workers, priority, counts, only_revocable
            )
            if claim is None:
                break
            claims.append(claim)
            worker_id = claim[0].entry.worker_id
            counts[worker_id] = counts.get(worker_id, 0) + 1
        if is_gang and not (len(claims) == task_count and _makes_room(claims)):
            for worker, victims in claims:
                self.release_room(worker, needed, victims)
            return []
        return claims

    def _claim_cheapest_room(
        self,
        step: Step,
        workers: Iterable[TrackedWorker],
        priority: int,
        counts: dict[str, int],
        only_revocable: bool,
    ) -> Claim | None:
        """Claim room for a task; None if no worker has room.

        `counts` is the number of claims for the step so far, by worker.
        """
        needed = step.specification.charged
        best: Claim | None = None
        for worker in workers:
            victims = self._claim_room(worker, step, priority, only_revocable)
            if victims is None:
                continue
            count = counts.get(worker.entry.worker_id, 0)
            is_open = has_room(step, worker, worker.entry.capacity, count)
            if not is_open or (best is not None and len(best[1]) <= len(victims)):
                self.release_room(worker, needed, victims)
                continue
            if best is not None:
                self.release_room(best[0], needed, best[1])
            best = (worker, victims)
            if not victims:
                break
        return best

    def _claim_room(
        self, worker: TrackedWorker, step: Step, priority: int, only_revocable: bool
    ) -> list[Run] | None:
        """Claim room for a task on a worker.

        Parameters
        ----------
        worker : TrackedWorker
            The worker.
        step : Step
            The step of the task.
        priority : int
            Only runs of queues less urgent than this are preempted.
        only_revocable : bool
            Whether to stop only runs that use room which is reserved for the step.

        Returns
        -------
        victims : list of Run or None
            The runs to preempt in addition to those of earlier claims; empty if enough
            room is or becomes free without them. None if preempting every run that may
            be preempted would not make enough room.
        """
        worker_id = worker.entry.worker_id
        needed = step.specification.charged
        preempting = None if only_revocable else priority
        revocable = [
            run
            for run in list_revocable_runs(worker, step, priority)
            if self._may_be_stopped(run) and run.began_s is not None
        ]
        most_room = worker.free + self._find_reclaimable_room(worker, preempting)
        for run in revocable:
            most_room = most_room + run.task.step.specification.charged
        if not needed.fits_in(most_room):
            return None
        earlier_victims = self._victims.get(worker_id, [])
        room = worker.free - self._claimed.get(worker_id, NO_RESOURCES)
        for run in worker.runs.values():
            if run.state is RunState.STOPPING or run in earlier_victims:
                room = room + run.task.step.specification.charged
        victims: list[Run] = []
        candidates = [run for run in revocable if run not in earlier_victims]
        candidates.sort(key=_stop_order)
        for run in self._list_preemptible_runs(worker, preempting, earlier_victims):
            if run not in candidates:
                candidates.append(run)
        for run in candidates:
            if needed.fits_in(room):
                break
            if _frees_scarce_resource(run, needed, room):
                room = room + run.task.step.specification.charged
                victims.append(run)
        if not needed.fits_in(room):
            return None
        claimed = self._claimed.get(worker_id, NO_RESOURCES)
        self._claimed[worker_id] = claimed + needed
        self._victims.setdefault(worker_id, []).extend(victims)
        return victims

    def _find_reclaimable_room(
        self, worker: TrackedWorker, priority: int | None
    ) -> Resources:
        """Return the room of all runs that are stopping or preemptible.

        The result is cached for the planning pass, in which no run is added to them.
        """
        key = (worker.entry.worker_id, priority)
        room = self._reclaimable_room_cache.get(key)
        if room is None:
            room = NO_RESOURCES
            for run in worker.runs.values():
                if run.state is RunState.STOPPING or self._is_preemptible(
                    run, priority
                ):
                    room = room + run.task.step.specification.charged
            self._reclaimable_room_cache[key] = room
        return room

    def find_attainable_room(
        self, worker: TrackedWorker, priority: int | None, horizon_s: float
    ) -> Resources:
        """Return the room that a worker can offer within some time.

        The result is cached for the planning pass, so tasks that the pass places later
        do not lower it.

        Parameters
        ----------
        worker : TrackedWorker
            The worker.
        priority : int or None
            Priority of the work that may preempt runs; None for no preemption.
        horizon_s : float
            Time in seconds; runs that are expected to end within it count as ended.

        Returns
        -------
        room : Resources
            Free room, plus that of runs which are stopping, preemptible or ending soon.
        """
        key = (worker.entry.worker_id, priority, horizon_s)
        cached = self._attainable_room_cache.get(key)
        if cached is not None:
            return cached
        room = worker.free - self._claimed.get(worker.entry.worker_id, NO_RESOURCES)
        for run in worker.runs.values():
            is_stopping = run.state is RunState.STOPPING
            may_preempt = self._is_preemptible(run, priority)
            ends_soon = estimate_remaining_s(run, self._now_s) <= horizon_s
            if is_stopping or may_preempt or ends_soon:
                room = room + run.task.step.specification.charged
        self._attainable_room_cache[key] = room
        return room

    def release_room(
        self, worker: TrackedWorker, needed: Resources, victims: list[Run]
    ) -> None:
        """Undo a claim, so that its room can be claimed again and no run is preempted.

        Parameters
        ----------
        worker : TrackedWorker
            The worker.
        needed : Resources
            The room that was claimed.
        victims : list of Run
            The runs that the claim chose to preempt.
        """
        worker_id = worker.entry.worker_id
        self._claimed[worker_id] = self._claimed[worker_id] - needed
        for run in victims:
            self._victims[worker_id].remove(run)

    def _list_preemptible_runs(
        self, worker: TrackedWorker, priority: int | None, earlier_victims: list[Run]
    ) -> Iterable[Run]:
        candidates = [
            run
            for run in worker.runs.values()
            if run not in earlier_victims and self._is_preemptible(run, priority)
        ]
        candidates.sort(key=_stop_order)
        return candidates

    def _is_preemptible(self, run: Run, priority: int | None) -> bool:
        """Tell whether a run may be preempted; none may by work without a priority."""
        if priority is None or not self._may_be_stopped(run):
            return False
        if run.progress_percent >= NEARLY_DONE_PERCENT:
            return False
        specification = run.task.step.specification
        if not specification.is_checkpointing or specification.is_lasting:
            return False
        if specification.is_gang:
            return False
        queue = self._queue_of(run.task.step.job)
        return queue is not None and queue.priority > priority

    def _may_be_stopped(self, run: Run) -> bool:
        is_running = run.state is RunState.RUNNING
        return is_running and self._now_s - run.started_s >= MIN_RUN_AGE_S


def estimate_remaining_s(run: Run, now_s: float) -> float:
    """Return the remaining time of a run, extrapolated from its progress.

    Parameters
    ----------
    run : Run
        The run.
    now_s : float
        The time on the loop's clock.

    Returns
    -------
    remaining_s : float
        Seconds until the run ends; infinite if it is lasting, is not confirmed or has
        made too little progress.
    """
    percent = run.progress_percent
    is_lasting = run.task.step.specification.is_lasting
    if is_lasting or percent < MIN_EXTRAPOLATION_PERCENT or run.confirmed_s is None:
        return float("inf")
    total_s = (run.last_progress_s - run.confirmed_s) * FULL_PERCENT / percent
    return max(0.0, run.confirmed_s + total_s - now_s)


def _stop_order(run: Run) -> tuple[int, float]:
    """Return a key that sorts runs with the least progress, and young ones, first."""
    return run.progress_percent, -run.started_s


def _makes_room(claims: list[Claim]) -> bool:
    """Tell whether a run is to be preempted, or is stopping, on a claimed worker."""
    return any(
        victims or any(run.state is RunState.STOPPING for run in worker.runs.values())
        for worker, victims in claims
    )


def _frees_scarce_resource(run: Run, needed: Resources, room: Resources) -> bool:
    """Tell whether stopping a run frees a resource that the task still lacks."""
    charged = run.task.step.specification.charged
    return (
        (needed.cpu_millis > room.cpu_millis and charged.cpu_millis > 0)
        or (needed.memory_mb > room.memory_mb and charged.memory_mb > 0)
        or (needed.accelerators > room.accelerators and charged.accelerators > 0)
    )


def count_tasks_without_room(
    step: Step, tasks: list[Task], workers: list[TrackedWorker]
) -> int:
    """Return the number of tasks of a step that preemption could help.

    Suspect tasks start one after another, and often wait for more than room.
    """
    if not step.has_suspects:
        return len(tasks)
    suspects = [task for task in tasks if task.is_suspect]
    count = len(tasks) - len(suspects)
    if not count and suspects and choose_worker(suspects[0], workers) is None:
        return 1
    return count
