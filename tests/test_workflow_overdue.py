"""Lasting tasks that have been without a run for long."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.job_progress import JobProgress
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import EndKind, StartOutcome, StartRun
from tests.stream_builders import Stream, make_stream_play
from tests.workflow_builders import (
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

OVERDUE_S = 3.1
"""Seconds without a run after which a lasting task of the tests is overdue."""

RESTART_BOUND_S = 9.0
"""Seconds from its last run after which users count a lasting task as lost."""

URGENT = make_queue("urgent", priority=0)
BATCH = make_queue("batch", priority=2)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("stream", "cpu_millis"),
    [
        (Stream(priority=0, in_flight=64), 900),
        (Stream(priority=0, in_flight=40), 4500),
        (Stream(priority=0, in_flight=30), 4500),
        (Stream(priority=1, in_flight=64), 900),
        (Stream(priority=1, in_flight=64, is_checkpointing=True), 2000),
        (Stream(priority=2, in_flight=64, is_checkpointing=True), 4500),
    ],
    ids=["backlog", "small tasks", "part load", "headroom", "checkpoints", "equal"],
)
def test_lasting_task_is_not_starved_by_work_that_could_use_other_workers(
    stream: Stream, cpu_millis: int, seed: int
):
    play = make_stream_play(stream, cpu_millis, seed)
    play.fail_lasting_runs()
    assert play.wait_for_lasting_starts(2 * RESTART_BOUND_S) <= RESTART_BOUND_S


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("priority", [1, 2])
@pytest.mark.parametrize("cpu_millis", [900, 4500])
def test_lasting_task_is_not_starved_by_long_runs_that_can_resume(
    cpu_millis: int, priority: int, seed: int
):
    stream = Stream(priority, in_flight=64, duration_s=20.0, is_checkpointing=True)
    play = make_stream_play(stream, cpu_millis, seed)
    play.fail_lasting_runs()
    assert play.wait_for_lasting_starts(2 * RESTART_BOUND_S) <= RESTART_BOUND_S
    assert len(play.cell.stops) <= -(-cpu_millis // stream.cpu_millis)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("priority", [0, 1, 2])
def test_all_lasting_tasks_of_a_lost_worker_run_again_beside_a_backlog(
    priority: int, seed: int
):
    play = make_stream_play(
        Stream(priority, in_flight=64),
        900,
        seed,
        lasting_count=8,
        permitted=("worker-0", "worker-1"),
    )
    play.silence_lasting_worker(lease_s=4.5)
    waited_s = play.wait_for_lasting_starts(2 * RESTART_BOUND_S, count=8)
    assert waited_s <= RESTART_BOUND_S


@pytest.mark.parametrize(
    ("priority", "is_checkpointing"), [(0, True), (1, False)], ids=["urgent", "plain"]
)
def test_lasting_task_does_not_stop_urgent_runs_nor_work_that_cannot_resume(
    priority: int, is_checkpointing: bool
):
    stream = Stream(
        priority, in_flight=64, duration_s=20.0, is_checkpointing=is_checkpointing
    )
    play = make_stream_play(stream, 4500, seed=1)
    play.fail_lasting_runs()
    play.play_s(RESTART_BOUND_S)
    assert play.cell.stops == []


def make_cell(workers: int) -> Cell:
    cell = Cell(workers, make_configuration(URGENT, BATCH))
    cell.adopt_workers()
    return cell


def accept_urgent_work(
    cell: Cell, first: int, count: int, cpu_millis: int, estimated_s: float = 60.0
) -> list[str]:
    """Accept urgent jobs of one task each; return their ids."""
    step = make_step(1, cpu_millis, estimated_s=estimated_s)
    records = [
        make_record(number, step, queue="urgent")
        for number in range(first, first + count)
    ]
    for record in records:
        cell.scheduler.accept(record, 0.0)
    return [record.job_id for record in records]


def start_lasting_work(cell: Cell, count: int, cpu_millis: int) -> list[str]:
    """Start lasting jobs of one task each, and return their ids."""
    step = make_step(1, cpu_millis, is_lasting=True)
    records = [make_record(900 + index, step, queue="batch") for index in range(count)]
    for record in records:
        cell.scheduler.accept(record, 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == count
    return [record.job_id for record in records]


def fail_runs(cell: Cell, job_ids: list[str]) -> None:
    for worker_id, runs in cell.running.items():
        for task, run in list(runs):
            if task.step.job_id in job_ids:
                cell.end_run(worker_id, task, run, EndKind.FAILED)
    cell.poll_all()


def started_jobs(cell: Cell) -> list[str]:
    return [order.task.step.job_id for order in cell.starts]


def test_overdue_tasks_reserve_a_quarter_of_the_workers_at_most():
    cell = make_cell(workers=8)
    lasting = start_lasting_work(cell, count=4, cpu_millis=3500)
    fail_runs(cell, lasting)
    spread = make_step(8, 1000, estimated_s=60.0, max_per_worker=1)
    cell.scheduler.accept(make_record(1, spread, queue="urgent"), 0.0)
    cell.plan_and_execute()
    assert {worker.free.cpu_millis for worker in cell.scheduler.workers.values()} == {
        3000
    }
    cell.clock.advance(OVERDUE_S)
    urgent = accept_urgent_work(cell, first=2, count=8, cpu_millis=3000)
    cell.plan_and_execute()
    assert len(set(urgent) & set(started_jobs(cell))) == 6


def test_overdue_task_reserves_no_worker_where_lasting_runs_leave_no_room():
    cell = make_cell(workers=1)
    (lasting,) = start_lasting_work(cell, count=1, cpu_millis=3500)
    fail_runs(cell, [lasting])
    other = make_record(1, make_step(1, 1000, is_lasting=True), queue="urgent")
    cell.scheduler.accept(other, 0.0)
    cell.plan_and_execute()
    cell.clock.advance(OVERDUE_S)
    gang = make_record(2, make_step(1, 3000, is_gang=True), queue="urgent")
    cell.scheduler.accept(gang, 0.0)
    cell.plan_and_execute()
    assert gang.job_id in started_jobs(cell)


def test_urgent_task_that_ends_in_time_uses_the_room_reserved_for_an_overdue_one():
    cell = make_cell(workers=1)
    (lasting,) = start_lasting_work(cell, count=1, cpu_millis=3500)
    fail_runs(cell, [lasting])
    accept_urgent_work(cell, first=1, count=1, cpu_millis=1000)
    cell.plan_and_execute()
    cell.clock.advance(OVERDUE_S)
    (urgent,) = accept_urgent_work(
        cell, first=2, count=1, cpu_millis=3000, estimated_s=1.0
    )
    cell.plan_and_execute()
    assert urgent in started_jobs(cell)


def test_lasting_task_that_never_ran_does_not_precede_urgent_work():
    cell = make_cell(workers=1)
    accept_urgent_work(cell, first=1, count=1, cpu_millis=4000)
    cell.plan_and_execute()
    lasting = make_record(900, make_step(1, 3500, is_lasting=True), queue="batch")
    cell.scheduler.accept(lasting, 0.0)
    cell.clock.advance(2 * OVERDUE_S)
    cell.plan_and_execute()
    (urgent,) = accept_urgent_work(cell, first=2, count=1, cpu_millis=4000)
    cell.end_all_runs()
    cell.plan_and_execute()
    assert started_jobs(cell)[1:] == [urgent]


def test_wait_under_an_earlier_owner_makes_a_lasting_task_overdue():
    cell = make_cell(workers=1)
    record = make_record(900, make_step(1, 3500, is_lasting=True), queue="batch")
    progress = JobProgress(JobState.RUNNING, last_runs={f"{record.job_id}.0.0.0": 7})
    cell.scheduler.recover(record, progress, 0.0)
    accept_urgent_work(cell, first=2, count=1, cpu_millis=4000)
    cell.plan_and_execute()
    assert started_jobs(cell) == [record.job_id]


def test_wait_of_a_lasting_task_begins_when_its_worker_ceases_to_answer():
    cell = make_cell(workers=2)
    (lasting,) = start_lasting_work(cell, count=1, cpu_millis=3500)
    lost = cell.starts[0].worker_id
    cell.scheduler.extend_lease(lost, cell.clock.now() + OVERDUE_S - 0.1)
    cell.scheduler.mark_worker_unresponsive(lost)
    cell.clock.advance(OVERDUE_S)
    cell.execute(cell.scheduler.check_timeouts())
    accept_urgent_work(cell, first=1, count=1, cpu_millis=4000)
    cell.plan_and_execute()
    assert started_jobs(cell)[1:] == [lasting]


def test_start_that_is_refused_does_not_begin_the_wait_of_a_lasting_task_anew():
    cell = make_cell(workers=1)
    (lasting,) = start_lasting_work(cell, count=1, cpu_millis=3500)
    fail_runs(cell, [lasting])
    cell.clock.advance(OVERDUE_S)
    (order,) = cell.plan()
    assert isinstance(order, StartRun)
    cell.scheduler.note_start_outcome(order, StartOutcome.UNHEALTHY)
    accept_urgent_work(cell, first=1, count=1, cpu_millis=4000)
    cell.plan_and_execute()
    assert started_jobs(cell)[1:] == [lasting]
