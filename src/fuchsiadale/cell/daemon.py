"""Process of a cell, which serves callers and peers and may own the cell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message

from fuchsiadale.cell.acquisition import AcquiredOwnership
from fuchsiadale.cell.advice_pool import AdvicePool
from fuchsiadale.cell.cell_loading import load_cell
from fuchsiadale.cell.configuration_exchange import ConfigurationExchange
from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.dependencies import CellDependencies
from fuchsiadale.cell.drain_monitor import DrainMonitor
from fuchsiadale.cell.gateway import Gateway
from fuchsiadale.cell.leaving import MIN_SCHEDULING_S, complete_takeover
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.outage_confirmation import OutageConfirmation
from fuchsiadale.cell.outage_witness import OutageWitness
from fuchsiadale.cell.owner import Owner
from fuchsiadale.cell.owner_ports import OwnerPorts
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.peer_messages import (
    JobView,
    PeerStatus,
    ProcessIdentity,
    SyncCall,
)
from fuchsiadale.cell.peer_registry import Peer, PeerRegistry
from fuchsiadale.cell.peer_service import PeerCallbacks, start_peer_server
from fuchsiadale.cell.peer_status import make_peer_status
from fuchsiadale.cell.peers import PeerClient
from fuchsiadale.cell.previous_owner import PreviousOwnerInquiry
from fuchsiadale.cell.row_renewal import RowRenewal
from fuchsiadale.cell.store_succession import (
    STORE_CHECK_INTERVAL_S,
    STORE_PROBE_PAUSE_S,
    HandOver,
    answers_quickly,
    find_successor_if_unreachable,
    is_probe_due,
)
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.supervisor import Supervisor

PEER_CHECK_INTERVAL_S = 0.5
"""Seconds between two looks at which peers are there and how fit they are."""


class CellDaemon:
    """Connects the parts of one process of a cell and runs them.

    Parameters
    ----------
    identity : ProcessIdentity
        What the process tells its peers about itself.
    dependencies : CellDependencies
        Interfaces of the external systems.
    bounds : TimeBounds
        Time bounds that the deployment sets; also an attribute.
    connect : callable
        Returns a client of the peer at an address.

    Attributes
    ----------
    metrics : CellMetrics
        Metrics of the process.
    gateway : Gateway
        Handles the calls of callers.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        dependencies: CellDependencies,
        bounds: TimeBounds,
        connect: Callable[[str], PeerClient] = PeerClient,
    ) -> None:
        self._identity = identity
        self._connect = connect
        self._dependencies = dependencies
        self.bounds = bounds
        self.metrics = CellMetrics()
        self._supervisor = Supervisor("cell")
        self._advice_pool = AdvicePool(dependencies.advisor)
        self._peer_clients: dict[str, PeerClient] = {}
        self._peers = PeerRegistry()
        self._hand_over = HandOver(self._peers, self._peer_clients, identity.fitness)
        self._owner: Owner | None = None
        self._renewal: RowRenewal | None = None
        self._is_leaving = False
        self._must_end_s = 0.0
        self._notify_tasks: set[asyncio.Task[None]] = set()
        self._drains = DrainMonitor(self.metrics, bounds.max_drain_staleness_s)
        self._configuration = ConfigurationWatch(
            dependencies.configuration, self._apply_configuration, self._drains
        )
        self._ownership = Ownership(
            dependencies.store,
            identity,
            self._start_owner,
            lambda epoch: self._handle_ownership_loss(
                f"a peer reported epoch {epoch}, which is higher than this owner's"
            ),
            connect,
            bounds.max_lease_s,
        )
        self._exchange = ConfigurationExchange(
            self._configuration, lambda: self._ownership.owner_client, connect
        )
        self._witness = OutageWitness(lambda: self._ownership.read_epoch)
        self._outage_confirmation = OutageConfirmation(
            lambda: None if self._owner is None else self._owner.tenure, connect
        )
        self.gateway = Gateway(
            self._configuration,
            dependencies.store,
            self._ownership,
            lambda: self._owner,
            self._find_owned_job,
            self._notify_owner,
            bounds,
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the process is shutting down."""
        return self._is_leaving

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts new callers."""
        if self._is_leaving or self._configuration.current is None:
            return False
        return self._configuration.age_s < self.bounds.max_ready_staleness_s

    async def start(self) -> None:
        """Start to serve peers, to watch the configuration and to monitor the owner."""
        handler = PeerCallbacks(
            self._handle_sync,
            self._handle_show_job,
            self._handle_notify,
            self._dependencies.advisor,
            self.gateway.create_row_for_peer,
            lambda: answers_quickly(self._dependencies.store),
            self._witness,
            self._exchange.show,
        )
        self._server = await start_peer_server(handler, self._identity.peer_address)
        self._start_tasks()

    def _start_tasks(self) -> None:
        self._supervisor.start("configuration", self._configuration.run)
        self._supervisor.start("configuration_exchange", self._exchange.run)
        self._supervisor.start("ownership", self._ownership.run)
        self._supervisor.start("peers", self._review_peers)
        self._supervisor.start("store_access", self._watch_store_access)
        self._supervisor.start("outage", self._outage_confirmation.run)

    async def begin_shutdown(self) -> None:
        """End readiness, resign as owner and answer calls for `unready_period_s`."""
        self._is_leaving = True
        self._ownership.is_leaving = True
        log_message("stopping", is_owner=self._owner is not None)
        now_s = asyncio.get_running_loop().time()
        self._must_end_s = now_s + self.bounds.max_shutdown_s
        if self._owner is not None:
            self._start_resignation(self._owner, 0.0)
        await asyncio.sleep(self.bounds.unready_period_s)

    async def stop(self) -> None:
        """Complete a takeover, resign as owner and stop all tasks."""
        await complete_takeover(
            lambda: self._renewal is not None,
            lambda: self._owner is not None,
            self._must_end_s,
        )
        if self._owner is not None:
            await self._resign(self._owner, "leaving", self._peers.find_fittest())
        await self._supervisor.stop()
        await self._server.stop(0.1)
        log_message("stopped")

    def _start_resignation(self, owner: Owner, delay_s: float) -> None:
        """Resign in a task: a store that answers late must not hold up the stop."""

        async def resign() -> None:
            await asyncio.sleep(delay_s)
            if self._owner is owner:
                await self._resign(owner, "leaving", self._peers.find_fittest())

        self._supervisor.start("resignation", resign)

    async def _resign(self, owner: Owner, reason: str, successor: Peer | None) -> None:
        """Resign the ownership and ask a peer to acquire it."""
        self._owner = None
        self.metrics.is_owner.set(0)
        await owner.resign()
        self._ownership.mark_lost(reason)
        if successor is not None:
            await self._announce_resignation(owner, successor)

    async def _announce_resignation(self, owner: Owner, successor: Peer) -> None:
        client = self._peer_clients.get(successor.address)
        if client is not None:
            await client.sync(
                SyncCall(
                    self._identity, owner.epoch, self._is_leaving, has_resigned=True
                )
            )

    async def _start_owner(self, acquired: AcquiredOwnership) -> bool:
        """Start to schedule; return False without a readable cell or configuration."""
        self.metrics.takeovers.labels("taken").inc()
        tenure = Tenure(
            acquired.row,
            acquired.version,
            acquired.acquired_s,
            self.bounds.max_lease_s,
            acquired.earlier_leases,
            self._peers.list_addresses,
        )
        renewal = RowRenewal(self._dependencies.store, tenure)
        self._renewal = renewal
        renewal_task = asyncio.create_task(renewal.run())
        owner = Owner(
            OwnerPorts(
                self._dependencies.store,
                self._dependencies.workers,
                self._dependencies.worker_list,
                self._advice_pool,
            ),
            tenure,
            self.bounds,
            self.metrics,
            self._handle_ownership_loss,
            self._drains,
        )
        self._ask_about_earlier_leases(acquired, owner, renewal)
        try:
            loaded = await load_cell(self._dependencies.store, self._configuration)
            if loaded is None:
                log_message("cell_unreadable", epoch=acquired.row.epoch)
                return False
            stored, configuration = loaded
            await owner.recover(stored, configuration)
        finally:
            renewal_task.cancel()
            self._renewal = None
        if renewal.is_superseded:
            log_message("superseded_while_loading", epoch=acquired.row.epoch)
            return False
        try:
            # A version that arrived meanwhile had no owner to be applied by.
            owner.apply_configuration(self._configuration.current or configuration)
            owner.start(stored)
        except Exception:
            await owner.stop()
            raise
        self._owner = owner
        self.metrics.is_owner.set(1)
        if self._is_leaving:
            self._start_resignation(owner, MIN_SCHEDULING_S)
        return True

    def _ask_about_earlier_leases(
        self, acquired: AcquiredOwnership, owner: Owner, renewal: RowRenewal
    ) -> None:
        """Find out by when the leases of earlier owners have ended, in a task."""
        if acquired.earlier_leases is None:
            return

        def note_bound(ends_s: float) -> None:
            if self._owner is owner:
                owner.bound_earlier_leases(ends_s)
            else:
                # A successor reads the bound in the row if this process fails to load.
                renewal.request()

        inquiry = PreviousOwnerInquiry(
            acquired.earlier_leases,
            acquired.row.epoch,
            self._identity,
            self._witness,
            self._connect,
            lambda: self._ownership.epoch == acquired.row.epoch,
            note_bound,
        )
        self._supervisor.start("predecessor", inquiry.run)

    def _handle_ownership_loss(self, reason: str) -> None:
        """Stop the owner in this process, which no longer owns the cell."""
        owner, self._owner = self._owner, None
        if owner is None:
            return
        self.metrics.is_owner.set(0)
        self._ownership.mark_lost(reason)
        self._supervisor.start("deposed", owner.stop)

    def _apply_configuration(self, configuration: CellConfiguration) -> None:
        if self._owner is not None:
            self._owner.apply_configuration(configuration)

    def _handle_sync(self, call: SyncCall) -> PeerStatus:
        peer = call.identity
        if peer.peer_address != self._identity.peer_address:
            self._peers.note_sync(peer.peer_address, peer.fitness, call.is_leaving)
            if not call.is_leaving:
                self._add_advice_lane(peer.peer_address)
        self._ownership.note_epoch(call.epoch)
        if call.has_resigned:
            self._ownership.note_resigned(peer.peer_address, call.epoch)
        return self._get_status()

    def _get_status(self) -> PeerStatus:
        """Return the status that this process reports to its peers."""
        return make_peer_status(self._ownership, self._owner, self._renewal)

    def _handle_show_job(self, job_id: str) -> tuple[bool, JobView | None]:
        return self._owner is not None, self._find_owned_job(job_id)

    def _find_owned_job(self, job_id: str) -> JobView | None:
        job = self._owner.find_job(job_id) if self._owner is not None else None
        if job is None:
            return None
        return JobView(job.reported_state, job.record.workspace)

    def _handle_notify(self, key: str, value: bytes) -> bool:
        if self._owner is None:
            return False
        self._owner.take_row(key, value)
        return True

    def _notify_owner(self, key: str, value: bytes) -> None:
        """Send a stored row to the owner in another process without waiting for it."""
        client = self._ownership.owner_client
        if client is None:
            return
        task = asyncio.get_running_loop().create_task(client.notify(key, value))
        self._notify_tasks.add(task)
        task.add_done_callback(self._notify_tasks.discard)

    async def _review_peers(self) -> None:
        """Keep the advice lanes up to date and leave the cell to a fitter peer."""
        while True:
            await self._refresh_advice_peers()
            self.metrics.configuration_age.set(self._configuration.age_s)
            owner, fittest = self._owner, self._peers.find_fittest()
            if owner is not None and fittest is not None:
                await self._review_fitness(owner, fittest)
            await asyncio.sleep(PEER_CHECK_INTERVAL_S)

    def _add_advice_lane(self, address: str) -> None:
        """Use a peer's lane from its first call on: a new owner has only its own."""
        if address not in self._peer_clients:
            self._peer_clients[address] = self._connect(address)
            self._advice_pool.set_peers(dict(self._peer_clients))

    async def _watch_store_access(self) -> None:
        """Leave the cell to a peer that the store answers once it is cut from here."""
        while True:
            await asyncio.sleep(STORE_CHECK_INTERVAL_S)
            owner = self._owner
            if owner is None or self._is_leaving or not is_probe_due(owner.tenure):
                continue
            successor = await find_successor_if_unreachable(
                self._dependencies.store,
                owner.tenure,
                self._peers,
                self._peer_clients,
                self._identity.fitness,
            )
            if successor is None or self._owner is not owner:
                await asyncio.sleep(STORE_PROBE_PAUSE_S)
            else:
                await self._leave_without_store(owner, successor)

    async def _leave_without_store(self, owner: Owner, successor: Peer) -> None:
        log_message(
            "ownership_left_without_store",
            epoch=owner.epoch,
            successor=successor.address,
            renewed_age_s=round(owner.tenure.renewed_age_s, 3),
        )
        self._owner = None
        self.metrics.is_owner.set(0)
        # The successor counts on this process to send nothing more.
        await owner.stop()
        self._ownership.mark_lost("cut_from_store")
        await self._announce_resignation(owner, successor)

    async def _refresh_advice_peers(self) -> None:
        """Stop to use the lanes of peers that have not called for a while."""
        active_addresses = {peer.address for peer in self._peers.list_active()}
        for address in set(self._peer_clients) - active_addresses:
            await self._peer_clients.pop(address).close()
        self._advice_pool.set_peers(dict(self._peer_clients))

    async def _review_fitness(self, owner: Owner, fittest: Peer) -> None:
        """Record the best fitness; resign if a much fitter peer can take over."""
        own_fitness = self._identity.fitness
        owner.tenure.record_best_fitness(max(own_fitness, fittest.fitness))
        if owner.tenure.cannot_renew or self._is_leaving:
            return
        successor = await self._hand_over.find_successor()
        if successor is None or self._owner is not owner or self._is_leaving:
            return
        log_message(
            "ownership_handed_over",
            epoch=owner.epoch,
            successor=successor.address,
            fitness=round(own_fitness, 3),
            successor_fitness=round(successor.fitness, 3),
        )
        await self._resign(owner, "fitter_peer", successor)
