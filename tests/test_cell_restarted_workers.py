"""Tests of workers that start again under their ids and are cut off soon after."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator

import pytest

from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.worker_leases import WorkerLeases
from tests.leased_cell import LeasedCell
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import STARTED_MS, make_record, make_step

MAX_LEASE_S = 10.0
"""Longest lease that workers accept, in seconds; more than twice what owners grant."""

JOBS = 12
"""Jobs of one task, which leave room for all tasks on any two of the workers."""

WORKERS = 3

RESTART_BOUND_S = 9.0
"""Seconds after the loss of its worker within which a task that lasts runs again."""


async def start_cell(process_count: int = 3) -> LeasedCell:
    """Return a cell with idle workers that accept long leases."""
    cell = LeasedCell(WORKERS)
    cell.bounds = TimeBounds(max_lease_s=MAX_LEASE_S)
    for worker in cell.fleet.workers.values():
        worker.max_lease_s = MAX_LEASE_S
    for number in range(process_count):
        await cell.start_process(f"node:{number}", 1.0)
    await asyncio.sleep(6.0)
    return cell


async def submit_jobs(cell: LeasedCell) -> None:
    """Store jobs one after the other, of tasks that only orders or leases end."""
    for number in range(JOBS):
        step = make_step(cpu_millis=500, is_lasting=True, estimated_s=0.0)
        record = make_record(number, step)
        cell.store.put(JOB_TABLE, record.job_id, encode(record))
        await asyncio.sleep(0.12)


async def restart_workers(
    cell: LeasedCell, down_s: float, are_registered: bool = True
) -> None:
    """Crash all workers, and let them start again under their ids."""
    now_s = asyncio.get_running_loop().time()
    for worker in cell.fleet.workers.values():
        worker.crash(now_s)
    await asyncio.sleep(down_s)
    for worker_id in cell.fleet.workers:
        cell.restart_worker(worker_id, are_registered)


async def cut_off_worker(cell: LeasedCell, duration_s: float) -> None:
    """Cut a worker off from all processes for some time, one with runs if any has.

    The others register, if they had not, and it does so in the end.
    """
    present_ids = [s.worker_id for s in cell.fleet.list_spans() if s.end_s is None]
    cut_id = next(iter(present_ids), next(iter(cell.fleet.workers)))
    for number in range(len(cell.stores)):
        reached = set(cell.fleet.workers) - {cut_id}
        cell.fleet.reached[f"node:{number}"] = reached
    cell.register_workers(set(cell.fleet.workers) - {cut_id})
    await asyncio.sleep(duration_s)
    cell.fleet.reached.clear()
    cell.register_workers([cut_id])


@pytest.mark.parametrize("cut_after_s", [0.9, 1.2, 1.6, 2.0, 3.0])
@pytest.mark.parametrize("phase_s", [0.0, 0.3, 0.6, 0.9])
def test_task_runs_twice_when_its_restarted_worker_is_cut_off(
    phase_s: float, cut_after_s: float
):
    async def main() -> None:
        cell = await start_cell()
        await asyncio.sleep(phase_s)
        submission = asyncio.create_task(submit_jobs(cell))
        await asyncio.sleep(0.1)
        await restart_workers(cell, 0.6)
        await asyncio.sleep(cut_after_s)
        await submission
        await cut_off_worker(cell, 9.0)
        await asyncio.sleep(4.0)
        assert cell.fleet.find_overlaps() == []
        present = [s for s in cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == JOBS

    run_with_virtual_clock(main())


@pytest.mark.parametrize("cut_after_s", [0.65, 0.9, 1.2])
@pytest.mark.parametrize("sign", ["answer", "registration"])
def test_task_runs_twice_when_its_worker_is_cut_off_before_its_restart_is_known(
    sign: str, cut_after_s: float
):
    async def main() -> None:
        cell = await start_cell()
        # An idle poll from just before the crash times out after the cut.
        await asyncio.sleep(0.9)
        submission = asyncio.create_task(submit_jobs(cell))
        await asyncio.sleep(0.1)
        cell.fleet.loses_start_answers = sign == "registration"
        await restart_workers(cell, 0.6, are_registered=sign == "registration")
        await asyncio.sleep(cut_after_s)
        cell.fleet.loses_start_answers = False
        await cut_off_worker(cell, 9.0)
        await submission
        await asyncio.sleep(4.0)
        assert cell.fleet.find_overlaps() == []
        present = [s for s in cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == JOBS

    run_with_virtual_clock(main())


def test_registration_of_the_former_incarnation_counts_as_a_restart():
    leases = WorkerLeases()
    assert not leases.note_registered_start(STARTED_MS, 0)
    assert not leases.note_registered_start(STARTED_MS, STARTED_MS)
    assert not leases.note_registered_start(0, STARTED_MS)
    assert not leases.note_registered_start(STARTED_MS, STARTED_MS + 1)
    assert not leases.note_registered_start(STARTED_MS + 1, STARTED_MS + 1)


def test_registration_of_an_incarnation_that_has_not_answered_is_counted_again():
    leases = WorkerLeases()
    assert not leases.note_registered_start(STARTED_MS, STARTED_MS)
    assert leases.note_registered_start(STARTED_MS + 1, STARTED_MS)
    assert not leases.note_registered_start(STARTED_MS + 1, STARTED_MS)


@pytest.mark.parametrize("is_removed", [False, True])
@pytest.mark.parametrize("lost_after_s", [0.9, 1.3, 2.0, 3.0])
def test_task_runs_twice_when_its_restarted_worker_is_cut_off_from_the_next_owner(
    lost_after_s: float, is_removed: bool
):
    async def main() -> None:
        cell = await start_cell()
        submission = asyncio.create_task(submit_jobs(cell))
        await asyncio.sleep(0.1)
        await restart_workers(cell, 0.6)
        await asyncio.sleep(lost_after_s)
        await submission
        (owner,) = cell.owners
        if is_removed:
            await cell.remove_machine(owner)
        else:
            await cell.kill_process(owner)
        await cut_off_worker(cell, 12.0)
        await asyncio.sleep(4.0)
        assert cell.fleet.find_overlaps() == []
        present = [s for s in cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == JOBS

    run_with_virtual_clock(main())


@pytest.mark.parametrize("cut_after_s", [0.0, 0.3, 0.6, 1.0])
def test_task_runs_twice_when_its_worker_restarts_as_its_owner_is_lost(
    cut_after_s: float,
):
    async def main() -> None:
        cell = await start_cell()
        submission = asyncio.create_task(submit_jobs(cell))
        await asyncio.sleep(0.1)
        restart = asyncio.create_task(restart_workers(cell, 0.6))
        await asyncio.sleep(0.75)
        (owner,) = cell.owners
        await cell.remove_machine(owner)
        await asyncio.sleep(cut_after_s)
        await cut_off_worker(cell, 12.0)
        await asyncio.gather(restart, submission)
        await asyncio.sleep(4.0)
        assert cell.fleet.find_overlaps() == []
        present = [s for s in cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == JOBS

    run_with_virtual_clock(main())


@pytest.mark.parametrize("delay_s", [1.0, 1.2, 1.4, 2.5, 3.5, 4.5])
def test_poll_for_the_former_incarnation_extends_leases_of_the_next_one_late(
    delay_s: float,
):
    async def main() -> None:
        cell = await start_cell()
        submission = asyncio.create_task(submit_jobs(cell))
        await asyncio.sleep(1.0)
        cell.fleet.poll_delay_s = delay_s
        await asyncio.sleep(1.0)
        crash = asyncio.create_task(restart_workers(cell, 0.6))
        await asyncio.sleep(0.1)
        cell.fleet.poll_delay_s = 0.0
        await asyncio.sleep(delay_s)
        await asyncio.gather(crash, submission)
        await cut_off_worker(cell, 12.0)
        await asyncio.sleep(4.0)
        assert cell.fleet.find_overlaps() == []
        present = [s for s in cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == JOBS

    run_with_virtual_clock(main())


@pytest.fixture
def seed_random() -> Iterator[Callable[[int], None]]:
    """Return a function that seeds what processes draw; it is undone after the test."""
    state = random.getstate()
    yield random.seed
    random.setstate(state)


LOSSES = [(s, 0) for s in (0.3, 0.6, 0.9, 1.2, 1.5, 2.0, 2.5, 3.0)] + [(0.3, 23)]
"""Seconds from the restart of workers to the loss of one, and the seed of a play."""


@pytest.mark.parametrize(("lost_after_s", "seed"), LOSSES)
def test_lasting_task_waits_for_the_longest_lease_of_a_lost_worker_that_had_restarted(
    lost_after_s: float, seed: int, seed_random: Callable[[int], None]
):
    seed_random(seed)

    async def main() -> None:
        cell = await start_cell()
        await submit_jobs(cell)
        await asyncio.sleep(2.0)
        await restart_workers(cell, 0.6)
        await asyncio.sleep(lost_after_s)
        lost = [s for s in cell.fleet.list_spans() if s.end_s is None][:1]
        cell.crash_worker(lost[0].worker_id if lost else min(cell.fleet.workers))
        await asyncio.sleep(RESTART_BOUND_S)
        present = [s for s in cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == JOBS
        assert cell.fleet.find_overlaps() == []

    run_with_virtual_clock(main())
