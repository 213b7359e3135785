"""Tests of the product's own calls over a slow link."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from attrs import frozen
from result import Err, Ok

from fuchsiadale.codec import encode
from fuchsiadale.config.model import (
    ConfigDocument,
    Configuration,
    KeyRecord,
    QueueConfig,
)
from fuchsiadale.decision.events import AcceptedEvent
from fuchsiadale.decision.rows import (
    CONFIG_HEAD_KEY,
    ConfigHead,
    JournalEntry,
    JournalRow,
    JournalSegment,
    PartitionRow,
    journal_key,
)
from fuchsiadale.decision.work import WorkKind
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.journal import Journal
from fuchsiadale.entry.recovery import PartitionStateStore
from fuchsiadale.ids import RandomIdSource
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.metrics import MemoryCounters
from fuchsiadale.ports.http import (
    PLATFORM_TIMEOUT_S,
    HttpObjectStore,
    HttpTable,
    PlatformSession,
)
from fuchsiadale.ports.table import Transaction, Write
from fuchsiadale.standin.platform import PlatformStandIn
from fuchsiadale.standin.table import MemoryObjectStore, MemoryTable, PlatformState
from tests.builders import PARTITION, make_submission
from tests.silent_server import SilentServer
from tests.slow_link import LINK_BYTES_PER_S, SlowLink

QUEUE_COUNT = 10_000
"""Number of queues of a configuration that the link carries in three seconds."""

WORK_COUNT = 10_000
"""Number of works of a partition."""

ROW_COUNT = 2_000
"""Number of rows that a journal has when a snapshot is due."""

PAYLOAD_BYTES = 800_000
"""Size of a payload, of which the link carries less than two in two seconds."""

STORE_S = 10.0
"""Seconds allowed for a call that carries a few megabytes."""


@frozen
class SlowlyReachedPlatform:
    """A platform, and clients of it behind a slow link."""

    state: PlatformState
    table: HttpTable
    objects: HttpObjectStore

    def make_config_driver(self) -> ConfigDriver:
        """Return a driver that has no configuration yet."""
        return ConfigDriver(
            self.table,
            self.objects,
            LoopClock(),
            MemoryCounters(),
            lambda document: None,
        )

    async def store_configuration(self, document: ConfigDocument) -> None:
        """Store a configuration past the link."""
        name = f"config/{document.version}"
        await MemoryObjectStore(self.state).put(name, encode(document))
        head = Write(CONFIG_HEAD_KEY, encode(ConfigHead(document.version, name)))
        await MemoryTable(self.state).transact(Transaction((head,)))


@asynccontextmanager
async def platform_behind_slow_link() -> AsyncIterator[SlowlyReachedPlatform]:
    """Serve a platform and provide clients of it behind a slow link."""
    state = PlatformState()
    runner = web.AppRunner(PlatformStandIn(state).make_app(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    link = SlowLink(runner.addresses[0][1])
    async with link.listen():
        session = PlatformSession(f"http://{link.address}")
        yield SlowlyReachedPlatform(state, HttpTable(session), HttpObjectStore(session))
        await session.close()
    await runner.cleanup()


def make_document(version: int) -> ConfigDocument:
    """Return a configuration with many queues, and a key for each."""
    queues = {
        f"queue-{number:06}": QueueConfig("proofs", teams=(f"team-{number:06}",))
        for number in range(QUEUE_COUNT)
    }
    keys = {
        f"{number:012}": KeyRecord(f"team-{number:06}", 64 * "0")
        for number in range(QUEUE_COUNT)
    }
    return ConfigDocument(version, Configuration(queues=queues), keys)


def make_snapshot() -> JournalRow:
    """Return a snapshot of a partition with many works."""
    events = [
        AcceptedEvent(make_submission(number, WorkKind.BATCH, key=f"job {number}"))
        for number in range(WORK_COUNT)
    ]
    return JournalRow([JournalEntry(PARTITION, list(events))])


async def test_configuration_of_megabytes_is_in_force_over_a_slow_link():
    async with platform_behind_slow_link() as platform:
        document = make_document(1)
        assert len(encode(document)) > 2.5 * LINK_BYTES_PER_S
        await platform.store_configuration(document)
        driver = platform.make_config_driver()
        async with asyncio.timeout(STORE_S):
            await driver.poll()
        assert driver.document == document
        assert driver.freshness.is_fresh()


async def test_key_is_withdrawn_from_a_configuration_of_megabytes_over_a_slow_link():
    async with platform_behind_slow_link() as platform:
        document = make_document(1)
        driver = platform.make_config_driver()
        await platform.store_configuration(document)
        driver.apply(document)
        key_id = next(iter(document.keys))
        async with asyncio.timeout(STORE_S):
            withdrawn = await driver.withdraw_key(key_id)
        assert isinstance(withdrawn, Ok)
        assert key_id not in withdrawn.ok_value.keys


async def test_snapshot_of_many_works_is_written_and_read_over_a_slow_link():
    async with platform_behind_slow_link() as platform:
        store = PartitionStateStore(platform.table, platform.objects)
        snapshot = make_snapshot()
        assert len(encode(snapshot)) > 2.5 * LINK_BYTES_PER_S
        async with asyncio.timeout(2 * STORE_S):
            written = await store.write_snapshot("snapshot/1", snapshot)
            row = PartitionRow("member", 1, (), snapshot="snapshot/1")
            events = await store.read_events(PARTITION, row)
        assert written == Ok(None)
        assert isinstance(events, Ok)
        assert len(events.ok_value) == WORK_COUNT


async def test_long_journal_is_read_over_a_slow_link():
    async with platform_behind_slow_link() as platform:
        submission = make_submission(payload=1_000 * b"x")
        row = JournalRow([JournalEntry(PARTITION, [AcceptedEvent(submission)])])
        writes = [
            Write(journal_key("member", number), encode(row))
            for number in range(1, ROW_COUNT + 1)
        ]
        await MemoryTable(platform.state).transact(Transaction(tuple(writes)))
        store = PartitionStateStore(platform.table, platform.objects)
        segment = JournalSegment("member", 1)
        partition_row = PartitionRow("new", 2, (), segments=(segment,))
        async with asyncio.timeout(STORE_S):
            events = await store.read_events(PARTITION, partition_row)
        assert isinstance(events, Ok)
        assert len(events.ok_value) == ROW_COUNT


async def test_jobs_with_large_payloads_are_recorded_over_a_slow_link():
    async with platform_behind_slow_link() as platform:
        identity = Identity("host", "domain", "", RandomIdSource())
        journal = Journal(platform.table, identity, MemoryCounters(), lambda: None)
        submissions = [
            make_submission(number, WorkKind.BATCH, payload=PAYLOAD_BYTES * b"x")
            for number in range(2)
        ]
        recorded = asyncio.Event()
        for submission in submissions:
            handle = journal.append(PARTITION, [AcceptedEvent(submission)])
        handle.call_when_recorded(recorded.set)
        task = asyncio.create_task(journal.run())
        async with asyncio.timeout(STORE_S):
            await recorded.wait()
        task.cancel()


async def test_object_whose_connection_goes_silent_midway_is_given_up_in_time():
    async def answer(target: str) -> bytes:
        return bytes(2 * LINK_BYTES_PER_S)

    server = SilentServer(answer)
    server.bytes_per_s = LINK_BYTES_PER_S
    async with server.listen():
        session = PlatformSession(f"http://{server.address}")
        reading = asyncio.create_task(HttpObjectStore(session).get("snapshot"))
        await asyncio.sleep(0.5)
        server.silence_connections()
        async with asyncio.timeout(PLATFORM_TIMEOUT_S + 0.5):
            assert isinstance(await reading, Err)
        await session.close()
