"""Faults beside a configuration that takes seconds to reach nodes on slow links."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from random import Random

from attrs import define, field, frozen

from tests.soak.configuration import WrittenVersion, encode_configuration
from tests.soak.faults import MAX_SERIES_LENGTH, FaultInjector
from tests.soak.nodes import Node
from tests.soak.proxy import Proxy

LINK_BYTES_PER_S = 625_000.0
"""Rate of a slow link, which has 5 Mbit/s."""

CONFIGURATION_BOUND_MS = 3000
"""Bound on applying a configuration that nodes are told, in milliseconds."""

CONTACT_S = 3.0
"""Seconds after a disturbance from which the bounds of a node hold again."""

DOCUMENT_SIZES = (1_200_000, 1_200_000, 2_500_000)
"""Sizes to which the configuration grows, in bytes on the wire; one is drawn."""

GROWTH_RANGE = (0.2, 0.4)
"""Smallest and largest growth with one version, as a share of the final size."""

FILLER_SAMPLE = 100
"""Number of queues from which the length of one on the wire is computed."""

GROWTH_KIND = "grow_configuration"

SLOW_LINK_KINDS = (
    GROWTH_KIND,
    GROWTH_KIND,
    GROWTH_KIND,
    GROWTH_KIND,
    "silence_links",
    "silence_long_reply",
    "forget_history",
    "take_store_down",
    "cut_node_from_store",
    "kill_node",
    "kill_owner",
    "stop_node",
    "reload_node",
)
"""Faults beside configurations that grow; growth is drawn more often."""


def make_marker_name(version: int) -> str:
    """Return the name of the queue that all versions from the given one on have."""
    return f"version-{version}"


@frozen
class SlowLinks:
    """The nodes whose links are slow, and how far the configuration grows.

    Attributes
    ----------
    rates : dict of int to float
        Rate of each slow link, in bytes per second, by number of the node.
    max_document_bytes : int
        Size that the configuration reaches on the wire, in bytes.
    feeds_newest_only : bool
        Whether feeds of the store leave out versions that others have replaced.
    """

    rates: dict[int, float]
    max_document_bytes: int
    feeds_newest_only: bool

    @classmethod
    def draw(cls, random: Random, node_count: int) -> SlowLinks:
        """Draw some of the nodes, not all, a size and what feeds return."""
        count = random.randint(1, node_count - 1)
        numbers = random.sample(range(node_count), count)
        return cls(
            dict.fromkeys(numbers, LINK_BYTES_PER_S),
            random.choice(DOCUMENT_SIZES),
            random.random() < 0.5,
        )


@define(eq=False)
class Contact:
    """Since when each node, its link and the store have not been disturbed."""

    _active_counts: Counter[str] = field(factory=Counter)
    _calm_from_s: dict[str, float] = field(factory=dict)

    def get_calm_from_s(self, node: Node) -> float:
        """Return the end of the last disturbance; infinity during one."""
        if self._active_counts[node.name]:
            return float("inf")
        return self._calm_from_s.get(node.name, 0.0)

    @contextmanager
    def disturb(self, nodes: Iterable[Node]) -> Iterator[None]:
        """Note that nodes are disturbed until the context ends."""
        names = [node.name for node in nodes]
        self._active_counts.update(names)
        try:
            yield
        finally:
            self._active_counts.subtract(names)
            now_s = asyncio.get_running_loop().time()
            self._calm_from_s.update(dict.fromkeys(names, now_s))


@define(eq=False)
class SlowLinkFaults(FaultInjector):
    """Injects faults while the configuration grows, and notes whom they disturb.

    Attributes
    ----------
    max_document_bytes : int
        Size that the configuration reaches on the wire, in bytes.
    contact : Contact
        Since when each node has not been disturbed.
    document_sizes : list of int
        Size of each version on the wire, in bytes, from version 1 on.
    """

    max_document_bytes: int = field(kw_only=True)
    contact: Contact = field(factory=Contact, init=False)
    document_sizes: list[int] = field(factory=lambda: [0], init=False)
    _filler_count: int = field(default=0, init=False)

    def compute_transfer_s(self, node: Node, version: int) -> float:
        """Return the seconds that a version needs on the link of a node."""
        rate = self._get_proxy(node).bytes_per_s
        return 0.0 if rate is None else self.document_sizes[version - 1] / rate

    async def run(self, total_s: float, log: Callable[[str], None]) -> None:
        """Inject faults; return once the last version must be in force everywhere."""
        log(
            f"document of up to {self.max_document_bytes} bytes; feeds of the newest "
            f"changes only: {self.targets.store.feeds_newest_only}; slow links: "
            f"{[n.name for n in self.targets.nodes if self._get_proxy(n).bytes_per_s]}"
        )
        await super().run(total_s, log)
        await self._write_configuration()
        now_s = asyncio.get_running_loop().time()
        due_s = max(
            self.compute_due_s(node, len(self.versions)) for node in self.targets.nodes
        )
        await asyncio.sleep(due_s - now_s + 1.0)

    def compute_contact_s(self, node: Node) -> float:
        """Return from when the bounds of a node hold after its last disturbance.

        By then it has had time to read the newest version again.
        """
        calm_from_s = self.contact.get_calm_from_s(node)
        transfer_s = self.compute_transfer_s(node, len(self.document_sizes))
        return calm_from_s + CONTACT_S + transfer_s

    def compute_due_s(self, node: Node, version: int) -> float:
        """Return when a version must be in force at a node."""
        bound_s = CONFIGURATION_BOUND_MS / 1000 + self.compute_transfer_s(node, version)
        return max(
            self.versions[version - 1].confirmed_s + bound_s,
            self.compute_contact_s(node),
        )

    async def grow_configuration(self, duration_s: float) -> None:
        """Write several versions within the duration, each larger up to the limit."""
        count = self.random.randint(1, MAX_SERIES_LENGTH)
        for _ in range(count):
            await self._write_configuration()
            await asyncio.sleep(duration_s / count)

    async def silence_links(self, duration_s: float) -> None:
        """Silence the open connections of random nodes to the store for good.

        The duration is not used.
        """
        nodes = [node for node in self.targets.nodes if self.random.random() < 0.7]
        self._silence(nodes)

    async def silence_long_reply(self, duration_s: float) -> None:
        """Silence the connections of slow links while they transfer a new version.

        The duration is not used.
        """
        await self._write_configuration()
        version = len(self.versions)
        nodes = [
            node
            for node in self.targets.nodes
            if self._get_proxy(node).bytes_per_s is not None
        ]
        transfer_s = max(self.compute_transfer_s(node, version) for node in nodes)
        await asyncio.sleep(self.random.uniform(0.0, transfer_s))
        self._silence(nodes)

    async def kill_owner(self, duration_s: float) -> None:
        """Kill the owner of the cell and start it again after half of the duration."""
        row = b64decode(self.targets.store.read_value("control", "owner"))
        owners = [n for n in self.targets.nodes if f"{n.ip}:".encode() in row]
        await self._kill_and_restart(owners, duration_s / 2)

    async def take_store_down(self, duration_s: float) -> None:
        """Make the store answer every request with an error."""
        with self.contact.disturb(self.targets.nodes):
            await super().take_store_down(duration_s)

    async def forget_history(self, duration_s: float) -> None:
        """Discard the store's change history, so that nodes read all rows again."""
        with self.contact.disturb(self.targets.nodes):
            await super().forget_history(duration_s)

    def _get_proxy(self, node: Node) -> Proxy:
        return self.targets.store_proxies[self.targets.nodes.index(node)]

    def _silence(self, nodes: list[Node]) -> None:
        with self.contact.disturb(nodes):
            for node in nodes:
                self._get_proxy(node).silence()

    async def _stop_node(self, node: Node) -> None:
        with self.contact.disturb([node]):
            await super()._stop_node(node)

    async def _kill_and_restart(self, nodes: list[Node], downtime_s: float) -> None:
        with self.contact.disturb(nodes):
            await super()._kill_and_restart(nodes, downtime_s)

    async def _disrupt_link(self, proxy: Proxy, duration_s: float) -> None:
        index = self.targets.store_proxies.index(proxy)
        with self.contact.disturb([self.targets.nodes[index]]):
            await super()._disrupt_link(proxy, duration_s)

    async def _write_configuration(self) -> None:
        written = WrittenVersion(asyncio.get_running_loop().time())
        self.versions.append(written)
        version = len(self.versions)
        value = self._encode(version)
        if len(value) < self.max_document_bytes:
            growth = self.random.uniform(*GROWTH_RANGE) * self.max_document_bytes
            target_bytes = min(len(value) + growth, self.max_document_bytes)
            sample_bytes = len(self._encode(version, FILLER_SAMPLE)) - len(value)
            share = (target_bytes - len(value)) / sample_bytes
            self._filler_count += round(FILLER_SAMPLE * share)
            value = self._encode(version)
        self.document_sizes.append(len(value))
        await self.targets.store.write_row("op", "config", value)
        written.confirmed_s = asyncio.get_running_loop().time()

    def _encode(self, version: int, added_count: int = 0) -> str:
        markers = [make_marker_name(number) for number in range(2, version + 1)]
        fillers = [f"queue-{n:06}" for n in range(self._filler_count + added_count)]
        return encode_configuration(
            version, ("jobs", *markers, *fillers), self.tenant_cpu_millis
        )
