"""Tests that connections which went silent do not hold up calls for long."""

from __future__ import annotations

import asyncio

from fuchsiadale.platform.http import HttpClient, NoReply, Reply
from tests.silent_server import SilentServer

POOLED_CONNECTIONS = 6
TIMEOUT_S = 0.2


async def fill_pool(client: HttpClient, server: SilentServer) -> None:
    """Make as many calls at once as shall leave a connection open."""
    server.answer_delay_s = 0.05
    calls = (get(client, server) for _ in range(POOLED_CONNECTIONS))
    assert all(isinstance(reply, Reply) for reply in await asyncio.gather(*calls))
    server.answer_delay_s = 0.0
    assert server.opened_connections == POOLED_CONNECTIONS


async def get(client: HttpClient, server: SilentServer) -> Reply | NoReply:
    return await client.call("GET", f"http://{server.address}/x", timeout_s=TIMEOUT_S)


async def test_calls_do_not_time_out_on_one_silent_connection_after_the_other():
    server, client = SilentServer(), HttpClient()
    async with server.listen():
        await fill_pool(client, server)
        server.silence_connections()
        assert isinstance(await get(client, server), NoReply)
        assert isinstance(await get(client, server), Reply)
        await client.close()


async def test_time_out_cuts_no_call_in_progress_and_no_connection_to_others():
    server, other, client = SilentServer(), SilentServer(), HttpClient()
    async with server.listen(), other.listen():
        await fill_pool(client, server)
        await get(client, other)
        server.answer_delay_s = 1.5 * TIMEOUT_S
        slow_call = asyncio.create_task(
            client.call("GET", f"http://{server.address}/slow", timeout_s=5.0)
        )
        assert isinstance(await get(client, server), NoReply)
        assert isinstance(await get(client, other), Reply)
        assert isinstance(await slow_call, Reply)
        assert other.opened_connections == 1
        await client.close()
