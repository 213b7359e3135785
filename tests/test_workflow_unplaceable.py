"""Steps that cannot be placed, ahead of a step that can."""

from __future__ import annotations

import pytest
from attrs import evolve

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.configuration import CellConfiguration, Workspace
from fuchsiadale.decision.workflow.messages import EndKind
from fuchsiadale.decision.workflow.specification import JobRecord
from fuchsiadale.decision.workflow.unplaced_steps import MAX_UNPLACED_STEPS
from tests.workflow_builders import (
    ADVICE,
    WORKSPACE,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

WORKERS = 4
SMALL = Resources(10, 10)
AGE_S = 1000.0  # Age of the jobs ahead, of which none can be in time.
LAST = make_record(MAX_UNPLACED_STEPS + 1)


def make_cell(configuration: CellConfiguration | None = None) -> Cell:
    """Return a cell with answering workers."""
    cell = Cell(WORKERS, configuration)
    cell.adopt_workers()
    return cell


def submit(cell: Cell, step: object) -> None:
    """Submit as many jobs ahead of `LAST` as a plan may fail to place."""
    for number in range(1, MAX_UNPLACED_STEPS + 1):
        cell.scheduler.accept(make_record(number, step), AGE_S)


def submit_last(cell: Cell, record: JobRecord = LAST) -> None:
    """Submit the job behind the others."""
    cell.scheduler.accept(record, AGE_S / 2)


def started_jobs(cell: Cell) -> set[str]:
    return {order.task.step.job_id for order in cell.starts}


@pytest.mark.parametrize(
    "step",
    [
        make_step(1, required_label="missing"),
        make_step(1, 9000),
        make_step(9, 2000, is_gang=True),
        make_step(WORKERS + 1, 1000, is_gang=True, max_per_worker=1),
    ],
    ids=["label", "size", "gang", "spread gang"],
)
def test_steps_that_no_worker_can_run_do_not_starve_the_steps_behind_them(
    step: object,
):
    cell = make_cell()
    submit(cell, step)
    submit_last(cell)
    cell.plan_and_execute()
    assert started_jobs(cell) == {LAST.job_id}


def test_gang_that_needs_no_resources_may_have_more_members_than_workers():
    cell = make_cell()
    gang = make_step(WORKERS + 1, request=NO_RESOURCES, is_gang=True)
    cell.scheduler.accept(make_record(0, gang), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == WORKERS + 1


def test_steps_spread_over_all_workers_do_not_starve_the_steps_behind_them():
    cell = make_cell()
    submit(cell, make_step(WORKERS + 1, request=SMALL, max_per_worker=1))
    cell.plan_and_execute()
    submit_last(cell)
    cell.plan_and_execute()
    assert LAST.job_id in started_jobs(cell)


def test_workspace_at_its_limit_does_not_starve_the_other_workspaces():
    limited = Workspace(WORKSPACE, (), 100.0, Resources(500, 1 << 30, 1 << 30))
    other = Workspace("other", (), 100.0)
    cell = make_cell(CellConfiguration(1, (make_queue(),), (limited, other)))
    submit(cell, make_step(1))
    submit_last(cell, evolve(LAST, workspace="other"))
    cell.plan_and_execute()
    assert started_jobs(cell) == {LAST.job_id}


def test_steps_that_advice_permits_nowhere_do_not_starve_the_steps_behind_them():
    cell = make_cell(make_configuration(make_queue(advice=ADVICE)))
    submit(cell, make_step(1))
    submit_last(cell)
    for _ in range(MAX_UNPLACED_STEPS):
        cell.plan_and_execute()
        requests, cell.advice_requests = cell.advice_requests, []
        for order in requests:
            is_last = order.step.job_id == LAST.job_id
            tickets = {worker: "ticket" for worker in order.worker_ids if is_last}
            cell.scheduler.process_advice(order, tickets, 2.0)
    cell.plan_and_execute()
    assert started_jobs(cell) == {LAST.job_id}


@pytest.mark.parametrize(
    ("present", "ahead", "last"),
    [
        (
            make_step(WORKERS, 1500, is_lasting=True, max_per_worker=1),
            make_step(1, 3000),
            make_step(1, 1000),
        ),
        (
            make_step(2, 4000, is_lasting=True, required_label="r0"),
            make_step(1, 1000, required_label="r0"),
            make_step(1, 1000),
        ),
        (
            make_step(1, 4000, is_lasting=True),
            make_step(WORKERS, 2500, is_gang=True),
            make_step(1, 2500),
        ),
        (
            make_step(1, 4000, is_lasting=True),
            make_step(WORKERS, 100, max_per_worker=1),
            make_step(1, 100),
        ),
        (
            make_step(WORKERS, 3000, max_per_worker=1),
            make_step(1, 500),
            make_step(1, 500, is_checkpointing=True),
        ),
    ],
    ids=["size", "label", "gang", "spread", "headroom"],
)
def test_steps_without_room_do_not_starve_steps_that_there_is_room_for(
    present: object, ahead: object, last: object
):
    cell = make_cell(make_configuration(make_queue(priority=1)))
    cell.scheduler.accept(make_record(0, present), 2 * AGE_S)
    cell.plan_and_execute()
    submit(cell, ahead)
    cell.plan_and_execute()
    submit_last(cell, make_record(MAX_UNPLACED_STEPS + 1, last))
    cell.plan_and_execute()
    assert LAST.job_id in started_jobs(cell)


def test_steps_that_wait_for_advice_do_not_starve_those_that_need_none():
    advised, plain = make_queue(advice=ADVICE), make_queue("plain")
    cell = make_cell(make_configuration(advised, plain))
    submit(cell, make_step(1))
    submit_last(cell, evolve(LAST, queue="plain"))
    cell.plan_and_execute()
    assert started_jobs(cell) == {LAST.job_id}


def test_task_that_needs_most_of_a_worker_is_not_starved_by_lasting_runs():
    cell = make_cell(make_configuration(make_queue(priority=1)))
    lasting = make_step(WORKERS, request=SMALL, is_lasting=True, max_per_worker=1)
    cell.scheduler.accept(make_record(0, lasting), AGE_S)
    cell.plan_and_execute()
    cell.scheduler.accept(make_record(1, make_step(1, 3800)), AGE_S)
    cell.plan_and_execute()
    assert make_record(1).job_id in started_jobs(cell)


def test_gangs_with_a_member_that_still_ends_do_not_starve_the_steps_behind_them():
    cell = make_cell()
    submit(cell, make_step(2, request=SMALL, is_gang=True))
    cell.plan_and_execute()
    first_members = [order for order in cell.starts if order.task.index == 0]
    assert len(first_members) == MAX_UNPLACED_STEPS
    for order in first_members:
        cell.end_run(order.worker_id, order.task, order.run, EndKind.FAILED)
    for entry in cell.entries:
        report = cell.make_report(entry.worker_id)
        cell.scheduler.process_report(entry.worker_id, report, cell.clock.now())
    submit_last(cell)
    cell.plan_and_execute()
    assert LAST.job_id in started_jobs(cell)


def test_steps_whose_permitted_worker_is_full_do_not_starve_one_with_a_free_worker():
    cell = make_cell(make_configuration(make_queue(advice=ADVICE), make_queue("plain")))
    present = make_record(0, make_step(1, 4000, is_lasting=True), queue="plain")
    cell.scheduler.accept(present, 2 * AGE_S)
    cell.plan_and_execute()
    full = cell.starts[0].worker_id
    submit_last(cell)
    submit(cell, make_step(1))
    for step in cell.scheduler.active_steps.values():
        free = step.job.record.job_id == LAST.job_id
        for entry in cell.entries:
            step.advice_by_worker[entry.worker_id] = (entry.worker_id == full) != free
    for _ in range(MAX_UNPLACED_STEPS):
        cell.plan_and_execute()
        cell.answer_advice()
    assert LAST.job_id in started_jobs(cell)
