"""Tests of the exchange of the configuration beside owners that hang or differ."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiadale.cell.peers import SHOW_CONFIGURATION_TIMEOUT_S
from tests.memory_cell import MemoryCell, MemoryPeerClient
from tests.test_configuration_exchange import (
    BOUNDS,
    DISTANT,
    OWNER,
    sample_ages,
    start_cell,
)
from tests.virtual_loop import run_with_virtual_clock

SUCCESSOR = "10.0.0.3:1"


def let_silent_peers_hang(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let calls to silent peers end by their timeout, as those over gRPC do."""
    show_configuration = MemoryPeerClient.show_configuration

    async def show_or_hang(self: MemoryPeerClient, known_version: int) -> object:
        view = await show_configuration(self, known_version)
        if view is None and self._is_silent:
            await asyncio.sleep(SHOW_CONFIGURATION_TIMEOUT_S)
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
