"""Workers that crash while a cell has no owner, under runs that did not cause it."""

from __future__ import annotations

import pytest

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.workflow.job_progress import JobProgress, collect_progress
from fuchsiadale.decision.workflow.jobs import JobState
from tests.test_workflow_crashes import JOB_ID, CrashingCell, make_cell
from tests.workflow_builders import STARTED_MS, Cell, make_record, make_step

WORKERS, OWNERS = 6, 6
LEASE_LAPSE_S, RUN_S, RETURN_S = 15.0, 1.1, 0.8
MAX_TIME_S = 2000.0


def take_over_after_crash_of_all(former: CrashingCell, epoch: int) -> CrashingCell:
    """Return the cell of a new owner, to which each worker answers as restarted."""
    cell = CrashingCell(WORKERS, epoch=epoch)
    cell.clock.advance(former.clock.now() + RETURN_S)
    progress = collect_progress(former.scheduler.jobs[JOB_ID])
    cell.scheduler.recover(make_record(0), progress, cell.clock.now())
    cell.scheduler.update_registrations(cell.entries)
    lease_ends_s = cell.clock.now() + LEASE_LAPSE_S
    started_ms = {}
    for worker_id, worker in former.scheduler.workers.items():
        cell.scheduler.restore_runs(
            worker_id, former.running[worker_id], lease_ends_s, worker.started_ms
        )
        started_ms[worker_id] = worker.started_ms + 1000
        cell.running[worker_id] = {}
    for worker_id in started_ms:
        cell.poll(worker_id, started_ms[worker_id])
        cell.scheduler.workers[worker_id].note_recorded(())
    return cell


def start_job(cell: CrashingCell) -> None:
    """Let time pass until the task has started."""
    while not any(cell.running.values()):
        for worker_id, worker in cell.scheduler.workers.items():
            cell.poll(worker_id, worker.started_ms)
        cell.plan_and_execute()
        cell.clock.advance(0.1)
        assert cell.clock.now() < MAX_TIME_S


def test_job_is_not_given_up_for_crashes_of_all_workers_between_owners():
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0), 0.0)
    start_job(cell)
    for epoch in range(2, 2 + OWNERS):
        cell.clock.advance(RUN_S)
        cell = take_over_after_crash_of_all(cell, epoch)
        assert cell.scheduler.jobs[JOB_ID].state is JobState.RUNNING
        start_job(cell)


@pytest.mark.parametrize("at_work_s", [0.0, 10.0])
def test_lasting_tasks_lost_with_their_owner_start_together_if_they_had_outlived_starts(
    at_work_s: float,
):
    record = make_record(0, make_step(8, is_lasting=True))
    former = Cell(WORKERS)
    former.adopt_workers()
    former.scheduler.accept(record, 0.0)
    former.plan_and_execute()
    former.clock.advance(at_work_s)
    former.poll_all()
    stored = encode(collect_progress(former.scheduler.jobs[JOB_ID]))
    cell = Cell(WORKERS, epoch=2)
    progress = decode(stored, JobProgress).unwrap()
    cell.scheduler.recover(record, progress, cell.clock.now())
    cell.scheduler.update_registrations(cell.entries)
    lease_ends_s = cell.clock.now() + LEASE_LAPSE_S
    for worker_id, runs in former.running.items():
        cell.scheduler.restore_runs(worker_id, runs, lease_ends_s, STARTED_MS)
        cell.running[worker_id] = {}
    cell.clock.advance(0.01)
    for worker_id in former.running:
        cell.poll(worker_id, STARTED_MS + 1000)
        cell.scheduler.workers[worker_id].note_recorded(())
    cell.plan_and_execute()
    assert len(cell.starts) == (8 if at_work_s else 1)
