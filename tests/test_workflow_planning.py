"""Tests of the planner: starts, preemptions and advice calls."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.advice_planning import MAX_EARLY_ADVICE_STEPS
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import EndKind
from fuchsiadale.decision.workflow.scheduler import COMPLETED_RUN_GRACE_S
from tests.workflow_builders import (
    ADVICE,
    LANES,
    STARTED_MS,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

URGENT = make_queue("urgent", priority=0)
BATCH = make_queue("batch", priority=2, stretch=10.0)


def make_cell(*queues: object, workers: int = 1, **changes: object) -> Cell:
    configuration = make_configuration(*queues, **changes)  # type: ignore[arg-type]
    cell = Cell(workers, configuration)
    cell.adopt_workers()
    return cell


def test_steps_run_in_order_and_the_job_completes():
    cell = make_cell()
    cell.scheduler.accept(make_record(0, make_step(2), make_step(1, after=(0,))), 0.0)
    cell.plan_and_execute()
    assert [str(order.task) for order in cell.starts] == [
        f"{make_record().job_id}.0.0.0",
        f"{make_record().job_id}.0.0.1",
    ]
    cell.end_all_runs()
    cell.plan_and_execute()
    assert len(cell.starts) == 3
    cell.end_all_runs()
    job = cell.scheduler.jobs[make_record().job_id]
    assert job.state is JobState.COMPLETED
    assert job.reported_state is JobState.RUNNING
    job.recorded_state = JobState.COMPLETED
    assert job.reported_state is JobState.COMPLETED


def test_urgent_work_preempts_checkpointing_work_which_resumes_later():
    cell = make_cell(URGENT, BATCH)
    step = make_step(4, is_checkpointing=True)
    cell.scheduler.accept(make_record(0, step, queue="batch"), 0.0)
    cell.plan_and_execute()
    for key in cell.running["worker-0"]:
        cell.running["worker-0"][key] = "saved"
    cell.clock.advance(1.0)
    cell.poll_all()
    cell.scheduler.accept(make_record(1, make_step(2), queue="urgent"), 0.0)
    cell.plan_and_execute()
    assert len(cell.stops) == 2
    cell.poll_all()
    cell.plan_and_execute()
    urgent = [order for order in cell.starts if order.task.step.job_id.endswith("1")]
    assert len(urgent) == 2
    for task, run in list(cell.running["worker-0"]):
        if task.step.job_id.endswith("1"):
            cell.end_run("worker-0", task, run)
    cell.poll_all()
    cell.plan_and_execute()
    assert [order.checkpoint for order in cell.starts[-2:]] == ["saved", "saved"]
    assert [order.run for order in cell.starts[-2:]] == [2, 2]


def test_preemption_in_progress_is_not_repeated_and_its_room_not_reused():
    cell = make_cell(URGENT, BATCH)
    step = make_step(4, is_checkpointing=True)
    cell.scheduler.accept(make_record(0, step, queue="batch"), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    cell.scheduler.accept(make_record(1, make_step(1), queue="urgent"), 0.0)
    first = cell.plan()
    assert len(first) == 1
    assert cell.plan() == []


@pytest.mark.parametrize(
    "changes",
    [{}, {"is_checkpointing": True, "is_lasting": True}],
    ids=["no checkpoints", "lasting"],
)
def test_work_that_is_lasting_or_without_checkpoints_is_not_preempted(
    changes: dict[str, object],
):
    cell = make_cell(URGENT, BATCH)
    cell.scheduler.accept(make_record(0, make_step(4, **changes), queue="batch"), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    cell.scheduler.accept(make_record(1, make_step(1), queue="urgent"), 0.0)
    cell.plan_and_execute()
    assert cell.stops == []


def test_feasible_job_is_served_before_an_infeasible_one():
    cell = make_cell(make_queue(slack_s=0.0, stretch=2.0))
    cell.scheduler.accept(make_record(0, make_step(4, estimated_s=1.0)), 0.0)
    cell.clock.advance(7.5)
    cell.scheduler.accept(make_record(1, make_step(4, estimated_s=1.0)), 0.0)
    cell.plan_and_execute()
    assert {order.task.step.job_id for order in cell.starts} == {make_record(1).job_id}


def test_gang_starts_all_tasks_with_one_run_number_and_ends_as_a_whole():
    cell = make_cell(workers=2)
    gang = make_step(3, 2000, is_gang=True)
    cell.scheduler.accept(make_record(0, gang), 0.0)
    cell.plan_and_execute()
    assert [order.run for order in cell.starts] == [1, 1, 1]
    order = cell.starts[0]
    cell.end_run(order.worker_id, order.task, order.run)
    cell.poll(order.worker_id)
    job = cell.scheduler.jobs[make_record().job_id]
    assert job.state is JobState.COMPLETED


def test_no_stop_is_sent_to_members_of_a_gang_that_has_ended():
    cell = Cell(2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4, 2000, is_gang=True)), 0.0)
    cell.plan_and_execute()
    for worker_id, runs in cell.running.items():
        for task, run in list(runs):
            cell.end_run(worker_id, task, run)
    cell.poll("worker-0")
    assert cell.scheduler.jobs[make_record(0).job_id].state is JobState.COMPLETED
    assert cell.stops == []
    cell.poll("worker-1")
    assert not cell.scheduler.workers["worker-1"].runs


def test_run_that_is_still_reported_long_after_its_gang_has_ended_is_stopped():
    cell = Cell(2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4, 2000, is_gang=True)), 0.0)
    cell.plan_and_execute()
    for task, run in list(cell.running["worker-0"]):
        cell.end_run("worker-0", task, run)
    cell.poll_all()
    cell.clock.advance(COMPLETED_RUN_GRACE_S - 0.5)
    cell.execute(cell.scheduler.check_timeouts())
    assert cell.stops == []
    cell.clock.advance(1.0)
    cell.execute(cell.scheduler.check_timeouts())
    assert {order.worker_id for order in cell.stops} == {"worker-1"}


def test_gang_with_a_failed_member_restarts_whole_with_a_higher_run_number():
    cell = make_cell(workers=2)
    cell.scheduler.accept(make_record(0, make_step(3, 2000, is_gang=True)), 0.0)
    cell.plan_and_execute()
    order = cell.starts[0]
    cell.end_run(order.worker_id, order.task, order.run, EndKind.FAILED)
    cell.poll(order.worker_id)
    assert len(cell.stops) == 2
    cell.plan_and_execute()
    assert len(cell.starts) == 3
    cell.poll_all()
    cell.plan_and_execute()
    assert [order.run for order in cell.starts[3:]] == [2, 2, 2]


def test_gang_preempts_nothing_when_not_all_its_tasks_would_fit():
    cell = make_cell(URGENT, BATCH, workers=2)
    kept = make_step(4, 1000)
    saved = make_step(4, 1000, is_checkpointing=True)
    cell.scheduler.accept(make_record(0, kept, queue="batch"), 0.0)
    cell.plan_and_execute()
    cell.scheduler.accept(make_record(1, saved, queue="batch"), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    gang = make_step(2, 4000, is_gang=True)
    cell.scheduler.accept(make_record(2, gang, queue="urgent"), 0.0)
    cell.plan_and_execute()
    assert cell.stops == []


def test_workspace_never_runs_more_than_its_limit():
    cell = make_cell(workers=3, limit=Resources(5000, 1 << 30, 1 << 30))
    cell.scheduler.accept(make_record(0, make_step(9)), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 5


def test_step_runs_at_most_max_per_worker_tasks_on_each_worker():
    cell = make_cell(workers=3)
    cell.scheduler.accept(make_record(0, make_step(6, 100, max_per_worker=1)), 0.0)
    cell.plan_and_execute()
    assert len({order.worker_id for order in cell.starts}) == 3
    assert len(cell.starts) == 3


def test_failed_task_retries_on_another_worker_and_fails_its_job_at_max_attempts():
    cell = make_cell(make_queue(max_attempts=2), workers=2)
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    cell.end_all_runs(EndKind.FAILED)
    cell.plan_and_execute()
    assert len({order.worker_id for order in cell.starts}) == 2
    cell.end_all_runs(EndKind.FAILED)
    cell.plan_and_execute()
    assert len(cell.starts) == 2
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.FAILED


def test_tasks_start_only_on_workers_with_a_valid_ticket():
    cell = make_cell(make_queue(advice=ADVICE), workers=3)
    cell.scheduler.accept(make_record(0, make_step(6, 2000)), 0.0)
    cell.plan_and_execute()
    assert cell.starts == []
    cell.answer_advice(["worker-1"])
    cell.plan_and_execute()
    assert {order.worker_id for order in cell.starts} == {"worker-1"}
    assert len(cell.starts) == 2
    cell.clock.advance(3.0)
    cell.end_all_runs()
    cell.plan_and_execute()
    assert len(cell.starts) == 2
    assert [order.worker_ids for order in cell.advice_requests] == [("worker-1",)]


def test_ticket_of_a_worker_that_has_restarted_is_not_used():
    cell = make_cell(make_queue(advice=ADVICE), workers=3)
    cell.scheduler.accept(make_record(0, make_step(2, 2000)), 0.0)
    cell.plan_and_execute()
    cell.answer_advice(["worker-1"])
    cell.poll("worker-1", STARTED_MS + 1)
    cell.plan_and_execute()
    assert cell.starts == []
    cell.answer_advice()
    cell.plan_and_execute()
    assert {order.worker_id for order in cell.starts} == {"worker-1"}


def test_expensive_advice_calls_leave_calls_for_cheap_ones():
    expensive = make_queue("dear", advice=ADVICE.__class__(0.5, 0.001, 2.0), priority=1)
    cheap = make_queue("cheap", advice=ADVICE, priority=0)
    cell = make_cell(expensive, cheap, workers=3)
    for number in range(4):
        cell.scheduler.accept(make_record(number, queue="dear"), 0.0)
    cell.plan_and_execute()
    assert len(cell.advice_requests) == 2
    for number in range(4, 6):
        cell.scheduler.accept(make_record(number, queue="cheap"), 0.0)
    cell.plan_and_execute()
    assert len(cell.advice_requests) == 4


def test_cancelled_job_is_stopped_and_shown_as_cancelled():
    cell = make_cell()
    cell.scheduler.accept(make_record(0, make_step(2)), 0.0)
    cell.plan_and_execute()
    cell.scheduler.cancel(make_record().job_id)
    cell.execute(cell.scheduler.pop_orders())
    cell.poll_all()
    assert len(cell.stops) == 2
    assert cell.scheduler.workers["worker-0"].runs == {}
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.CANCELLED


def test_lasting_task_restarts_after_every_kind_of_end():
    cell = make_cell(make_queue(max_attempts=1))
    cell.scheduler.accept(make_record(0, make_step(1, is_lasting=True)), 0.0)
    for kind in (EndKind.FAILED, EndKind.DONE, EndKind.STOPPED):
        cell.plan_and_execute()
        cell.end_all_runs(kind)
    cell.plan_and_execute()
    assert len(cell.starts) == 4


def test_work_without_checkpoints_leaves_headroom_for_urgent_work():
    cell = make_cell(URGENT, BATCH, workers=2)
    cell.scheduler.accept(make_record(0, make_step(8, 1000), queue="batch"), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 6
    cell.scheduler.accept(make_record(1, make_step(2, 1000), queue="urgent"), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 8


def test_task_that_needs_a_whole_worker_starts_despite_the_headroom():
    cell = make_cell(URGENT, BATCH, workers=1)
    cell.scheduler.accept(make_record(0, make_step(1, 4000), queue="batch"), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 1


def test_slow_worker_is_used_last():
    cell = make_cell(workers=2)
    for _ in range(10):
        cell.scheduler.workers["worker-0"].note_duration(3.0, 1.0)
    cell.scheduler.accept(make_record(0, make_step(5, 1000)), 0.0)
    cell.plan_and_execute()
    assert [order.worker_id for order in cell.starts] == ["worker-1"] * 4 + ["worker-0"]


def test_task_that_needs_a_whole_worker_is_not_starved_by_small_tasks():
    cell = make_cell(make_queue("large", priority=1, stretch=20.0), BATCH, workers=1)
    cell.scheduler.accept(make_record(0, make_step(4, 900), queue="batch"), 0.0)
    cell.plan_and_execute()
    cell.scheduler.accept(make_record(1, make_step(1, 4000), queue="large"), 0.0)
    cell.scheduler.accept(make_record(2, make_step(4, 900), queue="batch"), 0.0)
    started = len(cell.starts)
    for task, run in list(cell.running["worker-0"]):
        cell.end_run("worker-0", task, run)
        cell.poll("worker-0")
        cell.plan_and_execute()
    assert [order.task.step.job_id for order in cell.starts[started:]] == [
        make_record(1).job_id
    ]


def test_first_waiting_steps_get_and_renew_tickets_before_there_is_room():
    queue = make_queue(advice=ADVICE.__class__(0.5, 0.0, 2.0), stretch=30.0)
    cell = make_cell(queue)
    cell.scheduler.accept(make_record(0, make_step(1, 4000)), 0.0)
    cell.plan_and_execute()
    cell.answer_advice()
    cell.plan_and_execute()
    assert len(cell.starts) == 1
    last = MAX_EARLY_ADVICE_STEPS + 1
    for number in range(1, last + 1):
        cell.scheduler.accept(make_record(number, make_step(1, 4000)), 0.0)
    asked = request_all_tickets(cell)
    assert asked == [make_record(number).job_id for number in range(1, last)]
    cell.clock.advance(1.0)
    cell.poll_all()
    assert request_all_tickets(cell) == []
    cell.clock.advance(0.3)
    assert request_all_tickets(cell) == asked
    cell.clock.advance(0.4)
    cell.plan_and_execute()
    assert [order.step.job_id for order in cell.advice_requests] == [
        make_record(last).job_id
    ]


def request_all_tickets(cell: Cell) -> list[str]:
    """Plan and grant all requests until none are left; return the ids of their jobs."""
    jobs: list[str] = []
    while True:
        cell.plan_and_execute()
        if not cell.advice_requests:
            return jobs
        jobs += [order.step.job_id for order in cell.advice_requests]
        cell.answer_advice()


def test_requests_before_there_is_room_use_at_most_half_the_advice_calls():
    queue = make_queue(advice=ADVICE.__class__(0.5, 0.0, 2.0), stretch=30.0)
    cell = make_cell(queue)
    cell.scheduler.accept(make_record(0, make_step(1, 4000)), 0.0)
    cell.plan_and_execute()
    cell.answer_advice()
    cell.plan_and_execute()
    for number in range(1, 4):
        cell.scheduler.accept(make_record(number, make_step(1, 4000)), 0.0)
    cell.plan_and_execute()
    assert len(cell.advice_requests) == LANES // 2


def test_worker_reserved_for_a_large_task_still_takes_equally_urgent_tasks():
    cell = make_cell(make_queue("large", priority=1, stretch=20.0), workers=1)
    cell.scheduler.accept(make_record(0, make_step(1, 2500), queue="large"), 0.0)
    cell.plan_and_execute()
    cell.scheduler.accept(make_record(1, make_step(1, 4000), queue="large"), 0.0)
    cell.scheduler.accept(make_record(2, make_step(1, 900), queue="large"), 0.0)
    cell.plan_and_execute()
    assert [order.task.step.job_id for order in cell.starts] == [
        make_record(0).job_id,
        make_record(2).job_id,
    ]


def test_headroom_on_a_half_free_pool_does_not_keep_a_job_from_its_only_worker():
    cell = make_cell(URGENT, make_queue("batch", priority=2, advice=ADVICE), workers=3)
    cell.scheduler.accept(make_record(0, make_step(1, 2000), queue="urgent"), 0.0)
    cell.plan_and_execute()
    worker_id = cell.starts[0].worker_id
    step = make_step(2, 1500)
    cell.scheduler.accept(make_record(1, step, queue="batch"), 0.0)
    cell.plan_and_execute()
    cell.answer_advice([worker_id])
    cell.plan_and_execute()
    assert [order.worker_id for order in cell.starts] == [worker_id, worker_id]
