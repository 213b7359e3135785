"""Faults from outside, drawn from a seed: in series, and overlapping."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM

from attrs import define

from tests.soak.nodes import Node
from tests.soak.proxy import Proxy, ProxyMode
from tests.soak.store import StoreStandIn
from tests.soak.workers import Worker, register_worker

FAULT_DURATION_RANGE_S = (0.3, 4.0)
"""Shortest and longest fault, in seconds."""

FAULTS_PER_S = 0.6
"""Mean rate of new faults; about one and a half are under way at once."""


@define(eq=False)
class FaultTargets:
    """Everything that faults act on."""

    nodes: list[Node]
    store: StoreStandIn
    store_proxies: list[Proxy]
    workers: list[Worker]
    worker_proxies: list[Proxy]
    worker_addresses: list[str]


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


@define(eq=False)
class FaultInjector:
    """Applies faults until its time is up, then heals everything.

    Attributes
    ----------
    around : Surroundings
        What they act on.
    random : Random
        Decides which, when and how long.
    kinds : tuple of str
        Names of the methods to draw from.
    """

    targets: FaultTargets
    random: Random
    kinds: tuple[str, ...] = ALL_FAULT_KINDS

    async def run(self, total_s: float, log: Callable[[str], None]) -> None:
        """Apply faults at random times; return once all have ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + total_s
        fault_tasks = []
        while loop.time() < end_s:
            kind = self.random.choice(self.kinds)
            duration_s = self.random.uniform(*FAULT_DURATION_RANGE_S)
            log(f"{kind} for {duration_s:.1f} s")
            fault_tasks.append(asyncio.create_task(getattr(self, kind)(duration_s)))
            await asyncio.sleep(self.random.expovariate(FAULTS_PER_S))
        await asyncio.gather(*fault_tasks)

    async def kill_node(self, duration_s: float) -> None:
        """Kill a process, and start it again."""
        await self._kill_and_restart(
            [self.random.choice(self.targets.nodes)], duration_s / 2
        )

    async def kill_all(self, duration_s: float) -> None:
        """Kill every process at once, and start them again."""
        await self._kill_and_restart(self.targets.nodes, duration_s / 2)

    async def stop_node(self, duration_s: float) -> None:
        """Stop a process as planned work does, and start it again."""
        node = self.random.choice(self.targets.nodes)
        node.send_signal(SIGTERM)
        await asyncio.sleep(6.0)
        await self._kill_and_restart([node], 0.1)

    async def pause_node(self, duration_s: float) -> None:
        """Let a process stand still."""
        node = self.random.choice(self.targets.nodes)
        node.send_signal(SIGSTOP)
        await asyncio.sleep(duration_s)
        node.send_signal(SIGCONT)

    async def take_store_down(self, duration_s: float) -> None:
        """Let the store refuse everything."""
        self.targets.store.is_unavailable = True
        await asyncio.sleep(duration_s)
        self.targets.store.is_unavailable = False

    async def lose_store_answers(self, duration_s: float) -> None:
        """Lose answers of transactions, some of which are carried out late."""
        store = self.targets.store
        store.answer_loss_probability = 0.3
        store.late_commit_delay_s = self.random.choice(
            (0.0, self.random.uniform(0.5, 3.0))
        )
        await asyncio.sleep(duration_s)
        store.answer_loss_probability = store.late_commit_delay_s = 0.0

    async def slow_store(self, duration_s: float) -> None:
        """Let the store answer slowly."""
        self.targets.store.answer_delay_s = self.random.uniform(0.05, 0.25)
        await asyncio.sleep(duration_s)
        self.targets.store.answer_delay_s = 0.0

    async def forget_history(self, duration_s: float) -> None:
        """Let the store drop its history."""
        self.targets.store.drop_history()

    async def cut_node_from_store(self, duration_s: float) -> None:
        """Part one process from the store, one way or both."""
        proxy = self.random.choice(self.targets.store_proxies)
        await self._disrupt_link(proxy, duration_s)

    async def reset_connections(self, duration_s: float) -> None:
        """Reset the connections to the store and to the workers."""
        for proxy in self.targets.store_proxies + self.targets.worker_proxies:
            if self.random.random() < 0.5:
                proxy.reset()

    async def harm_worker_link(self, duration_s: float) -> None:
        """Delay, silence or cut the way to a worker, one way or both."""
        await self._disrupt_link(
            self.random.choice(self.targets.worker_proxies), duration_s
        )

    async def crash_worker(self, duration_s: float) -> None:
        """Let a worker crash and start again under its id."""
        index = self.random.randrange(len(self.targets.workers))
        worker = self.targets.workers[index]
        if not worker.is_up:
            return
        worker.crash()
        self.targets.worker_proxies[index].reset()
        await asyncio.sleep(duration_s)
        worker.start_incarnation()
        address = self.targets.worker_addresses[index]
        await register_worker(self.targets.store, worker, address)

    async def lose_orders(self, duration_s: float) -> None:
        """Leave orders to a worker unanswered and carry them out late."""
        worker = self.random.choice(self.targets.workers)
        worker.order_loss_probability = self.random.choice((0.1, 0.3, 0.8))
        await asyncio.sleep(duration_s)
        worker.order_loss_probability = 0.0

    async def _disrupt_link(self, proxy: Proxy, duration_s: float) -> None:
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
            node.send_signal(SIGCONT)
            node.send_signal(SIGKILL)
        await asyncio.sleep(max(downtime_s, 0.1))
        while any(process and process.poll() is None for process in killed_processes):
            await asyncio.sleep(0.02)
        for node in nodes:
            if not node.is_running:
                node.start()
