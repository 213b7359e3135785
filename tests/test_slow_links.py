"""Tests of replies that take long to arrive, as over a slow link."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import eliot
import orjson
from attrs import define

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.platform.http import HttpClient, NoReply
from fuchsiadale.platform.main import PlatformClients, make_dependencies
from fuchsiadale.platform.settings import CellSettings
from tests.silent_server import SilentServer

LINK_BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s."""

QUEUES_AFTER_GROWTH = 5_400
"""Number of queues of a configuration that such a link carries in two seconds."""

FEED_S = 0.2
"""Seconds that a feed without changes waits."""

APPLY_BOUND_S = 3.0
"""Seconds in which a new version has to be in force on the deployments concerned."""

KEY_REVOCATION_S = 5.0
"""Seconds after which a withdrawn key must no longer be accepted there."""

MAX_DETECTION_S = 2.0
"""Seconds in which a silent connection is noticed and the document asked for again."""


def make_document(version: int, queue_count: int) -> bytes:
    """Return a configuration with many queues, as the operator writes it."""
    queues = [
        {
            "name": f"queue-{number:06}",
            "host": f"host-{number:06}.example",
            "path_prefix": f"/queue-{number:06}/",
            "service": "quote-desk",
            "priority": 1,
            "max_attempts": 3,
            "stretch": 2.2,
            "target_latency_ms": 250,
        }
        for number in range(queue_count)
    ]
    return orjson.dumps({"version": version, "routes": queues, "tenants": []})


@define
class GrowingConfiguration:
    """Answers reads and feeds of a configuration that grows.

    Attributes
    ----------
    version : int
        Version of the configuration.
    queue_count : int
        Number of its queues.
    """

    version: int = 1
    queue_count: int = 1

    @property
    def transfer_s(self) -> float:
        """Seconds that the configuration needs on a link of `LINK_BYTES_PER_S`."""
        return len(self._make_reply()) / LINK_BYTES_PER_S

    async def answer(self, target: str) -> bytes:
        """Return the configuration if it is newer than the version in the target."""
        known_version = self.version
        if f"after={known_version}&" in target:
            await asyncio.sleep(FEED_S)
        if f"after={self.version}&" in target:
            return orjson.dumps({"rows": [], "row_version": known_version})
        return self._make_reply()

    def _make_reply(self) -> bytes:
        document = make_document(self.version, self.queue_count)
        row = {
            "table": "op",
            "key": "config",
            "value": b64encode(document).decode(),
            "row_version": self.version,
        }
        return orjson.dumps({"rows": [row], "row_version": self.version})


@define
class SlowlyReachedStore:
    """A store behind a slow link, and a process that watches its configuration."""

    server: SilentServer
    configuration: GrowingConfiguration
    watch: ConfigurationWatch

    async def wait_for_version(self, version: int, timeout_s: float) -> None:
        """Wait until a version is in force.

        Raises
        ------
        TimeoutError
            If it is not in force within `timeout_s` seconds.
        """
        async with asyncio.timeout(timeout_s):
            while self.watch.current is None or self.watch.current.version < version:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def watch_over_slow_link() -> AsyncIterator[SlowlyReachedStore]:
    """Build the clients as the program does and watch a small configuration."""
    configuration, clients = GrowingConfiguration(), PlatformClients()
    server = SilentServer(configuration.answer)
    server.bytes_per_s = LINK_BYTES_PER_S
    async with server.listen():
        bounds = TimeBounds(
            key_revocation_s=KEY_REVOCATION_S, configuration_s=APPLY_BOUND_S
        )
        settings = CellSettings(
            "node", "127.0.0.1", "", "", 0, server.address, "", True, 1.0, bounds
        )
        dependencies = make_dependencies(settings, clients)
        watch = ConfigurationWatch(dependencies.configuration, lambda version: None)
        task = asyncio.create_task(watch.run())
        process = SlowlyReachedStore(server, configuration, watch)
        await process.wait_for_version(1, 1.0)
        yield process
        task.cancel()
        await clients.close()


async def test_log_tells_how_much_of_a_reply_arrived_in_time():
    async def answer(target: str) -> bytes:
        return bytes(10_000)

    messages: list[dict[str, object]] = []
    eliot.add_destinations(messages.append)
    server, client = SilentServer(answer), HttpClient()
    server.bytes_per_s = 20_000
    async with server.listen():
        reply = await client.call("GET", f"http://{server.address}/", timeout_s=0.2)
        server.answer_delay_s = 1.0
        await client.call("GET", f"http://{server.address}/", timeout_s=0.2)
        await client.close()
    eliot.remove_destination(messages.append)
    assert isinstance(reply, NoReply)
    # The first destination that is added also gets the messages logged before.
    begun, silent = (
        message for message in messages if message.get("address") == server.address
    )
    assert (begun["has_begun"], begun["expected_bytes"]) == (True, 10_000)
    assert 0 < begun["received_bytes"] < 10_000
    assert (silent["has_begun"], silent["received_bytes"]) == (False, 0)


async def test_configuration_that_needs_two_seconds_on_the_link_is_applied_in_time():
    async with watch_over_slow_link() as process:
        process.configuration.queue_count = QUEUES_AFTER_GROWTH
        process.configuration.version = 2
        assert 1.8 < process.configuration.transfer_s < 2.2
        await process.wait_for_version(2, APPLY_BOUND_S)


async def test_calls_are_not_refused_as_stale_after_the_configuration_has_grown():
    max_age_s = TimeBounds(key_revocation_s=KEY_REVOCATION_S).max_key_staleness_s
    async with watch_over_slow_link() as process:
        process.configuration.queue_count = QUEUES_AFTER_GROWTH
        process.configuration.version = 2
        ages_s = []
        for _ in range(80):
            await asyncio.sleep(0.1)
            ages_s.append(process.watch.age_s)
    assert max(ages_s) < max_age_s
    assert ages_s[-1] < 1.0


async def test_long_document_is_read_again_after_its_connection_went_silent_midway():
    async with watch_over_slow_link() as process:
        process.configuration.queue_count = QUEUES_AFTER_GROWTH
        process.configuration.version = 2
        transfer_s = process.configuration.transfer_s
        await asyncio.sleep(FEED_S + transfer_s / 2)
        process.server.silence_connections()
        await process.wait_for_version(2, MAX_DETECTION_S + transfer_s)
