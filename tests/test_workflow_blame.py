"""Workers and runs that are not to be blamed for what happens to many at once."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.messages import (
    ReportedRun,
    StartOutcome,
    StartRun,
    WorkerReport,
)
from fuchsiadale.decision.workflow.scheduler import STALL_TIMEOUT_S
from tests.workflow_builders import QUEUE, STARTED_MS, Cell, make_record, make_step

WORKER = "worker-0"
PAUSE_S = 5.0


def report_idle_runs(
    cell: Cell, delay_s: float = 0.001, worker_id: str = WORKER
) -> None:
    """Poll a worker whose runs use no processor and make no progress."""
    sent_s = cell.clock.now()
    cell.clock.advance(delay_s)
    rows = [ReportedRun(task, run, "", 0, 0.0) for task, run in cell.running[worker_id]]
    report = WorkerReport(STARTED_MS, 0, tuple(rows), ())
    cell.execute(cell.scheduler.process_report(worker_id, report, sent_s))


def make_cell_with_run() -> Cell:
    """Return a cell of one worker with one run that was reported once."""
    cell = Cell(1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    report_idle_runs(cell)
    assert cell.running[WORKER]
    return cell


@pytest.mark.parametrize("has_report", [False, True])
def test_run_is_not_stopped_as_stalled_when_the_owner_wakes_from_a_pause(
    has_report: bool,
):
    cell = make_cell_with_run()
    if has_report:
        # The worker answered before the pause, and the owner reads the answer after it.
        report_idle_runs(cell, PAUSE_S)
    else:
        cell.clock.advance(PAUSE_S)
    cell.execute(cell.scheduler.check_timeouts())
    assert not cell.stops
    assert cell.scheduler.workers[WORKER].failure_score == 0.0


def test_run_that_is_reported_without_progress_is_stopped_as_stalled():
    cell = make_cell_with_run()
    for _ in range(3):
        assert not cell.stops
        cell.clock.advance(STALL_TIMEOUT_S / 3.0)
        report_idle_runs(cell)
        cell.execute(cell.scheduler.check_timeouts())
    assert len(cell.stops) == 1
    assert cell.scheduler.workers[WORKER].failure_score > 0.0


def test_worker_is_not_blamed_for_a_run_that_waits_for_the_rest_of_its_gang():
    cell = Cell(2)
    cell.adopt_workers()
    step = make_step(2, cpu_millis=4000, is_gang=True)
    cell.scheduler.accept(make_record(0, step), 0.0)
    first, _ = [o for o in cell.plan() if isinstance(o, StartRun)]
    cell.scheduler.note_start_outcome(first, StartOutcome.STARTED)
    cell.running[first.worker_id][first.task, first.run] = ""
    for _ in range(3):
        cell.clock.advance(STALL_TIMEOUT_S / 3.0)
        report_idle_runs(cell, worker_id=first.worker_id)
        cell.execute(cell.scheduler.check_timeouts())
    assert cell.stops
    assert cell.scheduler.workers[first.worker_id].failure_score == 0.0


def start_jobs(cell: Cell, outcome: StartOutcome) -> None:
    """Let the starts of three jobs on the worker end with an outcome."""
    for number in range(3):
        cell.scheduler.accept(make_record(number), 0.0)
    orders = [order for order in cell.plan() if isinstance(order, StartRun)]
    assert {order.worker_id for order in orders} == {WORKER}
    assert len(orders) == 3
    for order in orders:
        cell.scheduler.note_start_outcome(order, outcome)


def test_worker_is_used_at_once_when_its_owner_reaches_it_again():
    cell = Cell(1)
    cell.adopt_workers()
    start_jobs(cell, StartOutcome.UNHEALTHY)
    cell.scheduler.mark_worker_unresponsive(WORKER, "no_answer")
    cell.clock.advance(1.0)
    cell.poll(WORKER)
    cell.plan_and_execute()
    assert len(cell.running[WORKER]) == 3


def test_task_is_placed_as_before_after_a_start_that_did_not_reach_its_worker():
    cell = Cell(1)
    cell.adopt_workers()
    start_jobs(cell, StartOutcome.UNHEALTHY)
    tasks = [task for job in cell.scheduler.jobs.values() for task in job.tasks()]
    assert all(WORKER in task.failed_on for task in tasks)
    cell.scheduler.mark_worker_unresponsive(WORKER, "no_answer")
    cell.clock.advance(1.0)
    cell.poll(WORKER)
    assert not any(task.failed_on for task in tasks)


def test_worker_that_refuses_the_starts_of_three_jobs_is_quarantined():
    cell = Cell(1)
    cell.adopt_workers()
    start_jobs(cell, StartOutcome.UNHEALTHY)
    cell.clock.advance(1.0)
    cell.poll(WORKER)
    cell.plan_and_execute()
    assert not cell.running[WORKER]


def test_durations_are_not_learnt_from_runs_that_ended_while_the_worker_was_silent():
    cell = make_cell_with_run()
    cell.clock.advance(1.0)
    cell.scheduler.mark_worker_unresponsive(WORKER, "no_answer")
    cell.end_run(WORKER, *next(iter(cell.running[WORKER])))
    cell.clock.advance(PAUSE_S)
    cell.poll(WORKER)
    assert cell.scheduler.workers[WORKER].slowdown == 1.0
    assert cell.scheduler.durations.predict_s(QUEUE, 1.0) == 1.0


def test_durations_are_not_learnt_from_a_report_that_is_read_late():
    cell = make_cell_with_run()
    cell.clock.advance(1.0)
    cell.end_run(WORKER, *next(iter(cell.running[WORKER])))
    sent_s = cell.clock.now()
    cell.clock.advance(PAUSE_S)
    report = cell.make_report(WORKER)
    cell.execute(cell.scheduler.process_report(WORKER, report, sent_s))
    assert cell.scheduler.workers[WORKER].slowdown == 1.0
    assert cell.scheduler.durations.predict_s(QUEUE, 1.0) == 1.0


def test_durations_are_learnt_from_a_poll_that_waited_for_the_end():
    cell = make_cell_with_run()
    sent_s = cell.clock.now()
    cell.clock.advance(1.9)
    cell.end_run(WORKER, *next(iter(cell.running[WORKER])))
    report = cell.make_report(WORKER)
    cell.execute(cell.scheduler.process_report(WORKER, report, sent_s))
    assert cell.scheduler.workers[WORKER].slowdown > 1.0
    assert cell.scheduler.durations.predict_s(QUEUE, 1.0) > 1.0
