"""Tests that nothing starts in a failure domain that the operator wants kept free."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.domain_drains import (
    DomainDrains,
    DrainEventKind,
    DrainReading,
    DrainRow,
    DrainRowState,
)
from fuchsiadale.decision.workflow.messages import StartRun
from fuchsiadale.decision.workflow.waiting_report import REPORT_AFTER_S
from tests.workflow_builders import Cell, make_entry, make_record, make_step

MAX_AGE_S = 4.0
REQUESTED, REMOVED = DrainRowState.REQUESTED, DrainRowState.REMOVED
UNREADABLE = DrainRowState.UNREADABLE


def make_cell(*zones: str) -> Cell:
    """Return a cell with one worker in each zone, in which nothing is drained."""
    cell = Cell(0)
    cell.entries = [make_entry(index, zone=zone) for index, zone in enumerate(zones)]
    cell.scheduler.drains = DomainDrains(cell.clock, MAX_AGE_S)
    read(cell, position=1, is_whole=True)
    cell.adopt_workers()
    return cell


def read(
    cell: Cell,
    *rows: tuple[str, int, DrainRowState],
    position: int = 0,
    is_whole: bool = False,
) -> list[DrainEventKind]:
    """Let the cell read rows; the position is by default that of the newest row."""
    position = position or max(version for _, version, _ in rows)
    reading = DrainReading(tuple(DrainRow(*row) for row in rows), position, is_whole)
    events = cell.scheduler.drains.process(reading, cell.clock.now())
    return [event.kind for event in events]


def submit(cell: Cell, number: int, *steps: object) -> list[str]:
    """Submit a job, plan, and return the workers that got starts."""
    cell.starts.clear()
    cell.scheduler.accept(make_record(number, *steps), 0.0)
    cell.plan_and_execute()
    return sorted(start.worker_id for start in cell.starts)


def pop_kinds(cell: Cell) -> list[str]:
    decisions, _ = cell.scheduler.decisions.pop_all()
    return [decision.kind for decision in decisions]


def test_nothing_starts_in_a_drained_domain_until_the_request_is_removed():
    cell = make_cell("a", "b")
    assert submit(cell, 0, make_step(2, 4000)) == ["worker-0", "worker-1"]
    assert read(cell, ("a", 2, REQUESTED)) == [DrainEventKind.REQUESTED]
    cell.end_all_runs()
    assert submit(cell, 1, make_step(2, 4000)) == ["worker-1"]
    cell.plan_and_execute()
    assert [start.worker_id for start in cell.starts] == ["worker-1"]
    assert read(cell, ("a", 3, REMOVED)) == [DrainEventKind.LIFTED]
    cell.plan_and_execute()
    assert [start.worker_id for start in cell.starts] == ["worker-1", "worker-0"]


def test_what_runs_in_a_drained_domain_is_left_to_end():
    cell = make_cell("a", "b")
    lasting = make_step(2, 1000, is_lasting=True, max_per_worker=1)
    submit(cell, 0, lasting)
    submit(cell, 1, make_step(2, 2000, is_checkpointing=True))
    read(cell, ("a", 2, REQUESTED))
    for _ in range(20):
        cell.clock.advance(0.5)
        read(cell, position=3)
        cell.poll_all()
        cell.plan_and_execute()
    assert cell.stops == []


def test_start_that_is_not_sent_when_its_domain_is_drained_is_barred():
    cell = make_cell("a")
    cell.scheduler.accept(make_record(), 0.0)
    (order,) = cell.plan()
    assert isinstance(order, StartRun)
    assert not cell.scheduler.is_start_barred(order)
    read(cell, ("a", 2, REQUESTED))
    assert cell.scheduler.is_start_barred(order)


def test_gang_starts_whole_outside_of_the_drained_domain():
    cell = make_cell("a", "b", "b")
    read(cell, ("a", 2, REQUESTED))
    gang = make_step(2, 4000, is_gang=True)
    assert submit(cell, 0, gang) == ["worker-1", "worker-2"]
    cell.end_all_runs()
    assert submit(cell, 1, make_step(3, 4000, is_gang=True)) == []
    read(cell, ("a", 3, REMOVED))
    cell.plan_and_execute()
    assert len(cell.starts) == 3


def test_domains_are_drained_independently_and_again():
    cell = make_cell("a", "b")
    read(cell, ("a", 2, REQUESTED), ("b", 3, REQUESTED))
    assert submit(cell, 0, make_step(2, 4000)) == []
    read(cell, ("b", 4, REMOVED))
    cell.plan_and_execute()
    assert [start.worker_id for start in cell.starts] == ["worker-1"]
    read(cell, ("a", 5, REMOVED), ("a", 6, REQUESTED))
    cell.plan_and_execute()
    assert len(cell.starts) == 1
    assert cell.scheduler.drains.domains == {"a"}


def test_nothing_starts_while_requests_may_be_unknown_for_too_long():
    cell = make_cell("a")
    cell.clock.advance(MAX_AGE_S + 0.01)
    assert submit(cell, 0) == []
    read(cell, position=1)
    cell.plan_and_execute()
    assert len(cell.starts) == 1


def test_nothing_starts_before_the_first_reading():
    cell = make_cell("a")
    cell.scheduler.drains = DomainDrains(cell.clock, MAX_AGE_S)
    assert submit(cell, 0) == []


def test_deployment_without_requests_needs_no_reading():
    cell = Cell(1)
    cell.adopt_workers()
    cell.clock.advance(1000.0)
    cell.poll_all()
    assert submit(cell, 0) == ["worker-0"]


@pytest.mark.parametrize(
    ("rows", "position", "is_whole", "expected"),
    [
        ([("a", 9, UNREADABLE)], 9, False, [DrainEventKind.UNREADABLE]),
        ([("a", 9, UNREADABLE)], 9, True, [DrainEventKind.UNREADABLE]),
        ([("a", 4, REMOVED)], 9, False, [DrainEventKind.OUTDATED]),
        ([], 4, True, [DrainEventKind.OUTDATED]),
        ([], 7, True, [DrainEventKind.OUTDATED]),
        ([], 9, False, []),
    ],
    ids=["odd", "odd, all read", "older", "all, older", "all, behind", "no change"],
)
def test_only_a_newer_removal_lifts_a_drain(
    rows: list[tuple[str, int, DrainRowState]],
    position: int,
    is_whole: bool,
    expected: list[DrainEventKind],
):
    cell = make_cell("a")
    read(cell, ("a", 5, REQUESTED), position=8)
    assert read(cell, *rows, position=position, is_whole=is_whole) == expected
    assert cell.scheduler.drains.domains == {"a"}
    assert read(cell, position=10, is_whole=True) == [DrainEventKind.LIFTED]
    # A store that is behind still has the request.
    assert read(cell, ("a", 5, REQUESTED), is_whole=True) == [DrainEventKind.OUTDATED]
    assert cell.scheduler.drains.domains == frozenset()


def test_reading_that_is_behind_does_not_confirm_that_there_is_no_request():
    cell = make_cell("a")
    read(cell, position=8)
    cell.clock.advance(MAX_AGE_S)
    read(cell, position=7)
    cell.clock.advance(0.01)
    assert cell.scheduler.drains.is_outdated


def test_worker_that_registers_in_a_drained_domain_gets_nothing():
    cell = make_cell("a")
    read(cell, ("b", 2, REQUESTED))
    drains = cell.scheduler.drains
    assert [event.failure_domain for event in drains.find_unknown({"a"})] == ["b"]
    assert drains.find_unknown({"a"}) == []
    cell.entries.append(make_entry(1, zone="b"))
    cell.adopt_workers()
    assert submit(cell, 0, make_step(2, 4000)) == ["worker-0"]


def test_requirement_that_only_the_drained_domain_meets_waits_and_is_reported():
    cell = make_cell("a", "b")
    cell.entries = [make_entry(0, zone="a", labels=("fast", "r")), cell.entries[1]]
    cell.adopt_workers()
    read(cell, ("a", 2, REQUESTED))
    assert submit(cell, 0, make_step(1, 1000, required_label="fast")) == []
    assert submit(cell, 1) == ["worker-1"]
    cell.clock.advance(REPORT_AFTER_S)
    cell.poll_all()
    pop_kinds(cell)
    cell.plan_and_execute()
    decisions, _ = cell.scheduler.decisions.pop_all()
    (report,) = [item for item in decisions if item.kind == "step_waits"]
    assert report.inputs["workers"] == {"domain_drained": 1, "unsuitable": 1}
    (wait,) = [item for item in decisions if item.kind == "step_awaits_drained_domain"]
    assert wait.inputs["failure_domains"] == ["a"]


def test_step_that_waits_for_room_elsewhere_is_not_reported_as_awaiting_the_domain():
    cell = make_cell("a", "b")
    read(cell, ("a", 2, REQUESTED))
    submit(cell, 0, make_step(2, 4000))
    cell.plan_and_execute()
    cell.clock.advance(REPORT_AFTER_S)
    cell.poll_all()
    cell.plan_and_execute()
    kinds = pop_kinds(cell)
    assert "step_waits" in kinds
    assert "step_awaits_drained_domain" not in kinds
