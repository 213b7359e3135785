"""Tests that filler tasks slow down for serving tasks."""

from __future__ import annotations

from fuchsiadale.decision.workflow.jobs import Run, RunState, make_job
from fuchsiadale.decision.workflow.pacing import adjust_filler_paces
from tests.workflow_builders import make_record, make_step


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
