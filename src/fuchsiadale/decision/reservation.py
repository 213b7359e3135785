"""Reservations that keep a gang from starving behind smaller tasks."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import Ledger, Worker, WorkerState
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import Task, WorkKind


@frozen
class Reservation:
    """Workers kept for one gang.

    Attributes
    ----------
    work_id : str
        The gang.
    workers : frozenset of str
        The workers kept.
    expected_s : float
        Clock time at which they are expected to have room, from declared run times.
    expires_s : float
        Clock time at which the gang gives the workers up.
    """

    work_id: str
    workers: frozenset[str]
    expected_s: float
    expires_s: float


def count_fitting_tasks(room: Resources, need: Resources) -> int:
    """Return how many tasks of size `need` fit into `room`."""
    counts = [
        available // wanted
        for available, wanted in (
            (room.cpu_millis, need.cpu_millis),
            (room.memory_mb, need.memory_mb),
            (room.accelerators, need.accelerators),
            (room.slots, need.slots),
            (room.connections, need.connections),
        )
        if wanted > 0
    ]
    return min(counts, default=0)


class GangReservations:
    """Holds at most one reservation, so that two gangs cannot block each other.

    Tasks that are declared to end before the reserved room is expected may still be
    placed there (EASY backfilling; Lifka, "The ANL/IBM SP Scheduling System", 1995).

    Parameters
    ----------
    ledger : Ledger
        The partition's workers.
    clock : Clock
        The clock.
    """

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._current: Reservation | None = None
        self._barred_until_s: dict[str, float] = {}

    @property
    def current(self) -> Reservation | None:
        """The reservation in force, if any."""
        return self._current

    def drop(self, work_id: str) -> None:
        """End the reservation of a gang that was placed or cancelled."""
        self._barred_until_s.pop(work_id, None)
        if self._current is not None and self._current.work_id == work_id:
            self._current = None

    def reserve_workers(self, tasks: Sequence[Task], hold_s: float) -> None:
        """Reserve workers for a gang unless another one holds a reservation."""
        now_s = self._clock.now()
        self._expire(now_s, hold_s)
        work_id = tasks[0].submission.work_id
        if self._current is not None or now_s < self._barred_until_s.get(work_id, 0.0):
            return
        chosen = self._choose_workers(tasks)
        if chosen:
            self._current = Reservation(
                work_id,
                frozenset(chosen),
                expected_s=now_s + hold_s / 2,
                expires_s=now_s + hold_s,
            )

    def allows_placement(self, task: Task, worker: Worker) -> bool:
        """Tell whether a task may be placed despite the reservation."""
        current = self._current
        if current is None or worker.info.name not in current.workers:
            return True
        submission = task.submission
        if submission.work_id == current.work_id:
            return True
        now_s = self._clock.now()
        if now_s >= current.expires_s:
            return True
        if submission.kind is WorkKind.SERVICE or submission.declared_run_s <= 0:
            return False
        return now_s + submission.declared_run_s <= current.expected_s

    def _expire(self, now_s: float, hold_s: float) -> None:
        """End an old reservation and let other gangs go before its holder."""
        current = self._current
        if current is not None and now_s >= current.expires_s:
            self._barred_until_s[current.work_id] = now_s + hold_s
            self._current = None

    def _choose_workers(self, tasks: Sequence[Task]) -> list[str]:
        """Return the least loaded workers that could hold the gang when empty."""
        need = tasks[0].submission.resources
        open_workers = [
            worker
            for worker in self._ledger.workers.values()
            if worker.state is WorkerState.READY
        ]
        open_workers.sort(key=lambda worker: len(worker.attempts))
        chosen: list[str] = []
        missing = len(tasks)
        for worker in open_workers:
            fits = count_fitting_tasks(worker.info.capacity, need)
            if fits > 0:
                chosen.append(worker.info.name)
                missing -= fits
            if missing <= 0:
                return chosen
        return []
