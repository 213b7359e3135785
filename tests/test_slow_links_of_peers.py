"""Tests of calls between peers over a slow link."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest.mock import AsyncMock, Mock

from attrs import frozen
from result import Err, Ok

from fuchsiadale.decision.views import TaskView, WorkView
from fuchsiadale.decision.work import TaskState, WorkKind
from fuchsiadale.peers.client import PeerClient
from fuchsiadale.peers.gateway import Gateway
from fuchsiadale.peers.peer_pb2 import GossipReply, GossipRequest
from fuchsiadale.peers.results import ResultOutboxes
from fuchsiadale.peers.service import PeerServer, PeerService
from tests.slow_link import LINK_BYTES_PER_S, SlowLink

RESULT_COUNT = 30
"""Number of results that the link carries in three seconds."""

ANSWER_BYTES = 64 << 10
"""Size of the answer in each result."""

SHOWN_BYTES = 1_500_000
"""Size of a view that the link carries in more than two seconds."""

DOCUMENT_BYTES = 1_000_000
"""Size of a configuration that the link carries in more than the time of a gossip."""

COLLECT_S = 10.0
"""Seconds allowed for collecting all results."""


@frozen
class SlowlyReachedPeer:
    """A client of a peer behind a slow link, and the results that the peer keeps."""

    client: PeerClient
    outboxes: ResultOutboxes
    link: SlowLink


@asynccontextmanager
async def peer_behind_slow_link() -> AsyncIterator[SlowlyReachedPeer]:
    """Serve results and provide a client behind a slow link."""
    outboxes = ResultOutboxes()
    gateway = Mock(spec=Gateway)
    gateway.show = AsyncMock(return_value=Ok(make_result(0, SHOWN_BYTES)))
    service = PeerService(
        gateway, outboxes, lambda request: GossipReply(document=bytes(DOCUMENT_BYTES))
    )
    server = PeerServer(service, "127.0.0.1:0")
    await server.start()
    link = SlowLink(server.port)
    async with link.listen():
        client = PeerClient("peer", link.address)
        yield SlowlyReachedPeer(client, outboxes, link)
        await client.close()
    await server.stop()


def make_result(number: int, answer_bytes: int = ANSWER_BYTES) -> WorkView:
    """Return the view of a request that has ended."""
    task = TaskView(0, TaskState.SUCCEEDED, "worker", 0.0, answer_bytes * b"x")
    return WorkView(
        f"pool-0.{number}", WorkKind.REQUEST, "team", "queue", True, False, None, [task]
    )


async def collect(peer: SlowlyReachedPeer, count: int) -> list[str]:
    """Collect results until there are `count`; return the ids of their works."""
    ids: list[str] = []
    are_complete = asyncio.Event()

    def deliver(view: WorkView) -> None:
        ids.append(view.work_id)
        if len(ids) == count:
            are_complete.set()

    task = asyncio.create_task(peer.client.collect(lambda: "member", deliver))
    try:
        async with asyncio.timeout(COLLECT_S):
            await are_complete.wait()
    finally:
        task.cancel()
    return ids


async def test_many_results_are_collected_once_each_over_a_slow_link():
    async with peer_behind_slow_link() as peer:
        assert RESULT_COUNT * ANSWER_BYTES > 2.5 * LINK_BYTES_PER_S
        views = [make_result(number) for number in range(RESULT_COUNT)]
        for view in views:
            peer.outboxes.add_result("member", view, lambda: None)
        ids = await collect(peer, RESULT_COUNT)
        assert ids == [view.work_id for view in views]


async def test_call_beside_a_peer_call_that_times_out_goes_on():
    async with peer_behind_slow_link() as peer:
        showing = asyncio.create_task(peer.client.show("pool-0.0", 0.0))
        await asyncio.sleep(0.3)
        gossip = await peer.client.gossip(GossipRequest(member="member"))
        assert isinstance(gossip, Err)
        assert isinstance(await showing, Ok)


async def test_call_after_one_that_timed_out_opens_a_connection():
    async with peer_behind_slow_link() as peer:
        showing = asyncio.create_task(peer.client.show("pool-0.0", 0.0))
        await asyncio.sleep(0.3)
        assert isinstance(await peer.client.gossip(GossipRequest(member="member")), Err)
        assert peer.link.opened_connections == 1
        await peer.client.gossip(GossipRequest(member="member"))
        assert peer.link.opened_connections == 2
        assert isinstance(await showing, Ok)


async def test_results_are_collected_after_a_gossip_that_timed_out():
    async with peer_behind_slow_link() as peer:
        collecting = asyncio.create_task(collect(peer, 1))
        await asyncio.sleep(0.3)
        gossip = await peer.client.gossip(GossipRequest(member="member"))
        assert isinstance(gossip, Err)
        peer.outboxes.add_result("member", make_result(7), lambda: None)
        assert await collecting == ["pool-0.7"]
