"""Tests what the log tells of steps whose tasks wait for long."""

from __future__ import annotations

from fuchsiadale.decision.workflow.waiting_report import (
    MAX_REPORTS_PER_PLAN,
    REPORT_AFTER_S,
    REPORT_INTERVAL_S,
)
from tests.workflow_builders import (
    ADVICE,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)


def pop_reports(cell: Cell) -> list[dict[str, object]]:
    """Return the inputs of the reports on waiting steps that were made since."""
    decisions, _ = cell.scheduler.decisions.pop_all()
    return [item.inputs for item in decisions if item.kind == "step_waits"]


def plan_twice(cell: Cell, apart_s: float = REPORT_AFTER_S) -> None:
    """Plan, and plan once more after some time in which every worker is polled."""
    cell.plan_and_execute()
    cell.clock.advance(apart_s)
    cell.poll_all()
    cell.plan_and_execute()


def test_report_names_each_permitted_worker_with_what_keeps_a_task_from_it():
    configuration = make_configuration(make_queue(advice=ADVICE))
    cell = Cell(4, configuration)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4, 4000)), 0.0)
    cell.plan_and_execute()
    cell.answer_advice(["worker-0", "worker-1", "worker-2"])
    cell.scheduler.workers["worker-1"].quarantined_until_s = 1e9
    cell.scheduler.mark_worker_unresponsive("worker-2")
    cell.plan_and_execute()
    assert len(cell.starts) == 1
    cell.plan_and_execute()
    cell.clock.advance(REPORT_AFTER_S)
    cell.plan_and_execute()
    (report,) = pop_reports(cell)
    assert report["waiting"] == 3
    assert report["workers"] == {"room": 1, "quarantined": 1, "silent": 1, "denied": 1}
    assert report["permitted"] == {
        "worker-0": "room, free 0/3900/4, 1 runs",
        "worker-1": "quarantined, free 4000/4000/4, 0 runs",
        "worker-2": "silent, free 4000/4000/4, 0 runs",
    }


def test_reports_are_few_and_spread_over_the_steps():
    cell = Cell(1)
    cell.adopt_workers()
    for number in range(MAX_REPORTS_PER_PLAN + 2):
        cell.scheduler.accept(make_record(number, make_step(1, 4000)), 0.0)
    plan_twice(cell)
    first = pop_reports(cell)
    assert len(first) == MAX_REPORTS_PER_PLAN
    cell.plan_and_execute()
    second = pop_reports(cell)
    assert not {str(item["step"]) for item in first} & {
        str(item["step"]) for item in second
    }
    cell.plan_and_execute()
    assert pop_reports(cell) == []
    cell.clock.advance(REPORT_INTERVAL_S)
    cell.plan_and_execute()
    assert len(pop_reports(cell)) == MAX_REPORTS_PER_PLAN


def test_workspace_at_its_limit_is_told_from_a_lack_of_room():
    step = make_step(2, 1000)
    limit = step.request.times(1)  # type: ignore[attr-defined]
    cell = Cell(1, make_configuration(limit=limit))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, step), 0.0)
    cell.plan_and_execute()
    plan_twice(cell)
    (report,) = pop_reports(cell)
    assert report["outcome"] == "cannot_be_placed"
    assert report["is_within_limit"] is False
    assert report["workers"] == {"order": 1}


def test_report_names_the_step_that_holds_the_room_and_when_it_starts():
    queues = make_queue("urgent", priority=0), make_queue("batch", priority=2)
    cell = Cell(1, make_configuration(*queues))
    cell.progress_percent = 0
    cell.adopt_workers()
    running = make_step(1, 2500, estimated_s=60.0)
    cell.scheduler.accept(make_record(0, running, queue="urgent"), 0.0)
    cell.plan_and_execute()
    large = make_step(1, 4000)
    cell.scheduler.accept(make_record(1, large, queue="urgent"), 0.0)
    lasting = make_step(1, 1000, is_lasting=True)
    cell.scheduler.accept(make_record(2, lasting, queue="batch"), 0.0)
    plan_twice(cell)
    report = pop_reports(cell)[-1]
    assert report["held_for"] == {f"{make_record(1).job_id}.0.0": 57.999}
    assert report["passes_reservations"] is False
