"""Placement, fair order, gang reservations and preemption in one partition."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiadale.decision.claims import CLAIM_DURATION_S
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.fairness import FairQueue, OrderWeights
from fuchsiadale.decision.partition import Actions
from fuchsiadale.decision.past_use import PastUse
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import (
    AttemptEnd,
    Priority,
    TaskState,
    WorkKind,
    make_work,
)
from tests.builders import SMALL_TASK_RESOURCES, PartitionHarness, make_submission

HALF_WORKER_RESOURCES = Resources(4000, 1024, 0, 1, 1)
"""Resources of a task that fits on an empty worker twice."""

URGENT_START_LIMIT_S = 3.2
"""Seconds within which an urgent task must start on a full fleet."""


def confirm_starts(harness: PartitionHarness, actions: Actions) -> list[str]:
    """Confirm every start that may be sent; return the ids of its attempts."""
    started = []
    for attempt in actions.starts:
        if harness.partition.mark_sent(attempt, 1e9):
            harness.partition.mark_started(attempt.attempt_id)
            started.append(attempt.attempt_id)
    return started


def test_service_tasks_are_spread_over_failure_domains_and_workers() -> None:
    harness = PartitionHarness(workers=9)
    harness.partition.accept(make_submission(1, WorkKind.SERVICE, tasks=6))
    workers = [attempt.worker for attempt in harness.partition.step().starts]
    ledger = harness.partition.ledger
    tasks_by_domain = Counter(
        ledger.workers[name].info.failure_domain for name in workers
    )
    assert set(tasks_by_domain.values()) == {2}
    assert len(set(workers)) == 6


def test_gang_starts_only_when_all_its_tasks_fit() -> None:
    harness = PartitionHarness(workers=2)
    harness.partition.accept(
        make_submission(1, WorkKind.BATCH, tasks=2, resources=HALF_WORKER_RESOURCES)
    )
    batch_attempts = confirm_starts(harness, harness.partition.step())
    gang = make_submission(2, WorkKind.GANG, tasks=4, resources=HALF_WORKER_RESOURCES)
    work = harness.partition.accept(gang).unwrap()
    assert harness.partition.step().starts == []
    harness.partition.mark_ended(batch_attempts[0], AttemptEnd.SUCCEEDED)
    assert harness.partition.step().starts == []
    harness.partition.mark_ended(batch_attempts[1], AttemptEnd.SUCCEEDED)
    assert len(harness.partition.step().starts) == 4
    assert {task.state for task in work.tasks} == {TaskState.PLACED}


def test_gang_is_not_starved_by_smaller_tasks() -> None:
    harness = PartitionHarness(workers=2)
    running: list[str] = []
    for number in range(16):
        harness.partition.accept(
            make_submission(number, WorkKind.BATCH, team="harvest")
        )
    running.extend(confirm_starts(harness, harness.partition.step()))
    gang = make_submission(
        100, WorkKind.GANG, tasks=2, resources=Resources(8000, 1, 0, 1)
    )
    work = harness.partition.accept(gang).unwrap()
    for number in range(200, 260):
        harness.partition.accept(
            make_submission(number, WorkKind.BATCH, team="harvest")
        )
        harness.partition.mark_ended(running.pop(0), AttemptEnd.SUCCEEDED)
        harness.advance(0.5)
        running.extend(confirm_starts(harness, harness.partition.step()))
        if work.tasks[0].state is not TaskState.PENDING:
            break
    assert {task.state for task in work.tasks} == {TaskState.RUNNING}


def test_cancelled_gang_drops_its_reservation_at_once() -> None:
    harness = PartitionHarness(workers=1)
    harness.partition.accept(
        make_submission(1, WorkKind.BATCH, resources=SMALL_TASK_RESOURCES)
    )
    confirm_starts(harness, harness.partition.step())
    whole_worker = Resources(8000, 1, 0, 1)
    gang = harness.partition.accept(
        make_submission(2, WorkKind.GANG, resources=whole_worker)
    ).unwrap()
    harness.partition.step()
    harness.partition.accept(
        make_submission(3, WorkKind.BATCH, resources=SMALL_TASK_RESOURCES)
    )
    assert harness.partition.step().starts == []
    harness.partition.cancel(gang, Refusal(ErrorKind.CANCELLED, "cancelled"))
    assert len(harness.partition.step().starts) == 1


def test_two_gangs_that_fit_only_one_at_a_time_both_finish() -> None:
    harness = PartitionHarness(workers=2)
    gangs = [
        harness.partition.accept(
            make_submission(
                number, WorkKind.GANG, tasks=3, resources=HALF_WORKER_RESOURCES
            )
        ).unwrap()
        for number in (1, 2)
    ]
    for _ in range(4):
        started = confirm_starts(harness, harness.partition.step())
        for attempt_id in started:
            harness.partition.mark_ended(attempt_id, AttemptEnd.SUCCEEDED)
        harness.advance(31.0)
    assert all(gang.is_final for gang in gangs)


def test_gang_that_loses_a_task_restarts_all_tasks_together() -> None:
    harness = PartitionHarness(workers=3)
    gang = make_submission(1, WorkKind.GANG, tasks=3, resources=HALF_WORKER_RESOURCES)
    work = harness.partition.accept(gang).unwrap()
    first, second, third = confirm_starts(harness, harness.partition.step())
    harness.partition.mark_ended(first, AttemptEnd.LOST)
    harness.advance(1.0)
    actions = harness.partition.step()
    assert actions.starts == []
    assert {order.attempt_id for order in actions.stops} == {second, third}
    for attempt_id in (second, third):
        harness.partition.mark_ended(attempt_id, AttemptEnd.STOPPED)
    harness.advance(1.0)
    assert len(harness.partition.step().starts) == 3
    assert {task.state for task in work.tasks} == {TaskState.PLACED}


def test_urgent_task_starts_within_limit_by_preempting_one_worker() -> None:
    harness = PartitionHarness(workers=3)
    harness.partition.accept(make_submission(1, WorkKind.BATCH, tasks=24))
    confirm_starts(harness, harness.partition.step())
    urgent = make_submission(
        2,
        WorkKind.BATCH,
        team="harvest",
        resources=HALF_WORKER_RESOURCES,
        priority=Priority.URGENT,
    )
    work = harness.partition.accept(urgent).unwrap()
    submitted_at_s = harness.clock.now()
    stops = harness.partition.step().stops
    assert len(stops) == 4
    assert len({order.worker for order in stops}) == 1
    assert all(order.checkpoint for order in stops)
    harness.advance(0.5)
    for order in stops:
        harness.partition.mark_ended(order.attempt_id, AttemptEnd.STOPPED)
    confirm_starts(harness, harness.partition.step())
    assert work.tasks[0].state is TaskState.RUNNING
    assert harness.clock.now() - submitted_at_s <= URGENT_START_LIMIT_S


def test_removed_worker_is_not_quarantined_when_it_is_blamed_later() -> None:
    harness = PartitionHarness(workers=2)
    removed_worker = "worker-0"
    works = [harness.partition.accept(make_submission(n)).unwrap() for n in range(3)]
    for attempt_id in confirm_starts(harness, harness.partition.step()):
        harness.partition.mark_ended(attempt_id, AttemptEnd.FAILED)
        removed_worker = works[0].tasks[0].failed_worker_names.copy().pop()
    harness.partition.ledger.remove(removed_worker)
    harness.advance(1.0)
    for attempt_id in confirm_starts(harness, harness.partition.step()):
        harness.partition.mark_ended(attempt_id, AttemptEnd.SUCCEEDED)
    assert all(work.is_final for work in works)


def test_work_that_is_not_idempotent_is_never_preempted() -> None:
    harness = PartitionHarness(workers=1)
    harness.partition.accept(
        make_submission(1, WorkKind.BATCH, tasks=8, idempotent=False)
    )
    confirm_starts(harness, harness.partition.step())
    harness.partition.accept(
        make_submission(2, WorkKind.BATCH, priority=Priority.URGENT)
    )
    assert harness.partition.step().stops == []


def test_teams_on_a_full_fleet_converge_to_their_shares() -> None:
    harness = PartitionHarness(workers=5)
    scheduler = harness.partition.scheduler
    scheduler.set_share("guild", 3.0)
    scheduler.set_share("harvest", 1.0)
    for number in range(400):
        team = "harvest" if number % 2 else "guild"
        harness.partition.accept(make_submission(number, WorkKind.BATCH, team=team))
    running = confirm_starts(harness, harness.partition.step())
    for _ in range(150):
        harness.partition.mark_ended(running.pop(0), AttemptEnd.SUCCEEDED)
        running.extend(confirm_starts(harness, harness.partition.step()))
    used = {team: usage.local.slots for team, usage in scheduler.usage.items()}
    assert used == {"guild": 30, "harvest": 10}


def test_claim_behind_a_service_keeps_small_tasks_out_for_its_duration_at_most() -> (
    None
):
    harness = PartitionHarness(workers=1)
    harness.partition.accept(
        make_submission(1, WorkKind.SERVICE, resources=SMALL_TASK_RESOURCES)
    )
    confirm_starts(harness, harness.partition.step())
    harness.partition.accept(
        make_submission(2, WorkKind.BATCH, resources=Resources(8000, 1, 0, 1))
    )
    harness.partition.step()
    work = harness.partition.accept(
        make_submission(3, WorkKind.BATCH, resources=SMALL_TASK_RESOURCES)
    ).unwrap()
    for _ in range(int(CLAIM_DURATION_S) + 1):
        harness.advance(1.0)
        confirm_starts(harness, harness.partition.step())
    assert work.tasks[0].state is TaskState.RUNNING


def test_large_task_of_a_team_below_its_share_is_placed() -> None:
    harness = PartitionHarness(workers=8)
    for number in range(64):
        harness.partition.accept(
            make_submission(number, WorkKind.BATCH, team="harvest")
        )
    running = confirm_starts(harness, harness.partition.step())
    large = make_submission(999, WorkKind.BATCH, resources=Resources(8000, 1, 0, 1))
    work = harness.partition.accept(large).unwrap()
    for number in range(1000, 1100):
        harness.partition.accept(
            make_submission(number, WorkKind.BATCH, team="harvest")
        )
        harness.partition.mark_ended(running.pop(0), AttemptEnd.SUCCEEDED)
        harness.advance(0.2)
        running.extend(confirm_starts(harness, harness.partition.step()))
    assert work.tasks[0].state is TaskState.RUNNING


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["submit", "succeed", "fail", "lose", "refuse", "cancel"]),
            st.sampled_from([WorkKind.REQUEST, WorkKind.BATCH, WorkKind.GANG]),
            st.integers(1, 4),
            st.integers(0, 30),
        ),
        max_size=80,
    )
)
def test_allocations_never_exceed_the_capacity_of_a_worker(
    steps: list[tuple[str, WorkKind, int, int]],
) -> None:
    harness = PartitionHarness(workers=3)
    running: list[str] = []
    ends = {
        "succeed": AttemptEnd.SUCCEEDED,
        "fail": AttemptEnd.FAILED,
        "lose": AttemptEnd.LOST,
        "refuse": AttemptEnd.NOT_RUN,
    }
    for number, (action, kind, size, selector) in enumerate(steps):
        if action == "submit":
            demand = SMALL_TASK_RESOURCES.times(size)
            tasks = 1 if kind is WorkKind.REQUEST else size
            submission = make_submission(number, kind, resources=demand, tasks=tasks)
            harness.partition.accept(submission)
        elif action == "cancel":
            works = list(harness.partition.work_registry.works.values())
            if works:
                work = works[selector % len(works)]
                refusal = harness.partition.accept(
                    make_submission(0, resources=SMALL_TASK_RESOURCES.times(99))
                )
                if refusal.is_err():
                    harness.partition.cancel(work, refusal.unwrap_err())
        elif running:
            harness.partition.mark_ended(
                running.pop(selector % len(running)), ends[action], b"x"
            )
        harness.advance(0.3)
        actions = harness.partition.step()
        running.extend(confirm_starts(harness, actions))
        for order in actions.stops:
            harness.partition.mark_ended(order.attempt_id, AttemptEnd.STOPPED)
        for worker in harness.partition.ledger.workers.values():
            assert worker.allocated.fits_in(worker.info.capacity)
            allocated_slots = sum(a.resources.slots for a in worker.attempts.values())
            assert allocated_slots == worker.allocated.slots


def test_team_with_little_past_use_goes_first_on_a_full_pool() -> None:
    harness = PartitionHarness(workers=1)
    scheduler = harness.partition.scheduler
    scheduler.set_weights(OrderWeights(past_use=1.0, half_life_s=3600.0))
    for team in ("heavy", "frugal"):
        scheduler.set_share(team, 1.0)
    task = make_submission(1, WorkKind.BATCH, "heavy", HALF_WORKER_RESOURCES, tasks=2)
    harness.partition.accept(task)
    attempts = confirm_starts(harness, harness.partition.step())
    for _ in range(60):
        harness.advance(60.0)
        harness.partition.step()
    for number, team in enumerate(("heavy", "heavy", "frugal", "frugal"), 2):
        harness.partition.accept(
            make_submission(number, WorkKind.BATCH, team, HALF_WORKER_RESOURCES)
        )
    started = []
    for attempt in attempts:
        harness.partition.mark_ended(attempt, AttemptEnd.SUCCEEDED)
        started += [item.team for item in harness.partition.step().starts]
    assert started == ["frugal", "frugal"]


def test_waiting_time_outweighs_past_use_within_a_bound() -> None:
    past_use = PastUse(3600.0)
    weights = {"heavy": 1.0, "frugal": 1.0}
    past_use.advance({}, weights, HALF_WORKER_RESOURCES, 0.0)
    held = {"heavy": HALF_WORKER_RESOURCES}
    past_use.advance(held, weights, HALF_WORKER_RESOURCES, 36000.0)
    order = OrderWeights(waiting=0.1, past_use=1.0, half_life_s=3600.0)
    queue = FairQueue(order, {}, past_use)
    heavy, late, early = (
        make_work(make_submission(number, team=team), 0.0).tasks[0]
        for number, team in enumerate(("heavy", "frugal", "frugal"))
    )
    late.queued_at_s, early.queued_at_s = 400.0, 200.0
    # The heaviness of 1/2 weighs as much as five minutes of waiting.
    queue.push(heavy)
    queue.push(late)
    assert list(queue.teams_in_order()) == ["heavy", "frugal"]
    queue.remove(late)
    queue.push(early)
    assert list(queue.teams_in_order()) == ["frugal", "heavy"]
