"""Connections of an entry node to the other systems, with simulated network faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TypeVar

from attrs import define, field
from result import Err, Ok, Result

from fuchsiadale.backend.messages import (
    AdoptOrder,
    HeartbeatOrder,
    ReportMessage,
    StartBatch,
    StartReply,
    StopBatch,
    validate_report,
)
from fuchsiadale.backend.server import (
    BackendConnector,
    BackendServer,
    CallFailure,
)
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.reports import WorkerReport
from fuchsiadale.decision.session import SessionRefusal
from fuchsiadale.decision.views import PartitionView, WorkView
from fuchsiadale.decision.work import Submission
from fuchsiadale.entry.node import EntryNode
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
    SubmitRequest,
)
from fuchsiadale.ports.hosts import HostListing
from fuchsiadale.ports.table import TableFailure
from fuchsiadale.standin.table import (
    MemoryHostList,
    MemoryObjectStore,
    MemoryTable,
    PlatformState,
)
from fuchsiadale.standin.worker import StandInWorker

T = TypeVar("T")

LOST_CALL_DELAY_S = 2.0
"""Seconds after which a call fails whose request or reply is lost."""

NETWORK_DELAY_S = 0.001
"""Delay in seconds before each request to the table service, a worker or a peer."""


@define
class NetworkFaults:
    """Network faults between one node and the other systems.

    Attributes
    ----------
    is_store_unreachable : bool
        Whether calls to the table service and reads of the object store fail.
    is_host_list_unreachable : bool
        Whether reads of the host list fail.
    unreachable_peers : set of str
        Hosts of the unreachable peers.
    unreachable_workers : set of str
        Names of the unreachable workers.
    workers_losing_replies : set of str
        Names of the workers that receive requests but whose replies are lost.
    """

    is_store_unreachable: bool = False
    is_host_list_unreachable: bool = False
    unreachable_peers: set[str] = field(factory=set)
    unreachable_workers: set[str] = field(factory=set)
    workers_losing_replies: set[str] = field(factory=set)


class FaultyHostList(MemoryHostList):
    """Host list as seen by one node, subject to its network faults."""

    def __init__(self, state: PlatformState, faults: NetworkFaults) -> None:
        super().__init__(state)
        self._faults = faults

    async def fetch(self, known_version: int) -> Result[HostListing, str]:
        """Return the list, or an error if it is unreachable."""
        if self._faults.is_host_list_unreachable:
            return Err("unreachable")
        return await super().fetch(known_version)


class FaultyTable(MemoryTable):
    """Table service as seen by one node, subject to its network faults."""

    def __init__(self, state: PlatformState, faults: NetworkFaults) -> None:
        super().__init__(state)
        self._faults = faults

    async def _is_available(self) -> bool:
        """Wait for the simulated delays; return whether the service takes the call."""
        await asyncio.sleep(NETWORK_DELAY_S)
        return not self._faults.is_store_unreachable and await super()._is_available()


class FaultyObjectStore(MemoryObjectStore):
    """Object store as seen by one node.

    While the store is unreachable, reads fail; writes and deletions still succeed.
    """

    def __init__(self, state: PlatformState, faults: NetworkFaults) -> None:
        super().__init__(state)
        self._faults = faults

    async def get(self, name: str) -> Result[bytes, object]:  # type: ignore[override]
        """Return the content of an object."""
        if self._faults.is_store_unreachable:
            return Err(TableFailure.UNAVAILABLE)
        return await super().get(name)


class FaultyWorkerClient(BackendServer):
    """Client of a stand-in worker, subject to the network faults of one node."""

    def __init__(self, worker: StandInWorker, faults: NetworkFaults) -> None:
        self._worker = worker
        self._faults = faults

    async def adopt(self, order: AdoptOrder) -> Result[WorkerReport, CallFailure]:
        """Make the sender the worker's owner and return the worker's report."""
        if await self._is_call_lost():
            return Err(CallFailure.UNKNOWN)
        return await self._deliver_reply(_convert_report(self._worker.adopt(order)))

    async def heartbeat(
        self, order: HeartbeatOrder
    ) -> Result[WorkerReport, CallFailure]:
        """Renew the session and the task leases; return the worker's report."""
        if await self._is_call_lost():
            return Err(CallFailure.UNKNOWN)
        return await self._deliver_reply(
            _convert_report(await self._worker.heartbeat(order))
        )

    async def start(
        self, batch: StartBatch
    ) -> Result[Sequence[StartReply], CallFailure]:
        """Order the worker to start attempts; return one reply for each."""
        if await self._is_call_lost():
            return Err(CallFailure.UNKNOWN)
        return await self._deliver_reply(Ok(self._worker.start(batch)))

    async def stop(self, batch: StopBatch) -> Result[None, CallFailure]:
        """Order the worker to end attempts; later heartbeats report their ends."""
        if await self._is_call_lost():
            return Err(CallFailure.UNKNOWN)
        self._worker.stop(batch)
        return await self._deliver_reply(Ok(None))

    async def _is_call_lost(self) -> bool:
        """Wait for the simulated delay; return whether the request is lost."""
        await asyncio.sleep(NETWORK_DELAY_S)
        if self._worker.info.name in self._faults.unreachable_workers:
            await asyncio.sleep(LOST_CALL_DELAY_S)
            return True
        return False

    async def _deliver_reply(
        self, reply: Result[T, CallFailure]
    ) -> Result[T, CallFailure]:
        names = self._faults.workers_losing_replies | self._faults.unreachable_workers
        if self._worker.info.name in names:
            await asyncio.sleep(LOST_CALL_DELAY_S)
            return Err(CallFailure.UNKNOWN)
        return reply


class FaultyWorkerConnector(BackendConnector):
    """Creates clients of the stand-in workers for one node."""

    def __init__(
        self, workers: dict[str, StandInWorker], faults: NetworkFaults
    ) -> None:
        self._workers = workers
        self._faults = faults

    def connect(self, address: str) -> BackendServer:
        """Return a client of the worker whose name is `address`."""
        return FaultyWorkerClient(self._workers[address], self._faults)

    async def close(self) -> None:
        """Do nothing, as no connection is open."""


class FaultyPeer(Peer):
    """Client of a peer that calls its gRPC service directly, without a connection.

    Requests and replies have the same message types as over gRPC. Replies to `submit`
    and `collect` are lost if the peer has become unreachable during the call.
    """

    def __init__(
        self, member: str, host: str, find_node: Callable[[str], EntryNode | None]
    ) -> None:
        self._member = member
        self._host = host
        self._find_node = find_node

    @property
    def member(self) -> str:
        """Member that this client calls."""
        return self._member

    async def submit(
        self, submission: Submission, reply_to: str
    ) -> Result[str, Refusal]:
        """Submit work whose result goes to a member; return the id of the work."""
        request = SubmitRequest(member=reply_to, submissions=[encode(submission)])
        node = await self._reach_node()
        if node is None:
            return Err(self._make_unreachable_refusal())
        reply = await node.peer_service.Submit(request, None)
        if self._find_node(self._host) is None:
            return Err(self._make_unreachable_refusal())
        result = reply.results[0]
        if result.HasField("failure"):
            return Err(decode_refusal(result.failure))
        return Ok(result.work_id)

    async def cancel(
        self, work_id: str, reason: Refusal, member: str
    ) -> Result[WorkView, Refusal]:
        """Cancel work, unless a client of another member waits for it."""
        node = await self._reach_node()
        if node is None:
            return Err(self._make_unreachable_refusal())
        reply = await node.peer_service.Cancel(
            CancelRequest(
                work_id=work_id, reason=encode_refusal(reason), member=member
            ),
            None,
        )
        if reply.HasField("failure"):
            return Err(decode_refusal(reply.failure))
        return Ok(decode(reply.view, WorkView).unwrap())

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work, once it is final or `hold_s` seconds have passed."""
        request = ShowRequest(work_id=work_id, hold_ms=int(hold_s * 1000))
        return (await self._fetch_views(request)).map(lambda views: views[0])

    async def list_team_jobs(
        self, partition: str, team: str
    ) -> Result[list[WorkView], Refusal]:
        """Return views of a team's jobs in one partition."""
        return await self._fetch_views(ShowRequest(partition=partition, team=team))

    async def inspect(self, partition: str) -> Result[PartitionView, Refusal]:
        """Return a view of a partition for operators."""
        node = await self._reach_node()
        if node is None:
            return Err(self._make_unreachable_refusal())
        reply = await node.peer_service.Inspect(
            InspectRequest(partition=partition), None
        )
        if reply.HasField("failure"):
            return Err(decode_refusal(reply.failure))
        return Ok(decode(reply.view, PartitionView).unwrap())

    async def gossip(self, request: GossipRequest) -> Result[GossipReply, Refusal]:
        """Exchange configuration versions and the usage of teams."""
        node = await self._reach_node()
        if node is None:
            return Err(self._make_unreachable_refusal())
        return Ok(await node.peer_service.Gossip(request, None))

    async def collect(
        self, get_own_member: Callable[[], str], deliver: Callable[[WorkView], None]
    ) -> None:
        """Fetch the results for the own member from the peer until cancelled.

        Each result is passed to `deliver`. When the own member changes, results are
        fetched from the first one on.
        """
        member = get_own_member()
        through = 0
        while True:
            if get_own_member() != member:
                member = get_own_member()
                through = 0
            request = CollectRequest(
                member=member, received_through=through, hold_ms=1000
            )
            node = await self._reach_node()
            if node is None:
                continue
            reply = await node.peer_service.Collect(request, None)
            if self._find_node(self._host) is None:
                continue
            for body in reply.views:
                deliver(decode(body, WorkView).unwrap())
            through = reply.through

    async def close(self) -> None:
        """Do nothing, as no connection is open."""

    async def _fetch_views(
        self, request: ShowRequest
    ) -> Result[list[WorkView], Refusal]:
        node = await self._reach_node()
        if node is None:
            return Err(self._make_unreachable_refusal())
        reply = await node.peer_service.Show(request, None)
        if reply.HasField("failure"):
            return Err(decode_refusal(reply.failure))
        return Ok([decode(body, WorkView).unwrap() for body in reply.views])

    async def _reach_node(self) -> EntryNode | None:
        await asyncio.sleep(NETWORK_DELAY_S)
        node = self._find_node(self._host)
        if node is None:
            await asyncio.sleep(LOST_CALL_DELAY_S)
        return node

    def _make_unreachable_refusal(self) -> Refusal:
        return make_unknown_outcome_refusal(self._member, "cut")


class FaultyPeerConnector(PeerConnector):
    """Creates one node's clients of its peers; calls to unreachable peers fail."""

    def __init__(self, find_node: Callable[[str], EntryNode | None]) -> None:
        self._find_node = find_node

    def connect(self, member: str, address: str) -> Peer:
        """Return a client of the peer that listens on an address."""
        return FaultyPeer(member, address.partition(":")[0], self._find_node)


def _convert_report(
    result: Result[ReportMessage, SessionRefusal],
) -> Result[WorkerReport, CallFailure]:
    """Return the validated report; any refusal counts as a stale epoch."""
    if isinstance(result, Err):
        return Err(CallFailure.STALE_EPOCH)
    report = validate_report(result.ok_value)
    return report.map_err(lambda _: CallFailure.INVALID_ANSWER)
