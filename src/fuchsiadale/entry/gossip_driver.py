"""Exchanges configuration versions and the resource usage of teams with the peers."""

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
from fuchsiadale.entry.worker_list import WorkerList
from fuchsiadale.metrics import Counters
from fuchsiadale.peers.gateway import Peer
from fuchsiadale.peers.peer_pb2 import GossipReply, GossipRequest, TeamUse

# Seconds between two rounds of gossip.
GOSSIP_PERIOD_S = 1.0


class GossipDriver:
    """Exchanges configuration versions and team usage with every peer.

    Rendezvous hashing assigns each team an aggregator, one of the members. Every member
    reports to the aggregator what the team uses in its own partitions, and the reply
    holds the sum of the last reports of all members.

    Parameters
    ----------
    identity : Identity
        The member that this process is.
    directory : Directory
        The members of the cluster.
    peers : PeerSet
        The connections to the other members.
    config : ConfigDriver
        Holds the configuration and applies newer documents from peers.
    ownership : OwnershipDriver
        The partitions that this member owns.
    worker_list : WorkerList
        Gives the total capacity of the workers.
    clock : Clock
        Gives the time at which a request is sent.
    counters : Counters
        Counts unanswered requests.
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
        self._reported_usage: defaultdict[str, dict[str, Resources]] = defaultdict(dict)
        self._total_usage: dict[str, Resources] = {}

    async def run(self) -> None:
        """Run a round of gossip in every period until cancelled."""
        while True:
            await self.run_round()
            await asyncio.sleep(GOSSIP_PERIOD_S)

    async def run_round(self) -> None:
        """Exchange versions and usage with every peer once."""
        await self._peers.update()
        self._config.freshness.set_member_count(len(self._directory.members))
        self._discard_departed_members()
        usage_by_aggregator = self._usage_by_aggregator()
        self._record_own_usage(usage_by_aggregator.get(self._identity.member, {}))
        await asyncio.gather(
            *(
                self._exchange_with(client, usage_by_aggregator.get(name, {}))
                for name, client in list(self._peers.clients.items())
            )
        )
        self._apply_total_usage()

    def handle_request(self, request: GossipRequest) -> GossipReply:
        """Process the gossip request of a peer and return the reply."""
        if request.partition_released:
            self._ownership.request_reconciliation()
        totals: list[TeamUse] = []
        for use in request.uses:
            self._reported_usage[use.team][request.member] = _decode_use(use)
            totals.append(_encode_use(use.team, self._sum_reports(use.team)))
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
        """Inform every peer that this member has released its partitions."""
        request = GossipRequest(
            member=self._identity.member,
            config_version=self._config.document.version,
            partition_released=True,
        )
        await asyncio.gather(
            *(client.gossip(request) for client in self._peers.clients.values())
        )

    async def _exchange_with(self, client: Peer, uses: dict[str, Resources]) -> None:
        sent_s = self._clock.now()
        request = GossipRequest(
            member=self._identity.member,
            config_version=self._config.document.version,
            uses=[_encode_use(team, used) for team, used in uses.items()],
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
        peer_status = PeerConfigStatus(
            reply.config_version, reply.config_age_s, reply.store_reachable
        )
        self._config.freshness.record_peer_answer(client.member, peer_status, sent_s)
        for use in reply.totals:
            self._total_usage[use.team] = _decode_use(use)

    def _usage_by_aggregator(self) -> dict[str, dict[str, Resources]]:
        """Return what the teams use at this member, by aggregator and team."""
        by_aggregator: defaultdict[str, dict[str, Resources]] = defaultdict(dict)
        members = list(self._directory.members)
        for team, used in self._local_usage().items():
            aggregator = preferred_member(team, members)
            if aggregator is not None:
                by_aggregator[aggregator][team] = used
        return by_aggregator

    def _local_usage(self) -> dict[str, Resources]:
        """Return what each active team uses in the partitions of this member.

        A team is active if it uses something here or has a known total.
        """
        totals: dict[str, Resources] = {}
        for driver in self._ownership.drivers.values():
            for team, usage in driver.partition.scheduler.usage.items():
                if usage.local != NO_RESOURCES or team in self._total_usage:
                    earlier = totals.get(team, NO_RESOURCES)
                    totals[team] = earlier + usage.local
        return totals

    def _record_own_usage(self, uses: dict[str, Resources]) -> None:
        """Record this member's usage of the teams that it aggregates itself."""
        for team, used in uses.items():
            self._reported_usage[team][self._identity.member] = used
            self._total_usage[team] = self._sum_reports(team)

    def _apply_total_usage(self) -> None:
        """Update the usage by which each scheduler orders the teams.

        Sets the fleet's capacity and the dominant share that each team uses in other
        partitions, then drops teams without usage from the totals.
        """
        capacity = self._worker_list.capacity
        for driver in self._ownership.drivers.values():
            scheduler = driver.partition.scheduler
            scheduler.fleet_capacity = capacity
            for team, total in self._total_usage.items():
                usage = scheduler.usage.get(team)
                if usage is None:
                    continue
                remote_usage = (total - usage.local).maximum(NO_RESOURCES)
                scheduler.set_remote_dominant_share(
                    team, remote_usage.dominant_share(capacity)
                )
        idle_teams = [
            team for team, used in self._total_usage.items() if used == NO_RESOURCES
        ]
        for team in idle_teams:
            del self._total_usage[team]

    def _discard_departed_members(self) -> None:
        """Discard the reports of members that have left the cluster."""
        members = set(self._directory.members)
        for team, reports in list(self._reported_usage.items()):
            for member in set(reports) - members:
                del reports[member]
            if not reports:
                del self._reported_usage[team]
                self._total_usage.pop(team, None)

    def _sum_reports(self, team: str) -> Resources:
        return _sum_resources(self._reported_usage[team].values())


def _sum_resources(amounts: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for amount in amounts:
        total = total + amount
    return total


def _encode_use(team: str, used: Resources) -> TeamUse:
    return TeamUse(
        team=team,
        cpu_millis=used.cpu_millis,
        memory_mb=used.memory_mb,
        accelerators=used.accelerators,
    )


def _decode_use(use: TeamUse) -> Resources:
    return Resources(use.cpu_millis, use.memory_mb, use.accelerators)
