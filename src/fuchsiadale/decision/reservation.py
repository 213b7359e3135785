"""Reservations that keep smaller tasks from starving a gang."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import Task, WorkKind


@frozen
class Reservation:
    """Workers that are reserved for one gang.

    Attributes
    ----------
    work_id : str
        Work id of the gang.
    workers : frozenset of str
        Names of the reserved workers.
    expected_s : float
        Clock time at which the gang is expected to start, half of the duration after
        the workers were reserved. Tasks that are declared to end before may run on
        them.
    expires_s : float
        Clock time at which the reservation ends.
    """

    work_id: str
    workers: frozenset[str]
    expected_s: float
    expires_s: float


def count_fitting_tasks(available: Resources, demand: Resources) -> int:
    """Return how many tasks that each request `demand` fit into `available`."""
    counts = [
        available_amount // demanded_amount
        for available_amount, demanded_amount in (
            (available.cpu_millis, demand.cpu_millis),
            (available.memory_mb, demand.memory_mb),
            (available.accelerators, demand.accelerators),
            (available.slots, demand.slots),
            (available.connections, demand.connections),
        )
        if demanded_amount > 0
    ]
    return min(counts, default=0)


class GangReservations:
    """Holds at most one gang's reservation, so that two gangs cannot deadlock.

    Tasks that are declared to end before the gang is expected to start may still be
    placed on the reserved workers (EASY backfilling; Lifka, "The ANL/IBM SP
    Scheduling System", 1995).

    Parameters
    ----------
    ledger : Ledger
        Ledger of the partition's workers.
    clock : Clock
        Clock that the end of a reservation is measured on.
    """

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._current: Reservation | None = None
        self._blocked_until_s: dict[str, float] = {}

    @property
    def current(self) -> Reservation | None:
        """The current reservation, if any."""
        return self._current

    def drop(self, work_id: str) -> None:
        """Drop a gang's reservation, and let the gang reserve workers again."""
        self._blocked_until_s.pop(work_id, None)
        if self._current is not None and self._current.work_id == work_id:
            self._current = None

    def reserve_workers(self, tasks: Sequence[Task], duration_s: float) -> None:
        """Reserve workers for a gang, unless there is a current reservation.

        Parameters
        ----------
        tasks : sequence of Task
            The tasks of the gang.
        duration_s : float
            Duration of the reservation in seconds. Once it is found to have
            expired, the gang is barred from reserving workers for `duration_s` more.
        """
        now_s = self._clock.now()
        self._drop_expired(now_s, duration_s)
        work_id = tasks[0].submission.work_id
        if self._current is not None or now_s < self._blocked_until_s.get(work_id, 0.0):
            return
        chosen = self._choose_workers(tasks)
        if chosen:
            self._current = Reservation(
                work_id,
                frozenset(chosen),
                expected_s=now_s + duration_s / 2,
                expires_s=now_s + duration_s,
            )

    def allows_placement(self, task: Task, worker: Worker) -> bool:
        """Tell whether the current reservation allows a task on a worker."""
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

    def _drop_expired(self, now_s: float, duration_s: float) -> None:
        """Drop an expired reservation and let other gangs reserve before its holder."""
        current = self._current
        if current is not None and now_s >= current.expires_s:
            self._blocked_until_s[current.work_id] = now_s + duration_s
            self._current = None

    def _choose_workers(self, tasks: Sequence[Task]) -> list[str]:
        """Return ready workers that together could run the gang if they were empty.

        Workers with the fewest attempts are taken first. The list is empty if all
        ready workers together do not suffice.
        """
        demand = tasks[0].submission.resources
        ready_workers = [
            worker for worker in self._ledger.workers.values() if worker.is_schedulable
        ]
        ready_workers.sort(key=lambda worker: len(worker.attempts))
        chosen: list[str] = []
        unplaced_count = len(tasks)
        for worker in ready_workers:
            task_count = count_fitting_tasks(worker.info.capacity, demand)
            if task_count > 0:
                chosen.append(worker.info.name)
                unplaced_count -= task_count
            if unplaced_count <= 0:
                return chosen
        return []
