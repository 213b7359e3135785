"""The parts of an entry process, how they hang together, and how they drain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import frozen
from eliot import log_message

from fuchsiadale.backend.server import BackendConnector
from fuchsiadale.config.model import ConfigDocument
from fuchsiadale.config.settings import Settings
from fuchsiadale.decision.views import build_work_view
from fuchsiadale.decision.work import Work
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.directory import Directory
from fuchsiadale.entry.gossip_driver import GossipDriver
from fuchsiadale.entry.grants_driver import GrantsDriver
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.janitor import Janitor
from fuchsiadale.entry.journal import Journal
from fuchsiadale.entry.local_gateway import LocalGateway
from fuchsiadale.entry.membership_driver import MembershipDriver
from fuchsiadale.entry.ownership_driver import OwnershipDriver
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.entry.partition_tools import PartitionTools
from fuchsiadale.entry.peer_set import PeerSet
from fuchsiadale.entry.recovery import RecordedState
from fuchsiadale.entry.router import Router
from fuchsiadale.entry.workers_driver import WorkerList
from fuchsiadale.ids import IdSource, RandomIdSource
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.metrics import MemoryCounters, StatsdCounters
from fuchsiadale.peers.gateway import PeerConnector
from fuchsiadale.peers.results import ResultOutboxes
from fuchsiadale.peers.service import PeerService
from fuchsiadale.ports.hosts import HostList
from fuchsiadale.ports.objects import ObjectStore
from fuchsiadale.ports.observed_table import ObservedTable
from fuchsiadale.ports.table import TableService
from fuchsiadale.supervisor import Supervisor

DRAIN_POLL_S = 0.05


@frozen
class Platform:
    """Clients of the platform."""

    table: TableService
    objects: ObjectStore
    hosts: HostList


class EntryNode:
    """All parts of an entry process that need no listening socket.

    Parameters
    ----------
    settings : Settings
        The process's settings.
    platform : Platform
        Clients of the platform.
    connector : BackendConnector
        Makes clients of backend servers.
    peer_connector : PeerConnector
        Connects to peers.
    ids : IdSource, optional
        Makes identifiers; random ones if not given.

    Attributes
    ----------
    counters : MemoryCounters
        The counts of this process.
    peer_service : PeerService
        Answers peers.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        connector: BackendConnector,
        peer_connector: PeerConnector,
        ids: IdSource | None = None,
    ) -> None:
        self.settings = settings
        self.ids = ids or RandomIdSource()
        self.counters = (
            StatsdCounters(settings.statsd)
            if settings.statsd is not None
            else MemoryCounters()
        )
        self._platform = platform
        self._connector = connector
        self._peer_connector = peer_connector
        self._clock = LoopClock()
        self._root = Supervisor("entry")
        self._is_ready_to_serve = True
        self._is_refusing = False
        self._build()

    @property
    def ownership(self) -> OwnershipDriver:
        """The partitions of this process."""
        return self._ownership

    @property
    def config(self) -> ConfigDriver:
        """The configuration."""
        return self._config

    @property
    def router(self) -> Router:
        """Follows the callers' work."""
        return self._router

    @property
    def directory(self) -> Directory:
        """Members and owners."""
        return self._directory

    @property
    def member(self) -> str:
        """The member that this process is at present."""
        return self._identity.member

    @property
    def is_refusing(self) -> bool:
        """Whether no more work is taken in."""
        return self._is_refusing

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self._is_ready_to_serve
            and self._config.freshness.is_fresh()
            and self._membership.has_joined
            and bool(self._directory.owners)
        )

    def start(self) -> None:
        """Run every driver."""
        for name, main in (
            ("journal", self._journal.run),
            ("config", self._config.run),
            ("workers", self._worker_list.run),
            ("membership", self._membership.run),
            ("ownership", self._ownership.run),
            ("grants", self._grants.run),
            ("gossip", self._gossip.run),
            ("janitor", self._janitor.run),
        ):
            self._root.start(name, main)
        log_message("entry_started", member=self._identity.member)

    async def drain(self) -> None:
        """Stop without cutting a request.

        Not ready first, so that the balancer sends callers elsewhere; then refuse new
        work, hand over every partition and wait for the callers in hand.
        """
        log_message("drain_started", member=self._identity.member)
        self._is_ready_to_serve = False
        self._membership.draining = True
        if self._membership.has_joined:
            await self._membership.renew()
        await asyncio.sleep(self.settings.drain_notice_s)
        self._is_refusing = True
        await self._ownership.hand_over_all()
        await self._gossip.announce_release()
        while self._router.waiting_count or self._outboxes.pending_count:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._membership.leave()
        log_message("drain_finished", member=self._identity.member)

    async def stop(self) -> None:
        """End every driver and close every connection at once."""
        await self._root.stop()
        await self._peers.close()
        await self._connector.close()

    def _build(self) -> None:
        settings = self.settings
        self._identity = Identity(
            settings.host,
            settings.failure_domain,
            str(settings.peers),
            self.ids,
        )
        table = ObservedTable(self._platform.table, self.counters)
        self._directory = Directory()
        self._outboxes = ResultOutboxes()
        self._local = LocalGateway(lambda: self._ownership.drivers)
        self._journal = Journal(
            table, self._identity, self.counters, self._membership_lost
        )
        self._config = ConfigDriver(
            table,
            self._platform.objects,
            self._clock,
            self.counters,
            self._config_applied,
        )
        self._worker_list = WorkerList(
            self._platform.hosts, self.counters, self._workers_changed
        )
        self._router = Router(
            self._identity,
            self._directory,
            lambda owner: self._peers.find(owner),
            self._clock,
            self.counters,
        )
        self._build_membership(table)
        self._peers = PeerSet(
            self._identity,
            self._directory,
            self._local,
            self._peer_connector,
            self._root.add_supervisor("peers"),
            self._router.deliver,
            self._outboxes.drop_member,
        )
        self._gossip = GossipDriver(
            self._identity,
            self._directory,
            self._peers,
            self._config,
            self._ownership,
            self._worker_list,
            self._clock,
            self.counters,
        )
        self.peer_service = PeerService(
            self._local, self._outboxes, self._gossip.answer
        )

    def _build_membership(self, table: ObservedTable) -> None:
        tools = PartitionTools(
            clock=self._clock,
            journal=self._journal,
            connector=self._connector,
            counters=self.counters,
            supervisor=self._root.add_supervisor("partitions"),
            send_result=self._send_result,
            is_store_failing=lambda: table.is_failing,
        )
        self._membership = MembershipDriver(
            table,
            self._identity,
            self._clock,
            self.counters,
            lambda sent_s: self._ownership.lease_renewed(sent_s),
            self._give_up_partitions,
        )
        self._ownership = OwnershipDriver(
            table,
            RecordedState(table, self._platform.objects),
            self._identity,
            self._membership,
            self._directory,
            self._worker_list,
            tools,
            lambda: self._config.configuration,
            self._partition_taken,
        )
        self._janitor = Janitor(
            table,
            self._identity,
            self._journal,
            lambda: list(self._membership.members),
            self.counters,
        )
        self._grants = GrantsDriver(
            table,
            self._clock,
            self.counters,
            lambda: self._config.document,
            lambda: self._ownership.drivers,
        )
        self._directory.on_change = self._router.owners_changed

    def _send_result(
        self, member: str, work: Work, delivered: Callable[[], None]
    ) -> None:
        view = build_work_view(work)
        if member == self._identity.member:
            self._router.deliver(view)
            delivered()
        else:
            self._outboxes.add_result(member, view, delivered)

    def _membership_lost(self) -> None:
        self._root.start("rejoin", self._membership.rejoin)

    async def _give_up_partitions(self) -> None:
        await self._ownership.drop_all()
        self._journal.restart()
        self._router.identity_changed()

    def _partition_taken(self, driver: PartitionDriver) -> None:
        self._grants.prepare(driver)

    def _config_applied(self, document: ConfigDocument) -> None:
        self._grants.config_applied()
        for name, driver in self._ownership.drivers.items():
            pool = document.configuration.pools.get(name.rpartition(".")[0])
            if pool is not None:
                driver.partition.scheduler.set_weights(pool.order)
        self._ownership.wake()

    def _workers_changed(self) -> None:
        self._ownership.workers_changed()
