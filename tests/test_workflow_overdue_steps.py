"""Steps of which only some of the lasting tasks have had a run."""

from __future__ import annotations

from fuchsiadale.decision.workflow.messages import EndKind
from tests.workflow_builders import (
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

OVERDUE_FOR_LONG_S = 5.1
"""Seconds without a run after which a lasting task preempts more urgent runs."""

BATCH = make_queue("batch", priority=2)
PRESSING = make_queue("pressing", priority=1)


def make_cell_with_long_step() -> Cell:
    """Return a full cell, in which one of ten lasting tasks of a step fails.

    The other nine have not had a run, and work of a more urgent queue that can resume
    takes the rest of the room.
    """
    cell = Cell(4, make_configuration(PRESSING, BATCH))
    cell.adopt_workers()
    step = make_step(1, 1000, estimated_s=300.0, is_checkpointing=True)
    for number in range(15):
        cell.scheduler.accept(make_record(number, step, queue="pressing"), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 15
    lasting = make_record(900, make_step(10, 1000, is_lasting=True), queue="batch")
    cell.scheduler.accept(lasting, 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 16
    started = cell.starts[-1]
    cell.clock.advance(5.0)
    cell.poll_all()
    cell.end_run(started.worker_id, started.task, started.run, EndKind.FAILED)
    cell.poll_all()
    return cell


def test_tasks_that_never_ran_preempt_urgent_runs_beside_one_that_is_overdue():
    cell = make_cell_with_long_step()
    # More urgent work takes the room before the lasting task is overdue.
    step = make_step(1, 1000, estimated_s=300.0, is_checkpointing=True)
    cell.scheduler.accept(make_record(100, step, queue="pressing"), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(OVERDUE_FOR_LONG_S)
    cell.poll_all()
    cell.plan_and_execute()
    assert len(cell.stops) == 1


def test_tasks_that_never_ran_precede_urgent_work_beside_one_that_is_overdue():
    cell = make_cell_with_long_step()
    cell.clock.advance(OVERDUE_FOR_LONG_S)
    step = make_step(1, 1000, estimated_s=300.0)
    for number in range(100, 104):
        cell.scheduler.accept(make_record(number, step, queue="pressing"), 0.0)
    started = len(cell.starts)
    for order in cell.starts[:4]:
        cell.end_run(order.worker_id, order.task, order.run)
    cell.poll_all()
    cell.plan_and_execute()
    jobs = [order.task.step.job_id for order in cell.starts[started:]]
    lasting = make_record(900).job_id
    # Headroom keeps the other two urgent jobs from the room that is left.
    urgent = [make_record(number).job_id for number in (100, 101)]
    assert jobs == [lasting, *urgent, lasting, lasting]
