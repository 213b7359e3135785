"""Outages of the store of seven seconds beside other faults, which cost no runs."""

from __future__ import annotations

import asyncio

import pytest

from tests.leased_cell import LeasedCell
from tests.test_cell_owner_lost import list_present, start_cell
from tests.virtual_loop import run_with_virtual_clock

OUTAGE_S = 7.0


async def take_store_down(cell: LeasedCell) -> None:
    """Let the store refuse everything for the length of an outage."""
    cell.store.is_down = True
    await asyncio.sleep(OUTAGE_S)
    cell.store.is_down = False


@pytest.mark.parametrize("process_count", [2, 3, 5])
@pytest.mark.parametrize("gap_s", [0.5, 2.0])
def test_outage_of_the_store_beside_a_peer_that_is_killed_costs_runs(
    process_count: int, gap_s: float
):
    async def main() -> None:
        cell, owner = await start_cell(process_count)
        before = list_present(cell)
        peer = next(address for address in cell.daemons if address != owner)
        await cell.kill_process(peer)
        await asyncio.sleep(gap_s)
        await take_store_down(cell)
        await asyncio.sleep(15.0)
        assert list_present(cell) == before

    run_with_virtual_clock(main())


@pytest.mark.parametrize("process_count", [2, 3, 5])
def test_outage_of_the_store_in_which_a_peer_restarts_costs_runs(process_count: int):
    async def main() -> None:
        cell, owner = await start_cell(process_count)
        before = list_present(cell)
        peer = next(address for address in cell.daemons if address != owner)
        outage = asyncio.create_task(take_store_down(cell))
        await asyncio.sleep(1.0)
        await cell.kill_process(peer)
        await asyncio.sleep(0.5)
        await cell.start_process(peer, 1.0)
        await outage
        await asyncio.sleep(15.0)
        assert list_present(cell) == before

    run_with_virtual_clock(main())


@pytest.mark.parametrize("age_s", [0.0, 0.2, 0.4, 0.6, 1.0, 1.5])
def test_outage_of_the_store_in_the_first_seconds_of_an_owner_costs_runs(age_s: float):
    async def main() -> None:
        cell, owner = await start_cell(6)
        before = list_present(cell)
        await cell.kill_process(owner)
        while not cell.owners:
            await asyncio.sleep(0.01)
        await asyncio.sleep(age_s)
        await take_store_down(cell)
        await asyncio.sleep(15.0)
        assert list_present(cell) == before

    run_with_virtual_clock(main())


def test_store_that_refuses_only_transactions_costs_runs():
    async def main() -> None:
        cell, _ = await start_cell(6)
        before = list_present(cell)
        for store in cell.stores.values():
            store.refuses_writes = True
        await asyncio.sleep(OUTAGE_S)
        for store in cell.stores.values():
            store.refuses_writes = False
        await asyncio.sleep(15.0)
        assert list_present(cell) == before

    run_with_virtual_clock(main())
