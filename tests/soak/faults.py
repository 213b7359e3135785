"""Faults from outside, drawn from a seed: in series, and overlapping."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM

from attrs import define

from tests.soak.nodes import Node
from tests.soak.proxy import Mode, Proxy
from tests.soak.store import StoreStandIn
from tests.soak.workers import Worker, register

SPREAD_S = (0.3, 4.0)
"""Shortest and longest fault, in seconds."""

FAULTS_PER_S = 0.6
"""Mean rate of new faults; about one and a half are under way at once."""


@define(eq=False)
class Surroundings:
    """Everything that faults act on."""

    nodes: list[Node]
    store: StoreStandIn
    store_proxies: list[Proxy]
    workers: list[Worker]
    worker_proxies: list[Proxy]
    worker_addresses: list[str]


ALL_KINDS = (
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
class Faults:
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

    around: Surroundings
    random: Random
    kinds: tuple[str, ...] = ALL_KINDS

    async def run(self, seconds: float, log: Callable[[str], None]) -> None:
        """Apply faults at random times; return once all have ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        running = []
        while loop.time() < end_s:
            kind = self.random.choice(self.kinds)
            for_s = self.random.uniform(*SPREAD_S)
            log(f"{kind} for {for_s:.1f} s")
            running.append(asyncio.create_task(getattr(self, kind)(for_s)))
            await asyncio.sleep(self.random.expovariate(FAULTS_PER_S))
        await asyncio.gather(*running)

    async def kill_node(self, for_s: float) -> None:
        """Kill a process, and start it again."""
        await self._restart([self.random.choice(self.around.nodes)], for_s / 2)

    async def kill_all(self, for_s: float) -> None:
        """Kill every process at once, and start them again."""
        await self._restart(self.around.nodes, for_s / 2)

    async def stop_node(self, for_s: float) -> None:
        """Stop a process as planned work does, and start it again."""
        node = self.random.choice(self.around.nodes)
        node.signal(SIGTERM)
        await asyncio.sleep(6.0)
        await self._restart([node], 0.1)

    async def pause_node(self, for_s: float) -> None:
        """Let a process stand still."""
        node = self.random.choice(self.around.nodes)
        node.signal(SIGSTOP)
        await asyncio.sleep(for_s)
        node.signal(SIGCONT)

    async def take_store_down(self, for_s: float) -> None:
        """Let the store refuse everything."""
        self.around.store.is_down = True
        await asyncio.sleep(for_s)
        self.around.store.is_down = False

    async def lose_store_answers(self, for_s: float) -> None:
        """Lose answers of transactions, some of which are carried out late."""
        store = self.around.store
        store.lost_share = 0.3
        store.late_s = self.random.choice((0.0, self.random.uniform(0.5, 3.0)))
        await asyncio.sleep(for_s)
        store.lost_share = store.late_s = 0.0

    async def slow_store(self, for_s: float) -> None:
        """Let the store answer slowly."""
        self.around.store.delay_s = self.random.uniform(0.05, 0.25)
        await asyncio.sleep(for_s)
        self.around.store.delay_s = 0.0

    async def forget_history(self, for_s: float) -> None:
        """Let the store drop its history."""
        self.around.store.drop_history()

    async def cut_node_from_store(self, for_s: float) -> None:
        """Part one process from the store, one way or both."""
        proxy = self.random.choice(self.around.store_proxies)
        await self._harm(proxy, for_s)

    async def reset_connections(self, for_s: float) -> None:
        """Reset the connections to the store and to the workers."""
        for proxy in self.around.store_proxies + self.around.worker_proxies:
            if self.random.random() < 0.5:
                proxy.reset()

    async def harm_worker_link(self, for_s: float) -> None:
        """Delay, silence or cut the way to a worker, one way or both."""
        await self._harm(self.random.choice(self.around.worker_proxies), for_s)

    async def crash_worker(self, for_s: float) -> None:
        """Let a worker crash and start again under its id."""
        index = self.random.randrange(len(self.around.workers))
        worker = self.around.workers[index]
        if not worker.is_up:
            return
        worker.crash()
        self.around.worker_proxies[index].reset()
        await asyncio.sleep(for_s)
        worker.be_born()
        address = self.around.worker_addresses[index]
        await register(self.around.store, worker, address)

    async def lose_orders(self, for_s: float) -> None:
        """Leave orders to a worker unanswered and carry them out late."""
        worker = self.random.choice(self.around.workers)
        worker.orders_lost = self.random.choice((0.1, 0.3, 0.8))
        await asyncio.sleep(for_s)
        worker.orders_lost = 0.0

    async def _harm(self, proxy: Proxy, for_s: float) -> None:
        if self.random.random() < 0.3:
            proxy.delay_s = self.random.uniform(0.02, 0.2)
        else:
            proxy.mode = self.random.choice([mode for mode in Mode])
        await asyncio.sleep(for_s)
        proxy.delay_s = 0.0
        proxy.mode = Mode.OPEN

    async def _restart(self, nodes: list[Node], down_s: float) -> None:
        killed = [node.process for node in nodes]
        for node in nodes:
            node.signal(SIGCONT)
            node.signal(SIGKILL)
        await asyncio.sleep(max(down_s, 0.1))
        while any(process and process.poll() is None for process in killed):
            await asyncio.sleep(0.02)
        for node in nodes:
            if not node.is_running:
                node.start()
