"""Workers that differ in speed, or turn slow for a time."""

from __future__ import annotations

import random

import pytest

from fuchsiadale.cell.rows import WORKER_TABLE, WorkerRow, load_stored_cell
from fuchsiadale.cell.rows import make_worker_write as make_write
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.run_speeds import RunSpeeds
from fuchsiadale.decision.workflow.worker_speeds import (
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    SLOW_S,
    WorkerSpeed,
)
from tests.load_signing import FRONT, make_signing_kinds, make_signing_pools
from tests.load_workers import SlowSpell
from tests.load_world import LoadSimulation
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import Cell, make_entry, make_record, make_step

SLOW, USUAL = "worker-0", "worker-1"


def make_cell(width: int = 8) -> Cell:
    """Return a cell of two workers that a step of `width` tasks fills."""
    cell = Cell(2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(width)), 0.0)
    cell.plan_and_execute()
    return cell


def end_runs(cell: Cell, worker_id: str) -> None:
    """End all runs of a worker and poll it."""
    for task, run in list(cell.running[worker_id]):
        cell.end_run(worker_id, task, run)
    cell.poll(worker_id)


def is_slow(cell: Cell, worker_id: str) -> bool:
    """Return whether a worker is slow by a forecast that is made now."""
    cell.clock.advance(0.25)
    cell.scheduler.forecast()
    return cell.scheduler.workers[worker_id].speed.is_slow


@pytest.mark.parametrize(("ran_s", "expected_s"), [(1e9, 1e-9), (0.0, 1e9), (1, 0)])
def test_slowdown_is_bounded(ran_s: float, expected_s: float):
    speed = WorkerSpeed()
    for _ in range(100):
        speed.note_duration(ran_s, expected_s)
    speed.note_slow(10.0, 0.0)
    assert MIN_SLOWDOWN <= speed.usual_slowdown <= MAX_SLOWDOWN
    assert MIN_SLOWDOWN <= speed.slowdown <= MAX_SLOWDOWN


def test_worker_that_turns_slow_is_found_while_its_runs_go_on():
    cell = make_cell()
    cell.clock.advance(1.0)
    end_runs(cell, USUAL)
    assert not is_slow(cell, SLOW)
    cell.clock.advance(1.5)
    assert is_slow(cell, SLOW)
    assert not is_slow(cell, USUAL)


def test_worker_that_was_slow_is_tried_again_after_a_time():
    cell = make_cell()
    cell.clock.advance(1.0)
    end_runs(cell, USUAL)
    cell.clock.advance(1.5)
    assert is_slow(cell, SLOW)
    end_runs(cell, SLOW)
    cell.clock.advance(SLOW_S + 2.0)
    assert not is_slow(cell, SLOW)
    speed = cell.scheduler.workers[SLOW].speed
    assert speed.slowdown == speed.usual_slowdown


def test_worker_whose_runs_make_usual_progress_is_not_slow():
    cell = make_cell()
    cell.clock.advance(0.5)
    cell.poll_all()
    assert not is_slow(cell, SLOW)
    assert not is_slow(cell, USUAL)


@pytest.mark.parametrize("stored", [0, -5, 1e9, float("nan"), "x", None, [], True])
def test_odd_stored_slowdown_is_taken_for_unknown_and_the_runs_are_kept(stored: object):
    async def main() -> None:
        store = MemoryRowStore()
        row = WorkerRow(make_entry(0), ["a.0.0.1#7"], slowdown_percent=stored)
        store.put(WORKER_TABLE, SLOW, encode(row))
        loaded = (await load_stored_cell(store)).unwrap()
        assert len(loaded.workers) == 1
        cell = Cell(1)
        cell.scheduler.update_registrations(cell.entries)
        percent = loaded.workers[0].slowdown_percent
        cell.scheduler.restore_runs(SLOW, (), 0.0, slowdown_percent=percent)
        assert cell.scheduler.workers[SLOW].slowdown == 1.0

    run_with_virtual_clock(main())


def test_speed_of_a_worker_is_kept_by_its_next_owner():
    cell = Cell(1)
    cell.adopt_workers()
    worker = cell.scheduler.workers[SLOW]
    for _ in range(20):
        worker.note_duration(2.0, 1.0)

    async def main() -> None:
        store = MemoryRowStore()
        write = make_write(worker)
        assert write.value is not None
        store.put(write.table, write.key, write.value)
        (row,) = (await load_stored_cell(store)).unwrap().workers
        later = Cell(1, epoch=2)
        later.scheduler.update_registrations(later.entries)
        percent = row.slowdown_percent
        later.scheduler.restore_runs(SLOW, (), 0.0, slowdown_percent=percent)
        restored = later.scheduler.workers[SLOW].slowdown
        assert restored == pytest.approx(worker.slowdown, abs=0.005)

    run_with_virtual_clock(main())


def test_change_of_speed_alone_makes_no_write():
    cell = Cell(1)
    cell.adopt_workers()
    worker = cell.scheduler.workers[SLOW]
    worker.note_recorded((), worker.started_ms)
    for _ in range(20):
        worker.note_duration(5.0, 1.0)
    assert not worker.is_record_stale


SEEDS = range(40, 44)


def count_seals_in_time(has_spells: bool = True, is_known: bool = False) -> int:
    """Simulate the signing front and return the number of urgent jobs in time.

    Parameters
    ----------
    has_spells : bool
        Whether some of the workers take five times as long for 6.5 s.
    is_known : bool
        Whether the speeds of the workers are known from an earlier owner.
    """
    kinds = [kind for kind in make_signing_kinds(0.7) if kind.queue.pool == FRONT]
    in_time = 0
    for seed in SEEDS:
        simulation = LoadSimulation(kinds, make_signing_pools()[:1], seed)
        begins_s = simulation.clock.now() + 4.0
        workers = list(simulation.workers.values())
        if has_spells:
            for worker in random.Random(seed).sample(workers, 7):
                worker.spells = [SlowSpell(begins_s, begins_s + 6.5, 5.0)]
        if is_known:
            for worker in workers:
                tracked = simulation.scheduler.workers[worker.entry.worker_id]
                assert tracked.speed.restore(round(100.0 / worker.speed))
        in_time += simulation.simulate(14.0, drain_s=20.0)["seal"].in_time
    return in_time


def test_urgent_jobs_are_in_time_more_often_if_slow_workers_are_found(
    monkeypatch: pytest.MonkeyPatch,
):
    in_time = count_seals_in_time()
    monkeypatch.setattr(RunSpeeds, "_test", lambda *args: None)
    assert in_time > 1.02 * count_seals_in_time()


def test_urgent_jobs_are_in_time_more_often_if_speeds_outlive_the_owner():
    known = count_seals_in_time(has_spells=False, is_known=True)
    assert known > count_seals_in_time(has_spells=False)
