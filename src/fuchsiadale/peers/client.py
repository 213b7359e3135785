"""gRPC client of one peer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

import grpc
from attrs import define, field, frozen
from result import Err, Ok, Result

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.views import PartitionView, WorkView
from fuchsiadale.decision.work import Submission, WorkKind
from fuchsiadale.peers.failures import (
    decode_refusal,
    encode_refusal,
    make_unknown_outcome_refusal,
)
from fuchsiadale.peers.gateway import Peer, PeerConnector
from fuchsiadale.peers.peer_pb2 import (
    CancelRequest,
    CollectRequest,
    GossipReply,
    GossipRequest,
    InspectRequest,
    ShowRequest,
    SubmitReply,
    SubmitRequest,
)
from fuchsiadale.peers.peer_pb2_grpc import PeerStub

T = TypeVar("T")

CALL_TIMEOUT_S = 4.0
"""Seconds allowed for a call, besides the time for which the peer holds its reply."""

GOSSIP_TIMEOUT_S = 1.0
"""Seconds allowed for a gossip call, and for a collect call besides its hold time."""

COLLECT_HOLD_S = 1.0
"""Seconds for which the peer holds its reply to a collect call until it has results."""

COLLECT_RETRY_S = 0.2
"""Delay before a collect call is retried after a failure, in seconds."""

RETIREMENT_S = 90.0
"""Seconds for which calls go on over a channel that was replaced; longer than a call
takes, as keepalive ends those over an unresponsive connection."""

BATCH_DELAY_S = 0.001
"""Time for which submissions are gathered into one call, in seconds."""

MAX_MESSAGE_BYTES = 64 << 20
"""Largest message that is sent or received, in bytes."""

_CHANNEL_OPTIONS = [
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # A channel that replaces another one opens a connection of its own.
    ("grpc.use_local_subchannel_pool", 1),
]


@frozen
class _PendingSubmission:
    """Submission without a reply so far, and the future that receives its outcome."""

    submission: Submission
    outcome: asyncio.Future[Result[str, Refusal]]


@define
class _Batch:
    """Submissions gathered for the next call.

    Attributes
    ----------
    reply_to : str
        Id of the member whose callers wait for the results of requests.
    pending : list of _PendingSubmission
        The submissions.
    is_scheduled : bool
        Whether the call that sends them is scheduled.
    """

    reply_to: str = ""
    pending: list[_PendingSubmission] = field(factory=list)
    is_scheduled: bool = False


class PeerClient(Peer):
    """Client of one peer over gRPC.

    When a call gets no reply in time, the client replaces the channel, so that an
    unresponsive connection is not used again. Other calls over it go on, as it may only
    be slow.

    Parameters
    ----------
    member : str
        Member id of the peer.
    address : str
        ``<ip>:<port>`` on which the peer listens.
    """

    def __init__(self, member: str, address: str) -> None:
        self._member = member
        self._address = address
        self._channel = grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        self._stub = PeerStub(self._channel)
        self._retirements: set[asyncio.Task[None]] = set()
        # Requests and jobs are sent in separate batches. A batch is answered as a
        # whole, and a job only once it is recorded, so requests in a batch with jobs
        # would wait for the records of the jobs.
        self._request_batch = _Batch()
        self._job_batch = _Batch()

    @property
    def member(self) -> str:
        """Member id of the peer."""
        return self._member

    async def close(self) -> None:
        """Close the channel and those that it has replaced."""
        await self._channel.close()
        for retirement in self._retirements:
            retirement.cancel()

    async def submit(
        self, submission: Submission, reply_to: str
    ) -> Result[str, Refusal]:
        """Submit work; return the id of the work accepted."""
        loop = asyncio.get_running_loop()
        is_request = submission.kind is WorkKind.REQUEST
        batch = self._request_batch if is_request else self._job_batch
        outcome: asyncio.Future[Result[str, Refusal]] = loop.create_future()
        batch.reply_to = reply_to
        batch.pending.append(_PendingSubmission(submission, outcome))
        if not batch.is_scheduled:
            batch.is_scheduled = True
            loop.call_later(BATCH_DELAY_S, self._send_batch, batch)
        return await outcome

    async def cancel(
        self, work_id: str, reason: Refusal, member: str
    ) -> Result[WorkView, Refusal]:
        """Cancel work, unless a caller of another member waits for its result."""
        request = CancelRequest(
            work_id=work_id, reason=encode_refusal(reason), member=member
        )
        try:
            reply = await self._stub.Cancel(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            return Err(await self._handle_call_error(error))
        if reply.HasField("failure"):
            return Err(decode_refusal(reply.failure))
        return self._decode_body(reply.view, WorkView)

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work once it is final or `hold_s` seconds have passed."""
        views = await self._fetch_views(ShowRequest(work_id=work_id), hold_s)
        return views.map(lambda found: found[0])

    async def list_team_jobs(
        self, partition: str, team: str
    ) -> Result[list[WorkView], Refusal]:
        """Return views of a team's jobs in one partition."""
        return await self._fetch_views(ShowRequest(partition=partition, team=team), 0.0)

    async def inspect(self, partition: str) -> Result[PartitionView, Refusal]:
        """Return a view of a partition for operators."""
        request = InspectRequest(partition=partition)
        try:
            reply = await self._stub.Inspect(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            return Err(await self._handle_call_error(error))
        if reply.HasField("failure"):
            return Err(decode_refusal(reply.failure))
        return self._decode_body(reply.view, PartitionView)

    async def gossip(self, request: GossipRequest) -> Result[GossipReply, Refusal]:
        """Exchange configuration versions and team usage."""
        try:
            reply = await self._stub.Gossip(request, timeout=GOSSIP_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            return Err(await self._handle_call_error(error))
        return Ok(reply)

    async def collect(
        self, get_own_member: Callable[[], str], deliver: Callable[[WorkView], None]
    ) -> None:
        """Fetch results for this process from the peer until cancelled.

        Parameters
        ----------
        get_own_member : callable
            Returns the current member id of this process, which changes when the
            process joins again.
        deliver : callable
            Called with each result; a result may be delivered twice.
        """
        member = get_own_member()
        received_through = 0
        while True:
            if get_own_member() != member:
                member = get_own_member()
                received_through = 0
            request = CollectRequest(
                member=member,
                received_through=received_through,
                hold_ms=int(COLLECT_HOLD_S * 1000),
            )
            try:
                reply = await self._stub.Collect(
                    request, timeout=COLLECT_HOLD_S + GOSSIP_TIMEOUT_S
                )
            except grpc.aio.AioRpcError as error:
                await self._handle_call_error(error)
                await asyncio.sleep(COLLECT_RETRY_S)
                continue
            for body in reply.views:
                view = decode(body, WorkView)
                if isinstance(view, Ok):
                    deliver(view.ok_value)
            received_through = reply.through

    def _send_batch(self, batch: _Batch) -> None:
        pending = batch.pending
        batch.pending = []
        batch.is_scheduled = False
        asyncio.get_running_loop().create_task(
            self._send_submissions(pending, batch.reply_to),
            name=f"submit to {self._member}",
        )

    async def _send_submissions(
        self, pending: list[_PendingSubmission], reply_to: str
    ) -> None:
        request = SubmitRequest(
            member=reply_to,
            submissions=[encode(each.submission) for each in pending],
        )
        try:
            reply = await self._stub.Submit(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            refusal = await self._handle_call_error(error)
            for each in pending:
                _set_outcome(each, Err(refusal))
            return
        self._set_outcomes(pending, reply)

    def _set_outcomes(
        self, pending: list[_PendingSubmission], reply: SubmitReply
    ) -> None:
        for each, result in zip(pending, reply.results, strict=False):
            if result.HasField("failure"):
                _set_outcome(each, Err(decode_refusal(result.failure)))
            else:
                _set_outcome(each, Ok(result.work_id))
        for each in pending[len(reply.results) :]:
            _set_outcome(
                each,
                Err(
                    make_unknown_outcome_refusal(
                        self._member,
                        "the reply has fewer results than the call had submissions",
                    )
                ),
            )

    async def _fetch_views(
        self, request: ShowRequest, hold_s: float
    ) -> Result[list[WorkView], Refusal]:
        request.hold_ms = int(hold_s * 1000)
        try:
            reply = await self._stub.Show(request, timeout=CALL_TIMEOUT_S + hold_s)
        except grpc.aio.AioRpcError as error:
            return Err(await self._handle_call_error(error))
        if reply.HasField("failure"):
            return Err(decode_refusal(reply.failure))
        views: list[WorkView] = []
        for body in reply.views:
            view = self._decode_body(body, WorkView)
            if isinstance(view, Err):
                return view
            views.append(view.ok_value)
        return Ok(views)

    def _decode_body(self, body: bytes, as_type: type[T]) -> Result[T, Refusal]:
        return decode(body, as_type).map_err(
            lambda message: make_unknown_outcome_refusal(self._member, message)
        )

    async def _handle_call_error(self, error: grpc.aio.AioRpcError) -> Refusal:
        """Return the refusal for a failed call; replace the channel after a timeout."""
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            old_channel = self._channel
            self._channel = grpc.aio.insecure_channel(
                self._address, options=_CHANNEL_OPTIONS
            )
            self._stub = PeerStub(self._channel)
            retirement = asyncio.create_task(
                _retire(old_channel), name=f"retire channel to {self._member}"
            )
            self._retirements.add(retirement)
            retirement.add_done_callback(self._retirements.discard)
        return make_unknown_outcome_refusal(self._member, error.code().name.lower())


class GrpcPeerConnector(PeerConnector):
    """Creates gRPC clients of peers."""

    def connect(self, member: str, address: str) -> Peer:
        """Return a client of the peer that listens on an address."""
        return PeerClient(member, address)


async def _retire(channel: grpc.aio.Channel) -> None:
    """Close a channel once its calls have ended."""
    try:
        await channel.close(RETIREMENT_S)
    finally:
        await channel.close()


def _set_outcome(pending: _PendingSubmission, outcome: Result[str, Refusal]) -> None:
    if not pending.outcome.done():
        pending.outcome.set_result(outcome)
