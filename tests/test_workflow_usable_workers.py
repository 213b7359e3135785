"""Compares the quick ways of finding workers and room with looking at everything."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow import usable_workers
from fuchsiadale.decision.workflow.jobs import Step, make_job
from fuchsiadale.decision.workflow.messages import Ticket
from fuchsiadale.decision.workflow.placement import count_fitting_tasks, is_suitable
from fuchsiadale.decision.workflow.preemption import Preemptor
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.usable_workers import find_usable_pools
from tests.load_kinds import make_workshop_kinds, make_workshop_pools
from tests.load_world import LoadSimulation
from tests.workflow_builders import make_entry, make_record, make_step

NOW_S = 100.0
UNBOUNDED_ROOM = Resources(10**9, 10**9, 10**9)

amounts = st.integers(0, 4)


def make_worker(index: int, cpu: int, accelerators: int, label: str) -> TrackedWorker:
    """Return a usable worker."""
    entry = make_entry(
        index,
        capacity=Resources(1000 * cpu, 1000 * cpu, accelerators),
        labels=(label, "rack"),
    )
    worker = TrackedWorker(entry, is_adopted=True)
    worker.note_recorded(())
    return worker


workers_lists = st.lists(
    st.tuples(amounts, amounts, st.sampled_from(["a", "b"])), min_size=1, max_size=8
).map(
    lambda rows: [make_worker(index, *row) for index, row in enumerate(rows)]  # type: ignore[arg-type]
)


def make_test_step(cpu: int, accelerators: int, label: str) -> Step:
    specification = make_step(
        1, request=Resources(1000 * cpu, 0, accelerators), required_label=label
    )
    return make_job(make_record(0, specification)).steps[0, 0]


@given(workers_lists, amounts, amounts, st.sampled_from(["", "a", "b"]))
def test_suitable_workers_are_those_of_a_plain_scan(
    workers: list[TrackedWorker], cpu: int, accelerators: int, label: str
):
    step = make_test_step(cpu, accelerators, label)
    (pool,) = find_usable_pools(workers, NOW_S).values()
    expected = [worker for worker in workers if is_suitable(step, worker)]
    assert pool.list_suitable(step) == expected


@given(
    workers_lists,
    amounts,
    st.sampled_from(["", "a"]),
    st.dictionaries(st.integers(0, 9), st.sampled_from([NOW_S - 1.0, NOW_S + 1.0])),
)
def test_workers_with_tickets_are_those_of_a_plain_scan_in_the_same_order(
    workers: list[TrackedWorker], cpu: int, label: str, expiries: dict[int, float]
):
    step = make_test_step(cpu, 0, label)
    for index, expires_s in expiries.items():
        step.tickets[f"worker-{index}"] = Ticket("t", expires_s)
    (pool,) = find_usable_pools(workers, NOW_S).values()
    expected = [
        worker
        for worker in workers
        if is_suitable(step, worker)
        and step.has_valid_ticket(worker.entry.worker_id, NOW_S)
    ]
    assert pool.list_with_tickets(step, NOW_S) == expected


@given(st.tuples(amounts, amounts, amounts), st.tuples(amounts, amounts, amounts))
def test_fitting_tasks_are_as_many_as_can_be_subtracted(
    free: tuple[int, int, int], needed: tuple[int, int, int]
):
    room, need = Resources(*free), Resources(*needed)
    if not any(needed):
        assert count_fitting_tasks(room, need) == 1
        return
    count = 0
    while need.fits_in(room):
        room = room - need
        count += 1
    assert count_fitting_tasks(Resources(*free), need) == count


def simulate_full_workshop() -> dict[str, tuple[int, float]]:
    """Simulate the workshop at twice its load; return what each kind earned."""
    simulation = LoadSimulation(make_workshop_kinds(2.0), make_workshop_pools(), 5)
    outcomes = simulation.simulate(8.0, 10.0)
    return {
        name: (outcome.in_time, outcome.earned_value)
        for name, outcome in outcomes.items()
    }


def test_bound_on_room_by_preemption_changes_no_decision(
    monkeypatch: pytest.MonkeyPatch,
):
    with_bound = simulate_full_workshop()
    monkeypatch.setattr(
        Preemptor, "_find_reclaimable_room", lambda *args: UNBOUNDED_ROOM
    )
    assert simulate_full_workshop() == with_bound


def test_step_with_tickets_is_checked_against_those_workers_only(
    monkeypatch: pytest.MonkeyPatch,
):
    """A pass over a large pool does not look at each worker for each step."""
    checked = []

    def count_check(step: Step, worker: TrackedWorker) -> bool:
        checked.append(worker)
        return is_suitable(step, worker)

    monkeypatch.setattr(usable_workers, "is_suitable", count_check)
    workers = [make_worker(index, 4, 0, "a") for index in range(300)]
    (pool,) = find_usable_pools(workers, NOW_S).values()
    step = make_test_step(1, 0, "")
    step.tickets["worker-7"] = Ticket("t", NOW_S + 1.0)
    assert pool.list_suitable(step) == workers
    assert pool.list_with_tickets(step, NOW_S) == [workers[7]]
    assert checked == [workers[7]]
