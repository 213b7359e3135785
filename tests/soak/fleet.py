"""The nodes and the workers of a soak test, and the proxies in front of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import TypeVar

from aiohttp import web
from attrs import define, field

from tests.soak.faults import FaultTargets
from tests.soak.nodes import Node, make_network_prefix
from tests.soak.observer import Observer
from tests.soak.peer_network import PeerProxy
from tests.soak.proxy import Proxy
from tests.soak.store import StoreStandIn
from tests.soak.workers import FAILURE_DOMAINS, Worker, register_worker

LOOPBACK_IP = "127.0.0.1"
BITS_PER_BYTE, BITS_PER_MBIT = 8, 1e6
T = TypeVar("T")
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@define(eq=False)
class Fleet:
    """Starts nodes and workers, also in place of others, and ends all of them.

    Attributes
    ----------
    seed : int
        Seed of the workers' random decisions.
    folder : Path
        Folder that holds settings files and logs.
    observer : Observer
        Receives what the workers observe, and the ends of nodes by themselves.
    store : StoreStandIn
        Store that all nodes use.
    failure_probability : float
        Probability that a run fails at its end.
    has_peer_proxies : bool
        Whether nodes connect to their peers through proxies, so that they can be cut
        off from them.
    max_lease_ms : int
        Longest lease that workers grant, in milliseconds.
    drain_bound_ms : int or None
        Bound on draining a failure domain that nodes are told, in milliseconds.
    link_rates : dict of int to float
        Rate of the link to the store, in bytes per second, by number of the node;
        without the nodes whose rate is not limited.
    configuration_bound_ms : int or None
        Bound on applying a configuration that nodes are told, in milliseconds.
    targets : FaultTargets
        The nodes and the workers at present, without those that were replaced.
    cut_ips : set of str
        Addresses of the nodes that are cut off from their peers; needs peer proxies.
    """

    seed: int
    folder: Path
    observer: Observer
    store: StoreStandIn
    failure_probability: float
    has_peer_proxies: bool = False
    max_lease_ms: int = 6000
    drain_bound_ms: int | None = None
    link_rates: dict[int, float] = field(factory=dict)
    configuration_bound_ms: int | None = None
    targets: FaultTargets = field(init=False)
    cut_ips: set[str] = field(factory=set, init=False)
    _network_prefix: str = field(factory=make_network_prefix, init=False)
    _nodes: list[Node] = field(factory=list, init=False)
    _proxies: list[Proxy] = field(factory=list, init=False)
    _servers: list[web.ServerRunner] = field(factory=list, init=False)
    _lease_tasks: list[asyncio.Task[None]] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        self.targets = FaultTargets([], self.store, [], [], [], [])

    async def add_worker(self, replaced_index: int | None = None) -> None:
        """Start a worker under a new id, in place of another one if that is given."""
        number = len(self._lease_tasks)
        worker = Worker(
            f"worker-{number}", self.observer, Random(self.seed + 10 + number)
        )
        worker.failure_probability = self.failure_probability
        worker.max_lease_ms = self.max_lease_ms
        worker.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        worker.start_incarnation()
        proxy, address = await self._start_proxy(worker.handle_request)
        self._lease_tasks.append(asyncio.create_task(worker.enforce_lease()))
        targets = self.targets
        _put(targets.workers, worker, replaced_index)
        _put(targets.worker_proxies, proxy, replaced_index)
        _put(targets.worker_addresses, address, replaced_index)
        await register_worker(self.store, worker, address)

    async def add_node(self, replaced_index: int | None = None) -> None:
        """Start a node under a new name and address, in place of another one if given.

        The process of the other one is left as it is.
        """
        number = len(self._nodes)
        name, ip = f"node-{number}", f"{self._network_prefix}.{1 + number}"
        proxy, address = await self._start_proxy(
            partial(self.store.handle_request, name)
        )
        proxy.bytes_per_s = self.link_rates.get(number)
        peer_proxy_address = ""
        if self.has_peer_proxies:
            peer_proxy = PeerProxy(LOOPBACK_IP, ip, self.cut_ips)
            peer_proxy_address = f"{LOOPBACK_IP}:{await peer_proxy.start()}"
            self._proxies.append(peer_proxy)
        node = Node(
            name,
            ip,
            address,
            self.folder,
            peer_proxy_address,
            self.max_lease_ms,
            self.drain_bound_ms,
            proxy.bytes_per_s and proxy.bytes_per_s * BITS_PER_BYTE / BITS_PER_MBIT,
            self.configuration_bound_ms,
        )
        node.start()
        self._nodes.append(node)
        _put(self.targets.store_proxies, proxy, replaced_index)
        _put(self.targets.nodes, node, replaced_index)

    async def stop(self) -> None:
        """End all processes, also those that were replaced, and all servers."""
        for node in self._nodes:
            node.kill()
            self.observer.problems += [
                f"{node.name} ended by itself with code {exit_code}"
                for exit_code in node.unexpected_exit_codes
            ]
        for task in self._lease_tasks:
            task.cancel()
        for proxy in self._proxies:
            await proxy.stop()
        for server in self._servers:
            await server.cleanup()

    async def _start_proxy(self, handler: Handler) -> tuple[Proxy, str]:
        """Serve a handler behind a proxy; return that and its host and port."""
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK_IP, 0).start()
        self._servers.append(runner)
        proxy = Proxy(LOOPBACK_IP, int(runner.addresses[0][1]))
        self._proxies.append(proxy)
        return proxy, f"{LOOPBACK_IP}:{await proxy.start()}"


def _put(items: list[T], item: T, replaced_index: int | None) -> None:
    if replaced_index is None:
        items.append(item)
    else:
        items[replaced_index] = item
