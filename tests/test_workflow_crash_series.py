"""Workers that crash in series beside jobs which do not cause it."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import EndKind, StartOutcome, StartRun
from tests.test_workflow_crashes import (
    JOB_ID,
    MAX_CRASHED_WORKERS,
    CrashingCell,
    make_cell,
)
from tests.workflow_builders import make_record, make_step

WORKERS = 6
CRASHES = 12
RETURN_S = 0.8
"""Seconds after a crash at which the worker is back."""


def start_job(cell: CrashingCell) -> None:
    """Start the waiting tasks."""
    cell.plan_and_execute()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.RUNNING


def find_worker(cell: CrashingCell) -> str:
    """Return the id of the worker that runs the job."""
    return next(
        worker_id
        for worker_id, runs in cell.running.items()
        if any(task.step.job_id == JOB_ID for task, _ in runs)
    )


def crash_workers(cell: CrashingCell, *worker_ids: str) -> None:
    """Crash workers at the same moment, and start them again."""
    for worker_id in worker_ids:
        cell.scheduler.mark_worker_unresponsive(worker_id, "disconnected")
    cell.clock.advance(RETURN_S)
    for worker_id in worker_ids:
        cell.replace_worker(worker_id)
    cell.poll_all()


def list_others(cell: CrashingCell) -> list[str]:
    """Return the ids of the workers that do not run the job."""
    worker_id = find_worker(cell)
    return [e.worker_id for e in cell.entries if e.worker_id != worker_id]


def complete_job(cell: CrashingCell) -> None:
    """Let the job complete, unless it was given up."""
    cell.clock.advance(1.0)
    for _ in range(3):
        cell.plan_and_execute()
        cell.clock.advance(1.0)
        cell.poll_all()
        cell.end_all_runs()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.COMPLETED


@pytest.mark.parametrize("age_s", [0.01, 0.3, 1.0])
def test_job_is_not_given_up_for_crashes_of_many_workers_at_once(age_s: float):
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0), 0.0)
    for _ in range(CRASHES):
        start_job(cell)
        cell.clock.advance(age_s)
        if age_s > 0.5:
            cell.poll_all()
        crash_workers(cell, find_worker(cell), *list_others(cell)[:2])
    complete_job(cell)


def test_job_is_not_given_up_for_crashes_long_after_its_start():
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0), 0.0)
    for number in range(CRASHES):
        start_job(cell)
        cell.clock.advance(0.5 + (number * 7 % 5))
        cell.poll_all()
        crash_workers(cell, find_worker(cell))
    complete_job(cell)


def test_job_that_has_outlived_its_start_is_not_given_up_for_two_early_crashes():
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0), 0.0)
    for number in range(CRASHES):
        start_job(cell)
        cell.clock.advance(1.0 + number if number % 2 else 0.01)
        if number % 2:
            cell.poll_all()
        crash_workers(cell, find_worker(cell))
        cell.clock.advance(1.0)
        cell.poll_all()
    complete_job(cell)


def test_job_is_not_given_up_for_starts_that_workers_crashed_before():
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0), 0.0)
    for _ in range(CRASHES):
        [order] = [order for order in cell.plan() if isinstance(order, StartRun)]
        cell.scheduler.note_start_sent(order)
        cell.scheduler.mark_worker_unresponsive(order.worker_id)
        stops = cell.scheduler.note_start_outcome(order, StartOutcome.UNKNOWN)
        others = [e.worker_id for e in cell.entries if e.worker_id != order.worker_id]
        crash_workers(cell, order.worker_id, *others[:2])
        cell.execute(stops)
    complete_job(cell)


def test_crash_counts_once_a_worker_lost_at_the_same_moment_answers_again():
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0), 0.0)
    for _ in range(2):
        start_job(cell)
        cell.clock.advance(0.01)
        worker_id, cut_off = find_worker(cell), list_others(cell)[0]
        cell.scheduler.mark_worker_unresponsive(cut_off)
        crash_workers(cell, worker_id)
        cell.poll(cut_off)
        cell.clock.advance(1.0)
        cell.poll_all()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED


def test_gang_that_crashes_a_worker_once_it_is_complete_is_given_up():
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0, make_step(2, is_gang=True)), 0.0)
    for _ in range(MAX_CRASHED_WORKERS):
        starts = [item for item in cell.plan() if isinstance(item, StartRun)]
        if not starts:
            break
        first, second = starts
        cell.execute([first])
        cell.clock.advance(1.0)
        cell.poll_all()
        cell.execute([second])
        cell.clock.advance(0.01)
        crash_workers(cell, find_worker(cell))
        cell.clock.advance(1.0)
        cell.poll_all()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED


def test_task_that_fails_and_crashes_beside_others_keeps_its_attempts():
    cell = make_cell(WORKERS)
    cell.scheduler.accept(make_record(0, make_step(2)), 0.0)
    for _ in range(2):
        start_job(cell)
        cell.clock.advance(1.0)
        cell.poll_all()
        cell.end_all_runs(EndKind.FAILED)
        cell.clock.advance(5.0)
        cell.poll_all()
        start_job(cell)
        cell.clock.advance(1.0)
        cell.poll_all()
        crash_workers(cell, find_worker(cell), *list_others(cell)[:2])
    complete_job(cell)
