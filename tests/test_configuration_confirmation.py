"""Tests that no process confirms a configuration after a later version is stored."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tests.disturbed_cell import DisturbedCell
from tests.memory_cell import MemoryPeerClient
from tests.test_configuration_exchange import (
    DISTANT,
    OWNER,
    change_configuration,
    start_cell,
)
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration

SUCCESSOR = "10.0.0.3:1"


def test_peers_version_confirms_no_other_version():
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[DISTANT].is_down = True
        cell.silent.add(OWNER)
        await asyncio.sleep(2.0)
        watch, loop = cell.daemons[DISTANT]._configuration, asyncio.get_running_loop()
        assert watch.current is not None
        version = watch.current.version
        for other_version in (version - 1, version + 1):
            watch.take_from_peer(other_version, None, loop.time(), 0)
            assert watch.age_s > 2.0
        older = make_configuration(version=version - 1)
        watch.take_from_peer(version - 1, older, loop.time(), 1)
        assert watch.current.version == version
        assert watch.age_s > 2.0
        watch.take_from_peer(version, None, loop.time() - 0.5, 0)
        assert watch.age_s == pytest.approx(0.5)
        watch.take_from_peer(version, None, loop.time() - 1.0, 0)
        assert watch.age_s == pytest.approx(0.5)

    run_with_virtual_clock(main())


@pytest.mark.parametrize("seed", range(12))
def test_no_process_confirms_a_version_after_a_later_one_is_stored(
    monkeypatch: pytest.MonkeyPatch, seed: int
):
    random = Random(seed)
    show_configuration = MemoryPeerClient.show_configuration

    async def show_late(
        self: MemoryPeerClient, known_version: int, content_bytes: int = 0
    ) -> object:
        await asyncio.sleep(random.choice([0.0, 0.5, 3.0]))
        view = await show_configuration(self, known_version, content_bytes)
        await asyncio.sleep(random.choice([0.0, 0.5, 3.0]))
        return view

    monkeypatch.setattr(MemoryPeerClient, "show_configuration", show_late)

    async def main() -> None:
        cell = await start_cell()
        await cell.start_process(SUCCESSOR, 1.0)
        await DisturbedCell(cell, random).run(120.0)

    run_with_virtual_clock(main())


@pytest.mark.parametrize("reply_s", [0.5, 3.0, 6.0])
def test_age_from_a_peer_counts_from_the_call_when_the_reply_is_late(
    monkeypatch: pytest.MonkeyPatch, reply_s: float
):
    show_configuration = MemoryPeerClient.show_configuration

    async def show_late(
        self: MemoryPeerClient, known_version: int, content_bytes: int = 0
    ) -> object:
        view = await show_configuration(self, known_version, content_bytes)
        await asyncio.sleep(reply_s)
        return view

    monkeypatch.setattr(MemoryPeerClient, "show_configuration", show_late)

    async def main() -> None:
        cell = await start_cell()
        loop = asyncio.get_running_loop()
        cell.remote_sources[DISTANT].is_down = True
        await asyncio.sleep(2.0)
        change_configuration(cell, 2)
        stored_s = loop.time()
        for _ in range(150):
            await asyncio.sleep(0.1)
            watch = cell.daemons[DISTANT]._configuration
            if watch.current is not None and watch.current.version == 1:
                assert watch.age_s >= loop.time() - stored_s

    run_with_virtual_clock(main())
