"""Faults with kinds, targets, times and durations drawn from a seed; may overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM

from attrs import define, field

from tests.soak.configuration import (
    APPLY_BOUND_S,
    TENANT_CPU_MILLIS,
    WrittenVersion,
    write_configuration,
)
from tests.soak.nodes import Node
from tests.soak.proxy import Proxy, ProxyMode
from tests.soak.store import StoreStandIn
from tests.soak.workers import Worker, register_worker

FAULT_DURATION_RANGE_S = (0.3, 4.0)
"""Shortest and longest duration that is drawn for a fault, in seconds."""

GRACE_PERIOD_S = 6.0
"""Seconds between the SIGTERM and the SIGKILL of a planned stop."""

MAX_SERIES_LENGTH = 4
"""Maximum number of signals or configurations that one planned change consists of."""

FAULTS_PER_S = 0.6
"""Default mean number of new faults per second; 1.5 are active at a time."""


@define(eq=False)
class FaultTargets:
    """The processes, stand-ins and proxies that faults act on.

    Attributes
    ----------
    nodes : list of Node
        Processes of the cell.
    store : StoreStandIn
        Store that all nodes use.
    store_proxies : list of Proxy
        Proxy between each node and the store, in the order of `nodes`.
    workers : list of Worker
        Stand-ins of the workers.
    worker_proxies : list of Proxy
        Proxy in front of each worker, in the order of `workers`.
    worker_addresses : list of str
        Host and port of each worker's proxy, in the order of `workers`; the worker
        registers this address in the store.
    """

    nodes: list[Node]
    store: StoreStandIn
    store_proxies: list[Proxy]
    workers: list[Worker]
    worker_proxies: list[Proxy]
    worker_addresses: list[str]

    async def crash_worker(
        self, index: int, downtime_s: float, is_silent: bool = False
    ) -> None:
        """Crash a worker and start it again; one that is down is left as it is.

        Parameters
        ----------
        index : int
            Index of the worker.
        downtime_s : float
            Seconds after which it is started again, under the same id.
        is_silent : bool
            Whether its connections, and those opened until it is started again, become
            silent rather than end.
        """
        worker, proxy = self.workers[index], self.worker_proxies[index]
        if not worker.is_up:
            return
        worker.crash()
        if is_silent:
            proxy.silence()
            proxy.mode = ProxyMode.SILENT
        else:
            proxy.reset()
        await asyncio.sleep(downtime_s)
        if is_silent:
            proxy.mode = ProxyMode.OPEN
        worker.start_incarnation()
        await register_worker(self.store, worker, self.worker_addresses[index])


ALL_FAULT_KINDS = (
    "kill_node",
    "kill_all",
    "stop_node",
    "pause_node",
    "take_store_down",
    "lose_store_answers",
    "slow_store",
    "forget_history",
    "cut_node_from_store",
    "reset_connections",
    "harm_worker_link",
    "crash_worker",
    "lose_orders",
)

CONFIGURATION_KINDS = ("silence_connections",)
"""Faults under which each configuration must be in force in time."""

CONTACT_S = 3.0
"""Seconds after a fault from which a node must apply configurations in time."""

PLANNED_KINDS = ("stop_node", "reload_node", "change_configuration")
"""Planned work, which must not interrupt any call of a client."""

CRASH_SERIES_KINDS = (*PLANNED_KINDS, "stop_two_nodes", "refuse_nodes")
"""Faults that are drawn beside crashes of workers in series."""

ABSENCE_SERIES_KINDS = ("refuse_nodes", "change_configuration", "stop_node")
"""Faults that are drawn beside absences of workers in series."""

REMOVAL_SERIES_KINDS = ("change_configuration",)
"""Faults that are drawn beside removals of owners and workers in series."""

RESTART_SERIES_KINDS = ("kill_node", "change_configuration")
"""Faults that are drawn beside restarts of workers that are cut off soon after."""

UNNOTICED_RESTART_KINDS = ("kill_node", "stop_node")
"""Faults that are drawn beside restarts that no node knows of before the cut."""

DRAIN_SERIES_KINDS = (
    "kill_node",
    "stop_node",
    "take_store_down",
    "forget_history",
    "cut_node_from_store",
)
"""Faults that are drawn beside drains of failure domains in series."""

REFUSAL_RANGE_S = (5.0, 7.0)
"""Shortest and longest time for which the store refuses some nodes, in seconds."""

MAX_STOP_INTERVAL_S = 1.3
"""Longest time between the planned stops of two nodes, in seconds."""


@define(eq=False)
class FaultInjector:
    """Injects faults of random kinds at random times; each fault ends by itself.

    Attributes
    ----------
    targets : FaultTargets
        What the faults act on.
    random : Random
        Decides the kind, target, start and duration of each fault.
    kinds : tuple of str
        Kinds of faults to draw from; each is the name of a method of this class.
    versions : list of WrittenVersion
        The versions of the configuration that were written, from version 1 on.
    in_touch_from_s : dict of str to float
        When a node must apply configurations in time again, by name of the node.
    call_at_once : callable
        Makes many calls to each node at the same time.
    faults_per_s : float
        Mean number of new faults per second.
    tenant_cpu_millis : int
        CPU that the tenant may have running, in thousandths of a core.
    """

    targets: FaultTargets
    random: Random
    kinds: tuple[str, ...] = ALL_FAULT_KINDS
    versions: list[WrittenVersion] = field(
        factory=lambda: [WrittenVersion(0.0, confirmed_s=0.0)]
    )
    in_touch_from_s: dict[str, float] = field(factory=dict)
    call_at_once: Callable[[], Awaitable[None]] = field(kw_only=True)
    faults_per_s: float = FAULTS_PER_S
    tenant_cpu_millis: int = TENANT_CPU_MILLIS
    _is_silencing: bool = field(default=False, init=False)

    async def run(self, total_s: float, log: Callable[[str], None]) -> None:
        """Start faults at random times; return once all of them have ended.

        Parameters
        ----------
        total_s : float
            Time during which new faults are started, in seconds.
        log : callable
            Called with a line on each fault as it starts.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + total_s
        fault_tasks = []
        while loop.time() < end_s:
            kind = self.random.choice(self.kinds)
            duration_s = self.random.uniform(*FAULT_DURATION_RANGE_S)
            log(f"{kind}, drawn duration {duration_s:.1f} s")
            fault_tasks.append(asyncio.create_task(getattr(self, kind)(duration_s)))
            await asyncio.sleep(self.random.expovariate(self.faults_per_s))
        await asyncio.gather(*fault_tasks)

    async def kill_node(self, duration_s: float) -> None:
        """Kill a node and start it again after half of the duration."""
        await self._kill_and_restart(
            [self.random.choice(self.targets.nodes)], duration_s / 2
        )

    async def kill_all(self, duration_s: float) -> None:
        """Kill all nodes at once and start them again after half of the duration."""
        await self._kill_and_restart(self.targets.nodes, duration_s / 2)

    async def stop_node(self, duration_s: float) -> None:
        """Stop a node with SIGTERM, as for planned maintenance.

        After the grace period the process is killed if it still runs, and is started
        again; the duration is not used.
        """
        await self._stop_node(self.random.choice(self.targets.nodes))

    async def stop_two_nodes(self, duration_s: float) -> None:
        """Stop two nodes shortly one after the other, as `stop_node` does."""
        first, second = self.random.sample(self.targets.nodes, 2)
        interval_s = self.random.uniform(0.0, MAX_STOP_INTERVAL_S)
        first_stop = asyncio.create_task(self._stop_node(first))
        await asyncio.sleep(interval_s)
        await asyncio.gather(first_stop, self._stop_node(second))

    async def refuse_nodes(self, duration_s: float) -> None:
        """Make the store refuse one or two nodes; the duration is drawn apart.

        Nothing happens while another such fault is active.
        """
        store = self.targets.store
        if store.refused_nodes:
            return
        nodes = self.random.sample(self.targets.nodes, self.random.randint(1, 2))
        store.refused_nodes |= {node.name for node in nodes}
        await asyncio.sleep(self.random.uniform(*REFUSAL_RANGE_S))
        store.refused_nodes.clear()

    async def _stop_node(self, node: Node) -> None:
        stopped_process = node.process
        node.signal_process(SIGTERM)
        await asyncio.sleep(GRACE_PERIOD_S)
        # An overlapping fault may have replaced the process, which nobody told to stop.
        if node.process is stopped_process:
            await self._kill_and_restart([node], 0.1)

    async def reload_node(self, duration_s: float) -> None:
        """Send SIGHUP to a node several times within the duration."""
        node = self.random.choice(self.targets.nodes)
        count = self.random.randint(1, MAX_SERIES_LENGTH)
        for _ in range(count):
            node.signal_process(SIGHUP)
            await asyncio.sleep(duration_s / count)

    async def change_configuration(self, duration_s: float) -> None:
        """Write several newer configurations within the duration."""
        count = self.random.randint(1, MAX_SERIES_LENGTH)
        for _ in range(count):
            await self._write_configuration()
            await asyncio.sleep(duration_s / count)

    async def silence_connections(self, duration_s: float) -> None:
        """Silence the open connections of random nodes to the store for good.

        Calls at once leave many idle connections before that. A new configuration
        follows once these nodes must apply it in time. The duration is not used, and
        nothing happens while another such fault is active.
        """
        if self._is_silencing:
            return
        self._is_silencing = True
        self.targets.store.request_delay_s = 0.2
        await self.call_at_once()
        self.targets.store.request_delay_s = 0.0
        in_touch_from_s = asyncio.get_running_loop().time() + CONTACT_S
        targets = self.targets
        for node, proxy in zip(targets.nodes, targets.store_proxies, strict=True):
            if self.random.random() < 0.7:
                proxy.silence()
                self.in_touch_from_s[node.name] = in_touch_from_s
        await asyncio.sleep(CONTACT_S + self.random.uniform(0.0, 0.5))
        await self._write_configuration()
        await asyncio.sleep(APPLY_BOUND_S + self.random.uniform(0.0, 1.0))
        self._is_silencing = False

    async def pause_node(self, duration_s: float) -> None:
        """Suspend a node with SIGSTOP, and resume it after the duration."""
        node = self.random.choice(self.targets.nodes)
        node.signal_process(SIGSTOP)
        await asyncio.sleep(duration_s)
        node.signal_process(SIGCONT)

    async def take_store_down(self, duration_s: float) -> None:
        """Make the store answer every request with an error."""
        self.targets.store.is_unavailable = True
        await asyncio.sleep(duration_s)
        self.targets.store.is_unavailable = False

    async def lose_store_answers(self, duration_s: float) -> None:
        """Drop the answers to 30% of the transactions to the store.

        At random, these transactions are committed at once, or all 0.5 to 3 s late.
        """
        store = self.targets.store
        store.answer_loss_probability = 0.3
        store.late_commit_delay_s = self.random.choice(
            (0.0, self.random.uniform(0.5, 3.0))
        )
        await asyncio.sleep(duration_s)
        store.answer_loss_probability = store.late_commit_delay_s = 0.0

    async def slow_store(self, duration_s: float) -> None:
        """Delay the processing of every request to the store."""
        self.targets.store.request_delay_s = self.random.uniform(0.05, 0.25)
        await asyncio.sleep(duration_s)
        self.targets.store.request_delay_s = 0.0

    async def forget_history(self, duration_s: float) -> None:
        """Discard the store's change history, so that nodes read all rows again.

        The duration is not used.
        """
        self.targets.store.drop_history()

    async def cut_node_from_store(self, duration_s: float) -> None:
        """Disturb the traffic of a node with the store as `_disrupt_link` does."""
        proxy = self.random.choice(self.targets.store_proxies)
        await self._disrupt_link(proxy, duration_s)

    async def reset_connections(self, duration_s: float) -> None:
        """Abort all connections of random proxies of the store and of the workers.

        Each proxy is selected with a probability of 0.5. The duration is not used.
        """
        for proxy in self.targets.store_proxies + self.targets.worker_proxies:
            if self.random.random() < 0.5:
                proxy.reset()

    async def harm_worker_link(self, duration_s: float) -> None:
        """Disturb the traffic of the nodes with a worker as `_disrupt_link` does."""
        await self._disrupt_link(
            self.random.choice(self.targets.worker_proxies), duration_s
        )

    async def crash_worker(self, duration_s: float) -> None:
        """Crash a worker and start it again under the same id after the duration.

        The connections to the worker are aborted. A worker that is already down is
        left as it is.
        """
        index = self.random.randrange(len(self.targets.workers))
        await self.targets.crash_worker(index, duration_s)

    async def lose_orders(self, duration_s: float) -> None:
        """Make a worker leave some requests unanswered and execute them late."""
        worker = self.random.choice(self.targets.workers)
        worker.order_loss_probability = self.random.choice((0.1, 0.3, 0.8))
        await asyncio.sleep(duration_s)
        worker.order_loss_probability = 0.0

    async def _write_configuration(self) -> None:
        loop = asyncio.get_running_loop()
        version = WrittenVersion(loop.time())
        self.versions.append(version)
        await write_configuration(
            self.targets.store, len(self.versions), self.tenant_cpu_millis
        )
        version.confirmed_s = loop.time()

    async def _disrupt_link(self, proxy: Proxy, duration_s: float) -> None:
        """Delay data, refuse new connections, or drop data one way or both ways.

        The mode is drawn from all proxy modes, so that it may be `OPEN`, which changes
        nothing.
        """
        if self.random.random() < 0.3:
            proxy.delay_s = self.random.uniform(0.02, 0.2)
        else:
            proxy.mode = self.random.choice([mode for mode in ProxyMode])
        await asyncio.sleep(duration_s)
        proxy.delay_s = 0.0
        proxy.mode = ProxyMode.OPEN

    async def _kill_and_restart(self, nodes: list[Node], downtime_s: float) -> None:
        killed_processes = [node.process for node in nodes]
        for node in nodes:
            node.signal_process(SIGCONT)
            node.signal_process(SIGKILL)
        await asyncio.sleep(max(downtime_s, 0.1))
        while any(process and process.poll() is None for process in killed_processes):
            await asyncio.sleep(0.02)
        for node in nodes:
            if not node.is_running:
                node.start()
