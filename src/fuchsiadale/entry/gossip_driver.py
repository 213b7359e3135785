"""Exchanges configuration versions and usage with the peers."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from result import Err, Ok

from fuchsiadale.codec import decode, encode
from fuchsiadale.config.model import ConfigDocument
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.freshness import PeerConfigStatus
from fuchsiadale.decision.membership import preferred_member
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.directory import Directory
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.ownership_driver import OwnershipDriver
from fuchsiadale.entry.peer_set import PeerSet
from fuchsiadale.entry.workers_driver import WorkerList
from fuchsiadale.metrics import Counters
from fuchsiadale.peers.gateway import Peer
from fuchsiadale.peers.peer_pb2 import GossipReply, GossipRequest, TeamUse

GOSSIP_PERIOD_S = 1.0


class GossipDriver:
    """Exchanges configuration versions and team usage with every peer.

    Each team has a home, the member that rendezvous hashing prefers. Members tell the
    home what the team uses with them, and learn the total from its answer.

    Parameters
    ----------
    identity : Identity
        This member.
    directory : Directory
        The members.
    peers : PeerSet
        The connections.
    config : ConfigDriver
        The configuration.
    ownership : OwnershipDriver
        The partitions of this member.
    worker_list : WorkerList
        The fleet.
    clock : Clock
        The clock.
    counters : Counters
        Takes the counts.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        peers: PeerSet,
        config: ConfigDriver,
        ownership: OwnershipDriver,
        worker_list: WorkerList,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._peers = peers
        self._config = config
        self._ownership = ownership
        self._worker_list = worker_list
        self._clock = clock
        self._counters = counters
        self._reported: defaultdict[str, dict[str, Resources]] = defaultdict(dict)
        self._totals: dict[str, Resources] = {}

    async def run(self) -> None:
        """Gossip, for ever."""
        while True:
            await self.round()
            await asyncio.sleep(GOSSIP_PERIOD_S)

    async def round(self) -> None:
        """Exchange once with every peer."""
        await self._peers.update()
        self._config.freshness.set_member_count(len(self._directory.members))
        self._forget_gone_members()
        by_home = self._uses_by_home()
        self._take_own_home(by_home.get(self._identity.member, {}))
        await asyncio.gather(
            *(
                self._exchange(client, by_home.get(name, {}))
                for name, client in list(self._peers.clients.items())
            )
        )
        self._apply_totals()

    def answer(self, request: GossipRequest) -> GossipReply:
        """Answer a peer's gossip."""
        if request.partition_released:
            self._ownership.wake()
        totals: list[TeamUse] = []
        for use in request.uses:
            self._reported[use.team][request.member] = _resources(use)
            totals.append(_use(use.team, self._total_of(use.team)))
        document = b""
        if request.config_version < self._config.document.version:
            document = encode(self._config.document)
        freshness = self._config.freshness
        return GossipReply(
            config_version=freshness.version,
            config_age_s=freshness.age_s(),
            store_reachable=freshness.is_store_reachable(),
            document=document,
            totals=totals,
        )

    async def announce_release(self) -> None:
        """Tell every peer that partitions were handed over."""
        request = GossipRequest(
            member=self._identity.member,
            config_version=self._config.document.version,
            partition_released=True,
        )
        await asyncio.gather(
            *(client.gossip(request) for client in self._peers.clients.values())
        )

    async def _exchange(self, client: Peer, uses: dict[str, Resources]) -> None:
        sent_s = self._clock.now()
        request = GossipRequest(
            member=self._identity.member,
            config_version=self._config.document.version,
            uses=[_use(team, used) for team, used in uses.items()],
        )
        answer = await client.gossip(request)
        if isinstance(answer, Err):
            self._counters.add("gossip.unanswered")
            return
        reply = answer.ok_value
        if reply.document:
            document = decode(reply.document, ConfigDocument)
            if isinstance(document, Ok):
                self._config.apply(document.ok_value)
        told = PeerConfigStatus(
            reply.config_version, reply.config_age_s, reply.store_reachable
        )
        self._config.freshness.record_peer_answer(client.member, told, sent_s)
        for use in reply.totals:
            self._totals[use.team] = _resources(use)

    def _uses_by_home(self) -> dict[str, dict[str, Resources]]:
        by_home: defaultdict[str, dict[str, Resources]] = defaultdict(dict)
        members = list(self._directory.members)
        for team, used in self._own_usage().items():
            home = preferred_member(team, members)
            if home is not None:
                by_home[home][team] = used
        return by_home

    def _own_usage(self) -> dict[str, Resources]:
        """Return what each active team uses in the partitions of this member."""
        totals: dict[str, Resources] = {}
        for driver in self._ownership.drivers.values():
            for team, usage in driver.partition.scheduler.usage.items():
                if usage.local != NO_RESOURCES or team in self._totals:
                    earlier = totals.get(team, NO_RESOURCES)
                    totals[team] = earlier + usage.local
        return totals

    def _take_own_home(self, uses: dict[str, Resources]) -> None:
        for team, used in uses.items():
            self._reported[team][self._identity.member] = used
            self._totals[team] = self._total_of(team)

    def _apply_totals(self) -> None:
        """Tell the schedulers what teams use outside each partition."""
        capacity = self._worker_list.capacity
        for driver in self._ownership.drivers.values():
            scheduler = driver.partition.scheduler
            scheduler.fleet_capacity = capacity
            for team, total in self._totals.items():
                usage = scheduler.usage.get(team)
                if usage is None:
                    continue
                elsewhere = (total - usage.local).maximum(NO_RESOURCES)
                scheduler.set_remote_dominant_share(
                    team, elsewhere.dominant_share(capacity)
                )
        idle = [team for team, used in self._totals.items() if used == NO_RESOURCES]
        for team in idle:
            del self._totals[team]

    def _forget_gone_members(self) -> None:
        members = set(self._directory.members)
        for team, reports in list(self._reported.items()):
            for member in set(reports) - members:
                del reports[member]
            if not reports:
                del self._reported[team]
                self._totals.pop(team, None)

    def _total_of(self, team: str) -> Resources:
        return _sum(self._reported[team].values())


def _sum(amounts: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for each in amounts:
        total = total + each
    return total


def _use(team: str, used: Resources) -> TeamUse:
    return TeamUse(
        team=team,
        cpu_millis=used.cpu_millis,
        memory_mb=used.memory_mb,
        accelerators=used.accelerators,
    )


def _resources(use: TeamUse) -> Resources:
    return Resources(use.cpu_millis, use.memory_mb, use.accelerators)
