"""Remote procedure calls between the processes of a cell."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import grpc
from eliot import log_message

from fuchsiadale.cell.cell_pb2 import (
    AdviseReply,
    AdviseRequest,
    CreateRowReply,
    CreateRowRequest,
    NotifyReply,
    NotifyRequest,
    ProbeStoreReply,
    ProbeStoreRequest,
    QueueCount,
    ShowJobReply,
    ShowJobRequest,
    SyncReply,
    SyncRequest,
    Ticket,
)
from fuchsiadale.cell.cell_pb2_grpc import (
    CellServicer,
    CellStub,
    add_CellServicer_to_server,
)
from fuchsiadale.cell.peer_messages import (
    JobView,
    PeerStatus,
    ProcessIdentity,
    RowOutcome,
    SyncCall,
)
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.ports.task_workers import Advice, AdviceClient

SYNC_TIMEOUT_S = 0.4
"""Seconds after which a peer that does not reply to a sync call counts as unresponsive.

They are forty times the usual response time.
"""

SHOW_JOB_TIMEOUT_S = 0.6
"""Timeout in seconds of asking the owner for a job; after it, the store is read."""

CREATE_ROW_TIMEOUT_S = 1.4
"""Timeout in seconds of letting a peer store a row, a little longer than its write."""

PROBE_TIMEOUT_S = 0.3
"""Timeout in seconds of asking a peer whether the store answers it."""

NOTIFY_TIMEOUT_S = 0.5
"""Timeout in seconds of sending a stored row to the owner.

If the call fails, the owner still receives the row through its watch of the store.
"""

# Options of the gRPC server and of the channels to peers.
OPTIONS = [
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    # 0 turns off the limit on pings. By default a server treats frequent keepalive
    # pings as an attack and closes the connection.
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.so_reuseport", 0),
    ("grpc.use_local_subchannel_pool", 1),
]

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
    """

    def __init__(
        self,
        sync: Callable[[SyncCall], PeerStatus],
        show_job: Callable[[str], tuple[bool, JobView | None]],
        notify: Callable[[str, bytes], bool],
        advice_client: AdviceClient,
        create_row: Callable[[str, bytes], Awaitable[RowOutcome]],
        probe_store: Callable[[], Awaitable[bool]],
    ) -> None:
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


class PeerClient(AdviceClient):
    """RPC client of one peer, which closes its channel when a call times out.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._channel: grpc.aio.Channel | None = None
        self._is_unavailable = False

    @property
    def address(self) -> str:
        """Address of the peer, as ``ip:port``."""
        return self._address

    @property
    def is_unavailable(self) -> bool:
        """Whether the last completed call failed with the gRPC status UNAVAILABLE.

        This usually means that nothing listens at the address. Calls that end because
        the channel is closed do not count.
        """
        return self._is_unavailable

    async def sync(self, call: SyncCall) -> PeerStatus | None:
        """Send a sync call; return the peer's status, or None without a reply."""
        identity = call.identity
        request = SyncRequest(
            node=identity.node,
            address=identity.peer_address,
            epoch=call.epoch,
            is_leaving=call.is_leaving,
            fitness=identity.fitness,
            has_resigned=call.has_resigned,
        )
        reply = await self._call("Sync", request, SYNC_TIMEOUT_S)
        if reply is None:
            return None
        pending = {item.queue: item.pending for item in reply.counts}
        return PeerStatus(
            reply.incarnation,
            reply.is_owner,
            reply.epoch,
            reply.renewed_age_s,
            pending if reply.has_counts else None,
            reply.cannot_renew,
        )

    async def wait_for_disconnect(self, timeout_s: float) -> None:
        """Wait until the connection ends, but at most for `timeout_s` seconds.

        Waits for the whole time if no channel is open, and returns at once if the
        connection is not ready.
        """
        channel = self._channel
        if channel is None:
            await asyncio.sleep(timeout_s)
            return
        state_change = channel.wait_for_state_change(grpc.ChannelConnectivity.READY)
        with suppress(TimeoutError, grpc.aio.UsageError):
            async with asyncio.timeout(timeout_s):
                await state_change

    async def show_job(self, job_id: str) -> JobView | None:
        """Return a job from the peer that owns the cell.

        Returns None if the peer does not own the cell, does not know the job or does
        not reply.
        """
        request = ShowJobRequest(job_id=job_id)
        reply = await self._call("ShowJob", request, SHOW_JOB_TIMEOUT_S)
        if reply is None or not reply.is_owner or not reply.is_known:
            return None
        return JobView(JobState(reply.state), reply.workspace)

    async def notify(self, key: str, value: bytes) -> None:
        """Send a stored row to the peer before its watch of the store delivers it."""
        request = NotifyRequest(key=key, value=value)
        await self._call("Notify", request, NOTIFY_TIMEOUT_S)

    async def probe_store(self) -> bool:
        """Return whether the store answers the peer; False without a reply."""
        reply = await self._call("ProbeStore", ProbeStoreRequest(), PROBE_TIMEOUT_S)
        return reply is not None and reply.is_reachable

    async def create_row(self, key: str, value: bytes) -> RowOutcome:
        """Let the peer store a row; without a reply the outcome is unknown."""
        request = CreateRowRequest(key=key, value=value)
        reply = await self._call("CreateRow", request, CREATE_ROW_TIMEOUT_S)
        if reply is None:
            return RowOutcome.UNKNOWN
        try:
            return RowOutcome(reply.outcome)
        except ValueError:
            log_message("peer_reply_unreadable", call="CreateRow", text=reply.outcome)
            return RowOutcome.UNKNOWN

    async def request_advice(
        self, step: StepName, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Call the advice service from the peer's machine.

        Returns None without a successful reply of the peer and of the advice service.
        """
        request = AdviseRequest(
            step=str(step), worker_ids=worker_ids, timeout_s=timeout_s
        )
        reply = await self._call("Advise", request, timeout_s)
        if reply is None or not reply.is_answered:
            return None
        tickets = {ticket.worker_id: ticket.text for ticket in reply.tickets}
        return Advice(tickets, reply.valid_s)

    async def close(self) -> None:
        """Close the channel."""
        channel, self._channel = self._channel, None
        if channel is not None:
            await channel.close()

    async def _call(self, name: str, request: Any, timeout_s: float) -> Any:
        if self._channel is None:
            self._channel = grpc.aio.insecure_channel(self._address, OPTIONS)
        channel = self._channel
        try:
            reply = await getattr(CellStub(channel), name)(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            self._is_unavailable = error.code() is grpc.StatusCode.UNAVAILABLE
            is_unresponsive = error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            if is_unresponsive and self._channel is channel:
                await self.close()
            return None
        except grpc.aio.UsageError:
            # The channel was closed, by `close` or by another call that timed out.
            return None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # Closing the channel cancels the other calls on it; the tasks that made
            # those calls are not cancelled and get no reply.
            return None
        self._is_unavailable = False
        return reply
