"""Ledger of the capacity and the allocations of each worker of a partition."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from typing import Any

from attrs import frozen
from transitions import Machine

from fuchsiadale.decision.availability_index import AvailabilityIndex
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.work import Attempt


@frozen
class WorkerInfo:
    """Description of a worker from the host list of the platform.

    Attributes
    ----------
    name : str
        Unique name of the worker.
    pool : str
        Name of the pool that it belongs to.
    address : str
        Base URL of its backend server.
    failure_domain : str
        Failure domain that it belongs to.
    rack : str
        Rack that it is installed in.
    capacity : Resources
        Total resources that can be allocated to tasks on it.
    leaving : bool
        Whether it is about to leave the pool.
    fencing : bool
        Whether its backend server rejects orders of an older epoch.
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
    """The state of a worker; new tasks are placed only on workers in ``READY``.

    Attributes
    ----------
    ADOPTING
        The worker has not yet accepted the epoch of the partition's owner.
    READY
        The worker takes new tasks.
    LEAVING
        The worker is about to leave the pool.
    QUARANTINED
        The worker takes no new tasks for some time, since attempts failed on it.
    SILENT
        The worker has stopped answering heartbeats.
    GONE
        The worker has left the host list.
    """

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
    """A worker with its available resources and the attempts allocated on it.

    Parameters
    ----------
    info : WorkerInfo
        Description of the worker from the host list.

    Attributes
    ----------
    unallocated : Resources
        Capacity that is not allocated to attempts; negative amounts if the capacity
        was lowered below the allocations.
    attempts : dict of str to Attempt
        Attempts that resources are allocated to, by attempt id, oldest first.
    boot_id : str
        Boot identifier of the worker; empty if unknown.
    overuse : Resources
        Measured usage of its tasks beyond the allocated resources.
    is_drained : bool
        Whether no new tasks may be placed on any worker of its failure domain.
    """

    trigger: Callable[[str], bool]
    state: WorkerState

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self.unallocated = info.capacity
        self.attempts: dict[str, Attempt] = {}
        self.boot_id = ""
        self.overuse = NO_RESOURCES
        self.is_drained = False

    @property
    def is_schedulable(self) -> bool:
        """Whether new tasks may be placed on the worker."""
        return self.state is WorkerState.READY and not self.is_drained

    @property
    def available(self) -> Resources:
        """Unallocated resources, less what tasks use beyond their allocations."""
        return self.unallocated - self.overuse

    @property
    def allocated(self) -> Resources:
        """Resources that are allocated to attempts."""
        return self.info.capacity - self.unallocated


class Ledger:
    """All workers of one partition, with the resources allocated on each.

    Resources are allocated when an attempt is planned and released only once the
    attempt is known to have ended. So placement never allocates more than a worker's
    capacity to the attempts that may run on it at the same time; only a lowered
    capacity or an adopted attempt can exceed it.
    """

    def __init__(self) -> None:
        self._worker_by_name: dict[str, Worker] = {}
        self._availability_index = AvailabilityIndex()
        self._index_by_domain: dict[str, AvailabilityIndex] = {}
        self._drained_domains: frozenset[str] = frozenset()
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
        """All workers by name."""
        return self._worker_by_name

    @property
    def capacity(self) -> Resources:
        """Total capacity of all workers except those in state ``GONE``."""
        return self._capacity

    @property
    def failure_domains(self) -> list[str]:
        """Sorted names of all failure domains that ever had a schedulable worker.

        A domain stays listed when its workers leave.
        """
        return sorted(self._index_by_domain)

    def add_or_update(self, info: WorkerInfo) -> Worker:
        """Add a worker, or update it to its new description in the host list."""
        worker = self._worker_by_name.get(info.name)
        was_gone = worker is not None and worker.state is WorkerState.GONE
        if worker is not None and worker.info == info and not was_gone:
            return worker
        if worker is None:
            worker = Worker(info)
            self._machine.add_model(worker)
            self._worker_by_name[info.name] = worker
        else:
            allocated = worker.allocated
            worker.info = info
            worker.unallocated = info.capacity - allocated
            if worker.state is WorkerState.GONE and not info.leaving:
                self.change_state(info.name, "return_")
        if info.leaving:
            self.change_state(info.name, "leave")
        self._capacity = self._sum_capacity()
        self._reindex(worker)
        return worker

    def set_drained_domains(self, names: Iterable[str]) -> None:
        """Set the failure domains on whose workers no new tasks may be placed."""
        self._drained_domains = frozenset(names)
        for worker in self._worker_by_name.values():
            self._reindex(worker)

    def change_state(self, name: str, event: str) -> bool:
        """Trigger a transition of a worker; return whether its state changed.

        Parameters
        ----------
        name : str
            Name of the worker.
        event : str
            Name of the trigger. It has no effect without a transition from the
            present state.
        """
        worker = self._worker_by_name[name]
        before = worker.state
        worker.trigger(event)
        self._reindex(worker)
        if WorkerState.GONE in (before, worker.state):
            self._capacity = self._sum_capacity()
        return worker.state is not before

    def remove(self, name: str) -> None:
        """Remove a worker on which nothing is allocated."""
        worker = self._worker_by_name.pop(name)
        self._machine.remove_model(worker)
        self._unindex(worker)
        self._capacity = self._sum_capacity()

    def allocate(self, attempt: Attempt) -> None:
        """Allocate an attempt's resources on its worker, unless already allocated."""
        worker = self._worker_by_name[attempt.worker]
        if attempt.attempt_id in worker.attempts:
            return
        worker.attempts[attempt.attempt_id] = attempt
        worker.unallocated = worker.unallocated - attempt.resources
        self._reindex(worker)

    def deallocate(self, attempt: Attempt) -> bool:
        """Release the resources of an attempt that is known to have ended.

        Returns
        -------
        bool
            False if no resources were allocated to the attempt.
        """
        worker = self._worker_by_name.get(attempt.worker)
        if worker is None or worker.attempts.pop(attempt.attempt_id, None) is None:
            return False
        worker.unallocated = worker.unallocated + attempt.resources
        self._reindex(worker)
        return True

    def set_measured_usage(self, name: str, usage: Resources) -> None:
        """Update the measured usage of processors and memory by a worker's tasks.

        Parameters
        ----------
        name : str
            Name of the worker.
        usage : Resources
            Measured usage; an amount below the allocated one has no effect.
        """
        worker = self._worker_by_name[name]
        overuse = (usage - worker.allocated).maximum(NO_RESOURCES)
        if overuse != worker.overuse:
            worker.overuse = overuse
            self._reindex(worker)

    def candidate_batches(
        self, demand: Resources, failure_domain: str | None = None
    ) -> Iterator[list[Worker]]:
        """Yield samples of schedulable workers with enough available resources.

        There is one sample for each size class of available resources. The classes are
        in ascending order of accelerators, then processors, then memory.

        Parameters
        ----------
        demand : Resources
            Resources that must be available.
        failure_domain : str, optional
            Restricts the search to the workers of this failure domain.
        """
        index: AvailabilityIndex | None = self._availability_index
        if failure_domain is not None:
            index = self._index_by_domain.get(failure_domain)
        if index is None:
            return
        for names in index.candidate_batches(demand):
            fitting = [
                worker
                for worker in map(self._worker_by_name.__getitem__, names)
                if demand.fits_in(worker.available)
            ]
            if fitting:
                yield fitting

    def fits_capacity_of_any_worker(self, demand: Resources) -> bool:
        """Tell whether `demand` fits the capacity of a worker that is not ``GONE``."""
        return any(
            demand.fits_in(worker.info.capacity)
            for worker in self._worker_by_name.values()
            if worker.state is not WorkerState.GONE
        )

    def _sum_capacity(self) -> Resources:
        total = NO_RESOURCES
        for worker in self._worker_by_name.values():
            if worker.state is not WorkerState.GONE:
                total = total + worker.info.capacity
        return total

    def _reindex(self, worker: Worker) -> None:
        worker.is_drained = worker.info.failure_domain in self._drained_domains
        available = worker.available.maximum(NO_RESOURCES)
        if not worker.is_schedulable or available.slots <= 0:
            self._unindex(worker)
            return
        self._availability_index.put(worker.info.name, available)
        domain = worker.info.failure_domain
        if domain not in self._index_by_domain:
            self._index_by_domain[domain] = AvailabilityIndex()
        self._index_by_domain[domain].put(worker.info.name, available)

    def _unindex(self, worker: Worker) -> None:
        self._availability_index.discard(worker.info.name)
        domain_index = self._index_by_domain.get(worker.info.failure_domain)
        if domain_index is not None:
            domain_index.discard(worker.info.name)
