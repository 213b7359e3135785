"""Workers that are still slow after their start, by their registration."""

from __future__ import annotations

import orjson
import pytest
from attrs import evolve

from fuchsiadale.decision.workflow.worker_speeds import (
    MAX_COLD_S,
    MAX_COLD_SLOWDOWN,
    ColdSlowdown,
    WorkerSpeed,
)
from fuchsiadale.platform.documents import decode_worker
from tests.load_signing import FRONT, make_signing_kinds, make_signing_pools
from tests.load_workers import SlowSpell
from tests.load_world import LoadSimulation
from tests.test_platform_adapter import REGISTRATION
from tests.workflow_builders import (
    POOL,
    QUEUE,
    Cell,
    make_configuration,
    make_entry,
    make_queue,
    make_record,
    make_step,
)

COLD, WARM = "worker-0", "worker-1"
COLD_S = 10.0


def make_cell(slack_s: float = 0.2) -> Cell:
    """Return a cell of two workers, of which the first is cold."""
    cell = Cell(2, make_configuration(make_queue(stretch=1.0, slack_s=slack_s)))
    cell.entries[0] = make_entry(0, cold_remaining_s=COLD_S)
    cell.adopt_workers()
    return cell


def place(cell: Cell, count: int) -> list[str]:
    """Submit a job of `count` tasks and return the workers where they start."""
    started = len(cell.starts)
    number = len(cell.scheduler.jobs)
    cell.scheduler.accept(make_record(number, make_step(count)), 0.0)
    cell.plan_and_execute()
    return [order.worker_id for order in cell.starts[started:]]


def test_tight_task_keeps_off_a_cold_worker_while_a_warm_one_has_room():
    assert place(make_cell(), 6) == [WARM] * 4 + [COLD] * 2


def test_patient_task_does_not_keep_off_a_cold_worker():
    assert place(make_cell(slack_s=20.0), 6) == [COLD] * 4 + [WARM] * 2


def test_tight_task_starts_on_a_cold_worker_if_no_other_has_room():
    cell = make_cell()
    place(cell, 4)
    assert place(cell, 1) == [COLD]


def test_worker_is_cold_until_the_time_that_its_registration_told_first():
    cell = make_cell()
    speed = cell.scheduler.workers[COLD].speed
    until_s = speed.cold_until_s
    assert until_s == pytest.approx(cell.clock.now() + COLD_S, abs=0.1)
    cell.clock.advance(4.0)
    cell.scheduler.update_registrations(cell.entries)
    assert speed.cold_until_s == until_s
    entry = evolve(cell.entries[0], cold_remaining_s=3.0)
    cell.scheduler.update_registrations([entry, cell.entries[1]])
    assert speed.cold_s(cell.clock.now()) == pytest.approx(3.0)
    cell.scheduler.update_registrations([make_entry(0), cell.entries[1]])
    assert speed.cold_s(cell.clock.now()) == 0.0


def test_worker_that_tells_an_endless_cold_time_is_cold_for_a_bounded_time():
    speed = WorkerSpeed()
    speed.note_registration(1, 1e9, 50.0)
    assert speed.cold_until_s == 50.0 + MAX_COLD_S


def test_worker_that_is_cold_again_after_a_restart_is_cold_anew():
    speed = WorkerSpeed()
    speed.note_registration(1, COLD_S, 50.0)
    speed.note_registration(2, COLD_S, 60.0)
    assert speed.cold_until_s == 60.0 + COLD_S


def test_run_on_a_cold_worker_tells_nothing_of_the_worker_or_of_its_tasks():
    cell = make_cell()
    place(cell, 5)
    cell.clock.advance(4.0)
    (task, run) = next(iter(cell.running[COLD]))
    cell.end_run(COLD, task, run)
    cell.poll(COLD)
    assert cell.scheduler.workers[COLD].slowdown == 1.0
    assert cell.scheduler.durations.predict_s(QUEUE, 1.0) == 1.0
    decisions, _ = cell.scheduler.decisions.pop_all()
    cold_runs = [item for item in decisions if item.kind == "cold_run"]
    assert [item.inputs["is_used"] for item in cold_runs] == [True]
    assert cell.scheduler.cold_slowdown_of(POOL).factor > ColdSlowdown().factor


@pytest.mark.parametrize(("ran_s", "expected_s"), [(1e6, 1e-3), (0.01, 5.0)])
def test_learned_slowdown_of_cold_workers_is_bounded(ran_s: float, expected_s: float):
    learned = ColdSlowdown()
    for _ in range(100):
        learned.observe(ran_s, ran_s, expected_s)
    assert 1.0 <= learned.factor <= MAX_COLD_SLOWDOWN


def test_run_that_outlasts_the_cold_time_is_expected_to_go_on_at_full_speed():
    speed = WorkerSpeed()
    speed.note_registration(1, 2.0, 50.0)
    assert speed.expected_s(10.0, 50.0) == pytest.approx(11.0)
    assert speed.expected_s(0.5, 50.0) == pytest.approx(1.0)
    assert speed.expected_s(10.0, 52.0) == 10.0


def test_work_that_fills_a_pool_takes_longer_while_workers_are_cold():
    def remaining_s(cell: Cell) -> float:
        cell.scheduler.accept(make_record(0, make_step(16)), 0.0)
        job = cell.scheduler.jobs[make_record(0).job_id]
        queue = cell.scheduler.queue_of(job)
        assert queue is not None
        return cell.scheduler.forecast().remaining_work_s(job, 0, queue)

    usual = Cell(2)
    usual.adopt_workers()
    assert remaining_s(usual) == 2.0
    assert remaining_s(make_cell()) == pytest.approx(2.0 / 0.75)


def test_time_for_which_a_worker_remains_cold_is_read_from_its_registration():
    entry = decode_worker(
        "i-1", orjson.dumps({**REGISTRATION, "cold_remaining_ms": 1500})
    )
    assert entry is not None
    assert entry.cold_remaining_s == 1.5
    entry = decode_worker("i-1", orjson.dumps(REGISTRATION))
    assert entry is not None
    assert entry.cold_remaining_s == 0.0


def simulate(seed: int, cold_s: float, announced: bool) -> dict[str, tuple[int, float]]:
    """Simulate the signing front, where a third of the workers become cold."""
    kinds = [kind for kind in make_signing_kinds(0.6) if kind.queue.pool == FRONT]
    simulation = LoadSimulation(kinds, make_signing_pools(are_equal=True)[:1], seed)
    cold_from_s = simulation.clock.now() + 1.0
    entries = []
    for index, worker in enumerate(simulation.workers.values()):
        remaining_s = 0.0 if index % 3 else cold_s
        if remaining_s:
            spell = SlowSpell(cold_from_s, cold_from_s + remaining_s, 3.0)
            worker.spells = [spell]
        told_s = remaining_s if announced else 0.0
        entries.append(evolve(worker.entry, cold_remaining_s=told_s))
    simulation.schedule_at(
        cold_from_s, lambda: simulation.scheduler.update_registrations(entries)
    )
    outcomes = simulation.simulate(12.0, drain_s=20.0)
    return {name: (item.in_time, item.earned_value) for name, item in outcomes.items()}


def test_urgent_jobs_are_in_time_more_often_if_cold_workers_are_known():
    """Compare registrations that tell the cold time with some that do not."""
    known = sum(simulate(seed, 10.0, True)["seal"][0] for seed in range(4))
    unknown = sum(simulate(seed, 10.0, False)["seal"][0] for seed in range(4))
    assert known > 1.05 * unknown


def test_load_is_served_as_without_cold_times_if_no_worker_is_ever_cold(
    monkeypatch: pytest.MonkeyPatch,
):
    with_haste = simulate(1, 0.0, True)
    monkeypatch.setattr(WorkerSpeed, "placement_cost", lambda self, _: self.slowdown)
    assert with_haste == simulate(1, 0.0, False)
