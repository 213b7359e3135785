"""The ledger of a partition's workers: what each has and what runs there."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any

from attrs import frozen
from transitions import Machine

from fuchsiadale.decision.free_index import AvailabilityIndex
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.work import Attempt


@frozen
class WorkerInfo:
    """What the platform's host list says of a worker.

    Attributes
    ----------
    name : str
        Unique name.
    pool : str
        The pool it belongs to.
    address : str
        Base URL of its backend server.
    failure_domain : str
        The failure domain it stands in.
    rack : str
        The rack it stands in.
    capacity : Resources
        What it has room for.
    leaving : bool
        Whether it is about to leave.
    fencing : bool
        Whether its backend server compares epochs.
    """

    name: str
    pool: str
    address: str
    failure_domain: str
    rack: str
    capacity: Resources
    leaving: bool = False
    fencing: bool = True


class WorkerState(Enum):
    """Whether a worker may get new tasks."""

    ADOPTING = "adopting"
    READY = "ready"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    SILENT = "silent"
    GONE = "gone"


_TRANSITIONS: list[Any] = [
    ["adopt", [WorkerState.ADOPTING, WorkerState.SILENT], WorkerState.READY],
    ["adopt", WorkerState.READY, WorkerState.READY],
    ["adopt", WorkerState.QUARANTINED, WorkerState.QUARANTINED],
    ["adopt", WorkerState.LEAVING, WorkerState.LEAVING],
    ["leave", "*", WorkerState.LEAVING],
    ["quarantine", WorkerState.READY, WorkerState.QUARANTINED],
    ["release", WorkerState.QUARANTINED, WorkerState.READY],
    ["fall_silent", [WorkerState.READY, WorkerState.QUARANTINED], WorkerState.SILENT],
    ["vanish", "*", WorkerState.GONE],
    ["return_", [WorkerState.GONE, WorkerState.LEAVING], WorkerState.ADOPTING],
]


class Worker:
    """One worker's room and the attempts that are charged to it.

    Parameters
    ----------
    info : WorkerInfo
        What the host list says of it.
    """

    trigger: Callable[[str], bool]
    state: WorkerState

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self.unallocated = info.capacity
        self.attempts: dict[str, Attempt] = {}
        self.boot_id = ""
        self.overuse = NO_RESOURCES

    @property
    def is_schedulable(self) -> bool:
        """Whether new tasks may be placed here."""
        return self.state is WorkerState.READY

    @property
    def available(self) -> Resources:
        """What is free and not taken by tasks that exceed what they declared."""
        return self.unallocated - self.overuse

    @property
    def allocated(self) -> Resources:
        """The room that is charged."""
        return self.info.capacity - self.unallocated


class Ledger:
    """All workers of one partition.

    Room is charged when an attempt is planned and given back only when the attempt
    surely ended, so the sum of what may run never exceeds a worker's capacity.
    """

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}
        self._index = AvailabilityIndex()
        self._domain_indexes: dict[str, AvailabilityIndex] = {}
        self._capacity = NO_RESOURCES
        self._machine = Machine(
            model=None,
            states=WorkerState,
            transitions=_TRANSITIONS,
            initial=WorkerState.ADOPTING,
            ignore_invalid_triggers=True,
            auto_transitions=False,
        )

    @property
    def workers(self) -> dict[str, Worker]:
        """The workers by name."""
        return self._workers

    @property
    def capacity(self) -> Resources:
        """The capacity of all workers that have not gone."""
        return self._capacity

    @property
    def failure_domains(self) -> list[str]:
        """The failure domains that have an open worker, in order of name."""
        return sorted(self._domain_indexes)

    def add_or_update(self, info: WorkerInfo) -> Worker:
        """Add a worker, or take over what the host list now says of it."""
        worker = self._workers.get(info.name)
        is_gone = worker is not None and worker.state is WorkerState.GONE
        if worker is not None and worker.info == info and not is_gone:
            return worker
        if worker is None:
            worker = Worker(info)
            self._machine.add_model(worker)
            self._workers[info.name] = worker
        else:
            used = worker.allocated
            worker.info = info
            worker.unallocated = info.capacity - used
            if worker.state is WorkerState.GONE and not info.leaving:
                self.change_state(info.name, "return_")
        if info.leaving:
            self.change_state(info.name, "leave")
        self._capacity = self._sum_capacity()
        self._reindex(worker)
        return worker

    def change_state(self, name: str, event: str) -> bool:
        """Apply a state change to a worker; return whether its state changed."""
        worker = self._workers[name]
        before = worker.state
        worker.trigger(event)
        self._reindex(worker)
        if WorkerState.GONE in (before, worker.state):
            self._capacity = self._sum_capacity()
        return worker.state is not before

    def remove(self, name: str) -> None:
        """Forget a worker to which nothing is charged."""
        worker = self._workers.pop(name)
        self._machine.remove_model(worker)
        self._unindex(worker)
        self._capacity = self._sum_capacity()

    def allocate(self, attempt: Attempt) -> None:
        """Charge an attempt to its worker; charging one twice has no effect."""
        worker = self._workers[attempt.worker]
        if attempt.attempt_id in worker.attempts:
            return
        worker.attempts[attempt.attempt_id] = attempt
        worker.unallocated = worker.unallocated - attempt.resources
        self._reindex(worker)

    def release(self, attempt: Attempt) -> bool:
        """Give back the room of an attempt that surely ended.

        Returns
        -------
        bool
            False if the attempt was not charged.
        """
        worker = self._workers.get(attempt.worker)
        if worker is None or worker.attempts.pop(attempt.attempt_id, None) is None:
            return False
        worker.unallocated = worker.unallocated + attempt.resources
        self._reindex(worker)
        return True

    def set_measured_usage(self, name: str, usage: Resources) -> None:
        """Take what a worker's tasks really take of processors and memory.

        Parameters
        ----------
        name : str
            The worker.
        usage : Resources
            What was measured; amounts below what is charged change nothing.
        """
        worker = self._workers[name]
        overuse = (usage - worker.allocated).maximum(NO_RESOURCES)
        if overuse != worker.overuse:
            worker.overuse = overuse
            self._reindex(worker)

    def candidate_batches(
        self, need: Resources, failure_domain: str | None = None
    ) -> Iterator[list[Worker]]:
        """Yield samples of open workers that have room, smallest room first.

        Parameters
        ----------
        need : Resources
            What has to fit.
        failure_domain : str, optional
            Only workers of this failure domain.
        """
        index: AvailabilityIndex | None = self._index
        if failure_domain is not None:
            index = self._domain_indexes.get(failure_domain)
        if index is None:
            return
        for names in index.candidate_batches(need):
            fitting = [
                worker
                for worker in map(self._workers.__getitem__, names)
                if need.fits_in(worker.available)
            ]
            if fitting:
                yield fitting

    def fits_any_empty_worker(self, need: Resources) -> bool:
        """Tell whether an empty worker of this partition could hold `need`."""
        return any(
            need.fits_in(worker.info.capacity)
            for worker in self._workers.values()
            if worker.state is not WorkerState.GONE
        )

    def _sum_capacity(self) -> Resources:
        total = NO_RESOURCES
        for worker in self._workers.values():
            if worker.state is not WorkerState.GONE:
                total = total + worker.info.capacity
        return total

    def _reindex(self, worker: Worker) -> None:
        room = worker.available.maximum(NO_RESOURCES)
        if not worker.is_schedulable or room.slots <= 0:
            self._unindex(worker)
            return
        self._index.put(worker.info.name, room)
        domain = worker.info.failure_domain
        if domain not in self._domain_indexes:
            self._domain_indexes[domain] = AvailabilityIndex()
        self._domain_indexes[domain].put(worker.info.name, room)

    def _unindex(self, worker: Worker) -> None:
        self._index.discard(worker.info.name)
        domain_index = self._domain_indexes.get(worker.info.failure_domain)
        if domain_index is not None:
            domain_index.discard(worker.info.name)
