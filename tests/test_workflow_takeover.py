"""What a new owner may start, and what it must wait for."""

from __future__ import annotations

from fuchsiadale.decision.workflow.jobs import JobState
from tests.workflow_builders import BORN_MS, POOL, Cell, make_record, make_step


def take_over(cell: Cell) -> None:
    """Begin as the second owner of two recorded workers."""
    cell.scheduler.observe_workers(cell.entries)
    for entry in cell.entries:
        cell.running.setdefault(entry.worker_id, {})
        cell.scheduler.workers[entry.worker_id].is_recorded = True
    until_s = cell.clock.now() + 15.0
    pools = {entry.worker_id: POOL for entry in cell.entries}
    cell.scheduler.begin_takeover(pools, until_s)


def test_nothing_recovered_starts_before_every_worker_has_answered():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(), None, 0.0)
    take_over(cell)
    cell.look("worker-0")
    cell.run_plan()
    assert cell.starts == []
    cell.look("worker-1")
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
    take_over(cell)
    cell.look_at_all()
    cell.run_plan()
    assert cell.starts == []
    cell.end_all()
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.COMPLETED


def test_worker_recorded_as_silent_holds_back_only_what_ran_there():
    cell = Cell(workers=2, epoch=2)
    cell.scheduler.recover(make_record(0), None, 0.0)
    cell.scheduler.recover(make_record(1), None, 0.0)
    cell.scheduler.observe_workers(cell.entries)
    for entry in cell.entries:
        cell.running[entry.worker_id] = {}
        cell.scheduler.workers[entry.worker_id].is_recorded = True
    held = cell.scheduler.jobs[make_record(0).job_id].tasks()[0].name
    lapse_s = cell.clock.now() + 15.0
    cell.scheduler.restore_closed("worker-1", [(held, 3)], lapse_s)
    cell.scheduler.begin_takeover({"worker-0": POOL}, lapse_s)
    cell.look("worker-0")
    cell.run_plan()
    assert [order.task.step.job_id for order in cell.starts] == [make_record(1).job_id]
    cell.clock.advance(15.1)
    cell.scheduler.check_time()
    cell.run_plan()
    assert cell.starts[-1].task == held
    assert cell.starts[-1].run > 3


def test_worker_that_has_left_is_forgotten_in_the_record_too():
    cell = Cell(workers=2)
    cell.adopt()
    cell.scheduler.note_failure_to_answer("worker-1")
    cell.scheduler.observe_workers(cell.entries[:1])
    assert cell.scheduler.forget_gone_workers() == ["worker-1"]
    assert cell.scheduler.retired_workers == {"worker-1"}


def test_runs_of_a_silent_worker_are_started_again_only_after_its_lease():
    cell = Cell(workers=2)
    cell.adopt()
    cell.scheduler.accept(make_record(0, make_step(4, 2000)), 0.0)
    cell.run_plan()
    assert len(cell.starts) == 4
    for task, run in list(cell.running["worker-1"]):
        cell.end("worker-1", task, run)
    cell.scheduler.note_lease("worker-0", cell.clock.now() + 6.0)
    cell.scheduler.note_failure_to_answer("worker-0")
    cell.clock.advance(5.9)
    cell.scheduler.check_time()
    cell.look("worker-1")
    cell.run_plan()
    assert len(cell.starts) == 4
    cell.clock.advance(0.2)
    cell.scheduler.check_time()
    cell.run_plan()
    assert len(cell.starts) == 6
    assert {order.worker_id for order in cell.starts[4:]} == {"worker-1"}


def test_owner_that_has_not_heard_from_a_worker_does_not_vouch_for_its_runs():
    cell = Cell(workers=1, epoch=2)
    cell.scheduler.observe_workers(cell.entries)
    cell.scheduler.note_failure_to_answer("worker-0")
    assert cell.scheduler.workers["worker-0"].closed_runs is None


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
