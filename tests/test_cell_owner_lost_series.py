"""Tests of owners that are lost early, or with most of their witnesses."""

from __future__ import annotations

import asyncio

import pytest

from tests.test_cell_owner_lost import (
    RESTART_BOUND_S,
    crash_workers,
    measure_restart_s,
    start_cell,
)
from tests.virtual_loop import run_with_virtual_clock


@pytest.mark.parametrize("load_s", [0.3, 1.0])
def test_wait_for_leases_begins_anew_if_a_second_owner_is_lost_while_it_loads(
    load_s: float,
):
    async def main() -> None:
        cell, owner = await start_cell(6)
        crash_workers(cell, 2)
        for store in cell.stores.values():
            store.load_delay_s = load_s
        await cell.remove_machine(owner)
        while await cell.read_epoch() == 1:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        (second,) = [
            address
            for address, daemon in cell.daemons.items()
            if daemon._renewal is not None
        ]
        await cell.remove_machine(second)
        assert await measure_restart_s(cell) < RESTART_BOUND_S
        assert cell.fleet.find_overlaps() == []

    run_with_virtual_clock(main())


def test_owner_forgets_its_witnesses_while_it_is_cut_off_from_them():
    async def main() -> None:
        cell, owner = await start_cell(6)
        cell.island = {owner}
        await asyncio.sleep(4.0)
        cell.island = set()
        assert cell.owners == [owner]
        crash_workers(cell, 2)
        await cell.remove_machine(owner)
        assert await measure_restart_s(cell) < RESTART_BOUND_S

    run_with_virtual_clock(main())


@pytest.mark.parametrize("lost_count", [3, 4])
def test_wait_for_leases_is_long_if_a_majority_of_the_witnesses_is_lost(
    lost_count: int,
):
    async def main() -> None:
        cell, owner = await start_cell(12)
        process = cell.daemons[owner]._owner
        assert process is not None
        witnesses = process.tenure.witnesses[:lost_count]
        crash_workers(cell, 2)
        for address in (owner, *witnesses):
            await cell.remove_machine(address)
        assert await measure_restart_s(cell) < RESTART_BOUND_S

    run_with_virtual_clock(main())
