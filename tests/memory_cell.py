"""Cell of several processes in memory, for tests on the virtual clock."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from fuchsiadale.cell.daemon import CellDaemon
from fuchsiadale.cell.dependencies import CellDependencies
from fuchsiadale.cell.owner_row import read_owner
from fuchsiadale.cell.peer_messages import (
    ConfigurationView,
    PeerStatus,
    ProcessIdentity,
    SyncCall,
)
from fuchsiadale.cell.store_succession import answers_quickly
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.decision.workflow.messages import (
    ReportedRun,
    StartOutcome,
    WorkerEntry,
    WorkerReport,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import (
    StoreFailure,
)
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartAnswer,
    StartRequest,
    WorkerAddress,
    WorkerClient,
)
from fuchsiadale.ports.worker_list import WorkerList
from tests.gated_store import GatedStore
from tests.row_store import MemoryRowStore
from tests.workflow_builders import STARTED_MS, make_configuration, make_queue

CALL_S = 0.005
"""Duration of a call between two processes, in seconds."""

SILENCE_S = 0.4
"""Seconds after which a call to a process that does not answer fails."""


class SharedConfigurationSource(ConfigurationSource):
    """Source of the configuration for all processes.

    Attributes
    ----------
    configuration : CellConfiguration
        The configuration, which a test may replace by a newer version.
    """

    def __init__(self) -> None:
        self.configuration = make_configuration(make_queue())

    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration."""
        version = self.configuration.version
        return Ok(ConfigurationReading(self.configuration, version))

    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Return a newer configuration, or none after the wait."""
        ends_s = asyncio.get_running_loop().time() + wait_s
        while asyncio.get_running_loop().time() < ends_s:
            if self.configuration.version > position:
                return await self.read()
            await asyncio.sleep(0.05)
        return Ok(ConfigurationReading(None, position))


class RemoteConfigurationSource(ConfigurationSource):
    """The shared source as one process reaches it.

    Parameters
    ----------
    shared : SharedConfigurationSource
        The shared source.

    Attributes
    ----------
    transfer_s : float
        Seconds that a reply with the configuration takes to arrive.
    is_down : bool
        Whether calls of this process fail.
    """

    def __init__(self, shared: SharedConfigurationSource) -> None:
        self._shared = shared
        self.transfer_s = 0.0
        self.is_down = False

    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration once it has arrived."""
        return await self._receive(await self._shared.read())

    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Return a newer configuration once it has arrived, or none after the wait."""
        return await self._receive(await self._shared.watch(position, wait_s))

    async def _receive(
        self, outcome: Result[ConfigurationReading, StoreFailure]
    ) -> Result[ConfigurationReading, StoreFailure]:
        if self.is_down:
            return Err(StoreFailure.UNAVAILABLE)
        if isinstance(outcome, Ok) and outcome.ok_value.configuration is not None:
            await asyncio.sleep(self.transfer_s)
        return outcome


class MemoryWorkerList(WorkerList):
    """List of workers for all processes.

    Attributes
    ----------
    entries : tuple of WorkerEntry
        The registrations; none at first.
    is_down : bool
        Whether the list cannot be read.
    """

    def __init__(self) -> None:
        self.entries: tuple[WorkerEntry, ...] = ()
        self.is_down = False

    async def read(self) -> Result[tuple[WorkerEntry, ...], StoreFailure]:
        """Return the registrations."""
        if self.is_down:
            return Err(StoreFailure.UNAVAILABLE)
        return Ok(self.entries)


class MemoryWorkers(WorkerClient):
    """Client of workers that accept every order and keep their runs.

    Attributes
    ----------
    running : list of (TaskName, int)
        The runs of all workers.
    reachable_addresses : set of str or None
        The only addresses at which workers answer; None for all.
    """

    def __init__(self) -> None:
        self.running: list[tuple[TaskName, int]] = []
        self.reachable_addresses: set[str] | None = None

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Report the runs after the poll's wait."""
        if not self._is_reachable(worker):
            await asyncio.sleep(timeout_s)
            return Err(CallFailure.NO_ANSWER)
        await asyncio.sleep(request.wait_s + CALL_S)
        runs = tuple(ReportedRun(task, run, "", 10, 1.0) for task, run in self.running)
        return Ok(WorkerReport(STARTED_MS, 1000, runs))

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start a run."""
        if not self._is_reachable(worker):
            await asyncio.sleep(timeout_s)
            return StartAnswer(StartOutcome.UNKNOWN)
        await asyncio.sleep(CALL_S)
        self.running.append((request.task, request.run))
        return StartAnswer(StartOutcome.STARTED)

    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Stop a run."""
        await asyncio.sleep(CALL_S)
        self.running.remove((task, run))
        return Ok(None)

    async def set_pace(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        percent: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Accept the pace and ignore it."""
        return Ok(None)

    def _is_reachable(self, worker: WorkerAddress) -> bool:
        addresses = self.reachable_addresses
        return addresses is None or worker.address in addresses


class MemoryPeerClient:
    """Client of a process of a `MemoryCell`, used by the process `caller`."""

    def __init__(self, cell: MemoryCell, address: str, caller: str = "") -> None:
        self._cell = cell
        self._caller = caller
        self.address = address
        self.is_unavailable = False

    @property
    def _is_silent(self) -> bool:
        cell = self._cell
        is_cut_off = (self.address in cell.island) != (self._caller in cell.island)
        return is_cut_off or self.address in cell.silent | cell.removed

    async def sync(self, call: SyncCall) -> PeerStatus | None:
        """Return the status of the process, or None if it does not answer."""
        await asyncio.sleep(CALL_S)
        daemon = self._cell.daemons.get(self.address)
        self.is_unavailable = daemon is None and not self._is_silent
        if self._is_silent:
            await asyncio.sleep(SILENCE_S)
            return None
        return None if daemon is None else daemon._handle_sync(call)

    async def wait_for_disconnect(self, timeout_s: float) -> None:
        """Wait for `timeout_s`, or until the process has ended."""
        ends_s = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < ends_s:
            is_ended = self.address not in self._cell.daemons
            if is_ended and not self._is_silent:
                return
            await asyncio.sleep(min(0.05, timeout_s))

    async def probe_store(self) -> bool:
        """Return whether the store answers the process."""
        await asyncio.sleep(CALL_S)
        store = self._cell.stores.get(self.address)
        if store is None or self._is_silent:
            return False
        return await answers_quickly(store)

    async def confirm_outage(self, epoch: int) -> bool:
        """Return whether the process confirms an outage of the store."""
        await asyncio.sleep(CALL_S)
        daemon = self._cell.daemons.get(self.address)
        if daemon is None or self._is_silent:
            return False
        return daemon._witness.confirm(epoch)

    async def end_confirmations(self, epoch: int) -> float | None:
        """Let the process confirm no outage any more to owners before `epoch`."""
        await asyncio.sleep(CALL_S)
        daemon = self._cell.daemons.get(self.address)
        if daemon is None or self._is_silent:
            return None
        return daemon._witness.end_confirmations(epoch)

    async def show_configuration(
        self, known_version: int, content_bytes: int = 0
    ) -> ConfigurationView | None:
        """Return the configuration of the process, or None if it does not answer."""
        await asyncio.sleep(CALL_S)
        daemon = self._cell.daemons.get(self.address)
        if daemon is None or self._is_silent:
            return None
        return daemon._exchange.show(known_version, content_bytes > 0)

    async def notify(self, key: str, value: bytes) -> None:
        """Do nothing; the watch of the store delivers the row."""

    async def close(self) -> None:
        """Do nothing, as there is no connection."""


class IdlePeerServer:
    """Server of a process whose peers call it directly."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing, as nothing listens."""


class MemoryCell:
    """Processes of a cell that share a store.

    Attributes
    ----------
    store : MemoryRowStore
        The store.
    worker_list : MemoryWorkerList
        List of the workers.
    workers : MemoryWorkers
        The workers.
    configuration_source : SharedConfigurationSource
        Source of the configuration.
    remote_sources : dict of str to ConfigurationSource
        The source as each process reaches it, by address; a `RemoteConfigurationSource`
        unless a test has set another one.
    daemons : dict of str to CellDaemon
        The running processes, by address.
    stores : dict of str to GatedStore
        The store as each process sees it, by address.
    silent : set of str
        Addresses of processes that do not answer their peers.
    island : set of str
        Addresses of processes that exchange no calls with the others.
    removed : set of str
        Addresses of machines that are gone, at which nothing answers or refuses calls.
    bounds : TimeBounds
        Time bounds of the processes that are started from now on.
    """

    def __init__(self) -> None:
        self.store = MemoryRowStore()
        self.worker_list = MemoryWorkerList()
        self.workers = MemoryWorkers()
        self.configuration_source = SharedConfigurationSource()
        self.remote_sources: dict[str, ConfigurationSource] = {}
        self.daemons: dict[str, CellDaemon] = {}
        self.stores: dict[str, GatedStore] = {}
        self.silent: set[str] = set()
        self.island: set[str] = set()
        self.removed: set[str] = set()
        self.bounds = TimeBounds()

    def get_worker_client(self, address: str) -> WorkerClient:
        """Return the client with which the process at `address` calls workers."""
        return self.workers

    @property
    def owners(self) -> list[str]:
        """Addresses of the processes that schedule, in no order."""
        return [
            address
            for address, daemon in self.daemons.items()
            if daemon._owner is not None
        ]

    async def start_process(self, address: str, fitness: float) -> CellDaemon:
        """Start a process; return once it has received the configuration.

        A process that is started again sees the store as before.
        """
        self.stores.setdefault(address, GatedStore(self.store))
        source = RemoteConfigurationSource(self.configuration_source)
        self.remote_sources.setdefault(address, source)
        daemon = CellDaemon(
            ProcessIdentity(f"node-{address}", address, fitness),
            CellDependencies(
                self.stores[address],
                self.get_worker_client(address),
                self.worker_list,
                self.remote_sources[address],
                None,  # type: ignore[arg-type]
            ),
            self.bounds,
            lambda peer: MemoryPeerClient(self, peer, address),  # type: ignore[arg-type,return-value]
        )
        daemon._server = IdlePeerServer()  # type: ignore[assignment]
        self.daemons[address] = daemon
        daemon._start_tasks()
        await asyncio.sleep(0.001)
        return daemon

    async def kill_process(self, address: str) -> None:
        """End a process without a notice."""
        daemon = self.daemons.pop(address)
        if daemon._owner is not None:
            await daemon._owner.stop()
        await daemon._supervisor.stop()

    async def remove_machine(self, address: str) -> None:
        """Remove the machine of a process for good, without a notice."""
        self.removed.add(address)
        await self.kill_process(address)

    async def stop_process(self, address: str) -> None:
        """Stop a process as planned; return once it has ended."""
        daemon = self.daemons[address]
        await daemon.begin_shutdown()
        await daemon.stop()
        del self.daemons[address]

    async def read_epoch(self) -> int:
        """Return the epoch of the owner that the store names."""
        found = await read_owner(self.store)
        assert not isinstance(found, Err)
        assert found.ok_value.row is not None
        return found.ok_value.row.epoch
