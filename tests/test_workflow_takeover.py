"""What a new owner may start, and what it must wait for."""

from __future__ import annotations

from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import WorkerState
from fuchsiadale.decision.workflow.names import TaskName
from tests.workflow_builders import (
    BORN_MS,
    Cell,
    make_entry,
    make_record,
    make_step,
)

LAPSE_S = 15.0


def take_over(cell: Cell, runs: dict[str, list[tuple[TaskName, int]]]) -> None:
    """Begin as the second owner of recorded workers."""
    cell.scheduler.update_registrations(cell.entries)
    for entry in cell.entries:
        worker_id = entry.worker_id
        cell.running.setdefault(worker_id, {})
        lapse_s = cell.clock.now() + LAPSE_S
        cell.scheduler.restore_runs(worker_id, runs.get(worker_id, []), lapse_s)
    cell.clock.advance(0.01)


def task_of(cell: Cell, number: int) -> TaskName:
    return cell.scheduler.jobs[make_record(number).job_id].tasks()[0].name


def test_work_that_was_never_started_does_not_wait_for_a_silent_worker():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    take_over(cell, {})
    cell.look("worker-0")
    cell.run_plan()
    assert [order.run for order in cell.starts] == [10_001]


def test_run_found_on_a_worker_is_kept_and_not_started_again():
    former = Cell(workers=2)
    former.adopt()
    former.scheduler.accept(make_record(), 0.0)
    former.run_plan()
    cell = Cell(workers=2, epoch=2)
    cell.running = former.running
    cell.scheduler.recover(make_record(), None, 0.0)
    start = former.starts[0]
    take_over(cell, {start.worker_id: [(start.task, start.run)]})
    cell.look_at_all()
    cell.run_plan()
    assert cell.starts == []
    cell.end_all()
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.COMPLETED


def test_run_recorded_on_a_worker_that_does_not_list_it_is_started_again():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    take_over(cell, {"worker-0": [(task_of(cell, 0), 1)]})
    cell.look_at_all()
    cell.run_plan()
    assert len(cell.starts) == 1


def test_silent_worker_holds_back_only_what_is_recorded_there():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(0), None, 0.0)
    cell.scheduler.recover(make_record(1), None, 0.0)
    held = task_of(cell, 0)
    take_over(cell, {"worker-1": [(held, 3)]})
    cell.scheduler.mark_worker_unresponsive("worker-1")
    cell.look("worker-0")
    cell.run_plan()
    assert [order.task for order in cell.starts] == [task_of(cell, 1)]
    cell.clock.advance(LAPSE_S + 0.1)
    cell.scheduler.check_timeouts()
    cell.run_plan()
    assert cell.starts[-1].task == held
    assert cell.starts[-1].run > 3


def test_start_is_sent_only_once_it_is_recorded():
    cell = Cell(workers=1)
    cell.adopt()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    worker = cell.scheduler.workers["worker-0"]
    assert worker.needs_record
    assert not cell.scheduler.may_send(start)
    worker.note_recorded(worker.runs)
    assert cell.scheduler.may_send(start)


def test_start_of_a_cancelled_job_is_not_sent():
    cell = Cell(workers=1)
    cell.adopt()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    cell.scheduler.cancel(make_record().job_id)
    assert not cell.scheduler.is_wanted(start)


def test_worker_that_has_left_is_forgotten_in_the_record_too():
    cell = Cell(workers=2)
    cell.adopt()
    cell.scheduler.mark_worker_unresponsive("worker-1")
    cell.scheduler.update_registrations(cell.entries[:1])
    assert cell.scheduler.remove_gone_workers() == ["worker-1"]
    assert cell.scheduler.retired_workers == {"worker-1"}


def test_runs_of_a_silent_worker_are_started_again_only_after_its_lease():
    cell = Cell(workers=2)
    cell.adopt()
    cell.scheduler.accept(make_record(0, make_step(4, 2000)), 0.0)
    cell.run_plan()
    assert len(cell.starts) == 4
    for task, run in list(cell.running["worker-1"]):
        cell.end("worker-1", task, run)
    cell.scheduler.extend_lease("worker-0", cell.clock.now() + 6.0)
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.clock.advance(5.9)
    cell.scheduler.check_timeouts()
    cell.look("worker-1")
    cell.run_plan()
    assert len(cell.starts) == 4
    cell.clock.advance(0.2)
    cell.scheduler.check_timeouts()
    cell.run_plan()
    assert len(cell.starts) == 6
    assert {order.worker_id for order in cell.starts[4:]} == {"worker-1"}


def test_start_that_reached_a_new_life_of_a_worker_is_not_sent_elsewhere():
    cell = Cell(workers=1)
    cell.adopt()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    cell.look("worker-0", born_ms=BORN_MS + 1)
    assert cell.plan() == []
    cell.obey([start])
    cell.look("worker-0", born_ms=BORN_MS + 1)
    assert len(cell.scheduler.workers["worker-0"].runs) == 1


def test_run_of_a_job_cancelled_meanwhile_is_stopped_by_the_new_owner():
    cell = Cell(workers=1, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    name = task_of(cell, 0)
    cell.scheduler.cancel(make_record().job_id)
    take_over(cell, {"worker-0": [(name, 1)]})
    assert [order.task for order in cell.scheduler.take_orders()] == [name]


def test_runs_move_before_a_draining_worker_leaves_and_nothing_new_starts_there():
    cell = Cell(workers=2)
    cell.adopt()
    cell.scheduler.accept(make_record(0, make_step(4)), 0.0)
    cell.run_plan()
    busy = cell.starts[0].worker_id
    index = int(busy[-1])
    draining = make_entry(index, state=WorkerState.DRAINING, remaining_s=2.0)
    entries = [make_entry(1 - index), draining]
    cell.scheduler.update_registrations(entries)
    cell.scheduler.accept(make_record(1, make_step(1)), 0.0)
    cell.run_plan()
    assert cell.starts[-1].worker_id != busy
    cell.obey(cell.scheduler.check_timeouts())
    assert cell.stops == []
    cell.clock.advance(1.5)
    cell.scheduler.update_registrations(entries)
    cell.obey(cell.scheduler.check_timeouts())
    assert len(cell.stops) == 4
    cell.look(busy)
    cell.run_plan()
    assert {order.worker_id for order in cell.starts[5:]} == {f"worker-{1 - index}"}
