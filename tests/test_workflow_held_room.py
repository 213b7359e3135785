"""How long reservations keep work from room, and what makes way for the reserving step.

Users want work to run within 3 s on a half-free pool that has room for it.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from attrs import evolve

from fuchsiadale.decision.workflow.attempts import CrashHistory
from fuchsiadale.decision.workflow.job_progress import collect_progress
from fuchsiadale.decision.workflow.messages import EndKind
from fuchsiadale.decision.workflow.names import TaskName
from tests.workflow_builders import (
    ADVICE,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

WORKERS = 8
MAX_IDLE_S = 3.0
MAX_LASTING_IDLE_S = 9.0
TICK_S = 0.2
LONG_S = 95.0
"""Seconds after which the runs end that keep the urgent work out."""

URGENT_JOB = make_record(1).job_id
URGENT = make_queue("urgent", priority=0, stretch=1000.0)
LATE = make_queue("late", priority=0, stretch=1.0)
BATCH = make_queue("batch", priority=2)
URGENT_GANG = make_step(WORKERS, 4000, is_gang=True)
URGENT_TASK = make_step(1, 4000, required_label="single")
SMALL_GANG = make_step(2, 200, is_gang=True, estimated_s=200.0)
LASTING = make_step(2, 200, is_lasting=True)
PLAIN = make_step(2, 200, estimated_s=200.0)
SMALL_STEPS = {"gang": SMALL_GANG, "lasting": LASTING, "plain": PLAIN}


def make_cell(cpu_millis: int = 500, **batch: object) -> Cell:
    """Return a cell with a task on each worker, which ends after `LONG_S`.

    Only one of the workers has the label ``single``.
    """
    cell = Cell(WORKERS, make_configuration(URGENT, LATE, evolve(BATCH, **batch)))
    cell.progress_percent = 0
    cell.entries[0] = evolve(cell.entries[0], labels=("single", "r0"))
    cell.adopt_workers()
    first = make_step(WORKERS, cpu_millis, estimated_s=LONG_S, max_per_worker=1)
    accept(cell, 0, first)
    cell.plan_and_execute()
    assert len(cell.starts) == WORKERS
    return cell


def accept(cell: Cell, number: int, step: object, queue: str = "batch") -> str:
    record = make_record(number, step, queue=queue)
    record = evolve(record, accepted_s=float(number))
    cell.scheduler.accept(record, record.accepted_s)
    return record.job_id


def tick(cell: Cell, duration_s: float) -> Iterator[float]:
    """Plan every `TICK_S` for some time; yield the time on the clock after each."""
    ends_s = cell.clock.now() + duration_s
    while cell.clock.now() < ends_s:
        cell.clock.advance(TICK_S)
        cell.poll_all()
        cell.plan_and_execute()
        yield cell.clock.now()


def pass_time(cell: Cell, duration_s: float) -> None:
    for _ in tick(cell, duration_s):
        pass


def is_running(cell: Cell, job_id: str) -> bool:
    return any(
        job_id in str(task) for runs in cell.running.values() for task, _ in runs
    )


def find_run(cell: Cell, job_id: str) -> tuple[str, TaskName, int]:
    """Return the worker, the task and the number of a run of a job."""
    return next(
        (worker_id, task, run)
        for worker_id, runs in cell.running.items()
        for task, run in runs
        if task.step.job_id == job_id
    )


def end_first_runs(cell: Cell) -> None:
    """End the runs that have kept the urgent work out."""
    for worker_id, runs in cell.running.items():
        for task, run in list(runs):
            if task.step.job_id == make_record(0).job_id:
                cell.end_run(worker_id, task, run)


def take_over(cell: Cell, ended_jobs: set[str]) -> Cell:
    """Return a cell with the next owner, which the ended jobs are unknown to."""
    taker = Cell(WORKERS, cell.scheduler.configuration, epoch=2)
    taker.progress_percent = 0
    for job_id, job in cell.scheduler.jobs.items():
        if job_id not in ended_jobs:
            progress = collect_progress(job)
            taker.scheduler.recover(job.record, progress, job.record.accepted_s)
    taker.scheduler.restore_workers(taker.entries)
    for worker_id, runs in cell.running.items():
        kept = {
            (task, run): checkpoint
            for (task, run), checkpoint in runs.items()
            if task.step.job_id not in ended_jobs
        }
        taker.running[worker_id] = kept
        taker.scheduler.restore_runs(worker_id, list(kept), 0.0)
    taker.scheduler.update_registrations(taker.entries)
    return taker


@pytest.mark.parametrize("urgent", [URGENT_GANG, URGENT_TASK], ids=["gang", "large"])
@pytest.mark.parametrize("small", SMALL_STEPS.values(), ids=SMALL_STEPS.keys())
def test_work_is_not_kept_from_a_half_free_pool_until_a_far_reservation_starts(
    small: object, urgent: object
):
    cell = make_cell()
    accept(cell, 1, urgent, "urgent")
    pass_time(cell, 2.0)
    if urgent is URGENT_TASK:
        small = evolve(small, required_label="single")  # type: ignore[type-var]
    job_id = accept(cell, 2, small)
    cell.plan_and_execute()
    pass_time(cell, MAX_IDLE_S - 0.5)
    assert is_running(cell, job_id)


def test_reservation_holds_on_a_pool_that_is_more_than_half_full():
    cell = make_cell(2500)
    accept(cell, 1, URGENT_GANG, "urgent")
    cell.plan_and_execute()
    job_id = accept(cell, 2, LASTING)
    pass_time(cell, 10.0)
    assert not is_running(cell, job_id)


def test_reservation_holds_for_a_step_that_has_a_task_running():
    cell = make_cell()
    job_id = accept(cell, 2, PLAIN)
    cell.plan_and_execute()
    accept(cell, 1, URGENT_GANG, "urgent")
    cell.plan_and_execute()
    worker_id, task, run = find_run(cell, job_id)
    cell.end_run(worker_id, task, run, EndKind.FAILED)
    pass_time(cell, 10.0)
    assert is_running(cell, job_id)
    assert [order.task.step.job_id for order in cell.starts].count(job_id) == 2


@pytest.mark.parametrize("small", SMALL_STEPS.values(), ids=SMALL_STEPS.keys())
def test_work_on_reserved_room_does_not_delay_the_reserving_gang(small: object):
    cell = make_cell()
    accept(cell, 1, URGENT_GANG, "urgent")
    pass_time(cell, 2.0)
    job_id = accept(cell, 2, small)
    pass_time(cell, LONG_S - 4.0)
    assert is_running(cell, job_id)
    assert not cell.stops
    end_first_runs(cell)
    pass_time(cell, 1.0)
    assert is_running(cell, URGENT_JOB)
    assert not is_running(cell, job_id)
    cell.end_all_runs()
    pass_time(cell, 1.0)
    assert is_running(cell, job_id)


def test_work_on_reserved_room_does_not_delay_the_reserving_large_task():
    cell = make_cell()
    accept(cell, 1, URGENT_TASK, "urgent")
    cell.plan_and_execute()
    job_id = accept(
        cell, 2, make_step(2, 200, is_lasting=True, required_label="single")
    )
    pass_time(cell, 3.0)
    assert is_running(cell, job_id)
    end_first_runs(cell)
    pass_time(cell, 1.0)
    assert is_running(cell, URGENT_JOB)


@pytest.mark.parametrize("kind", ["is_lasting", "is_gang", "is_filler"])
def test_stream_of_work_on_reserved_room_does_not_delay_the_reserving_gang(kind: str):
    cell = make_cell()
    accept(cell, 1, URGENT_GANG, "urgent")
    number = 2
    for now_s in tick(cell, LONG_S):
        if now_s > 100.0 + 2 * number:
            accept(cell, number, make_step(1, 100, estimated_s=200.0, **{kind: True}))
            number += 1
    end_first_runs(cell)
    pass_time(cell, 1.0)
    assert is_running(cell, URGENT_JOB)


def test_gang_on_reserved_room_resumes_from_its_checkpoint():
    cell = make_cell()
    accept(cell, 1, URGENT_GANG, "urgent")
    cell.plan_and_execute()
    job_id = accept(cell, 2, evolve(SMALL_GANG, is_checkpointing=True))  # type: ignore[type-var]
    pass_time(cell, 3.0)
    for runs in cell.running.values():
        for key in runs:
            runs[key] = "saved"
    cell.poll_all()
    end_first_runs(cell)
    pass_time(cell, 1.0)
    cell.end_all_runs()
    pass_time(cell, 1.0)
    restarts = [item for item in cell.starts if item.task.step.job_id == job_id][2:]
    assert [item.checkpoint for item in restarts] == ["saved", "saved"]


def test_tasks_with_a_disruption_budget_are_not_stopped_for_a_reserving_gang():
    cell = make_cell()
    accept(cell, 1, URGENT_GANG, "urgent")
    cell.plan_and_execute()
    step = make_step(2, 200, is_lasting=True, disruption_budget=1)
    job_id = accept(cell, 2, step)
    pass_time(cell, 3.0)
    assert is_running(cell, job_id)
    end_first_runs(cell)
    pass_time(cell, 3.0)
    assert not cell.stops
    assert is_running(cell, job_id)


def test_late_gang_still_gets_the_room_that_was_reserved_for_it():
    cell = make_cell()
    accept(cell, 1, URGENT_GANG, "late")
    pass_time(cell, 30.0)
    job_id = accept(cell, 2, LASTING)
    pass_time(cell, 3.0)
    assert is_running(cell, job_id)
    end_first_runs(cell)
    pass_time(cell, 1.0)
    assert is_running(cell, URGENT_JOB)


@pytest.mark.parametrize("is_earlier", [False, True])
def test_owner_stops_inherited_lasting_runs_only_of_jobs_accepted_after_the_gang(
    is_earlier: bool,
):
    cell = make_cell()
    lasting = accept(cell, 10, LASTING)
    cell.plan_and_execute()
    accepted_s = 5.0 if is_earlier else 50.0
    gang = evolve(make_record(1, URGENT_GANG, queue="urgent"), accepted_s=accepted_s)
    cell.scheduler.accept(gang, accepted_s)
    taker = take_over(cell, {make_record(0).job_id})
    pass_time(taker, 2.0)
    assert is_running(taker, URGENT_JOB) is is_earlier
    assert is_running(taker, lasting) is not is_earlier


@pytest.mark.parametrize("is_lasting", [False, True])
def test_task_that_may_have_crashed_a_worker_is_not_held_for_a_far_reservation(
    is_lasting: bool,
):
    cell = make_cell()
    accept(cell, 1, URGENT_GANG, "urgent")
    cell.plan_and_execute()
    step = make_step(1, 200, estimated_s=200.0, is_lasting=is_lasting)
    job_id = accept(cell, 2, step)
    (task,) = cell.scheduler.jobs[job_id].tasks()
    task.crashes = CrashHistory().with_crash(1, "10.0.0.99:80", True)
    task.step.has_suspects = True
    pass_time(cell, MAX_IDLE_S - 0.5)
    assert is_running(cell, job_id)


@pytest.mark.parametrize("has_run", [False, True])
def test_owner_stops_no_inherited_lasting_run_for_a_gang_that_has_run_before(
    has_run: bool,
):
    cell = make_cell()
    lasting = accept(cell, 10, LASTING)
    cell.plan_and_execute()
    gang = evolve(make_record(1, URGENT_GANG, queue="urgent"), accepted_s=5.0)
    cell.scheduler.accept(gang, 5.0)
    taker = take_over(cell, {make_record(0).job_id})
    if has_run:
        for task in taker.scheduler.jobs[gang.job_id].tasks():
            task.last_run = 1
    pass_time(taker, 2.0)
    assert is_running(taker, lasting) is has_run


def test_work_runs_beside_a_reservation_that_waits_for_tickets():
    cell = Cell(1, make_configuration(evolve(URGENT, advice=ADVICE), BATCH))
    cell.progress_percent = 0
    cell.adopt_workers()
    accept(cell, 1, make_step(1, 4000), "urgent")
    cell.plan_and_execute()
    job_id = accept(cell, 2, LASTING)
    cell.plan_and_execute()
    assert not is_running(cell, job_id)
    pass_time(cell, MAX_IDLE_S - 0.5)
    assert is_running(cell, job_id)
    cell.answer_advice()
    pass_time(cell, 1.0)
    assert is_running(cell, URGENT_JOB)


def test_lasting_task_runs_again_in_time_beside_the_reservation_of_an_overdue_one():
    cell = Cell(1, make_configuration(URGENT, BATCH))
    cell.progress_percent = 0
    cell.adopt_workers()
    large = accept(cell, 1, make_step(1, 3500, is_lasting=True))
    cell.plan_and_execute()
    accept(cell, 3, make_step(1, 2500, estimated_s=LONG_S), "urgent")
    cell.end_run(*find_run(cell, large), EndKind.FAILED)
    pass_time(cell, 1.0)
    small = accept(cell, 2, make_step(1, 600, is_lasting=True))
    pass_time(cell, 3.0)
    assert not is_running(cell, large)
    cell.end_run(*find_run(cell, small), EndKind.FAILED)
    cell.poll_all()
    cell.plan_and_execute()
    assert not is_running(cell, small)
    pass_time(cell, MAX_LASTING_IDLE_S)
    assert is_running(cell, small)
