"""One process of a cell: listens, follows the owner or is it."""

from __future__ import annotations

import asyncio
import signal

from aiohttp import web
from attrs import frozen
from eliot import log_message
from result import Err

from fuchsiadale.cell.advice_pool import AdvicePool
from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.event_log import EventLog
from fuchsiadale.cell.gateway import Gateway
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.owner import Owner
from fuchsiadale.cell.owner_ports import OwnerPorts
from fuchsiadale.cell.ownership import Ownership, Taking
from fuchsiadale.cell.peers import (
    JobView,
    OwnerStanding,
    PeerClient,
    PeerHandler,
    serve_peers,
)
from fuchsiadale.cell.rows import load_cell
from fuchsiadale.cell.time_bounds import CellTerms
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.ports.configuration_source import ConfigurationSource
from fuchsiadale.ports.rows import RowStore
from fuchsiadale.ports.task_workers import AdviceClient, WorkerClient
from fuchsiadale.ports.worker_list import WorkerList
from fuchsiadale.supervisor import Supervisor

PEER_SILENCE_S = 3.0
"""Seconds after its last call from which a peer is not asked for advice."""

LOAD_TRIES = 8
"""Times a new owner tries to read what is stored before it gives the cell up."""

LOAD_RETRY_S = 0.2
"""Seconds between two such tries."""

PREDECESSOR_RETRY_S = 0.5
"""Seconds between two questions to a former owner whether it has ended."""

METRICS_PORT = 9464
"""Port of the metrics address, as in the deploy file."""


@frozen
class CellSystems:
    """What surrounds a process."""

    store: RowStore
    workers: WorkerClient
    worker_list: WorkerList
    configuration: ConfigurationSource
    advisor: AdviceClient


@frozen
class CellIdentity:
    """Who a process is and where it listens.

    Attributes
    ----------
    node : str
        Name of its machine.
    peer_address : str
        ``ip:port`` for its peers.
    """

    node: str
    peer_address: str


class CellDaemon:
    """Wires one process of a cell.

    Parameters
    ----------
    identity : CellIdentity
        Who it is.
    systems : CellSystems
        What surrounds it.
    terms : CellTerms
        The deployment's bounds.
    """

    def __init__(
        self, identity: CellIdentity, systems: CellSystems, terms: CellTerms
    ) -> None:
        self._identity = identity
        self._systems = systems
        self.terms = terms
        self.metrics = CellMetrics()
        self._supervisor = Supervisor("cell")
        self._advice = AdvicePool(systems.advisor)
        self._peers: dict[str, PeerClient] = {}
        self._peer_seen_s: dict[str, float] = {}
        self._owner: Owner | None = None
        self._is_leaving = False
        self._hints: set[asyncio.Task[None]] = set()
        self._configuration = ConfigurationWatch(
            systems.configuration, self._apply_configuration
        )
        self._ownership = Ownership(
            systems.store,
            identity.node,
            identity.peer_address,
            self._begin,
            lambda epoch: self._depose(f"epoch {epoch} exists"),
        )
        self.gateway = Gateway(
            self._configuration,
            systems.store,
            self._ownership,
            lambda: self._owner,
            self._show_owned,
            self._notify_owner,
            terms.key_trust_s,
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the process has been told to stop."""
        return self._is_leaving

    @property
    def is_ready(self) -> bool:
        """Whether the process takes new callers."""
        if self._is_leaving or self._configuration.current is None:
            return False
        return self._configuration.age_s < self.terms.ready_age_s

    async def start(self) -> None:
        """Begin to answer peers and to follow the owner."""
        handler = PeerHandler(
            self._sync, self._show_job, self._take_hint, self._systems.advisor
        )
        self._server = await serve_peers(handler, self._identity.peer_address)
        self._supervisor.start("configuration", self._configuration.run)
        self._supervisor.start("ownership", self._ownership.run)
        self._supervisor.start("lanes", self._refresh_lanes)

    async def leave(self) -> None:
        """Stop being ready and give the cell up; calls are still answered."""
        self._is_leaving = True
        self._ownership.is_leaving = True
        log_message("stopping", is_owner=self._owner is not None)
        owner, self._owner = self._owner, None
        if owner is not None:
            await owner.resign()
            self._ownership.lose("leaving")
        await asyncio.sleep(self.terms.leave_notice_s)

    async def stop(self) -> None:
        """Close everything."""
        if self._owner is not None:
            await self._owner.stop()
        await self._supervisor.stop()
        await self._server.stop(0.1)
        log_message("stopped")

    # Ownership

    async def _begin(self, taking: Taking) -> bool:
        self.metrics.takeovers.labels("taken").inc()
        for _ in range(LOAD_TRIES):
            configuration = self._configuration.current
            stored = await load_cell(self._systems.store)
            if configuration is not None and not isinstance(stored, Err):
                break
            await asyncio.sleep(LOAD_RETRY_S)
        else:
            log_message("cell_unreadable", epoch=taking.row.epoch)
            return False
        owner = Owner(
            OwnerPorts(
                self._systems.store,
                self._systems.workers,
                self._systems.worker_list,
                self._advice,
            ),
            taking.row,
            taking.version,
            self.terms,
            self.metrics,
            self._depose,
        )
        self._owner = owner
        owner.start(stored.ok_value, configuration, taking.previous is not None)
        self.metrics.is_owner.set(1)
        if taking.previous is not None:
            previous = taking.previous
            self._supervisor.start(
                "predecessor",
                lambda: self._await_predecessor(
                    owner, previous.address, previous.incarnation
                ),
            )
        return True

    async def _await_predecessor(
        self, owner: Owner, address: str, incarnation: str
    ) -> None:
        """Learn when the former owner has stopped giving orders."""
        if address == self._identity.peer_address:
            owner.note_predecessor_gone()
            return
        client = PeerClient(address)
        try:
            while self._owner is owner:
                standing = await client.sync(
                    self._identity.node,
                    self._identity.peer_address,
                    owner.epoch,
                    self._is_leaving,
                )
                if standing is not None and (
                    standing.incarnation != incarnation or not standing.is_owner
                ):
                    owner.note_predecessor_gone()
                    return
                await asyncio.sleep(PREDECESSOR_RETRY_S)
        finally:
            await client.close()

    def _depose(self, reason: str) -> None:
        owner, self._owner = self._owner, None
        if owner is None:
            return
        self.metrics.is_owner.set(0)
        self._ownership.lose(reason)
        self._supervisor.start("deposed", owner.stop)

    def _apply_configuration(self, configuration: CellConfiguration) -> None:
        if self._owner is not None:
            self._owner.apply_configuration(configuration)

    # Peers

    def _sync(
        self, node: str, address: str, epoch: int, is_leaving: bool
    ) -> OwnerStanding:
        now_s = asyncio.get_running_loop().time()
        if is_leaving:
            self._peer_seen_s.pop(address, None)
        else:
            self._peer_seen_s[address] = now_s
        self._ownership.note_epoch(epoch)
        return self._standing()

    def _standing(self) -> OwnerStanding:
        ownership, owner = self._ownership, self._owner
        if owner is not None:
            return OwnerStanding(
                ownership.incarnation,
                True,
                owner.epoch,
                owner.renewed_age_s,
                owner.count_pending(),
                owner.cannot_renew,
            )
        # A process that has taken the cell owns it while it still reads the store.
        return OwnerStanding(
            ownership.incarnation,
            ownership.is_owner,
            ownership.epoch,
            ownership.taken_age_s if ownership.is_owner else 0.0,
        )

    def _show_job(self, job_id: str) -> tuple[bool, JobView | None]:
        return self._owner is not None, self._show_owned(job_id)

    def _show_owned(self, job_id: str) -> JobView | None:
        job = self._owner.find_job(job_id) if self._owner is not None else None
        if job is None:
            return None
        return JobView(job.reported_state, job.record.workspace)

    def _take_hint(self, key: str, value: bytes) -> bool:
        if self._owner is None:
            return False
        self._owner.take_row(key, value)
        return True

    def _notify_owner(self, key: str, value: bytes) -> None:
        client = self._ownership.owner_client
        if client is None:
            return
        task = asyncio.get_running_loop().create_task(client.notify(key, value))
        self._hints.add(task)
        task.add_done_callback(self._hints.discard)

    async def _refresh_lanes(self) -> None:
        """Keep the lanes for advice to the peers that were heard from lately."""
        while True:
            now_s = asyncio.get_running_loop().time()
            heard = {
                address
                for address, seen_s in self._peer_seen_s.items()
                if now_s - seen_s < PEER_SILENCE_S
            }
            for address in heard - set(self._peers):
                self._peers[address] = PeerClient(address)
            for address in set(self._peers) - heard:
                await self._peers.pop(address).close()
            self._advice.set_peers(dict(self._peers))
            self.metrics.configuration_age.set(self._configuration.age_s)
            await asyncio.sleep(0.5)


@frozen
class Listener:
    """An HTTP listener: where, and what answers."""

    address: str
    handler: object


class CellProcess:
    """Runs a daemon with its listeners until it is told to stop.

    Parameters
    ----------
    daemon : CellDaemon
        The daemon.
    listeners : list of Listener
        Its HTTP listeners; the first is the callers'.
    log : EventLog
        Where its lines go.
    """

    def __init__(
        self, daemon: CellDaemon, listeners: list[Listener], log: EventLog
    ) -> None:
        self._daemon = daemon
        self._listeners = listeners
        self._log = log
        self._runners: list[web.ServerRunner] = []

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: log_message("settings_kept"))
        log_task = loop.create_task(self._log.run())
        await self._daemon.start()
        limit_s = self._daemon.terms.leave_limit_s
        for listener in self._listeners:
            ip, _, port = listener.address.rpartition(":")
            server = web.Server(listener.handler, access_log=None)  # type: ignore[arg-type]
            runner = web.ServerRunner(server, shutdown_timeout=limit_s)
            await runner.setup()
            await web.TCPSite(runner, ip, int(port), backlog=512).start()
            self._runners.append(runner)
        log_message("started")
        await stop.wait()
        await self._daemon.leave()
        for runner in self._runners:
            await runner.cleanup()
        await self._daemon.stop()
        log_task.cancel()
        self._log.flush()


async def answer_metrics(
    metrics: CellMetrics, request: web.BaseRequest
) -> web.StreamResponse:
    """Answer with every metric as text."""
    return web.Response(body=metrics.render(), content_type="text/plain")
