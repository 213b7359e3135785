"""Tests that filler tasks slow down for serving tasks."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.jobs import Run, RunState, make_job
from fuchsiadale.decision.workflow.messages import PaceRun, ReportedRun, WorkerReport
from fuchsiadale.decision.workflow.pacing import adjust_filler_paces
from tests.workflow_builders import STARTED_MS, Cell, make_record, make_step


def make_runs(load_ms: float) -> list[Run]:
    """Return a serving run with a latency target of 100 ms and a filler run."""
    serving = make_step(1, is_lasting=True, target_s=0.1)
    job_tasks = make_job(make_record(0, serving, make_step(1, is_filler=True))).tasks()
    runs = [Run(task, "worker-0", 1, RunState.RUNNING, 0.0) for task in job_tasks]
    runs[0].load = load_ms
    return runs


def test_filler_run_is_paused_when_a_latency_target_is_missed():
    orders = adjust_filler_paces(make_runs(101.0))
    assert [(order.task.step.step, order.percent) for order in orders] == [(1, 0)]


def test_filler_run_slows_near_the_latency_target_and_speeds_up_below_it():
    runs = make_runs(90.0)
    assert [order.percent for order in adjust_filler_paces(runs)] == [50]
    runs[0].load = 70.0
    assert adjust_filler_paces(runs) == []
    runs[0].load = 50.0
    percents = [order.percent for _ in range(4) for order in adjust_filler_paces(runs)]
    assert percents == [70, 90, 100]


def test_filler_run_without_serving_runs_is_not_slowed():
    assert adjust_filler_paces(make_runs(500.0)[1:]) == []


@pytest.mark.parametrize("load_ms", [1.0, 70.0, 90.0, 101.0])
def test_filler_run_that_a_former_owner_paused_is_not_left_paused(load_ms: float):
    serving = make_step(1, is_lasting=True, target_s=0.1)
    record = make_record(0, serving, make_step(1, is_filler=True))
    cell = Cell(workers=1, epoch=2)
    cell.scheduler.recover(record, None, 0.0)
    cell.scheduler.update_registrations(cell.entries)
    tasks = cell.scheduler.jobs[record.job_id].tasks()
    runs = [(task.name, 1) for task in tasks]
    lease_ends_s = cell.clock.now() + 5.0
    cell.scheduler.restore_runs("worker-0", runs, lease_ends_s, STARTED_MS)
    ordered: list[int] = []
    for load in (load_ms, *[50.0] * 5):
        cell.clock.advance(0.8)
        rows = tuple(ReportedRun(name, run, "", 10, load) for name, run in runs)
        report = WorkerReport(STARTED_MS, 0, rows)
        now_s = cell.clock.now()
        orders = cell.scheduler.process_report("worker-0", report, now_s)
        ordered += [item.percent for item in orders if isinstance(item, PaceRun)]
    assert ordered[0] == (20 if load_ms == 1.0 else 0)
    assert ordered[-1] == 100
