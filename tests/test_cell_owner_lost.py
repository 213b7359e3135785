"""Tests of tasks whose worker and owner are lost, or cut off, at the same moment."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.codec import encode
from tests.leased_cell import LeasedCell, RunSpan
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_record, make_step

RESTART_BOUND_S = 9.0
"""Seconds after the loss of its worker within which a task that lasts runs again."""

TASKS = 8


async def start_cell(process_count: int = 5) -> tuple[LeasedCell, str]:
    """Return a cell that runs a job of tasks that last, and the owner's address."""
    cell = LeasedCell(worker_count=6)
    record = make_record(0, make_step(TASKS, is_lasting=True, estimated_s=0.0))
    cell.store.put(JOB_TABLE, record.job_id, encode(record))
    for number in range(process_count):
        await cell.start_process(f"node:{number}", 1.0)
    await asyncio.sleep(8.0)
    (owner,) = cell.owners
    assert len(list_present(cell)) == TASKS
    return cell, owner


def list_present(cell: LeasedCell) -> list[RunSpan]:
    """Return the runs that are present on workers."""
    return [span for span in cell.fleet.list_spans() if span.end_s is None]


def crash_workers(cell: LeasedCell, count: int) -> None:
    """Lose some of the workers with runs for good."""
    busy = sorted({span.worker_id for span in list_present(cell)})
    assert len(busy) >= count
    for worker_id in busy[:count]:
        cell.crash_worker(worker_id)


def cut_off(cell: LeasedCell, island: list[str]) -> None:
    """Cut processes off from the others and the store, with some workers with runs."""
    kept = {span.worker_id for span in list_present(cell)[:3]}
    for address in cell.daemons:
        is_inside = address in island
        others = set(cell.fleet.workers) - kept
        cell.fleet.reached[address] = kept if is_inside else others
    for address in island:
        cell.stores[address].is_silent = True
    cell.island.update(island)


async def measure_restart_s(cell: LeasedCell) -> float:
    """Return how long it takes from now until all tasks run."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while len(list_present(cell)) < TASKS:
        await asyncio.sleep(0.05)
        assert loop.time() - started_s < 60.0
    return loop.time() - started_s


@pytest.mark.parametrize("phase_s", [0.0, 0.13, 0.29, 0.41, 0.57])
@pytest.mark.parametrize("process_count", [2, 3, 6, 12])
def test_lasting_tasks_wait_for_leases_of_an_owner_whose_machine_is_gone(
    process_count: int, phase_s: float
):
    async def main() -> None:
        cell, owner = await start_cell(process_count)
        await asyncio.sleep(phase_s)
        crash_workers(cell, 2)
        await cell.remove_machine(owner)
        assert await measure_restart_s(cell) < RESTART_BOUND_S
        assert cell.fleet.find_overlaps() == []

    run_with_virtual_clock(main())


@pytest.mark.parametrize("gap_s", [0.5, 1.9, 3.0, 4.0, 5.0, 7.0])
def test_wait_for_leases_begins_anew_with_the_loss_of_a_second_owner(gap_s: float):
    async def main() -> None:
        cell, owner = await start_cell(6)
        crash_workers(cell, 2)
        await cell.remove_machine(owner)
        await asyncio.sleep(gap_s)
        for address in cell.owners:
            await cell.remove_machine(address)
        assert await measure_restart_s(cell) < RESTART_BOUND_S
        assert cell.fleet.find_overlaps() == []

    run_with_virtual_clock(main())


def test_tasks_wait_for_leases_of_an_owner_lost_with_a_minority_of_processes():
    async def main() -> None:
        cell, owner = await start_cell(6)
        crash_workers(cell, 2)
        others = [address for address in cell.daemons if address != owner]
        for address in (owner, *others[:2]):
            await cell.remove_machine(address)
        assert await measure_restart_s(cell) < RESTART_BOUND_S

    run_with_virtual_clock(main())


@pytest.mark.parametrize("peers_cut_off", [0, 1, 2, 3, 4])
@pytest.mark.parametrize("cut_s", [2.0, 6.0, 12.0, 20.0])
def test_task_runs_twice_while_its_owner_is_cut_off_with_its_worker(
    cut_s: float, peers_cut_off: int
):
    async def main() -> None:
        cell, owner = await start_cell(6)
        others = [address for address in cell.daemons if address != owner]
        island = [owner, *others[:peers_cut_off]]
        cut_off(cell, island)
        await asyncio.sleep(cut_s)
        for address in island:
            cell.stores[address].is_silent = False
        cell.island.clear()
        cell.fleet.reached.clear()
        await asyncio.sleep(25.0)
        assert cell.fleet.find_overlaps() == []
        assert len(list_present(cell)) == TASKS

    run_with_virtual_clock(main())


@pytest.mark.parametrize("lifetime_s", [3.3, 3.6, 4.0])
def test_second_successor_forgets_an_owner_that_is_still_cut_off(lifetime_s: float):
    async def main() -> None:
        cell, owner = await start_cell(8)
        others = [address for address in cell.daemons if address != owner]
        island = [owner, *others[:4]]
        cut_off_from_owner = set(cell.daemons) - set(island)
        cut_off(cell, island)
        while not (successors := set(cell.owners) & cut_off_from_owner):
            await asyncio.sleep(0.05)
        await asyncio.sleep(lifetime_s)
        for address in successors:
            await cell.remove_machine(address)
        await asyncio.sleep(30.0)
        assert cell.fleet.find_overlaps() == []

    run_with_virtual_clock(main())


@pytest.mark.parametrize("fault", ["refused", "silent"])
@pytest.mark.parametrize("process_count", [2, 3, 6, 12])
def test_outage_of_the_store_of_seven_seconds_costs_runs(
    process_count: int, fault: str
):
    async def main() -> None:
        cell, _ = await start_cell(process_count)
        before = list_present(cell)
        for store in cell.stores.values():
            setattr(store, f"is_{fault}", True)
        await asyncio.sleep(7.0)
        for store in cell.stores.values():
            setattr(store, f"is_{fault}", False)
        await asyncio.sleep(15.0)
        assert list_present(cell) == before
        assert cell.fleet.find_overlaps() == []

    run_with_virtual_clock(main())


def test_lost_answers_of_the_store_cost_runs():
    async def main() -> None:
        cell, _ = await start_cell(6)
        before = list_present(cell)
        for store in cell.stores.values():
            store.loses_answers = True
        await asyncio.sleep(12.0)
        for store in cell.stores.values():
            store.loses_answers = False
        await asyncio.sleep(10.0)
        assert list_present(cell) == before

    run_with_virtual_clock(main())
