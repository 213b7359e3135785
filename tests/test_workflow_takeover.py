"""What a new owner may start, and what it must wait for."""

from __future__ import annotations

from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import WorkerState
from fuchsiadale.decision.workflow.names import TaskName
from tests.workflow_builders import (
    STARTED_MS,
    Cell,
    make_entry,
    make_record,
    make_step,
)

LAPSE_S = 15.0


def take_over(cell: Cell, runs: dict[str, list[tuple[TaskName, int]]]) -> None:
    """Begin as the second owner of recorded workers."""
    cell.scheduler.observe_workers(cell.entries)
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
    cell.poll("worker-0")
    cell.plan_and_execute()
    assert [order.run for order in cell.starts] == [10_001]


def test_run_found_on_a_worker_is_kept_and_not_started_again():
    former = Cell(workers=2)
    former.adopt_workers()
    former.scheduler.accept(make_record(), 0.0)
    former.plan_and_execute()
    cell = Cell(workers=2, epoch=2)
    cell.running = former.running
    cell.scheduler.recover(make_record(), None, 0.0)
    start = former.starts[0]
    take_over(cell, {start.worker_id: [(start.task, start.run)]})
    cell.poll_all()
    cell.plan_and_execute()
    assert cell.starts == []
    cell.end_all_runs()
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.COMPLETED


def test_run_recorded_on_a_worker_that_does_not_list_it_is_started_again():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    take_over(cell, {"worker-0": [(task_of(cell, 0), 1)]})
    cell.poll_all()
    cell.plan_and_execute()
    assert len(cell.starts) == 1


def test_silent_worker_holds_back_only_what_is_recorded_there():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(0), None, 0.0)
    cell.scheduler.recover(make_record(1), None, 0.0)
    held = task_of(cell, 0)
    take_over(cell, {"worker-1": [(held, 3)]})
    cell.scheduler.note_failure_to_answer("worker-1")
    cell.poll("worker-0")
    cell.plan_and_execute()
    assert [order.task for order in cell.starts] == [task_of(cell, 1)]
    cell.clock.advance(LAPSE_S + 0.1)
    cell.scheduler.check_time()
    cell.plan_and_execute()
    assert cell.starts[-1].task == held
    assert cell.starts[-1].run > 3


def test_start_is_sent_only_once_it_is_recorded():
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    worker = cell.scheduler.workers["worker-0"]
    assert worker.is_record_awaited
    assert not cell.scheduler.is_start_recorded(start)
    worker.note_recorded(worker.runs)
    assert cell.scheduler.is_start_recorded(start)


def test_start_of_a_cancelled_job_is_not_sent():
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    cell.scheduler.cancel(make_record().job_id)
    assert not cell.scheduler.is_start_needed(start)


def test_worker_that_has_left_is_forgotten_in_the_record_too():
    cell = Cell(workers=2)
    cell.adopt_workers()
    cell.scheduler.note_failure_to_answer("worker-1")
    cell.scheduler.observe_workers(cell.entries[:1])
    assert cell.scheduler.forget_gone_workers() == ["worker-1"]
    assert cell.scheduler.retired_workers == {"worker-1"}


def test_runs_of_a_silent_worker_are_started_again_only_after_its_lease():
    cell = Cell(workers=2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4, 2000)), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 4
    for task, run in list(cell.running["worker-1"]):
        cell.end_run("worker-1", task, run)
    cell.scheduler.note_lease("worker-0", cell.clock.now() + 6.0)
    cell.scheduler.note_failure_to_answer("worker-0")
    cell.clock.advance(5.9)
    cell.scheduler.check_time()
    cell.poll("worker-1")
    cell.plan_and_execute()
    assert len(cell.starts) == 4
    cell.clock.advance(0.2)
    cell.scheduler.check_time()
    cell.plan_and_execute()
    assert len(cell.starts) == 6
    assert {order.worker_id for order in cell.starts[4:]} == {"worker-1"}


def test_start_that_reached_a_new_life_of_a_worker_is_not_sent_elsewhere():
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    start = cell.plan()[0]
    cell.poll("worker-0", born_ms=STARTED_MS + 1)
    assert cell.plan() == []
    cell.execute([start])
    cell.poll("worker-0", born_ms=STARTED_MS + 1)
    assert len(cell.scheduler.workers["worker-0"].runs) == 1


def test_run_of_a_job_cancelled_meanwhile_is_stopped_by_the_new_owner():
    cell = Cell(workers=1, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    name = task_of(cell, 0)
    cell.scheduler.cancel(make_record().job_id)
    take_over(cell, {"worker-0": [(name, 1)]})
    assert [order.task for order in cell.scheduler.pop_orders()] == [name]


def test_runs_move_before_a_draining_worker_leaves_and_nothing_new_starts_there():
    cell = Cell(workers=2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4)), 0.0)
    cell.plan_and_execute()
    busy = cell.starts[0].worker_id
    index = int(busy[-1])
    draining = make_entry(index, state=WorkerState.DRAINING, remaining_s=2.0)
    entries = [make_entry(1 - index), draining]
    cell.scheduler.observe_workers(entries)
    cell.scheduler.accept(make_record(1, make_step(1)), 0.0)
    cell.plan_and_execute()
    assert cell.starts[-1].worker_id != busy
    cell.execute(cell.scheduler.check_time())
    assert cell.stops == []
    cell.clock.advance(1.5)
    cell.scheduler.observe_workers(entries)
    cell.execute(cell.scheduler.check_time())
    assert len(cell.stops) == 4
    cell.poll(busy)
    cell.plan_and_execute()
    assert {order.worker_id for order in cell.starts[5:]} == {f"worker-{1 - index}"}
