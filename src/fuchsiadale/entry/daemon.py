"""The entry daemon: builds its parts, runs them and drains them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web
from attrs import frozen
from eliot import log_message

from fuchsiadale.backend.http import HttpBackendConnector
from fuchsiadale.backend.server import BackendConnector
from fuchsiadale.config.model import ConfigDocument
from fuchsiadale.config.settings import Settings
from fuchsiadale.decision.views import view_of
from fuchsiadale.decision.work import Work
from fuchsiadale.entry.admin_api import AdminApi
from fuchsiadale.entry.answers import json_answer
from fuchsiadale.entry.callers_api import MAX_BODY_BYTES, CallersApi
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.directory import Directory
from fuchsiadale.entry.gossip_driver import GossipDriver, PeerSet
from fuchsiadale.entry.grants_driver import GrantsDriver
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.journal import Journal
from fuchsiadale.entry.local_gateway import LocalGateway
from fuchsiadale.entry.membership_driver import MembershipDriver
from fuchsiadale.entry.ownership_driver import OwnershipDriver
from fuchsiadale.entry.partition_driver import PartitionDriver, PartitionTools
from fuchsiadale.entry.recovery import RecordedState
from fuchsiadale.entry.router import Router
from fuchsiadale.entry.supervisor import Supervisor
from fuchsiadale.entry.workers_driver import WorkerList
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.metrics import MemoryCounters, StatsdCounters
from fuchsiadale.peers.results import ResultOutboxes
from fuchsiadale.peers.service import PeerServer, PeerService
from fuchsiadale.platform.hosts import HostList
from fuchsiadale.platform.http import (
    HttpHostList,
    HttpObjectStore,
    HttpTable,
    PlatformSession,
)
from fuchsiadale.platform.objects import ObjectStore
from fuchsiadale.platform.observed import ObservedTable
from fuchsiadale.platform.table import TableService

DRAIN_POLL_S = 0.05


@frozen
class Platform:
    """Clients of the platform."""

    table: TableService
    objects: ObjectStore
    hosts: HostList


class EntryDaemon:
    """One entry process.

    Parameters
    ----------
    settings : Settings
        Its settings.
    platform : Platform, optional
        Clients of the platform; made from the settings if not given.
    connector : BackendConnector, optional
        Makes clients of backend servers; HTTP if not given.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform | None = None,
        connector: BackendConnector | None = None,
    ) -> None:
        self.settings = settings
        self.counters = (
            StatsdCounters(settings.statsd)
            if settings.statsd is not None
            else MemoryCounters()
        )
        self._session = PlatformSession(settings.platform_url)
        self._platform = platform or Platform(
            HttpTable(self._session),
            HttpObjectStore(self._session),
            HttpHostList(self._session),
        )
        self._connector = connector or HttpBackendConnector()
        self._clock = LoopClock()
        self._root = Supervisor("entry")
        self._is_ready_to_serve = True
        self._is_refusing = False
        self._runner: web.AppRunner | None = None
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
    def callers_port(self) -> int:
        """The port on which callers are answered."""
        if self._runner is None or not self._runner.addresses:
            return self.settings.callers.port
        return int(self._runner.addresses[0][1])

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self._is_ready_to_serve
            and self._config.freshness.is_fresh()
            and self._membership.has_joined
            and bool(self._directory.owners)
        )

    async def start(self) -> None:
        """Begin to serve."""
        await self._peer_server.start()
        for name, main in (
            ("journal", self._journal.run),
            ("config", self._config.run),
            ("workers", self._worker_list.run),
            ("membership", self._membership.run),
            ("ownership", self._ownership.run),
            ("grants", self._grants.run),
            ("gossip", self._gossip.run),
        ):
            self._root.start(name, main)
        self._runner = web.AppRunner(self._make_app(), access_log=None)
        await self._runner.setup()
        callers = self.settings.callers
        await web.TCPSite(self._runner, callers.ip, callers.port).start()
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
        """Close everything at once."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._peer_server.stop()
        await self._root.stop()
        await self._peers.close()
        await self._connector.close()
        await self._session.close()

    def _build(self) -> None:
        settings = self.settings
        self._identity = Identity(
            settings.host, settings.failure_domain, str(settings.peers)
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
            self._root.add("peers"),
            self._router.deliver,
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
        service = PeerService(self._local, self._outboxes, self._gossip.answer)
        self._peer_server = PeerServer(service, str(settings.peers))

    def _build_membership(self, table: ObservedTable) -> None:
        tools = PartitionTools(
            clock=self._clock,
            journal=self._journal,
            connector=self._connector,
            counters=self.counters,
            supervisor=self._root.add("partitions"),
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
        self._grants = GrantsDriver(
            table,
            self._clock,
            self.counters,
            lambda: self._config.document,
            lambda: self._ownership.drivers,
        )
        self._directory.on_change = self._router.owners_changed

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        CallersApi(
            self._config, self._router, self.counters, lambda: self._is_refusing
        ).add_routes(app)
        AdminApi(
            self._config,
            self._router,
            self._directory,
            self.counters,
            self.settings.admin_key_sha256,
        ).add_routes(app)
        app.router.add_get("/healthz", self._answer_health)
        app.router.add_get("/readyz", self._answer_readiness)
        return app

    async def _answer_health(self, request: web.Request) -> web.Response:
        return json_answer({"member": self._identity.member})

    async def _answer_readiness(self, request: web.Request) -> web.Response:
        status = 200 if self.is_ready else 503
        return json_answer({"ready": self.is_ready}, status)

    def _send_result(
        self, member: str, work: Work, delivered: Callable[[], None]
    ) -> None:
        view = view_of(work)
        if member == self._identity.member:
            self._router.deliver(view)
            delivered()
        else:
            self._outboxes.put(member, view, delivered)

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
