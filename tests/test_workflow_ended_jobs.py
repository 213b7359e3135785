"""Tests what is kept of jobs that have ended."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.job_tracker import TASK_RETENTION_S
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import StartRun
from tests.workflow_builders import Cell, make_record, make_step

RETENTION_S = 600.0
JOB = make_record(0, make_step(3))


def make_cell() -> Cell:
    """Return a cell with a job that has ended; its last state is not recorded."""
    cell = Cell()
    cell.adopt_workers()
    cell.scheduler.accept(JOB, 0.0)
    cell.plan_and_execute()
    cell.end_all_runs()
    return cell


def record(cell: Cell) -> None:
    """Note that the states of all jobs are stored."""
    cell.scheduler.unrecorded_jobs.clear()
    for job in cell.scheduler.jobs.values():
        job.recorded_state = job.state


@pytest.mark.parametrize("is_recorded", [True, False])
def test_tasks_of_an_ended_job_are_not_kept_with_its_state(is_recorded: bool):
    cell = make_cell()
    if is_recorded:
        record(cell)
    job = cell.scheduler.jobs[JOB.job_id]
    cell.clock.advance(TASK_RETENTION_S - 1.0)
    cell.scheduler.expire_jobs(RETENTION_S)
    assert len(job.tasks()) == 3
    cell.clock.advance(2.0)
    cell.scheduler.expire_jobs(RETENTION_S)
    assert (job.tasks() == []) == (job.record.specification.steps == ()) == is_recorded
    assert cell.scheduler.jobs[JOB.job_id].state is JobState.COMPLETED
    cell.scheduler.accept(JOB, 0.0)
    assert cell.plan() == []
    cell.clock.advance(RETENTION_S)
    cell.scheduler.expire_jobs(RETENTION_S)
    assert (JOB.job_id in cell.scheduler.expired_jobs) == is_recorded


def test_tasks_are_kept_while_a_run_may_be_present():
    cell = Cell()
    cell.adopt_workers()
    cell.scheduler.accept(JOB, 0.0)
    orders = cell.plan()
    assert all(isinstance(order, StartRun) for order in orders)
    cell.scheduler.cancel(JOB.job_id)
    record(cell)
    cell.clock.advance(2 * TASK_RETENTION_S)
    cell.scheduler.expire_jobs(RETENTION_S)
    assert len(cell.scheduler.jobs[JOB.job_id].tasks()) == 3


def test_late_run_of_a_job_whose_tasks_are_not_kept_is_stopped_at_once():
    cell = make_cell()
    record(cell)
    start = cell.starts[0]
    cell.clock.advance(TASK_RETENTION_S + 1.0)
    cell.scheduler.expire_jobs(RETENTION_S)
    cell.running[start.worker_id][start.task, start.run + 5] = ""
    cell.poll(start.worker_id)
    assert [stop.reason for stop in cell.stops] == ["not_needed"]
