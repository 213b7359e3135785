"""Cluster of entry nodes in one event loop, with stand-ins for all other systems."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from attrs import evolve

from fuchsiadale.config.documents import SourceFile
from fuchsiadale.config.settings import Address, Settings
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.entry.node import EntryNode, PlatformClients
from fuchsiadale.ids import IdSource
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.standin.table import (
    PlatformFaults,
    PlatformState,
)
from fuchsiadale.standin.worker import Observation, StandInWorker
from tests.builders import make_worker_info
from tests.faulty_network import (
    FaultyHostList,
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
    """Creates ascending identifiers, so that test runs are reproducible."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._count = 0

    def new(self) -> str:
        """Return the next identifier."""
        self._count += 1
        return f"{self._prefix}{self._count:05x}"


class TestCluster:
    """Entry nodes, stand-in workers and a stand-in platform on the clock of one loop.

    Parameters
    ----------
    nodes : int
        Number of entry nodes.
    workers : sequence of WorkerInfo
        Descriptions of the workers; three small workers by default.
    config : str
        Text of the configuration file to apply.

    Attributes
    ----------
    clock : LoopClock
        Clock of all nodes and workers.
    platform_state : PlatformState
        State of the stand-in platform.
    network_faults : dict of str to NetworkFaults
        Faults of the network as each node sees it, by host.
    nodes : dict of str to EntryNode
        The running nodes, by host.
    workers : dict of str to StandInWorker
        The workers, by name.
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
        """Faults that the stand-in platform simulates."""
        return self.platform_state.faults

    @property
    def observations(self) -> list[Observation]:
        """The ended runs that the workers recorded."""
        return [
            observation
            for worker in self.workers.values()
            for observation in worker.observations
        ]

    async def __aenter__(self) -> TestCluster:
        """Start workers and nodes, apply the configuration, and wait until ready."""
        for info in self._worker_infos:
            self.add_worker(info)
        for index in range(self._node_count):
            self.start_node(f"entry-{index}")
        first_node = next(iter(self.nodes.values()))
        await asyncio.sleep(0.5)
        change_result = await first_node.config.replace_from_files(
            [SourceFile("all.yaml", self._config)], None
        )
        change_result.unwrap()
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop all nodes and workers."""
        for node in self.nodes.values():
            await node.stop()
        for task in self._lease_tasks:
            task.cancel()
        for worker in self.workers.values():
            worker.close()

    def add_worker(self, info: WorkerInfo) -> None:
        """Start a worker and add it to the host list."""
        worker = StandInWorker(info, self.clock)
        self.workers[info.name] = worker
        self.platform_state.put_worker(evolve(info, address=info.name))
        loop = asyncio.get_running_loop()
        self._lease_tasks.append(loop.create_task(worker.enforce_leases()))

    def start_node(self, host: str) -> EntryNode:
        """Start an entry node; each start gives its identifiers a new prefix."""
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
        platform = PlatformClients(
            FaultyTable(self.platform_state, node_faults),
            FaultyObjectStore(self.platform_state, node_faults),
            FaultyHostList(self.platform_state, node_faults),
        )
        node = EntryNode(
            settings,
            platform,
            FaultyWorkerConnector(self.workers, node_faults),
            FaultyPeerConnector(
                lambda peer_host: self._find_reachable_node(host, peer_host)
            ),
            SequentialIds(f"{host[-1]}{self._start_count:02x}"),
        )
        node.start()
        self.nodes[host] = node
        return node

    async def kill(self, host: str) -> None:
        """Stop a node abruptly: it does not drain and notifies no other node."""
        await self.nodes.pop(host).stop()

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float = 60.0
    ) -> float:
        """Wait for a condition and return the time waited, in seconds.

        Raises
        ------
        AssertionError
            If the condition does not hold within `limit_s` seconds.
        """
        started_s = self.clock.now()
        while not condition():
            await asyncio.sleep(0.02)
            if self.clock.now() - started_s > limit_s:
                raise AssertionError(f"the condition did not hold within {limit_s} s")
        return self.clock.now() - started_s

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready and the owner of ``general.0`` may act."""
        await self.wait_until(
            lambda: (
                all(node.is_ready for node in self.nodes.values())
                and self.find_owner() is not None
            )
        )

    def find_owner(self, partition: str = "general.0") -> str | None:
        """Return the host that owns a partition and may act; None if none does."""
        for host, node in self.nodes.items():
            driver = node.ownership.drivers.get(partition)
            if driver is not None and driver.partition.authority.may_act():
                return host
        return None

    def find_other_host(self, host: str | None) -> str:
        """Return the first running host other than `host`."""
        return next(name for name in self.nodes if name != host)

    def isolate(self, host: str) -> None:
        """Make a node and its peers unreachable for each other."""
        for name, node_faults in self.network_faults.items():
            if name == host:
                node_faults.unreachable_peers.update(set(self.network_faults) - {host})
            else:
                node_faults.unreachable_peers.add(host)

    def cut_off(self, host: str, worker_names: set[str]) -> None:
        """Cut a node and some workers off from everything but each other."""
        self.isolate(host)
        node_faults = self.network_faults[host]
        node_faults.is_store_unreachable = node_faults.is_host_list_unreachable = True
        for name, other_faults in self.network_faults.items():
            cut = set(self.workers) - worker_names if name == host else worker_names
            other_faults.unreachable_workers.update(cut)

    def lose_worker(self, name: str) -> None:
        """Let a worker lose its tasks and never answer again; it stays listed."""
        self.workers[name].close()
        for node_faults in self.network_faults.values():
            node_faults.unreachable_workers.add(name)

    def list_runs(self, work_id: str) -> list[Observation]:
        """Return the ended runs of attempts whose ids begin with `work_id`."""
        return [run for run in self.observations if run.attempt_id.startswith(work_id)]

    def _find_reachable_node(self, host: str, peer_host: str) -> EntryNode | None:
        if peer_host in self.network_faults[host].unreachable_peers:
            return None
        return self.nodes.get(peer_host)
