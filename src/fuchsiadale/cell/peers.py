"""Calls between the processes of a cell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import grpc
from attrs import frozen

from fuchsiadale.cell.cell_pb2 import (
    AdviseReply,
    AdviseRequest,
    NotifyReply,
    NotifyRequest,
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
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.ports.task_workers import Advice, AdviceClient

SYNC_TIMEOUT_S = 0.4
"""Seconds until a peer counts as silent; forty times its usual answer."""

SHOW_TIMEOUT_S = 0.6
"""Seconds until the store is asked instead of the owner."""

NOTIFY_TIMEOUT_S = 0.5
"""Seconds given to a hint; the watch brings the row in any case."""

GRPC_OPTIONS = [
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    # A server takes frequent keepalives for an attack and closes the connection.
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.so_reuseport", 0),
    ("grpc.use_local_subchannel_pool", 1),
]

Context = grpc.aio.ServicerContext[Any, Any]


@frozen
class PeerStatus:
    """What a process says of itself.

    Attributes
    ----------
    incarnation : str
        Identifies it.
    is_owner : bool
        Whether it owns the cell now.
    epoch : int
        The highest epoch that it knows.
    renewed_age_s : float
        Seconds since it last renewed its ownership.
    pending : dict of str to int or None
        Jobs that have started nothing, by queue; None if it does not own the cell.
    cannot_renew : bool
        Whether the store has refused it for some time.
    """

    incarnation: str
    is_owner: bool
    epoch: int
    renewed_age_s: float = 0.0
    pending: dict[str, int] | None = None
    cannot_renew: bool = False


@frozen
class JobView:
    """A job as its owner knows it."""

    state: JobState
    workspace: str


class PeerCallbacks:
    """What a process does for its peers.

    Parameters
    ----------
    sync : callable
        Takes a peer's name, address, epoch and whether it leaves.
    show_job : callable
        Returns a job, or None if this process does not own the cell, or a view.
    notify : callable
        Takes a stored row; tells whether this process owns the cell.
    advisor : AdviceClient
        This machine's lane to the advice service.
    """

    def __init__(
        self,
        sync: Callable[[str, str, int, bool], PeerStatus],
        show_job: Callable[[str], tuple[bool, JobView | None]],
        notify: Callable[[str, bytes], bool],
        advice_client: AdviceClient,
    ) -> None:
        self.sync = sync
        self.show_job = show_job
        self.notify = notify
        self.advice_client = advice_client


class CellService(CellServicer):  # type: ignore[misc]
    """Answers peers.

    Parameters
    ----------
    handler : PeerHandler
        What is done for them.
    """

    def __init__(self, handler: PeerCallbacks) -> None:
        self._handler = handler

    async def Sync(  # noqa: N802
        self, request: SyncRequest, context: Context
    ) -> SyncReply:
        """Exchange what is known of the owner."""
        standing = self._handler.sync(
            request.node, request.address, request.epoch, request.is_leaving
        )
        counts = standing.pending or {}
        return SyncReply(
            incarnation=standing.incarnation,
            is_owner=standing.is_owner,
            epoch=standing.epoch,
            renewed_age_s=standing.renewed_age_s,
            counts=[
                QueueCount(queue=queue, pending=count)
                for queue, count in counts.items()
            ],
            has_counts=standing.pending is not None,
            cannot_renew=standing.cannot_renew,
        )

    async def ShowJob(  # noqa: N802
        self, request: ShowJobRequest, context: Context
    ) -> ShowJobReply:
        """Show a job."""
        is_owner, view = self._handler.show_job(request.job_id)
        if view is None:
            return ShowJobReply(is_owner=is_owner, is_known=False)
        return ShowJobReply(
            is_owner=is_owner,
            is_known=True,
            state=view.state.value,
            workspace=view.workspace,
        )

    async def Advise(  # noqa: N802
        self, request: AdviseRequest, context: Context
    ) -> AdviseReply:
        """Ask the advice service from this machine."""
        job_id, occurrence, step = request.step.rsplit(".", 2)
        advice = await self._handler.advice_client.request_advice(
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
        self, request: NotifyRequest, context: Context
    ) -> NotifyReply:
        """Take a stored row in."""
        return NotifyReply(is_owner=self._handler.notify(request.key, request.value))


async def start_peer_server(handler: PeerCallbacks, address: str) -> grpc.aio.Server:
    """Begin to answer peers.

    Raises
    ------
    RuntimeError
        If the address cannot be listened on.
    """
    server = grpc.aio.server(options=GRPC_OPTIONS)
    add_CellServicer_to_server(CellService(handler), server)
    server.add_insecure_port(address)
    await server.start()
    return server


class PeerClient(AdviceClient):
    """Calls one peer; a call without an answer takes the channel with it.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._channel: grpc.aio.Channel | None = None
        self._is_refused = False

    @property
    def address(self) -> str:
        """Where the peer listens."""
        return self._address

    @property
    def is_connection_refused(self) -> bool:
        """Whether the last call ended because nothing listens at the address."""
        return self._is_refused

    async def sync(
        self, node: str, address: str, epoch: int, is_leaving: bool
    ) -> PeerStatus | None:
        """Exchange what is known of the owner; None without an answer."""
        request = SyncRequest(
            node=node, address=address, epoch=epoch, is_leaving=is_leaving
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
        """Wait for the connection to end, or for some time."""
        channel = self._channel
        if channel is None:
            await asyncio.sleep(timeout_s)
            return
        lost = channel.wait_for_state_change(grpc.ChannelConnectivity.READY)
        with suppress(TimeoutError, grpc.aio.UsageError):
            await asyncio.wait_for(lost, timeout_s)

    async def show_job(self, job_id: str) -> JobView | None:
        """Return a job, or None if the peer does not know it or does not answer."""
        request = ShowJobRequest(job_id=job_id)
        reply = await self._call("ShowJob", request, SHOW_TIMEOUT_S)
        if reply is None or not reply.is_owner or not reply.is_known:
            return None
        return JobView(JobState(reply.state), reply.workspace)

    async def notify(self, key: str, value: bytes) -> None:
        """Hand a stored row over, ahead of the peer's own watch."""
        request = NotifyRequest(key=key, value=value)
        await self._call("Notify", request, NOTIFY_TIMEOUT_S)

    async def request_advice(
        self, step: StepName, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Ask the advice service from the peer's machine."""
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
            self._channel = grpc.aio.insecure_channel(self._address, GRPC_OPTIONS)
        channel = self._channel
        try:
            reply = await getattr(CellStub(channel), name)(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            self._is_refused = error.code() is grpc.StatusCode.UNAVAILABLE
            is_silent = error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            if is_silent and self._channel is channel:
                await self.close()
            return None
        except grpc.aio.UsageError:
            # Another call found the peer silent and closed the channel.
            return None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # Closing the channel cancels its other calls, and not their callers.
            return None
        self._is_refused = False
        return reply
