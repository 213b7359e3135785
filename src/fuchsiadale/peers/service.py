"""gRPC service that answers the peers of this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc
from result import Err, Result

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.views import WorkView
from fuchsiadale.decision.work import Submission
from fuchsiadale.peers.failures import decode_refusal, encode_refusal
from fuchsiadale.peers.gateway import Gateway
from fuchsiadale.peers.peer_pb2 import (
    CancelReply,
    CancelRequest,
    CollectReply,
    CollectRequest,
    GossipReply,
    GossipRequest,
    InspectReply,
    InspectRequest,
    ShowReply,
    ShowRequest,
    SubmitReply,
    SubmitRequest,
    SubmitResult,
)
from fuchsiadale.peers.peer_pb2_grpc import (
    PeerServicer,
    add_PeerServicer_to_server,
)
from fuchsiadale.peers.results import ResultOutboxes

MAX_MESSAGE_BYTES = 64 << 20
"""Largest message that is sent or received, in bytes."""

STOP_GRACE_S = 1.0
"""Seconds allowed for running calls to end when the server stops."""

_SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.so_reuseport", 0),
]

Context = grpc.aio.ServicerContext[Any, Any]
GossipHandler = Callable[[GossipRequest], GossipReply]


class PeerService(PeerServicer):  # type: ignore[misc]
    """Answers calls of peers.

    Peers call about the partitions that this process owns, collect results for their
    callers, and exchange gossip.

    Parameters
    ----------
    gateway : Gateway
        Gateway to the partitions of this process.
    outboxes : ResultOutboxes
        Results that the peers collect.
    gossip : callable
        Returns the reply to a gossip request.
    """

    def __init__(
        self, gateway: Gateway, outboxes: ResultOutboxes, gossip: GossipHandler
    ) -> None:
        self._gateway = gateway
        self._outboxes = outboxes
        self._answer_gossip = gossip

    async def Submit(  # noqa: N802
        self, request: SubmitRequest, context: Context
    ) -> SubmitReply:
        """Submit a batch of work; return one result for each submission."""
        results = await asyncio.gather(
            *(self._submit(body, request.member) for body in request.submissions)
        )
        return SubmitReply(results=results)

    async def Collect(  # noqa: N802
        self, request: CollectRequest, context: Context
    ) -> CollectReply:
        """Return the unacknowledged results of the calling member; wait if none."""
        collected = await self._outboxes.collect(
            request.member, request.received_through, request.hold_ms / 1000
        )
        views = [encode(view) for view in collected.views]
        return CollectReply(through=collected.last_number, views=views)

    async def Cancel(  # noqa: N802
        self, request: CancelRequest, context: Context
    ) -> CancelReply:
        """Cancel work; return a view of it."""
        reason = decode_refusal(request.reason)
        view = await self._gateway.cancel(request.work_id, reason, request.member)
        if isinstance(view, Err):
            return CancelReply(failure=encode_refusal(view.err_value))
        return CancelReply(view=encode(view.ok_value))

    async def Show(  # noqa: N802
        self, request: ShowRequest, context: Context
    ) -> ShowReply:
        """Return a view of one piece of work, or views of a team's jobs."""
        views: Result[list[WorkView], Refusal]
        if request.work_id:
            view = await self._gateway.show(request.work_id, request.hold_ms / 1000)
            views = view.map(lambda found: [found])
        else:
            views = await self._gateway.list_team_jobs(request.partition, request.team)
        if isinstance(views, Err):
            return ShowReply(failure=encode_refusal(views.err_value))
        return ShowReply(views=[encode(view) for view in views.ok_value])

    async def Inspect(  # noqa: N802
        self, request: InspectRequest, context: Context
    ) -> InspectReply:
        """Return a view of a partition."""
        view = await self._gateway.inspect(request.partition)
        if isinstance(view, Err):
            return InspectReply(failure=encode_refusal(view.err_value))
        return InspectReply(view=encode(view.ok_value))

    async def Gossip(  # noqa: N802
        self, request: GossipRequest, context: Context
    ) -> GossipReply:
        """Exchange configuration versions and team usage."""
        return self._answer_gossip(request)

    async def _submit(self, body: bytes, member: str) -> SubmitResult:
        submission = decode(body, Submission)
        if isinstance(submission, Err):
            refusal = Refusal(ErrorKind.MALFORMED, submission.err_value)
            return SubmitResult(failure=encode_refusal(refusal))
        outcome = await self._gateway.submit(submission.ok_value, member)
        if isinstance(outcome, Err):
            return SubmitResult(failure=encode_refusal(outcome.err_value))
        return SubmitResult(work_id=outcome.ok_value)


class PeerServer:
    """gRPC server that listens for calls of peers.

    Parameters
    ----------
    service : PeerService
        Service that answers the calls.
    address : str
        ``<ip>:<port>`` to listen on.

    Attributes
    ----------
    port : int
        Port on which the server listens.
    """

    def __init__(self, service: PeerService, address: str) -> None:
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        add_PeerServicer_to_server(service, self._server)
        self.port = self._server.add_insecure_port(address)

    async def start(self) -> None:
        """Start answering calls."""
        await self._server.start()

    async def stop(self) -> None:
        """Refuse new calls, and abort running ones after ``STOP_GRACE_S`` seconds."""
        await self._server.stop(STOP_GRACE_S)
