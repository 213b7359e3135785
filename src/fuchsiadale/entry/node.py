"""Builds, starts, drains and stops the parts of an entry process."""

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
from fuchsiadale.entry.driver_services import DriverServices
from fuchsiadale.entry.gossip_driver import GossipDriver
from fuchsiadale.entry.grants_driver import GrantsDriver
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.journal import Journal
from fuchsiadale.entry.journal_cleaner import JournalCleaner
from fuchsiadale.entry.local_gateway import LocalGateway
from fuchsiadale.entry.membership_driver import MembershipDriver
from fuchsiadale.entry.ownership_driver import OwnershipDriver
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.entry.peer_set import PeerSet
from fuchsiadale.entry.recovery import PartitionStateStore
from fuchsiadale.entry.router import Router
from fuchsiadale.entry.worker_list import WorkerList
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

DRAIN_POLL_INTERVAL_S = 0.05


@frozen
class PlatformClients:
    """The clients of the platform that an entry process uses.

    Attributes
    ----------
    table : TableService
        Client of the table that entry hosts share.
    objects : ObjectStore
        Client of the object store.
    hosts : HostList
        Client of the list of workers.
    """

    table: TableService
    objects: ObjectStore
    hosts: HostList


class EntryNode:
    """An entry process without its listening sockets.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    platform : PlatformClients
        Clients of the platform services.
    backend_connector : BackendConnector
        Creates clients of backend servers.
    peer_connector : PeerConnector
        Creates clients of peers, which are the other entry processes.
    ids : IdSource, optional
        Generates identifiers; random ones by default.

    Attributes
    ----------
    settings : Settings
        The settings of the process.
    ids : IdSource
        Generates identifiers.
    counters : MemoryCounters
        Counters of the events in this process.
    peer_service : PeerService
        Handles calls from peers.
    """

    def __init__(
        self,
        settings: Settings,
        platform: PlatformClients,
        backend_connector: BackendConnector,
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
        self._backend_connector = backend_connector
        self._peer_connector = peer_connector
        self._clock = LoopClock()
        self._supervisor = Supervisor("entry")
        self._accepts_clients = True
        self._refuses_submissions = False
        self._build()

    @property
    def ownership(self) -> OwnershipDriver:
        """The driver of the partitions that this process owns."""
        return self._ownership

    @property
    def config(self) -> ConfigDriver:
        """The driver that holds the configuration in force."""
        return self._config

    @property
    def router(self) -> Router:
        """The router that sends the work of clients to the owners of partitions."""
        return self._router

    @property
    def directory(self) -> Directory:
        """The directory of members and of the owners of partitions."""
        return self._directory

    @property
    def member(self) -> str:
        """Name under which this process is currently a member of the cluster."""
        return self._identity.member

    @property
    def refuses_submissions(self) -> bool:
        """Whether new work is refused because the process drains."""
        return self._refuses_submissions

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send clients to this process."""
        return (
            self._accepts_clients
            and self._config.freshness.is_fresh()
            and self._membership.has_joined
            and bool(self._directory.owners)
        )

    def start(self) -> None:
        """Start every driver in the background."""
        for name, run_driver in (
            ("journal", self._journal.run),
            ("config", self._config.run),
            ("workers", self._worker_list.run),
            ("membership", self._membership.run),
            ("ownership", self._ownership.run),
            ("grants", self._grants.run),
            ("gossip", self._gossip.run),
            ("janitor", self._journal_cleaner.run),
        ):
            self._supervisor.start(name, run_driver)
        log_message("entry_started", member=self._identity.member)

    async def drain(self) -> None:
        """Prepare a stop of the process without interrupting any request.

        The process first reports that it is not ready, so that the load balancer sends
        clients elsewhere, and tells the members that it drains. After the notice period
        it refuses new work, hands over every partition, and waits until the requests of
        its own clients have ended and the other members have received the results that
        they wait for. At the end it leaves the cluster.
        """
        log_message("drain_started", member=self._identity.member)
        self._accepts_clients = False
        self._membership.is_draining = True
        if self._membership.has_joined:
            await self._membership.renew()
        await asyncio.sleep(self.settings.drain_notice_s)
        self._refuses_submissions = True
        await self._ownership.hand_over_all()
        await self._gossip.announce_release()
        while self._router.waiting_count or self._result_outboxes.pending_count:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._membership.leave()
        log_message("drain_finished", member=self._identity.member)

    async def stop(self) -> None:
        """Stop every driver and close every connection immediately."""
        await self._supervisor.stop()
        await self._peer_set.close()
        await self._backend_connector.close()

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
        self._result_outboxes = ResultOutboxes()
        self._local_gateway = LocalGateway(lambda: self._ownership.drivers)
        self._journal = Journal(
            table, self._identity, self.counters, self._start_rejoin
        )
        self._config = ConfigDriver(
            table,
            self._platform.objects,
            self._clock,
            self.counters,
            self._apply_config,
        )
        self._worker_list = WorkerList(
            self._platform.hosts, self.counters, self._update_workers
        )
        self._router = Router(
            self._identity,
            self._directory,
            lambda owner: self._peer_set.find_gateway(owner),
            self._clock,
            self.counters,
        )
        self._build_member_drivers(table)
        self._peer_set = PeerSet(
            self._identity,
            self._directory,
            self._local_gateway,
            self._peer_connector,
            self._supervisor.add_supervisor("peers"),
            self._router.deliver,
            self._result_outboxes.drop_member,
        )
        self._gossip = GossipDriver(
            self._identity,
            self._directory,
            self._peer_set,
            self._config,
            self._ownership,
            self._worker_list,
            self._clock,
            self.counters,
        )
        self.peer_service = PeerService(
            self._local_gateway, self._result_outboxes, self._gossip.handle_request
        )

    def _build_member_drivers(self, table: ObservedTable) -> None:
        services = DriverServices(
            clock=self._clock,
            journal=self._journal,
            connector=self._backend_connector,
            counters=self.counters,
            supervisor=self._supervisor.add_supervisor("partitions"),
            send_result=self._send_result,
            is_table_failing=lambda: table.is_failing,
        )
        self._membership = MembershipDriver(
            table,
            self._identity,
            self._clock,
            self.counters,
            lambda sent_s: self._ownership.record_lease_renewal(sent_s),
            self._discard_member_state,
        )
        self._ownership = OwnershipDriver(
            table,
            PartitionStateStore(table, self._platform.objects),
            self._identity,
            self._membership,
            self._directory,
            self._worker_list,
            services,
            lambda: self._config.configuration,
            self._prepare_grants,
        )
        self._journal_cleaner = JournalCleaner(
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
        self._directory.on_change = self._router.handle_owner_change

    def _send_result(
        self, member: str, work: Work, on_delivered: Callable[[], None]
    ) -> None:
        view = build_work_view(work)
        if member == self._identity.member:
            self._router.deliver(view)
            on_delivered()
        else:
            self._result_outboxes.add_result(member, view, on_delivered)

    def _start_rejoin(self) -> None:
        self._supervisor.start("rejoin", self._membership.rejoin)

    async def _discard_member_state(self) -> None:
        await self._ownership.drop_all()
        self._journal.reset_for_new_member()
        self._router.handle_identity_change()

    def _prepare_grants(self, driver: PartitionDriver) -> None:
        self._grants.add_partition(driver)
        driver.partition.ledger.set_drained_domains(
            self._config.document.drained_domains
        )

    def _apply_config(self, document: ConfigDocument) -> None:
        self._grants.handle_config_change()
        for name, driver in self._ownership.drivers.items():
            driver.partition.ledger.set_drained_domains(document.drained_domains)
            pool = document.configuration.pools.get(name.rpartition(".")[0])
            if pool is not None:
                driver.partition.scheduler.set_weights(pool.order)
        self._ownership.request_reconciliation()

    def _update_workers(self) -> None:
        self._ownership.update_workers()
