"""Takeover of a cell, lost workers, and starts that are not yet recorded."""

from __future__ import annotations

import pytest
from attrs import evolve

from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import WorkerState
from fuchsiadale.decision.workflow.names import TaskName
from tests.workflow_builders import (
    STARTED_MS,
    Cell,
    make_configuration,
    make_entry,
    make_record,
    make_step,
)

LEASE_LAPSE_S = 15.0
OWN_LEASE_LAPSE_S = 5.0


def restore_workers(cell: Cell, runs: dict[str, list[tuple[TaskName, int]]]) -> None:
    """Recover the workers and their recorded runs as a new owner."""
    cell.scheduler.update_registrations(cell.entries)
    for entry in cell.entries:
        worker_id = entry.worker_id
        cell.running.setdefault(worker_id, {})
        lease_ends_s = cell.clock.now() + LEASE_LAPSE_S
        cell.scheduler.restore_runs(worker_id, runs.get(worker_id, []), lease_ends_s)
    cell.clock.advance(0.01)


def first_task_name(cell: Cell, number: int) -> TaskName:
    return cell.scheduler.jobs[make_record(number).job_id].tasks()[0].name


def list_excess_jobs(cell: Cell) -> list[str]:
    jobs = cell.scheduler.jobs
    return [job_id for job_id, job in jobs.items() if job.exceeds_rate]


def test_new_owner_starts_an_unstarted_job_before_every_worker_has_answered():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    restore_workers(cell, {})
    cell.poll("worker-0")
    cell.plan_and_execute()
    assert [order.run for order in cell.starts] == [10_001]


@pytest.mark.parametrize("interval_s", [0.25, 0.5, 1.0])
def test_new_owner_does_not_take_jobs_within_the_rate_for_a_burst(interval_s: float):
    configuration = make_configuration(weight=1.0)
    records = [
        evolve(make_record(number), accepted_s=interval_s * number)
        for number in range(20)
    ]
    former = Cell(workers=2, configuration=configuration)
    for record in records:
        former.scheduler.accept(record, record.accepted_s)
        former.clock.advance(interval_s)
    cell = Cell(workers=2, configuration=configuration, epoch=2)
    for record in records:
        cell.scheduler.recover(record, None, 20.0)
    assert list_excess_jobs(cell) == list_excess_jobs(former)


def test_job_that_was_accepted_by_a_clock_that_is_ahead_does_not_use_up_the_rate():
    cell = Cell(workers=2, configuration=make_configuration(weight=1.0))
    cell.scheduler.accept(evolve(make_record(0), accepted_s=60.0), 0.0)
    cell.clock.advance(10.0)
    cell.scheduler.accept(evolve(make_record(1), accepted_s=10.0), 10.0)
    cell.scheduler.accept(evolve(make_record(2), accepted_s=-50.0), 10.0)
    assert list_excess_jobs(cell) == []


def test_new_owner_keeps_a_run_that_its_worker_reports():
    former = Cell(workers=2)
    former.adopt_workers()
    former.scheduler.accept(make_record(), 0.0)
    former.plan_and_execute()
    cell = Cell(workers=2, epoch=2)
    cell.running = former.running
    cell.scheduler.recover(make_record(), None, 0.0)
    start = former.starts[0]
    restore_workers(cell, {start.worker_id: [(start.task, start.run)]})
    cell.poll_all()
    cell.plan_and_execute()
    assert cell.starts == []
    cell.end_all_runs()
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.COMPLETED


def test_new_owner_restarts_a_recorded_run_that_its_worker_does_not_report():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    restore_workers(cell, {"worker-0": [(first_task_name(cell, 0), 1)]})
    cell.poll_all()
    cell.plan_and_execute()
    assert len(cell.starts) == 1


@pytest.mark.parametrize("is_complete", [True, False])
def test_worker_that_answered_a_new_owner_is_not_waited_for_by_the_former_lease(
    is_complete: bool,
):
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    task = first_task_name(cell, 0)
    restore_workers(cell, {"worker-0": [(task, 1)]})
    cell.running["worker-0"][task, 1] = ""
    report = cell.make_report("worker-0", is_complete=is_complete)
    cell.execute(cell.scheduler.process_report("worker-0", report, cell.clock.now()))
    cell.scheduler.extend_lease("worker-0", cell.clock.now() + OWN_LEASE_LAPSE_S)
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.poll("worker-1")
    cell.clock.advance(OWN_LEASE_LAPSE_S - 0.1)
    cell.execute(cell.scheduler.check_timeouts())
    cell.plan_and_execute()
    assert cell.starts == []
    cell.clock.advance(0.2)
    cell.execute(cell.scheduler.check_timeouts())
    cell.plan_and_execute()
    assert bool(cell.starts) is is_complete


def test_unresponsive_worker_delays_only_the_runs_recorded_on_it():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(0), None, 0.0)
    cell.scheduler.recover(make_record(1), None, 0.0)
    recorded_task = first_task_name(cell, 0)
    restore_workers(cell, {"worker-1": [(recorded_task, 3)]})
    cell.scheduler.mark_worker_unresponsive("worker-1")
    cell.poll("worker-0")
    cell.plan_and_execute()
    assert [order.task for order in cell.starts] == [first_task_name(cell, 1)]
    cell.clock.advance(LEASE_LAPSE_S + 0.1)
    cell.scheduler.check_timeouts()
    cell.plan_and_execute()
    assert cell.starts[-1].task == recorded_task
    assert cell.starts[-1].run > 3


def test_start_may_be_sent_only_after_its_run_is_recorded():
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    worker = cell.scheduler.workers["worker-0"]
    assert worker.is_record_awaited
    assert not cell.scheduler.is_start_recorded(start)
    worker.note_recorded(worker.runs)
    assert cell.scheduler.is_start_recorded(start)


def test_start_of_a_cancelled_job_is_no_longer_needed():
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    cell.scheduler.cancel(make_record().job_id)
    assert not cell.scheduler.is_start_needed(start)


def test_unlisted_unresponsive_worker_without_runs_is_retired():
    cell = Cell(workers=2)
    cell.adopt_workers()
    cell.scheduler.mark_worker_unresponsive("worker-1")
    cell.scheduler.update_registrations(cell.entries[:1])
    assert cell.scheduler.remove_gone_workers() == ["worker-1"]
    assert cell.scheduler.retired_workers == {"worker-1"}


def test_runs_of_an_unresponsive_worker_restart_only_after_its_lease_lapses():
    cell = Cell(workers=2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4, 2000)), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 4
    for task, run in list(cell.running["worker-1"]):
        cell.end_run("worker-1", task, run)
    cell.scheduler.extend_lease("worker-0", cell.clock.now() + 6.0)
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.clock.advance(5.9)
    cell.scheduler.check_timeouts()
    cell.poll("worker-1")
    cell.plan_and_execute()
    assert len(cell.starts) == 4
    cell.clock.advance(0.2)
    cell.scheduler.check_timeouts()
    cell.plan_and_execute()
    assert len(cell.starts) == 6
    assert {order.worker_id for order in cell.starts[4:]} == {"worker-1"}


def test_start_in_flight_during_a_worker_restart_is_not_planned_again():
    # A start may reach the new incarnation before the owner learns of the restart, so
    # its run must not be dropped and started a second time.
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    cell.poll("worker-0", started_ms=STARTED_MS + 1)
    assert cell.plan() == []
    cell.execute([start])
    cell.poll("worker-0", started_ms=STARTED_MS + 1)
    assert len(cell.scheduler.workers["worker-0"].runs) == 1


def test_new_owner_stops_a_recorded_run_of_a_cancelled_job():
    cell = Cell(workers=1, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    name = first_task_name(cell, 0)
    cell.scheduler.cancel(make_record().job_id)
    restore_workers(cell, {"worker-0": [(name, 1)]})
    assert [order.task for order in cell.scheduler.pop_orders()] == [name]


def test_job_that_is_submitted_again_after_it_expired_is_not_run_twice():
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    cell.end_all_runs()
    job = cell.scheduler.jobs[make_record().job_id]
    job.recorded_state = job.state
    cell.clock.advance(1.0)
    cell.scheduler.expire_jobs(0.5)
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 1


def test_draining_worker_gets_no_new_runs_and_its_runs_move_before_it_leaves():
    cell = Cell(workers=2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4)), 0.0)
    cell.plan_and_execute()
    drained_worker = cell.starts[0].worker_id
    index = int(drained_worker[-1])
    draining = make_entry(index, state=WorkerState.DRAINING, remaining_s=2.0)
    entries = [make_entry(1 - index), draining]
    cell.scheduler.update_registrations(entries)
    cell.scheduler.accept(make_record(1, make_step(1)), 0.0)
    cell.plan_and_execute()
    assert cell.starts[-1].worker_id != drained_worker
    cell.execute(cell.scheduler.check_timeouts())
    assert cell.stops == []
    cell.clock.advance(1.5)
    cell.scheduler.update_registrations(entries)
    cell.execute(cell.scheduler.check_timeouts())
    assert len(cell.stops) == 4
    cell.poll(drained_worker)
    cell.plan_and_execute()
    assert {order.worker_id for order in cell.starts[5:]} == {f"worker-{1 - index}"}


def test_stored_worker_gets_no_task_until_it_is_found_in_the_list_of_registrations():
    """A worker may have left or have begun to drain while the cell had no owner."""
    cell = Cell(2, epoch=2)
    cell.scheduler.restore_workers(cell.entries)
    for entry in cell.entries:
        cell.running[entry.worker_id] = {}
        cell.scheduler.restore_runs(entry.worker_id, (), 0.0)
    cell.poll_all()
    cell.scheduler.accept(make_record(0, make_step(2, 1000)), 0.0)
    cell.plan_and_execute()
    assert cell.starts == []
    draining = evolve(cell.entries[0], state=WorkerState.DRAINING)
    cell.scheduler.update_registrations([draining, cell.entries[1]])
    cell.plan_and_execute()
    assert {order.worker_id for order in cell.starts} == {"worker-1"}
