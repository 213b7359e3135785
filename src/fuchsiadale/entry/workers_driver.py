"""Keeps a copy of the platform's host list."""

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

HOST_LIST_PERIOD_S = 1.0


@frozen
class _Cut:
    pool: str
    slices: int


class WorkerList:
    """Polls the host list and cuts it into partitions.

    Parameters
    ----------
    hosts : HostList
        The host list.
    counters : Counters
        Takes the counts.
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
        self._cuts: dict[_Cut, dict[str, list[WorkerInfo]]] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the list has been read."""
        return self._version > 0

    @property
    def workers(self) -> dict[str, WorkerInfo]:
        """The listed workers, by name."""
        return self._workers

    @property
    def capacity(self) -> Resources:
        """The capacity of all listed workers."""
        return self._capacity

    def of_partition(self, pool: str, slices: int, name: str) -> list[WorkerInfo]:
        """Return the workers of one slice of a pool."""
        cut = _Cut(pool, slices)
        if cut not in self._cuts:
            self._cuts[cut] = self._cut_pool(cut)
        return self._cuts[cut].get(name, [])

    async def run(self) -> None:
        """Poll the list, for ever."""
        while True:
            await self.poll()
            await asyncio.sleep(HOST_LIST_PERIOD_S)

    async def poll(self) -> None:
        """Read the list once; an unreadable list leaves the last one in force."""
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
        self._cuts.clear()
        self._on_change()

    def _cut_pool(self, cut: _Cut) -> dict[str, list[WorkerInfo]]:
        partitions: defaultdict[str, list[WorkerInfo]] = defaultdict(list)
        for info in self._workers.values():
            if info.pool == cut.pool:
                index = slice_index_of(info.name, cut.slices)
                partitions[partition_name(cut.pool, index)].append(info)
        return dict(partitions)
