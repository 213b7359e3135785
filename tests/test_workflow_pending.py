"""Tests which jobs count as waiting for the first start of a task."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.job_progress import collect_progress
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import EndKind, StartOutcome, StartRun
from tests.workflow_builders import QUEUE, Cell, make_record

JOB = make_record(0)


def make_cell() -> Cell:
    """Return a cell with a job whose start is ordered."""
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(JOB, 0.0)
    return cell


def read_state(cell: Cell) -> JobState:
    """Return the state that callers read, after a check that the count agrees."""
    state = cell.scheduler.jobs[JOB.job_id].reported_state
    assert (state is JobState.QUEUED) == bool(cell.scheduler.count_pending())
    return state


@pytest.mark.parametrize("outcome", [o for o in StartOutcome if o.name != "STARTED"])
def test_job_waits_until_a_worker_has_started_a_task(outcome: StartOutcome):
    cell = make_cell()
    for _ in range(2):
        (order,) = cell.plan()
        assert isinstance(order, StartRun)
        assert read_state(cell) is JobState.QUEUED
        cell.execute(cell.scheduler.note_start_outcome(order, outcome))
        cell.poll_all()
        assert cell.scheduler.count_pending() == {QUEUE: 1}
        progress = collect_progress(cell.scheduler.jobs[JOB.job_id])
        assert progress.state is JobState.QUEUED
        cell.clock.advance(20.0)
        cell.poll_all()
    cell.plan_and_execute()
    assert read_state(cell) is JobState.RUNNING


def test_job_has_begun_for_good_once_a_start_without_an_answer_is_reported():
    cell = make_cell()
    (order,) = cell.plan()
    assert isinstance(order, StartRun)
    cell.running[order.worker_id][order.task, order.run] = ""
    cell.scheduler.note_start_outcome(order, StartOutcome.UNKNOWN)
    assert read_state(cell) is JobState.QUEUED
    cell.poll_all()
    assert read_state(cell) is JobState.RUNNING
    cell.end_all_runs(EndKind.FAILED)
    assert cell.scheduler.jobs[JOB.job_id].state is JobState.RUNNING
    assert read_state(cell) is JobState.RUNNING


@pytest.mark.parametrize("has_started", [True, False])
def test_job_waits_after_a_takeover_unless_a_worker_tells_of_its_start(
    has_started: bool,
):
    cell = make_cell()
    (order,) = cell.plan()
    assert isinstance(order, StartRun)
    taker = Cell(workers=1, epoch=2)
    progress = collect_progress(cell.scheduler.jobs[JOB.job_id])
    taker.scheduler.recover(JOB, progress, 0.0)
    taker.scheduler.restore_workers(taker.entries)
    runs = [(order.task, order.run)]
    taker.scheduler.restore_runs(order.worker_id, runs, 0.0)
    assert read_state(taker) is JobState.RUNNING
    taker.clock.advance(1.0)
    taker.running[order.worker_id] = {}
    if has_started:
        taker.running[order.worker_id][order.task, order.run] = ""
    taker.poll_all()
    assert read_state(taker) is (JobState.RUNNING if has_started else JobState.QUEUED)
