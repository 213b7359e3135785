"""Remote procedure calls between the processes of a cell."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

import grpc
from eliot import log_message

from fuchsiadale.cell.cell_pb2 import (
    AdviseRequest,
    ConfirmOutageRequest,
    CreateRowRequest,
    EndConfirmationsRequest,
    NotifyRequest,
    ProbeStoreRequest,
    ShowConfigurationRequest,
    ShowJobRequest,
    SyncRequest,
)
from fuchsiadale.cell.cell_pb2_grpc import CellStub
from fuchsiadale.cell.peer_messages import (
    ConfigurationView,
    JobView,
    PeerStatus,
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

WITNESS_TIMEOUT_S = 0.4
"""Timeout in seconds of a call to a witness, which may first read from the store."""

NOTIFY_TIMEOUT_S = 0.5
"""Timeout in seconds of sending a stored row to the owner.

If the call fails, the owner still receives the row through its watch of the store.
"""

SHOW_CONFIGURATION_TIMEOUT_S = 0.4
"""Timeout in seconds of asking a peer for the version and age of its configuration."""

MIN_CONTENT_BYTES_PER_S = 150_000.0
"""Rate at which a peer's content must arrive, beside the store's on a slow link."""

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

    async def show_configuration(
        self, known_version: int, content_bytes: int = 0
    ) -> ConfigurationView | None:
        """Return the configuration that the peer has.

        Returns None if the peer has none, does not know the call or does not reply.

        Parameters
        ----------
        known_version : int
            Version that this process has; 0 if it has none.
        content_bytes : int
            Size of the content to receive, as the peer has told; 0 to receive none.
        """
        request = ShowConfigurationRequest(
            known_version=known_version, wants_content=content_bytes > 0
        )
        transfer_s = content_bytes / MIN_CONTENT_BYTES_PER_S
        timeout_s = SHOW_CONFIGURATION_TIMEOUT_S + transfer_s
        reply = await self._call("ShowConfiguration", request, timeout_s)
        if reply is None or not reply.version:
            return None
        return ConfigurationView(
            reply.version, reply.age_s, reply.content_bytes, reply.content
        )

    async def notify(self, key: str, value: bytes) -> None:
        """Send a stored row to the peer before its watch of the store delivers it."""
        request = NotifyRequest(key=key, value=value)
        await self._call("Notify", request, NOTIFY_TIMEOUT_S)

    async def probe_store(self) -> bool:
        """Return whether the store answers the peer; False without a reply."""
        reply = await self._call("ProbeStore", ProbeStoreRequest(), PROBE_TIMEOUT_S)
        return reply is not None and reply.is_reachable

    async def confirm_outage(self, epoch: int) -> bool:
        """Return whether the peer confirms an outage of the store to an owner."""
        request = ConfirmOutageRequest(epoch=epoch)
        reply = await self._call("ConfirmOutage", request, WITNESS_TIMEOUT_S)
        return reply is not None and reply.is_confirmed

    async def end_confirmations(self, epoch: int) -> float | None:
        """Let the peer confirm no outage any more to owners before `epoch`.

        Returns
        -------
        age_s : float or None
            Seconds since the peer can last have confirmed one; None without a reply.
        """
        request = EndConfirmationsRequest(epoch=epoch)
        reply = await self._call("EndConfirmations", request, WITNESS_TIMEOUT_S)
        return None if reply is None else float(reply.last_confirmation_age_s)

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
