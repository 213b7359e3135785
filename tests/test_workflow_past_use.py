"""Tests of past use in the order of waiting work, over hours of a manual clock.

The load is that of two workspaces of equal weight on a pool that is full, one of which
has used it for two hours.
"""

from __future__ import annotations

from math import inf

import pytest
from attrs import evolve

from fuchsiadale.decision.past_use import PastUse, UseRecord
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import CellConfiguration, Workspace
from fuchsiadale.decision.workflow.hold_back import HoldBack, PastUseSettings
from tests.workflow_builders import Cell, make_queue, make_record, make_step

HOUR_S = 3600.0
TOTAL = Resources(8000, 8000, 0)
HALF = Resources(4000, 1000, 0)
EQUAL = {"heavy": 1.0, "frugal": 1.0}
SETTINGS = PastUseSettings(half_life_s=HOUR_S, max_hold_s=30.0)


def make_past_use(half_life_s: float = HOUR_S, hours: float = 2.0) -> PastUse:
    """Return past use in which one of two workspaces held half of the resources."""
    past_use = PastUse(half_life_s)
    past_use.advance({}, EQUAL, TOTAL, 0.0)
    past_use.advance({"heavy": HALF}, EQUAL, TOTAL, hours * HOUR_S)
    return past_use


def make_cell(settings: PastUseSettings = SETTINGS, stretch: float = 50.0) -> Cell:
    """Return a cell of one worker with four places that was used for two hours."""
    workspaces = tuple(Workspace(name, (name,), 1000.0) for name in EQUAL)
    queue = make_queue(stretch=stretch)
    cell = Cell(1, CellConfiguration(1, (queue,), workspaces))
    cell.scheduler.hold_back.apply_settings(settings)
    cell.adopt_workers()
    # Its runs are not played, as durations would be learnt from them.
    cell.scheduler.usage.add("heavy", HALF)
    for _ in range(720):
        cell.clock.advance(10.0)
        cell.scheduler.note_use()
    cell.scheduler.usage.remove("heavy", HALF)
    cell.poll_all()
    return cell


def submit(cell: Cell, workspace: str, number: int, step: object | None = None) -> str:
    """Submit a job, by default of one second, and return its id."""
    record = make_record(number, step or make_step())
    cell.scheduler.accept(evolve(record, workspace=workspace), 0.0)
    return record.job_id


def serve_all(cell: Cell, seconds: int) -> list[str]:
    """Let each run take a second; return the workspaces in the order of starts."""
    order = []
    for _ in range(seconds):
        cell.end_all_runs()
        known = len(cell.starts)
        cell.plan_and_execute()
        order += [
            cell.scheduler.jobs[start.task.step.job_id].record.workspace
            for start in cell.starts[known:]
        ]
        cell.clock.advance(1.0)
        cell.scheduler.note_use()
    return order


def submit_bursts(cell: Cell) -> None:
    """Submit eight jobs of the heavy workspace, and then eight of the frugal one."""
    for number in range(8):
        submit(cell, "heavy", 100 + number)
    cell.clock.advance(0.5)
    for number in range(8):
        submit(cell, "frugal", 200 + number)


def test_burst_of_a_frugal_workspace_is_served_before_that_of_a_heavy_one() -> None:
    cell = make_cell()
    submit_bursts(cell)
    assert serve_all(cell, 4) == ["frugal"] * 8 + ["heavy"] * 8


def test_order_is_unchanged_where_past_use_does_not_count() -> None:
    cell = make_cell(PastUseSettings())
    submit_bursts(cell)
    assert serve_all(cell, 4) == ["heavy"] * 8 + ["frugal"] * 8
    assert cell.scheduler.hold_back.past_use.make_record(0).use == {}


def test_heavy_workspace_is_not_held_back_beyond_its_objective() -> None:
    # Objectives of 1 + 2 x 1 s leave no slack for twelve jobs of a second.
    cell = make_cell(stretch=2.0)
    first = submit(cell, "heavy", 100)
    cell.clock.advance(1.4)
    for number in range(8):
        submit(cell, "frugal", 200 + number)
    serve_all(cell, 2)
    job = cell.scheduler.jobs[first]
    due_s = cell.scheduler.forecast().due_s(job, 0, make_queue())
    assert job.ended_s is not None
    assert job.ended_s <= due_s


def test_short_work_is_not_held_back_for_long_work_that_would_make_it_late() -> None:
    cell = make_cell(stretch=1.0)
    known = cell.scheduler.configuration
    queue = evolve(known.queues[0], slack_s=20.0)
    cell.scheduler.apply_configuration(evolve(known, version=2, queues=(queue,)))
    submit(cell, "frugal", 200, make_step(cpu_millis=4000, estimated_s=24.0))
    cell.clock.advance(9.5)
    # Due 4.5 s before the other, with 20 s to spare: less than the 24 s of the other.
    submit(cell, "heavy", 100, make_step(cpu_millis=4000, estimated_s=10.0))
    assert serve_all(cell, 1) == ["heavy"]


def test_heavy_workspace_waits_at_most_the_hold_under_a_steady_load() -> None:
    cell = make_cell(evolve(SETTINGS, max_hold_s=10.0))
    job_id = submit(cell, "heavy", 100)
    accepted_s = cell.clock.now()
    number = 200
    while not any(start.task.step.job_id == job_id for start in cell.starts):
        for _ in range(4):
            number += 1
            submit(cell, "frugal", number)
        serve_all(cell, 1)
        assert cell.clock.now() - accepted_s <= 12.0


def test_use_counts_by_half_after_each_half_life() -> None:
    past_use = make_past_use()
    before_s = past_use.use_share_s("heavy", TOTAL)
    past_use.advance({}, EQUAL, TOTAL, 3 * HOUR_S)
    assert past_use.use_share_s("heavy", TOTAL) == pytest.approx(before_s / 2)


def test_all_use_counts_for_ever_with_an_infinite_half_life() -> None:
    past_use = make_past_use(inf)
    past_use.advance({}, EQUAL, TOTAL, 1000 * HOUR_S)
    assert past_use.use_share_s("heavy", TOTAL) == pytest.approx(HOUR_S)


def test_many_short_steps_count_as_one_long_step() -> None:
    past_use = PastUse(HOUR_S)
    for step in range(7201):
        held = {"heavy": HALF} if step else {}
        past_use.advance(held, EQUAL, TOTAL, float(step))
    expected_s = make_past_use().use_share_s("heavy", TOTAL)
    assert past_use.use_share_s("heavy", TOTAL) == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ("weights", "heaviness"),
    [(EQUAL, 0.5), ({"heavy": 3.0, "frugal": 1.0}, 0.25), ({"heavy": 1.0}, 0.0)],
)
def test_use_is_compared_by_weight(weights: dict[str, float], heaviness: float) -> None:
    past_use = PastUse(HOUR_S)
    past_use.advance({}, weights, TOTAL, 0.0)
    past_use.advance({"heavy": HALF}, weights, TOTAL, HOUR_S)
    assert past_use.heaviness_of("heavy") == pytest.approx(heaviness)
    assert past_use.heaviness_of("frugal") == 0.0
    assert past_use.heaviness_of("unknown") == 0.0


def test_settings_may_change_at_run_time() -> None:
    hold_back = HoldBack(make_past_use())
    hold_back.apply_settings(PastUseSettings(inf, 5.0))
    hold_back.past_use.advance({}, EQUAL, TOTAL, 3 * HOUR_S)
    assert hold_back.hold_s("heavy", 100.0, False) == pytest.approx(2.5)
    hold_back.apply_settings(PastUseSettings(0.0, 5.0))
    assert hold_back.hold_s("heavy", 100.0, False) == 0.0


def test_use_while_past_use_does_not_count_is_not_made_up_for() -> None:
    cell = make_cell()
    cell.scheduler.hold_back.apply_settings(PastUseSettings())
    cell.scheduler.usage.add("frugal", HALF)
    cell.clock.advance(HOUR_S)
    cell.scheduler.note_use()
    cell.scheduler.hold_back.apply_settings(SETTINGS)
    for _ in range(2):
        cell.scheduler.note_use()
        cell.clock.advance(1.0)
    use_s = cell.scheduler.hold_back.past_use.use_share_s("frugal", TOTAL)
    assert use_s < 1.0


def test_next_owner_continues_from_the_record() -> None:
    past_use = make_past_use()
    successor = PastUse(HOUR_S)
    successor.advance({}, EQUAL, TOTAL, 50.0)
    successor.advance({"frugal": HALF}, EQUAL, TOTAL, 60.0)
    assert successor.restore(past_use.make_record(7), HOUR_S) == 0
    successor.advance({}, EQUAL, TOTAL, 60.0)
    expected_s = past_use.use_share_s("heavy", TOTAL) / 2
    assert successor.use_share_s("heavy", TOTAL) == pytest.approx(expected_s, rel=1e-3)
    assert successor.use_share_s("frugal", TOTAL) == pytest.approx(5.0, rel=1e-2)
    assert successor.heaviness_of("heavy") > 0.4


def test_odd_amounts_in_a_record_are_left_out() -> None:
    record = UseRecord(1, {"a": [1.0], "b": [-1.0, 0.0, 0.0], "c": [inf, 0.0, 0.0]})
    past_use = PastUse(HOUR_S)
    assert past_use.restore(record, 1.0) == 3
    assert past_use.make_record(0).use == {}


def test_records_name_the_heaviest_of_very_many_workspaces() -> None:
    past_use = PastUse(HOUR_S)
    record = UseRecord(0, {f"w{n}": [n + 1.0, 0.0, 0.0] for n in range(900)})
    past_use.restore(record, 0.0)
    past_use.advance({}, EQUAL, TOTAL, 0.0)
    assert set(past_use.make_record(0).use) == {f"w{n}" for n in range(400, 900)}


@pytest.mark.parametrize(
    "values",
    [
        (-1.0, 1.0),
        (1.0, -1.0),
        (float("nan"), 1.0),
        (1e16, 1.0),
        (1e-9, 1.0),
        (1.0, inf),
    ],
)
def test_odd_settings_are_refused(values: tuple[float, float]) -> None:
    with pytest.raises(ValueError, match="must be"):
        PastUseSettings(*values)
