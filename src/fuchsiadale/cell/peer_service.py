"""Serves the remote procedure calls of the other processes of a cell."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from fuchsiadale.cell.cell_pb2 import (
    AdviseReply,
    AdviseRequest,
    ConfirmOutageReply,
    ConfirmOutageRequest,
    CreateRowReply,
    CreateRowRequest,
    EndConfirmationsReply,
    EndConfirmationsRequest,
    NotifyReply,
    NotifyRequest,
    ProbeStoreReply,
    ProbeStoreRequest,
    QueueCount,
    ShowConfigurationReply,
    ShowConfigurationRequest,
    ShowJobReply,
    ShowJobRequest,
    SyncReply,
    SyncRequest,
    Ticket,
)
from fuchsiadale.cell.cell_pb2_grpc import CellServicer, add_CellServicer_to_server
from fuchsiadale.cell.outage_witness import OutageWitness
from fuchsiadale.cell.peer_messages import (
    ConfigurationView,
    JobView,
    PeerStatus,
    ProcessIdentity,
    RowOutcome,
    SyncCall,
)
from fuchsiadale.cell.peers import OPTIONS
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.ports.task_workers import AdviceClient

RpcContext = grpc.aio.ServicerContext[Any, Any]


class PeerCallbacks:
    """Functions and the advice client that carry out the calls of peers.

    Parameters
    ----------
    sync : callable
        Called with the sync call of a peer; returns the status of this process.
    show_job : callable
        Called with a job id; returns whether this process owns the cell, and the job or
        None if the process does not know it.
    notify : callable
        Called with the key and the content of a stored row; returns whether this
        process owns the cell.
    advice_client : AdviceClient
        Client that calls the advice service from this machine.
    create_row : callable
        Called with the key and the content of a row to store on behalf of a peer;
        returns an awaitable of the outcome.
    probe_store : callable
        Returns an awaitable of whether the store answers this process quickly now.
    witness : OutageWitness
        Confirms outages on behalf of this process.
    show_configuration : callable
        Called with the version that the peer has, and whether it wants the content;
        returns the configuration of this process, or None if it has none.
    """

    def __init__(
        self,
        sync: Callable[[SyncCall], PeerStatus],
        show_job: Callable[[str], tuple[bool, JobView | None]],
        notify: Callable[[str, bytes], bool],
        advice_client: AdviceClient,
        create_row: Callable[[str, bytes], Awaitable[RowOutcome]],
        probe_store: Callable[[], Awaitable[bool]],
        witness: OutageWitness,
        show_configuration: Callable[[int, bool], ConfigurationView | None],
    ) -> None:
        self.witness = witness
        self.show_configuration = show_configuration
        self.probe_store = probe_store
        self.create_row = create_row
        self.sync = sync
        self.show_job = show_job
        self.notify = notify
        self.advice_client = advice_client


class CellService(CellServicer):  # type: ignore[misc]
    """RPC service that a process offers to its peers.

    Parameters
    ----------
    callbacks : PeerCallbacks
        Functions that carry out the calls.
    """

    def __init__(self, callbacks: PeerCallbacks) -> None:
        self._callbacks = callbacks

    async def Sync(  # noqa: N802
        self, request: SyncRequest, context: RpcContext
    ) -> SyncReply:
        """Receive a peer's address and epoch; reply with the status of this process."""
        status = self._callbacks.sync(
            SyncCall(
                ProcessIdentity(request.node, request.address, request.fitness),
                request.epoch,
                request.is_leaving,
                request.has_resigned,
            )
        )
        counts = status.pending or {}
        return SyncReply(
            incarnation=status.incarnation,
            is_owner=status.is_owner,
            epoch=status.epoch,
            renewed_age_s=status.renewed_age_s,
            counts=[
                QueueCount(queue=queue, pending=count)
                for queue, count in counts.items()
            ],
            has_counts=status.pending is not None,
            cannot_renew=status.cannot_renew,
        )

    async def ShowJob(  # noqa: N802
        self, request: ShowJobRequest, context: RpcContext
    ) -> ShowJobReply:
        """Return the state and workspace of a job if this process knows it."""
        is_owner, view = self._callbacks.show_job(request.job_id)
        if view is None:
            return ShowJobReply(is_owner=is_owner, is_known=False)
        return ShowJobReply(
            is_owner=is_owner,
            is_known=True,
            state=view.state.value,
            workspace=view.workspace,
        )

    async def Advise(  # noqa: N802
        self, request: AdviseRequest, context: RpcContext
    ) -> AdviseReply:
        """Call the advice service from this machine on behalf of a peer."""
        job_id, occurrence, step = request.step.rsplit(".", 2)
        advice = await self._callbacks.advice_client.request_advice(
            StepName(job_id, int(occurrence), int(step)),
            tuple(request.worker_ids),
            request.timeout_s,
        )
        if advice is None:
            return AdviseReply(is_answered=False)
        return AdviseReply(
            is_answered=True,
            tickets=[
                Ticket(worker_id=worker_id, text=text)
                for worker_id, text in advice.tickets.items()
            ],
            valid_s=advice.valid_s,
        )

    async def Notify(  # noqa: N802
        self, request: NotifyRequest, context: RpcContext
    ) -> NotifyReply:
        """Pass a stored row to the owner if it runs in this process."""
        return NotifyReply(is_owner=self._callbacks.notify(request.key, request.value))

    async def CreateRow(  # noqa: N802
        self, request: CreateRowRequest, context: RpcContext
    ) -> CreateRowReply:
        """Store a row of the job table on behalf of a peer."""
        outcome = await self._callbacks.create_row(request.key, request.value)
        return CreateRowReply(outcome=outcome.value)

    async def ProbeStore(  # noqa: N802
        self, request: ProbeStoreRequest, context: RpcContext
    ) -> ProbeStoreReply:
        """Tell whether the store answers this process quickly now."""
        return ProbeStoreReply(is_reachable=await self._callbacks.probe_store())

    async def ConfirmOutage(  # noqa: N802
        self, request: ConfirmOutageRequest, context: RpcContext
    ) -> ConfirmOutageReply:
        """Tell an owner without renewals whether no successor has asked."""
        is_confirmed = self._callbacks.witness.confirm(request.epoch)
        return ConfirmOutageReply(is_confirmed=is_confirmed)

    async def EndConfirmations(  # noqa: N802
        self, request: EndConfirmationsRequest, context: RpcContext
    ) -> EndConfirmationsReply:
        """Confirm no outage any more to owners of lower epochs."""
        age_s = self._callbacks.witness.end_confirmations(request.epoch)
        return EndConfirmationsReply(last_confirmation_age_s=age_s)

    async def ShowConfiguration(  # noqa: N802
        self, request: ShowConfigurationRequest, context: RpcContext
    ) -> ShowConfigurationReply:
        """Return the configuration of this process and its age."""
        view = self._callbacks.show_configuration(
            request.known_version, request.wants_content
        )
        if view is None:
            return ShowConfigurationReply()
        return ShowConfigurationReply(
            version=view.version,
            age_s=view.age_s,
            content_bytes=view.content_bytes,
            content=view.content,
        )


async def start_peer_server(callbacks: PeerCallbacks, address: str) -> grpc.aio.Server:
    """Start the RPC server for peers.

    Parameters
    ----------
    callbacks : PeerCallbacks
        Functions that carry out the calls.
    address : str
        ``ip:port`` to listen on.

    Returns
    -------
    server : grpc.aio.Server
        The running server.

    Raises
    ------
    RuntimeError
        If the server cannot listen on the address.
    """
    server = grpc.aio.server(options=OPTIONS)
    add_CellServicer_to_server(CellService(callbacks), server)
    server.add_insecure_port(address)
    await server.start()
    return server
