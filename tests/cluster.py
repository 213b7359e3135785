"""Several entry nodes in one loop, over fakes of everything around them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from attrs import evolve

from fuchsiadale.config.located import SourceFile
from fuchsiadale.config.settings import Address, Settings
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.entry.node import EntryNode, Platform
from fuchsiadale.ids import IdSource
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.standin.table import (
    MemoryHostList,
    PlatformFaults,
    PlatformState,
)
from fuchsiadale.standin.worker import Observation, StandInWorker
from tests.builders import make_worker_info
from tests.faulty_network import (
    FaultyObjectStore,
    FaultyPeerConnector,
    FaultyTable,
    FaultyWorkerConnector,
    NetworkFaults,
)

CONFIG = """\
teams:
  guild: {share: 2}
  harvest: {share: 1}
pools:
  general: {}
queues:
  proofs: {pool: general}
  open: {pool: general, open: true}
"""


class SequentialIds(IdSource):
    """Makes identifiers in order."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._count = 0

    def new(self) -> str:
        """Return the next identifier."""
        self._count += 1
        return f"{self._prefix}{self._count:05x}"


class TestCluster:
    """Entry nodes, workers and a platform on one virtual clock.

    Parameters
    ----------
    nodes : int
        Number of entry nodes.
    workers : sequence of WorkerInfo
        The workers; three small ones if not given.
    config : str
        The operators' configuration.
    """

    __test__ = False

    def __init__(
        self,
        nodes: int = 2,
        workers: Sequence[WorkerInfo] = (),
        config: str = CONFIG,
    ) -> None:
        self.clock = LoopClock()
        self.platform_state = PlatformState()
        self.network_faults: dict[str, NetworkFaults] = {}
        self.nodes: dict[str, EntryNode] = {}
        self.workers: dict[str, StandInWorker] = {}
        self._config = config
        self._node_count = nodes
        self._worker_infos = workers or [make_worker_info(index) for index in range(3)]
        self._lease_tasks: list[asyncio.Task[None]] = []
        self._start_count = 0

    @property
    def platform_faults(self) -> PlatformFaults:
        """The platform's faults."""
        return self.platform_state.faults

    @property
    def observations(self) -> list[Observation]:
        """Every run that the workers saw, whether or not it has ended."""
        return [
            observation
            for worker in self.workers.values()
            for observation in worker.observations
        ]

    async def __aenter__(self) -> TestCluster:
        """Start everything and apply the configuration."""
        for info in self._worker_infos:
            self.add_worker(info)
        for index in range(self._node_count):
            self.start_node(f"entry-{index}")
        first = next(iter(self.nodes.values()))
        await asyncio.sleep(0.5)
        changed = await first.config.change_folder(
            [SourceFile("all.yaml", self._config)], None
        )
        changed.unwrap()
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop everything."""
        for node in self.nodes.values():
            await node.stop()
        for watcher in self._lease_tasks:
            watcher.cancel()
        for worker in self.workers.values():
            worker.close()

    def add_worker(self, info: WorkerInfo) -> None:
        """Add a worker to the fleet and to the host list."""
        worker = StandInWorker(info, self.clock)
        self.workers[info.name] = worker
        self.platform_state.put_worker(evolve(info, address=info.name))
        loop = asyncio.get_running_loop()
        self._lease_tasks.append(loop.create_task(worker.enforce_leases()))

    def start_node(self, host: str) -> EntryNode:
        """Start an entry node; every start makes other identifiers."""
        self._start_count += 1
        node_faults = NetworkFaults()
        self.network_faults[host] = node_faults
        settings = Settings(
            host=host,
            region="local",
            failure_domain="domain-0",
            callers=Address("127.0.0.1", 0),
            peers=Address(host, 1),
            platform_url="",
            drain_notice_s=0.5,
        )
        platform = Platform(
            FaultyTable(self.platform_state, node_faults),
            FaultyObjectStore(self.platform_state, node_faults),
            MemoryHostList(self.platform_state),
        )
        node = EntryNode(
            settings,
            platform,
            FaultyWorkerConnector(self.workers, node_faults),
            FaultyPeerConnector(lambda other: self._reachable(host, other)),
            SequentialIds(f"{host[-1]}{self._start_count:02x}"),
        )
        node.start()
        self.nodes[host] = node
        return node

    async def kill(self, host: str) -> None:
        """End a node at once, without a word to anybody."""
        await self.nodes.pop(host).stop()

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float = 60.0
    ) -> float:
        """Wait for a condition; return the seconds waited."""
        began_s = self.clock.now()
        while not condition():
            await asyncio.sleep(0.02)
            if self.clock.now() - began_s > limit_s:
                raise AssertionError(f"did not come true within {limit_s} s")
        return self.clock.now() - began_s

    async def wait_until_ready(self) -> None:
        """Wait until every node is ready and the partition's owner may act."""
        await self.wait_until(
            lambda: (
                all(node.is_ready for node in self.nodes.values())
                and self.find_owner() is not None
            )
        )

    def find_owner(self, partition: str = "general.0") -> str | None:
        """Return the host that owns a partition and may act for it."""
        for host, node in self.nodes.items():
            driver = node.ownership.drivers.get(partition)
            if driver is not None and driver.partition.authority.may_act():
                return host
        return None

    def find_other_host(self, host: str | None) -> str:
        """Return the first host that is not this one."""
        return next(name for name in self.nodes if name != host)

    def isolate(self, host: str) -> None:
        """Cut a node off from its peers, both ways."""
        for name, node_faults in self.network_faults.items():
            if name == host:
                node_faults.unreachable_peers.update(set(self.network_faults) - {host})
            else:
                node_faults.unreachable_peers.add(host)

    def list_runs(self, work_id: str) -> list[Observation]:
        """Return the ended runs of a piece of work."""
        return [o for o in self.observations if o.attempt_id.startswith(work_id)]

    def _reachable(self, host: str, other: str) -> EntryNode | None:
        if other in self.network_faults[host].unreachable_peers:
            return None
        return self.nodes.get(other)
