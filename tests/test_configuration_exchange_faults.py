"""Tests of the exchange of the configuration beside owners that hang or differ."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from fuchsiadale.cell.peers import (
    MIN_CONTENT_BYTES_PER_S,
    SHOW_CONFIGURATION_TIMEOUT_S,
)
from tests.memory_cell import MemoryCell, MemoryPeerClient
from tests.test_configuration_exchange import (
    BOUNDS,
    DISTANT,
    LONG_TRANSFER_S,
    OWNER,
    change_configuration,
    sample_ages,
    start_cell,
)
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration, make_queue

SUCCESSOR = "10.0.0.3:1"


def let_silent_peers_hang(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let calls to silent peers end by their timeout, as those over gRPC do."""
    show_configuration = MemoryPeerClient.show_configuration

    async def show_or_hang(
        self: MemoryPeerClient, known_version: int, content_bytes: int = 0
    ) -> object:
        view = await show_configuration(self, known_version, content_bytes)
        if view is None and self._is_silent:
            transfer_s = content_bytes / MIN_CONTENT_BYTES_PER_S
            await asyncio.sleep(SHOW_CONFIGURATION_TIMEOUT_S + transfer_s)
        return view

    monkeypatch.setattr(MemoryPeerClient, "show_configuration", show_or_hang)


async def silence_owner(cell: MemoryCell) -> list[float]:
    """Silence the owner; return the ages at a process that the store refuses."""
    await cell.start_process(SUCCESSOR, 1.0)
    await asyncio.sleep(2.0)
    cell.remote_sources[DISTANT].is_down = True
    await asyncio.sleep(3.0)
    cell.silent.add(OWNER)
    cell.stores[OWNER].is_silent = True
    return await sample_ages(cell, 12.0)


def test_successor_is_not_asked_while_a_call_to_the_former_owner_hangs(
    monkeypatch: pytest.MonkeyPatch,
):
    let_silent_peers_hang(monkeypatch)

    async def main() -> None:
        ages_s = await silence_owner(await start_cell())
        assert max(ages_s) < BOUNDS.max_key_staleness_s

    run_with_virtual_clock(main())


def test_poorer_configuration_from_a_peer_stays_though_the_store_has_sent_the_version():
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[DISTANT].transfer_s = LONG_TRANSFER_S
        queue = make_queue(is_public=True)
        stored = make_configuration(queue, version=2)
        cell.configuration_source.configuration = stored
        await asyncio.sleep(0.1)
        # The owner is of an older build, which does not know the field.
        watch = cell.daemons[DISTANT]._configuration
        poorer = make_configuration(evolve(queue, is_public=False), version=2)
        watch.take_from_peer(2, poorer, asyncio.get_running_loop().time(), 1)
        await asyncio.sleep(LONG_TRANSFER_S + 1.0)
        assert watch._position is not None
        assert watch.current == stored

    run_with_virtual_clock(main())


def test_process_on_a_slow_link_passes_on_the_document_that_it_has_from_a_peer():
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[DISTANT].transfer_s = LONG_TRANSFER_S
        change_configuration(cell, 2)
        await asyncio.sleep(3.0)
        view = cell.daemons[DISTANT]._exchange.show(1, wants_content=True)
        assert view is not None
        assert (view.version, view.content) == (2, b"")

    run_with_virtual_clock(main())
