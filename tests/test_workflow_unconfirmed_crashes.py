"""Crashes of workers that may not have had the start order of a run."""

from __future__ import annotations

from fuchsiadale.decision.workflow.attempts import CrashHistory
from fuchsiadale.decision.workflow.job_progress import JobProgress
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import StartOutcome, StartRun
from tests.test_workflow_crashes import (
    JOB_ID,
    MAX_CRASHED_WORKERS,
    RETURN_S,
    CrashingCell,
    make_cell,
)
from tests.workflow_builders import STARTED_MS, make_record


def lose_start(cell: CrashingCell, order: StartRun) -> None:
    """Send a start order to a worker that has crashed, and restart the worker."""
    cell.scheduler.note_start_sent(order)
    cell.scheduler.mark_worker_unresponsive(order.worker_id)
    stops = cell.scheduler.note_start_outcome(order, StartOutcome.UNKNOWN)
    restart_worker(cell, order.worker_id)
    cell.execute(stops)
    cell.clock.advance(1.0)
    cell.poll(order.worker_id, cell.scheduler.workers[order.worker_id].started_ms)


def restart_worker(cell: CrashingCell, worker_id: str) -> None:
    """Poll a worker that has restarted under its id and lost its runs."""
    cell.running[worker_id].clear()
    cell.clock.advance(RETURN_S)
    cell.poll(worker_id, cell.scheduler.workers[worker_id].started_ms + 1)


def test_start_sent_to_a_crashed_worker_is_no_second_crash_of_its_job():
    cell = make_cell(2)
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    first = cell.starts[-1].worker_id
    cell.scheduler.mark_worker_unresponsive(first)
    restart_worker(cell, first)
    [second] = [order for order in cell.plan() if isinstance(order, StartRun)]
    assert second.worker_id != first
    lose_start(cell, second)
    assert not cell.scheduler.jobs[JOB_ID].state.is_final
    cell.plan_and_execute()
    worker_id = cell.starts[-1].worker_id
    cell.end_run(worker_id, cell.starts[-1].task, cell.starts[-1].run)
    cell.poll(worker_id, cell.scheduler.workers[worker_id].started_ms)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.COMPLETED


def test_run_that_was_only_recorded_is_no_third_crash_of_its_job():
    cell = make_cell(3)
    progress = JobProgress(
        JobState.RUNNING,
        crashes={f"{JOB_ID}.0.0.0": CrashHistory(("a", "b"), (1, 2), (1,))},
    )
    cell.scheduler.recover(make_record(0), progress, 0.0)
    task = cell.scheduler.jobs[JOB_ID].tasks()[0]
    ends_s = cell.clock.now() + 5.0
    cell.scheduler.restore_runs("worker-0", [(task.name, 3)], ends_s, STARTED_MS)
    cell.poll("worker-0", STARTED_MS + 1)
    assert len(task.crashes.runs) == 3
    assert not cell.scheduler.jobs[JOB_ID].state.is_final


def test_task_that_crashes_workers_before_they_answer_is_given_up():
    cell = make_cell(6)
    cell.scheduler.accept(make_record(0), 0.0)
    starts = 0
    for _ in range(10):
        for order in cell.plan():
            if isinstance(order, StartRun):
                starts += 1
                lose_start(cell, order)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert starts <= MAX_CRASHED_WORKERS


def lose_start_of_another_job(cell: CrashingCell, number: int) -> None:
    """Let the start of another job meet the crash of its worker a second later."""
    cell.clock.advance(1.0)
    cell.scheduler.accept(make_record(number), 0.0)
    [order] = [order for order in cell.plan() if isinstance(order, StartRun)]
    lose_start(cell, order)
    cell.scheduler.cancel(make_record(number).job_id)


def test_fourth_crash_that_an_unanswered_start_explains_does_not_end_a_confirmed_run():
    cell = make_cell(1)
    cell.scheduler.epoch = 2
    crashes = CrashHistory(("a", "a", "a"), (1, 2, 3))
    progress = JobProgress(JobState.RUNNING, crashes={f"{JOB_ID}.0.0.0": crashes})
    cell.scheduler.recover(make_record(0), progress, 0.0)
    cell.plan_and_execute()
    lose_start_of_another_job(cell, 1)
    job = cell.scheduler.jobs[JOB_ID]
    assert len(job.tasks()[0].crashes.runs) == 4
    assert not job.state.is_final


def test_deadly_task_is_given_up_in_time_though_each_crash_meets_another_start():
    cell = make_cell(1)
    cell.scheduler.accept(make_record(0), 0.0)
    for number in range(1, 11):
        if cell.scheduler.jobs[JOB_ID].state.is_final:
            break
        cell.plan_and_execute()
        lose_start_of_another_job(cell, number)
    starts = [order for order in cell.starts if order.task.step.job_id == JOB_ID]
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert len(starts) <= MAX_CRASHED_WORKERS
