"""Tests that connections which went silent do not hold up calls for long."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import orjson
import pytest
from attrs import frozen
from result import Err, Ok

from fuchsiadale.backend.http import HttpBackendConnector
from fuchsiadale.backend.messages import StartReplies, StopBatch
from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.dependencies import CellDependencies
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.cell.worker_list_reader import WORKER_LIST_INTERVAL_S
from fuchsiadale.codec import encode
from fuchsiadale.platform.http import HttpClient, NoReply, Reply
from fuchsiadale.platform.main import PlatformClients, make_dependencies
from fuchsiadale.platform.settings import CellSettings
from fuchsiadale.ports.http import HttpObjectStore, PlatformSession
from tests.silent_server import SilentServer

POOLED_CONNECTIONS = 6
TIMEOUT_S = 0.2
CONFIGURATION_BOUND_S = 2.0
FEED_S = 0.2
DRAIN_BOUND_S = 2.0
"""Seconds after which nothing may start on a worker that is draining."""


class ConfigurationStore:
    """Answers reads and feeds of the configuration; a feed waits for `FEED_S`.

    Attributes
    ----------
    version : int
        Version of the configuration.
    """

    def __init__(self) -> None:
        self.version = 1

    async def answer(self, target: str) -> bytes:
        """Return the configuration if it is newer than the version in the target."""
        await asyncio.sleep(FEED_S if "rows-feed" in target else 0.05)
        row = {
            "table": "op",
            "key": "config",
            "value": b64encode(orjson.dumps({"version": self.version})).decode(),
            "row_version": self.version,
        }
        rows = [] if f"after={self.version}&" in target else [row]
        return orjson.dumps({"rows": rows, "row_version": self.version})


def make_settings(store_address: str) -> CellSettings:
    return CellSettings(
        "node", "127.0.0.1", "", "", 0, store_address, "", True, 1.0, TimeBounds()
    )


@frozen
class WatchingProcess:
    """The clients of a process that watches the configuration."""

    server: SilentServer
    source: ConfigurationStore
    dependencies: CellDependencies
    watch: ConfigurationWatch

    async def apply_version(self, version: int) -> None:
        """Write a version and wait until it is in force.

        Raises
        ------
        TimeoutError
            If it is not in force within `CONFIGURATION_BOUND_S`.
        """
        self.source.version = version
        async with asyncio.timeout(CONFIGURATION_BOUND_S):
            while self.watch.current is None or self.watch.current.version < version:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def watch_configuration() -> AsyncIterator[WatchingProcess]:
    """Build the clients as the program does and watch the configuration."""
    source, clients = ConfigurationStore(), PlatformClients()
    server = SilentServer(source.answer)
    async with server.listen():
        dependencies = make_dependencies(make_settings(server.address), clients)
        watch = ConfigurationWatch(dependencies.configuration, lambda version: None)
        task = asyncio.create_task(watch.run())
        process = WatchingProcess(server, source, dependencies, watch)
        await process.apply_version(1)
        yield process
        task.cancel()
        await clients.close()


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


async def test_calls_at_once_succeed_when_several_addresses_are_back(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr("fuchsiadale.connection_pools.KEEP_ALIVE_S", TIMEOUT_S)
    first, second, client = SilentServer(), SilentServer(), HttpClient()
    async with first.listen(), second.listen():
        servers = [first, second]
        for server in servers:
            await get(client, server)
            server.silence_connections()
        await asyncio.gather(*(get(client, server) for server in servers))
        await asyncio.gather(*(get(client, server) for server in servers))
        await asyncio.sleep(2.0 * TIMEOUT_S)
        replies = await asyncio.gather(*(get(client, server) for server in 5 * servers))
        assert all(isinstance(reply, Reply) for reply in replies)
        await client.close()


async def test_configuration_is_in_force_in_time_beside_silent_idle_connections():
    async with watch_configuration() as process:
        reads = (
            process.dependencies.store.read("jobs") for _ in range(POOLED_CONNECTIONS)
        )
        await asyncio.gather(*reads)
        await asyncio.sleep(FEED_S / 4)
        process.server.silence_connections(except_target="/api/rows-feed")
        await asyncio.sleep(FEED_S)
        await process.apply_version(2)


async def test_configuration_is_in_force_in_time_though_its_watch_went_silent():
    async with watch_configuration() as process:
        process.server.silence_connections()
        await process.apply_version(2)


async def test_object_store_is_reached_again_after_one_silent_connection(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr("fuchsiadale.ports.http.PLATFORM_TIMEOUT_S", TIMEOUT_S)
    server = SilentServer()
    async with server.listen():
        session = PlatformSession(f"http://{server.address}")
        objects = HttpObjectStore(session)
        await asyncio.gather(*(objects.get("x") for _ in range(POOLED_CONNECTIONS)))
        server.silence_connections()
        assert isinstance(await objects.get("x"), Err)
        assert isinstance(await objects.get("x"), Ok)
        await session.close()


async def test_backend_server_is_reached_again_after_one_silent_connection(
    monkeypatch: pytest.MonkeyPatch,
):
    async def answer(target: str) -> bytes:
        return encode(StartReplies([]))

    monkeypatch.setattr("fuchsiadale.backend.http.CALL_TIMEOUT_S", TIMEOUT_S)
    server, connector = SilentServer(answer), HttpBackendConnector()
    async with server.listen():
        backend_server = connector.connect(f"http://{server.address}")
        batch = StopBatch(1, [])
        calls = (backend_server.stop(batch) for _ in range(POOLED_CONNECTIONS))
        await asyncio.gather(*calls)
        server.silence_connections()
        assert isinstance(await backend_server.stop(batch), Err)
        assert isinstance(await backend_server.stop(batch), Ok)
        await connector.close()


async def test_list_of_workers_is_read_in_time_over_silent_connections():
    async with watch_configuration() as process:
        worker_list = process.dependencies.worker_list
        reads = (worker_list.read() for _ in range(POOLED_CONNECTIONS))
        await asyncio.gather(*reads)
        process.server.silence_connections()
        async with asyncio.timeout(DRAIN_BOUND_S):
            while isinstance(await worker_list.read(), Err):
                await asyncio.sleep(WORKER_LIST_INTERVAL_S)
