"""Crashes of deadly tasks, told from those of another cause at the same moment."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.job_progress import JobProgress, collect_progress
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import WorkerState
from tests.test_workflow_crash_series import (
    crash_workers,
    find_worker,
    list_others,
    start_job,
)
from tests.test_workflow_crashes import (
    JOB_ID,
    MAX_CRASHED_WORKERS,
    CrashingCell,
    make_cell,
)
from tests.workflow_builders import STARTED_MS, make_entry, make_record, make_step

ROUNDS = 15


def count_starts(cell: CrashingCell, job_id: str) -> int:
    """Return the number of starts of a job's tasks."""
    return sum(order.task.step.job_id == job_id for order in cell.starts)


@pytest.mark.parametrize("quiet_round", range(4))
def test_deadly_task_is_given_up_though_others_crash_beside_it_each_time_but_one(
    quiet_round: int,
):
    cell = make_cell(8)
    cell.scheduler.accept(make_record(0), 0.0)
    for number in range(ROUNDS):
        if cell.scheduler.jobs[JOB_ID].state.is_final:
            break
        start_job(cell)
        cell.clock.advance(0.01)
        others = [] if number == quiet_round else list_others(cell)[:2]
        crash_workers(cell, find_worker(cell), *others)
        cell.clock.advance(1.0)
        cell.poll_all()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert count_starts(cell, JOB_ID) <= MAX_CRASHED_WORKERS


@pytest.mark.parametrize("pause_s", [0.0, 0.1, 0.3, 0.6, 1.0])
def test_deadly_tasks_do_not_excuse_each_other_when_the_owner_pauses(pause_s: float):
    cell = make_cell(12)
    records = [make_record(number, make_step(1, 4000)) for number in range(2)]
    for record in records:
        cell.scheduler.accept(record, 0.0)
    for _ in range(ROUNDS):
        cell.plan_and_execute()
        crashed = [worker_id for worker_id, runs in cell.running.items() if runs]
        cell.clock.advance(0.01 + pause_s)
        crash_workers(cell, *crashed)
        cell.clock.advance(1.0)
        cell.poll_all()
    for record in records:
        assert count_starts(cell, record.job_id) <= MAX_CRASHED_WORKERS


def test_worker_that_leaves_as_planned_does_not_excuse_a_deadly_task():
    cell = make_cell(4)
    cell.scheduler.accept(make_record(0), 0.0)
    start_job(cell)
    worker_id, leaving_id = find_worker(cell), list_others(cell)[0]
    draining = [
        make_entry(index, state=WorkerState.DRAINING)
        if entry.worker_id == leaving_id
        else entry
        for index, entry in enumerate(cell.entries)
    ]
    cell.scheduler.update_registrations(draining)
    cell.clock.advance(0.01)
    cell.scheduler.mark_worker_unresponsive(leaving_id)
    crash_workers(cell, worker_id)
    assert cell.scheduler.jobs[JOB_ID].tasks()[0].is_suspect


def test_crash_between_two_owners_is_not_excused_by_a_worker_lost_later():
    cell = make_cell(3)
    cell.entries.append(make_entry(9))
    cell.scheduler.update_registrations(cell.entries)
    cell.running["worker-9"] = {}
    cell.scheduler.recover(make_record(0), None, 0.0)
    task = cell.scheduler.jobs[JOB_ID].tasks()[0]
    ends_s = cell.clock.now() + 5.0
    cell.scheduler.restore_runs("worker-9", [(task.name, 1)], ends_s, STARTED_MS)
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.clock.advance(0.02)
    cell.poll("worker-9", STARTED_MS + 1)
    assert task.is_suspect


def test_job_is_not_given_up_for_crashes_just_after_two_takeovers():
    progress: JobProgress | None = None
    for epoch in (2, 3):
        cell = make_cell(3)
        cell.scheduler.epoch = epoch
        cell.scheduler.recover(make_record(0), progress, 0.0)
        task = cell.scheduler.jobs[JOB_ID].tasks()[0]
        worker_id = f"worker-{epoch - 2}"
        ends_s = cell.clock.now() + 5.0
        cell.scheduler.restore_runs(worker_id, [(task.name, epoch)], ends_s, STARTED_MS)
        cell.running[worker_id][task.name, epoch] = ""
        cell.poll(worker_id)
        cell.clock.advance(0.1)
        crash_workers(cell, worker_id)
        progress = collect_progress(cell.scheduler.jobs[JOB_ID])
    assert cell.scheduler.jobs[JOB_ID].state is not JobState.FAILED


def test_gang_member_at_work_is_not_suspected_once_another_member_is_lost():
    cell = make_cell(4)
    cell.scheduler.accept(make_record(0, make_step(2, 4000, is_gang=True)), 0.0)
    cell.plan_and_execute()
    for _ in range(5):
        cell.clock.advance(1.0)
        cell.poll_all()
    tasks = cell.scheduler.jobs[JOB_ID].tasks()
    first, second = [task.runs[0].worker_id for task in tasks]
    assert first != second
    cell.scheduler.mark_worker_unresponsive(first)
    cell.clock.advance(0.8)
    cell.replace_worker(first)
    cell.clock.advance(0.05)
    crash_workers(cell, second)
    assert not any(task.is_suspect for task in tasks)


def test_answer_after_a_lost_poll_does_not_judge_all_crashes_again():
    cell = make_cell(6)
    cell.scheduler.accept(make_record(0), 0.0)
    for _ in range(5):
        start_job(cell)
        cell.clock.advance(1.0)
        cell.poll_all()
        crash_workers(cell, find_worker(cell), *list_others(cell)[:2])
    cell.scheduler.decisions.pop_all()
    cell.scheduler.mark_worker_unresponsive(cell.entries[0].worker_id)
    cell.poll(cell.entries[0].worker_id)
    decisions, _ = cell.scheduler.decisions.pop_all()
    assert not any(decision.kind.startswith("crash") for decision in decisions)


def test_report_on_its_way_when_the_worker_crashed_does_not_clear_its_task():
    cell = make_cell(8)
    cell.scheduler.accept(make_record(0), 0.0)
    start_job(cell)
    cell.clock.advance(0.01)
    crash_workers(cell, find_worker(cell))
    task = cell.scheduler.jobs[JOB_ID].tasks()[0]
    cell.clock.advance(1.0)
    sent_s = cell.clock.now()
    start_job(cell)
    worker_id = find_worker(cell)
    report = cell.make_report(worker_id)
    cell.clock.advance(0.25)
    cell.scheduler.process_report(worker_id, report, sent_s)
    assert len(task.crashes.at_start) == 1
