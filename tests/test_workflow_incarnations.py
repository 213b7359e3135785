"""Tests of workers that start again under their ids, perhaps as of another kind."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.messages import StartOutcome, StartRun
from fuchsiadale.decision.workflow.worker_incarnation import MAX_REGISTRATION_AGE_S
from tests.workflow_builders import (
    ADVICE,
    STARTED_MS,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

RESTARTED_MS = STARTED_MS + 5000
WORKER = "worker-0"


def make_cell(**changes: object) -> Cell:
    """Return a cell with one worker of kind `a` and a job that requires the kind."""
    cell = Cell(workers=1)
    cell.adopt_workers()
    cell.register(WORKER, **changes)
    cell.scheduler.accept(make_record(0, make_step(4, required_label="a")), 0.0)
    return cell


def restart(cell: Cell, started_ms: int = RESTARTED_MS) -> None:
    """Let a new incarnation of the worker answer that runs nothing."""
    cell.running[WORKER].clear()
    report = cell.make_report(WORKER, started_ms)
    cell.clock.advance(0.1)
    cell.execute(cell.scheduler.process_report(WORKER, report, cell.clock.now() - 0.01))


@pytest.mark.parametrize("age_s", [0.1, 60.0])
def test_nothing_is_placed_on_an_incarnation_whose_registration_is_not_read(
    age_s: float,
):
    cell = make_cell()
    restart(cell)
    cell.clock.advance(age_s)
    assert cell.plan() == []
    cell.register(WORKER, started_ms=RESTARTED_MS, labels=("b", "r0"))
    assert cell.plan() == []
    cell.register(WORKER, started_ms=RESTARTED_MS, labels=("a", "r0"))
    assert len(cell.plan()) == 4


def test_nothing_is_placed_by_the_registration_of_an_incarnation_to_come():
    cell = make_cell(started_ms=RESTARTED_MS, capacity=Resources(8000, 8000, 8))
    assert cell.plan() == []
    restart(cell)
    assert len(cell.plan()) == 4


def test_registration_without_a_start_counts_once_an_earlier_one_has_expired():
    cell = make_cell(started_ms=0)
    restart(cell)
    cell.clock.advance(MAX_REGISTRATION_AGE_S - 0.01)
    assert cell.plan() == []
    cell.clock.advance(0.02)
    assert len(cell.plan()) == 4


def test_incarnation_that_restarted_after_a_takeover_needs_its_own_registration():
    cell = make_cell()
    former = cell.scheduler.workers[WORKER]
    taker = Cell(workers=1, epoch=2)
    taker.running[WORKER] = {}
    taker.scheduler.restore_workers([former.entry])
    taker.scheduler.restore_runs(WORKER, (), 0.0, former.started_ms)
    taker.scheduler.update_registrations([former.entry])
    taker.scheduler.accept(make_record(0, make_step(4, required_label="a")), 0.0)
    restart(taker)
    assert taker.plan() == []
    taker.register(WORKER, started_ms=RESTARTED_MS)
    assert len(taker.plan()) == 4


def test_start_names_the_incarnation_that_it_was_placed_on():
    cell = make_cell()
    orders = cell.plan()
    restart(cell)
    assert {order.started_ms for order in orders if isinstance(order, StartRun)} == {
        STARTED_MS
    }
    for order in orders:
        cell.scheduler.note_start_outcome(order, StartOutcome.RESTARTED)
    assert not cell.scheduler.workers[WORKER].runs
    assert len(cell.scheduler.active_steps) == 1


def test_ticket_that_was_asked_for_a_former_incarnation_is_not_used():
    cell = make_cell()
    configuration = make_configuration(make_queue(advice=ADVICE), version=2)
    cell.scheduler.apply_configuration(configuration)
    cell.plan_and_execute()
    restart(cell)
    cell.register(WORKER, started_ms=RESTARTED_MS)
    cell.answer_advice()
    cell.plan_and_execute()
    assert cell.starts == []
    cell.answer_advice()
    cell.plan_and_execute()
    assert len(cell.starts) == 4


@pytest.mark.parametrize("labels", [("a", "r0"), ("b", "r0")])
def test_measurements_of_a_worker_end_with_its_kind(labels: tuple[str, str]):
    cell = make_cell()
    worker = cell.scheduler.workers[WORKER]
    worker.note_duration(8.0, 1.0)
    worker.note_failure("job", cell.clock.now())
    measured = worker.failure_score, worker.slowdown
    restart(cell)
    cell.register(WORKER, started_ms=RESTARTED_MS, labels=labels)
    is_same = labels == ("a", "r0")
    expected = measured if is_same else (0.0, 1.0)
    assert (worker.failure_score, worker.slowdown) == expected
