"""Chooses runs to stop so that more urgent work finds room.

Answers a burst of urgent work on a full pool. Only runs that resume from a checkpoint
are stopped: what they lose is the time to restore it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Job, Run, RunState
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

NEARLY_DONE_PERCENT = 85
"""Progress from which a run is left to end by itself."""

MIN_RUN_S = 0.2
"""Age below which a run is not stopped: it would only pay for its restore."""


MIN_TRUSTED_PERCENT = 10
"""Progress from which a run's end is foretold."""

FULL_PERCENT = 100


class RoomMaker:
    """Finds room on workers, counting what ends there soon.

    Parameters
    ----------
    queue_of : callable
        Returns a job's queue.
    now_s : float
        The time on the loop's clock.
    """

    def __init__(self, queue_of: Callable[[Job], Queue | None], now_s: float) -> None:
        self._queue_of = queue_of
        self._now_s = now_s
        self._claimed: dict[str, Resources] = {}
        self._victims: dict[str, list[Run]] = {}
        self._reachable: dict[tuple[str, int | None, float], Resources] = {}

    @property
    def claimed_workers(self) -> set[str]:
        """Workers on which room is being made."""
        return set(self._claimed)

    def claim(
        self, worker: TrackedWorker, needed: Resources, priority: int
    ) -> list[Run] | None:
        """Claim room for a task on a worker.

        Returns
        -------
        victims : list of Run or None
            Further runs to stop, none if enough ends already; None if stopping
            everything that may be stopped would not make room.
        """
        worker_id = worker.entry.worker_id
        chosen = self._victims.get(worker_id, [])
        room = worker.free - self._claimed.get(worker_id, NO_RESOURCES)
        for run in worker.runs.values():
            if run.state is RunState.STOPPING or run in chosen:
                room = room + run.task.step.specification.charged
        victims: list[Run] = []
        for run in self._candidates(worker, priority, chosen):
            if needed.fits_in(room):
                break
            if _helps(run, needed, room):
                room = room + run.task.step.specification.charged
                victims.append(run)
        if not needed.fits_in(room):
            return None
        claimed = self._claimed.get(worker_id, NO_RESOURCES)
        self._claimed[worker_id] = claimed + needed
        self._victims.setdefault(worker_id, []).extend(victims)
        return victims

    def reachable(
        self, worker: TrackedWorker, priority: int | None, horizon_s: float
    ) -> Resources:
        """Return the room that a worker can have within some time.

        It is worked out once a plan and not lowered by what the plan places.

        Parameters
        ----------
        worker : TrackedWorker
            The worker.
        priority : int or None
            Whose sake runs may be stopped for; None to stop none.
        horizon_s : float
            Seconds within which runs that end by themselves count as ended.
        """
        key = (worker.entry.worker_id, priority, horizon_s)
        known = self._reachable.get(key)
        if known is not None:
            return known
        room = worker.free - self._claimed.get(worker.entry.worker_id, NO_RESOURCES)
        for run in worker.runs.values():
            is_stopping = run.state is RunState.STOPPING
            may_stop = priority is not None and self._may_stop(run, priority)
            ends_soon = remaining_s(run, self._now_s) <= horizon_s
            if is_stopping or may_stop or ends_soon:
                room = room + run.task.step.specification.charged
        self._reachable[key] = room
        return room

    def release(
        self, worker: TrackedWorker, needed: Resources, victims: list[Run]
    ) -> None:
        """Give a claim up."""
        worker_id = worker.entry.worker_id
        self._claimed[worker_id] = self._claimed[worker_id] - needed
        for run in victims:
            self._victims[worker_id].remove(run)

    def _candidates(
        self, worker: TrackedWorker, priority: int, chosen: list[Run]
    ) -> Iterable[Run]:
        candidates = [
            run
            for run in worker.runs.values()
            if run not in chosen and self._may_stop(run, priority)
        ]
        candidates.sort(key=lambda run: (run.progress_percent, -run.started_s))
        return candidates

    def _may_stop(self, run: Run, priority: int) -> bool:
        specification = run.task.step.specification
        if run.state is not RunState.RUNNING:
            return False
        if not specification.is_checkpointing or specification.is_lasting:
            return False
        if specification.is_gang or run.progress_percent >= NEARLY_DONE_PERCENT:
            return False
        if self._now_s - run.started_s < MIN_RUN_S:
            return False
        queue = self._queue_of(run.task.step.job)
        return queue is not None and queue.priority > priority


def remaining_s(run: Run, now_s: float) -> float:
    """Return how long a run will still take by its progress so far, in seconds."""
    percent = run.progress_percent
    is_lasting = run.task.step.specification.is_lasting
    if is_lasting or percent < MIN_TRUSTED_PERCENT or run.confirmed_s is None:
        return float("inf")
    whole_s = (run.last_progress_s - run.confirmed_s) * FULL_PERCENT / percent
    return max(0.0, run.confirmed_s + whole_s - now_s)


def _helps(run: Run, needed: Resources, room: Resources) -> bool:
    """Tell whether a run takes something that is short."""
    charged = run.task.step.specification.charged
    return (
        (needed.cpu_millis > room.cpu_millis and charged.cpu_millis > 0)
        or (needed.memory_mb > room.memory_mb and charged.memory_mb > 0)
        or (needed.accelerators > room.accelerators and charged.accelerators > 0)
    )
