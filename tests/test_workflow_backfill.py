"""Room on workers that are reserved for more urgent work."""

from __future__ import annotations

import pytest

from tests.workflow_builders import (
    ADVICE,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

FREE_CPU_MILLIS = 1500
"""Room beside the urgent run of a cell that `make_reserved_cell` returns."""


def make_reserved_cell(needed_cpu_millis: int, **batch_queue: object) -> Cell:
    """Return a cell whose only worker is reserved for an urgent task of some size.

    The room that the task waits for is that of an urgent run, which ends after 5 s.
    """
    queues = (
        make_queue("urgent", priority=0),
        make_queue("batch", priority=2, stretch=100.0, **batch_queue),
    )
    cell = Cell(1, make_configuration(*queues))
    cell.adopt_workers()
    running = make_step(1, 4000 - FREE_CPU_MILLIS, estimated_s=5.0)
    cell.scheduler.accept(make_record(0, running, queue="urgent"), 0.0)
    cell.plan_and_execute()
    large = make_step(1, needed_cpu_millis, estimated_s=5.0)
    cell.scheduler.accept(make_record(1, large, queue="urgent"), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 1
    return cell


def accept_batch(cell: Cell, *, cpu_millis: int = 300, estimated_s: float = 1.0) -> str:
    """Accept a batch job of two tasks with checkpoints; return its id."""
    step = make_step(2, cpu_millis, estimated_s=estimated_s, is_checkpointing=True)
    record = make_record(9, step, queue="batch")
    cell.scheduler.accept(record, 0.0)
    return record.job_id


def count_starts(cell: Cell, job_id: str) -> int:
    return sum(order.task.step.job_id == job_id for order in cell.starts)


def test_room_that_a_reserving_task_leaves_does_not_stay_idle():
    cell = make_reserved_cell(3000)
    job_id = accept_batch(cell)
    cell.plan_and_execute()
    assert count_starts(cell, job_id) == 2
    first = cell.starts[0]
    cell.end_run("worker-0", first.task, first.run)
    cell.poll_all()
    cell.plan_and_execute()
    assert count_starts(cell, make_record(1).job_id) == 1


def test_task_that_advice_permits_only_on_a_reserved_worker_is_not_starved():
    cell = make_reserved_cell(3000, advice=ADVICE)
    job_id = accept_batch(cell)
    cell.plan_and_execute()
    cell.answer_advice()
    cell.plan_and_execute()
    assert count_starts(cell, job_id) == 2


@pytest.mark.parametrize(("estimated_s", "starts"), [(1.0, 1), (9.0, 0)])
def test_reserving_task_is_not_delayed_by_tasks_that_use_its_room(
    estimated_s: float, starts: int
):
    cell = make_reserved_cell(4000)
    job_id = accept_batch(cell, cpu_millis=1000, estimated_s=estimated_s)
    cell.plan_and_execute()
    assert count_starts(cell, job_id) == starts


def test_room_that_is_being_made_by_preemption_is_not_taken():
    cell = make_reserved_cell(4000)
    job_id = accept_batch(cell, cpu_millis=500)
    cell.plan_and_execute()
    assert count_starts(cell, job_id) == 2
    first = cell.starts[0]
    cell.end_run("worker-0", first.task, first.run)
    cell.clock.advance(1.0)
    cell.poll_all()
    cell.plan_and_execute()
    assert len(cell.stops) == 2
    cell.scheduler.accept(make_record(10, make_step(1, 500), queue="batch"), 0.0)
    cell.plan_and_execute()
    assert count_starts(cell, make_record(10).job_id) == 0
