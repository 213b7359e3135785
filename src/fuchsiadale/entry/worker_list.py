"""Keeps a copy of the platform's list of worker hosts."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable

from attrs import frozen
from result import Err

from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.membership import partition_name, slice_index_of
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.metrics import Counters
from fuchsiadale.ports.hosts import HostList

# Seconds between two reads of the host list.
HOST_LIST_POLL_PERIOD_S = 1.0


@frozen
class _PoolSlicing:
    """The division of a pool into a number of slices, each of them a partition.

    Attributes
    ----------
    pool : str
        Name of the pool.
    slices : int
        Number of slices.
    """

    pool: str
    slices: int


class WorkerList:
    """Polls the host list and divides its workers into partitions.

    Parameters
    ----------
    hosts : HostList
        Reads the host list of the platform.
    counters : Counters
        Counts failed reads.
    on_change : callable
        Called after the list has changed.
    """

    def __init__(
        self, hosts: HostList, counters: Counters, on_change: Callable[[], None]
    ) -> None:
        self._hosts = hosts
        self._counters = counters
        self._on_change = on_change
        self._version = 0
        self._workers: dict[str, WorkerInfo] = {}
        self._capacity = NO_RESOURCES
        self._workers_by_slicing: dict[_PoolSlicing, dict[str, list[WorkerInfo]]] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the list has been read at least once."""
        return self._version > 0

    @property
    def workers(self) -> dict[str, WorkerInfo]:
        """The listed workers, by name."""
        return self._workers

    @property
    def capacity(self) -> Resources:
        """The total capacity of all listed workers."""
        return self._capacity

    def list_partition_workers(
        self, pool: str, slices: int, partition: str
    ) -> list[WorkerInfo]:
        """Return the workers of one partition.

        Parameters
        ----------
        pool : str
            Name of the partition's pool.
        slices : int
            Number of slices of the pool.
        partition : str
            Name of the partition, which is one slice of the pool.
        """
        slicing = _PoolSlicing(pool, slices)
        if slicing not in self._workers_by_slicing:
            self._workers_by_slicing[slicing] = self._slice_pool(slicing)
        return self._workers_by_slicing[slicing].get(partition, [])

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(HOST_LIST_POLL_PERIOD_S)

    async def poll(self) -> None:
        """Read the list once; if that fails, the last list stays in force."""
        listing = await self._hosts.fetch(self._version)
        if isinstance(listing, Err):
            self._counters.add("hosts.unreachable")
            return
        workers = listing.ok_value.workers
        if workers is None:
            return
        self._version = listing.ok_value.version
        self._workers = {info.name: info for info in workers}
        total = NO_RESOURCES
        for info in workers:
            total = total + info.capacity
        self._capacity = total
        self._workers_by_slicing.clear()
        self._on_change()

    def _slice_pool(self, slicing: _PoolSlicing) -> dict[str, list[WorkerInfo]]:
        workers_by_partition: defaultdict[str, list[WorkerInfo]] = defaultdict(list)
        for info in self._workers.values():
            if info.pool == slicing.pool:
                index = slice_index_of(info.name, slicing.slices)
                workers_by_partition[partition_name(slicing.pool, index)].append(info)
        return dict(workers_by_partition)
