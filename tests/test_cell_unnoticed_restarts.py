"""Tests of workers that are cut off before any process knows of their restart."""

from __future__ import annotations

import asyncio

import pytest

from tests.leased_cell import LeasedCell
from tests.test_cell_restarted_workers import (
    JOBS,
    cut_off_worker,
    restart_workers,
    start_cell,
    submit_jobs,
)
from tests.virtual_loop import run_with_virtual_clock

DOWN_S = 0.4
"""Seconds from the crash of all workers to their restart."""

PHASES_S = (0.0, 0.4, 0.8)
"""Times of the crash after the start of a poll that idle workers hold open."""

CUTS_S = (0.3, 0.6, 0.9, 1.2, 1.5, 1.8)
"""Times from the restart to the cut of a worker."""


async def restart_unnoticed(
    cell: LeasedCell, phase_s: float, loses_answers: bool = True
) -> asyncio.Task[None]:
    """Restart all workers while jobs arrive; they do not register or answer starts.

    Those that are not cut off register once another is.
    """
    await asyncio.sleep(phase_s)
    submission = asyncio.create_task(submit_jobs(cell))
    await asyncio.sleep(0.1)
    cell.fleet.loses_start_answers = loses_answers
    await restart_workers(cell, DOWN_S, are_registered=False)
    return submission


async def check_runs(cell: LeasedCell, submission: asyncio.Task[None]) -> None:
    """Check that nothing has run twice, and that all tasks run in the end."""
    cell.fleet.loses_start_answers = False
    await submission
    await asyncio.sleep(4.0)
    assert cell.fleet.find_overlaps() == []
    present = [span for span in cell.fleet.list_spans() if span.end_s is None]
    assert len(present) == JOBS


@pytest.mark.parametrize("cut_after_s", CUTS_S)
@pytest.mark.parametrize("phase_s", PHASES_S)
def test_task_runs_twice_when_its_start_reached_an_unknown_incarnation_unanswered(
    phase_s: float, cut_after_s: float
):
    async def main() -> None:
        cell = await start_cell()
        submission = await restart_unnoticed(cell, phase_s)
        await asyncio.sleep(cut_after_s)
        await cut_off_worker(cell, 9.0)
        await check_runs(cell, submission)

    run_with_virtual_clock(main())


@pytest.mark.parametrize("end", ["killed", "removed", "stopped"])
@pytest.mark.parametrize("cut_after_s", CUTS_S)
@pytest.mark.parametrize("phase_s", PHASES_S)
def test_task_runs_twice_when_its_owner_ends_before_an_unknown_incarnation_answers(
    phase_s: float, cut_after_s: float, end: str
):
    async def main() -> None:
        cell = await start_cell()
        submission = await restart_unnoticed(cell, phase_s)
        await asyncio.sleep(cut_after_s)
        (owner,) = cell.owners
        ending = {
            "killed": cell.kill_process,
            "removed": cell.remove_machine,
            "stopped": cell.stop_process,
        }[end](owner)
        await asyncio.gather(ending, cut_off_worker(cell, 14.0))
        await check_runs(cell, submission)

    run_with_virtual_clock(main())


@pytest.mark.parametrize("cut_after_s", CUTS_S)
def test_task_runs_twice_when_an_owner_that_leaves_is_followed_by_a_restart(
    cut_after_s: float,
):
    async def main() -> None:
        cell = await start_cell()
        (owner,) = cell.owners
        stop = asyncio.create_task(cell.stop_process(owner))
        await asyncio.sleep(1.0)
        submission = await restart_unnoticed(cell, 0.0)
        await asyncio.sleep(cut_after_s)
        await cut_off_worker(cell, 9.0)
        await stop
        await check_runs(cell, submission)

    run_with_virtual_clock(main())


@pytest.mark.parametrize("loses_answers", [False, True])
@pytest.mark.parametrize("cut_after_s", CUTS_S)
@pytest.mark.parametrize("phase_s", PHASES_S)
def test_task_runs_twice_when_its_restarted_worker_is_cut_off_with_the_owner(
    phase_s: float, cut_after_s: float, loses_answers: bool
):
    async def main() -> None:
        cell = await start_cell(process_count=5)
        submission = await restart_unnoticed(cell, phase_s, loses_answers)
        await asyncio.sleep(cut_after_s)
        (owner,) = cell.owners
        ids = sorted(cell.fleet.workers)
        for address in cell.daemons:
            cell.fleet.reached[address] = set(ids[:2] if address == owner else ids[2:])
        cell.stores[owner].is_silent = True
        cell.island.add(owner)
        cell.register_workers(ids[2:])
        await asyncio.sleep(14.0)
        cell.register_workers(ids[:2])
        cell.stores[owner].is_silent = False
        cell.island.clear()
        cell.fleet.reached.clear()
        await check_runs(cell, submission)

    run_with_virtual_clock(main())
