"""Tests of predicted durations and of the due times of jobs."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.durations import DurationModel
from fuchsiadale.decision.workflow.specification import (
    JobRecord,
    JobSpecification,
    Schedule,
)
from tests.workflow_builders import (
    QUEUE,
    WORKSPACE,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)


def due_in_s(cell: Cell, record: JobRecord, occurrence: int = 0) -> float:
    cell.scheduler.accept(record, 0.0)
    job = cell.scheduler.jobs[record.job_id]
    queue = cell.scheduler.queue_of(job)
    assert queue is not None
    due_s = cell.scheduler.forecast().due_s(job, occurrence, queue)
    return due_s - cell.clock.now()


def make_cell(limit: Resources | None = None) -> Cell:
    queue = make_queue(stretch=2.0, slack_s=1.0)
    changes = {} if limit is None else {"limit": limit}
    cell = Cell(2, make_configuration(queue, **changes))
    cell.adopt_workers()
    return cell


def test_estimate_is_used_before_any_run_is_observed():
    assert DurationModel().predict_s("queue", 2.0) == 2.0


@pytest.mark.parametrize("estimated_s", [0.5, 1.0, 4.0])
def test_uninformative_estimates_are_replaced_by_observed_durations(estimated_s: float):
    durations = DurationModel()
    for number in range(200):
        durations.observe("queue", 0.25 * 2.0 ** (number % 5), 4.0, 1.0)
    assert durations.predict_s("queue", estimated_s) == pytest.approx(4.0, rel=0.25)


def test_estimates_too_low_by_a_constant_factor_are_corrected_per_queue():
    durations = DurationModel()
    for number in range(200):
        estimated_s = 0.25 * 2.0 ** (number % 5)
        durations.observe("queue", estimated_s, 3.0 * estimated_s, 1.0)
    assert durations.predict_s("queue", 2.0) == pytest.approx(6.0, rel=0.15)
    assert durations.predict_s("other", 2.0) == 2.0


def test_prediction_adapts_to_a_change_after_many_observations():
    durations = DurationModel()
    for ran_s in [1.0] * 500 + [3.0] * 150:
        durations.observe("queue", 1.0, ran_s, 1.0)
    assert durations.predict_s("queue", 1.0) == pytest.approx(3.0, rel=0.25)


def test_objective_of_a_narrow_job_is_its_critical_path_stretched_plus_slack():
    record = make_record(0, make_step(1), make_step(2, after=(0,), estimated_s=2.0))
    assert due_in_s(make_cell(), record) == pytest.approx(2.0 * 3.0 + 1.0)


def test_step_wider_than_a_quarter_of_the_pool_counts_in_waves():
    assert due_in_s(make_cell(), make_record(0, make_step(5))) == pytest.approx(
        2.0 * 3.0 + 1.0
    )


def test_step_wider_than_its_workspace_limit_counts_in_waves():
    cell = make_cell(Resources(1500, 1 << 30, 1 << 30))
    assert due_in_s(cell, make_record(0, make_step(2))) == pytest.approx(2 * 2.0 + 1.0)


def test_objective_of_an_occurrence_counts_from_its_scheduled_time():
    specification = JobSpecification("text", (make_step(),), Schedule(5.0, 3.0, 4))
    record = JobRecord("0" * 16, QUEUE, WORKSPACE, 0.0, specification)
    assert due_in_s(make_cell(), record, 2) == pytest.approx(11.0 + 2.0 + 1.0)


def test_duration_of_a_step_is_predicted_from_its_ended_tasks():
    cell = make_cell()
    cell.scheduler.accept(make_record(0, make_step(2, 4000)), 0.0)
    cell.plan_and_execute()
    (task, run) = next(iter(cell.running["worker-0"]))
    cell.clock.advance(6.0)
    cell.end_run("worker-0", task, run)
    cell.poll_all()
    job = cell.scheduler.jobs[make_record().job_id]
    task_s = cell.scheduler.forecast().predict_task_s(job.steps[0, 0])
    assert task_s == pytest.approx(6.0, abs=0.1)
