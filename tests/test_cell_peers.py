"""Tests the remote procedure calls between processes over the loopback interface."""

from __future__ import annotations

import asyncio

import grpc
import pytest

from fuchsiadale.cell import peers
from fuchsiadale.cell.outage_witness import OutageWitness
from fuchsiadale.cell.peer_messages import (
    ConfigurationView,
    PeerStatus,
    ProcessIdentity,
    RowOutcome,
    SyncCall,
)
from fuchsiadale.cell.peer_service import PeerCallbacks, start_peer_server
from fuchsiadale.cell.peers import PeerClient
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.ports.task_workers import Advice, AdviceClient

STEP = StepName("0" * 16, 0, 1)
ADDRESS = "127.0.0.1:0"
SYNC_CALL = SyncCall(ProcessIdentity("node", "1:1", 0.5), 3)

IDLE_S = 6.0
"""Seconds without calls.

With pings every 200 ms, a server with the default limit closed two connections of a
client in this time.
"""


class UnresponsiveAdviceClient(AdviceClient):
    """Advice client whose calls never return."""

    async def request_advice(
        self, step: StepName, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Wait until cancelled."""
        await asyncio.Event().wait()
        return None


async def create_row(key: str, value: bytes) -> RowOutcome:
    """Report a row as stored if its content is its key."""
    return RowOutcome.STORED if value == key.encode() else RowOutcome.NOT_STORED


async def probe_store() -> bool:
    """Report that the store answers."""
    return True


async def start_server_and_client() -> tuple[object, PeerClient]:
    callbacks = PeerCallbacks(
        lambda call: PeerStatus("i", True, call.epoch, call.identity.fitness),
        lambda job_id: (True, None),
        lambda key, value: True,
        UnresponsiveAdviceClient(),
        create_row,
        probe_store,
        OutageWitness(lambda: 3),
        lambda known_version, wants_content: ConfigurationView(
            7, 0.25, known_version, known_version * b"x" if wants_content else b""
        ),
    )
    for port in range(20100, 20200):
        try:
            server = await start_peer_server(callbacks, f"127.0.0.1:{port}")
        except RuntimeError:
            continue
        return server, PeerClient(f"127.0.0.1:{port}")
    raise RuntimeError("no free port")


async def test_call_gets_no_reply_when_another_task_closes_the_channel():
    server, client = await start_server_and_client()
    status = await client.sync(SYNC_CALL)
    assert status is not None
    assert status.epoch == 3
    assert status.renewed_age_s == 0.5
    call = asyncio.create_task(client.request_advice(STEP, ("w",), 30.0))
    await asyncio.sleep(0.1)
    await client.close()
    assert await call is None
    assert await client.sync(SYNC_CALL) is not None
    await client.close()
    await server.stop(0)  # type: ignore[attr-defined]


async def test_peer_shows_its_configuration():
    server, client = await start_server_and_client()
    assert await client.show_configuration(3) == ConfigurationView(7, 0.25, 3)
    view = await client.show_configuration(3, content_bytes=3)
    assert view == ConfigurationView(7, 0.25, 3, b"xxx")
    await client.close()
    await server.stop(0)  # type: ignore[attr-defined]


async def test_cancelled_call_raises_cancelled_error():
    server, client = await start_server_and_client()
    call = asyncio.create_task(client.request_advice(STEP, ("w",), 30.0))
    await asyncio.sleep(0.1)
    call.cancel()
    outcome = await asyncio.gather(call, return_exceptions=True)
    assert isinstance(outcome[0], asyncio.CancelledError)
    await client.close()
    await server.stop(0)  # type: ignore[attr-defined]


async def test_frequent_keepalives_of_idle_peer_do_not_close_the_connection(
    monkeypatch: pytest.MonkeyPatch,
):
    server, client = await start_server_and_client()
    other_options = [
        (name, value) for name, value in peers.OPTIONS if "time_ms" not in name
    ]
    monkeypatch.setattr(
        peers, "OPTIONS", [*other_options, ("grpc.keepalive_time_ms", 200)]
    )
    assert await client.sync(SYNC_CALL) is not None
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


async def test_peer_stores_a_row_and_tells_the_outcome():
    server, client = await start_server_and_client()
    assert await client.create_row("a", b"a") is RowOutcome.STORED
    assert await client.create_row("a", b"b") is RowOutcome.NOT_STORED
    await server.stop(0.0)  # type: ignore[attr-defined]
    assert await client.create_row("a", b"a") is RowOutcome.UNKNOWN
    await client.close()


async def test_peer_tells_whether_the_store_answers_it():
    server, client = await start_server_and_client()
    assert await client.probe_store()
    await server.stop(0.0)  # type: ignore[attr-defined]
    assert not await client.probe_store()
    await client.close()
