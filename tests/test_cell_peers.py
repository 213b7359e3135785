"""Calls between processes, over loopback."""

from __future__ import annotations

import asyncio

import grpc
import pytest

from fuchsiadale.cell import peers
from fuchsiadale.cell.peers import (
    PeerCallbacks,
    PeerClient,
    PeerStatus,
    start_peer_server,
)
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.ports.task_workers import Advice, AdviceClient

STEP = StepName("0" * 16, 0, 1)
ADDRESS = "127.0.0.1:0"

IDLE_S = 6.0
"""Seconds in which a server that counts keepalives closed the connection twice."""


class SlowAdvisor(AdviceClient):
    """Answers after a time that never comes in a test."""

    async def request_advice(
        self, step: StepName, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Wait."""
        await asyncio.Event().wait()
        return None


async def serve() -> tuple[object, PeerClient]:
    handler = PeerCallbacks(
        lambda node, address, epoch, is_leaving: PeerStatus("i", True, epoch, 0.5),
        lambda job_id: (True, None),
        lambda key, value: True,
        SlowAdvisor(),
    )
    for port in range(20100, 20200):
        try:
            server = await start_peer_server(handler, f"127.0.0.1:{port}")
        except RuntimeError:
            continue
        return server, PeerClient(f"127.0.0.1:{port}")
    raise RuntimeError("no free port")


async def test_call_whose_channel_is_closed_by_another_gets_no_answer():
    server, client = await serve()
    standing = await client.sync("node", "1:1", 3, False)
    assert standing is not None
    assert standing.epoch == 3
    pending = asyncio.create_task(client.request_advice(STEP, ("w",), 30.0))
    await asyncio.sleep(0.1)
    await client.close()
    assert await pending is None
    assert await client.sync("node", "1:1", 3, False) is not None
    await client.close()
    await server.stop(0)  # type: ignore[attr-defined]


async def test_call_that_is_cancelled_itself_stays_cancelled():
    server, client = await serve()
    pending = asyncio.create_task(client.request_advice(STEP, ("w",), 30.0))
    await asyncio.sleep(0.1)
    pending.cancel()
    outcome = await asyncio.gather(pending, return_exceptions=True)
    assert isinstance(outcome[0], asyncio.CancelledError)
    await client.close()
    await server.stop(0)  # type: ignore[attr-defined]


async def test_keepalives_of_an_idle_peer_do_not_cost_it_its_connection(
    monkeypatch: pytest.MonkeyPatch,
):
    server, client = await serve()
    frequent = [
        (name, value) for name, value in peers.GRPC_OPTIONS if "time_ms" not in name
    ]
    monkeypatch.setattr(
        peers, "GRPC_OPTIONS", [*frequent, ("grpc.keepalive_time_ms", 200)]
    )
    assert await client.sync("node", "1:1", 3, False) is not None
    channel = client._channel
    assert channel is not None
    state = channel.get_state()
    assert state is grpc.ChannelConnectivity.READY
    change = asyncio.create_task(channel.wait_for_state_change(state))
    await asyncio.wait([change], timeout=IDLE_S)
    assert not change.done()
    change.cancel()
    await client.close()
    await server.stop(0)  # type: ignore[attr-defined]
