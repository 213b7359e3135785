"""Placement, order and preemption on one partition."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.partition import Actions
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import (
    AttemptEnd,
    Priority,
    TaskState,
    WorkKind,
)
from tests.builders import SMALL_TASK_RESOURCES, PartitionHarness, make_submission

BIG = Resources(4000, 1024, 0, 1, 1)
URGENT_START_S = 3.2


def run_all(bench: PartitionHarness, actions: Actions) -> list[str]:
    """Let every start take effect; return the attempts."""
    started = []
    for attempt in actions.starts:
        if bench.partition.mark_sent(attempt, 1e9):
            bench.partition.mark_started(attempt.attempt_id)
            started.append(attempt.attempt_id)
    return started


def test_service_is_spread_over_failure_domains() -> None:
    bench = PartitionHarness(workers=9)
    bench.partition.accept(make_submission(1, WorkKind.SERVICE, tasks=6))
    workers = [attempt.worker for attempt in bench.partition.step().starts]
    ledger = bench.partition.ledger
    domains = Counter(ledger.workers[name].info.failure_domain for name in workers)
    assert set(domains.values()) == {2}
    assert len(set(workers)) == 6


def test_gang_starts_whole_or_not_at_all() -> None:
    bench = PartitionHarness(workers=2)
    bench.partition.accept(make_submission(1, WorkKind.BATCH, tasks=2, resources=BIG))
    held = run_all(bench, bench.partition.step())
    gang = make_submission(2, WorkKind.GANG, tasks=4, resources=BIG)
    work = bench.partition.accept(gang).unwrap()
    assert bench.partition.step().starts == []
    bench.partition.mark_ended(held[0], AttemptEnd.SUCCEEDED)
    assert bench.partition.step().starts == []
    bench.partition.mark_ended(held[1], AttemptEnd.SUCCEEDED)
    assert len(bench.partition.step().starts) == 4
    assert {task.state for task in work.tasks} == {TaskState.PLACED}


def test_gang_is_not_starved_by_smaller_tasks() -> None:
    bench = PartitionHarness(workers=2)
    running: list[str] = []
    for number in range(16):
        bench.partition.accept(make_submission(number, WorkKind.BATCH, team="harvest"))
    running.extend(run_all(bench, bench.partition.step()))
    gang = make_submission(
        100, WorkKind.GANG, tasks=2, resources=Resources(8000, 1, 0, 1)
    )
    work = bench.partition.accept(gang).unwrap()
    for number in range(200, 260):
        bench.partition.accept(make_submission(number, WorkKind.BATCH, team="harvest"))
        bench.partition.mark_ended(running.pop(0), AttemptEnd.SUCCEEDED)
        bench.advance(0.5)
        running.extend(run_all(bench, bench.partition.step()))
        if work.tasks[0].state is not TaskState.PENDING:
            break
    assert {task.state for task in work.tasks} == {TaskState.RUNNING}


def test_cancelled_gang_gives_its_reservation_up_at_once() -> None:
    bench = PartitionHarness(workers=1)
    bench.partition.accept(
        make_submission(1, WorkKind.BATCH, resources=SMALL_TASK_RESOURCES)
    )
    run_all(bench, bench.partition.step())
    whole = Resources(8000, 1, 0, 1)
    gang = bench.partition.accept(
        make_submission(2, WorkKind.GANG, resources=whole)
    ).unwrap()
    bench.partition.step()
    bench.partition.accept(
        make_submission(3, WorkKind.BATCH, resources=SMALL_TASK_RESOURCES)
    )
    assert bench.partition.step().starts == []
    bench.partition.cancel(gang, Refusal(ErrorKind.CANCELLED, "cancelled"))
    assert len(bench.partition.step().starts) == 1


def test_two_gangs_do_not_block_each_other() -> None:
    bench = PartitionHarness(workers=2)
    gangs = [
        bench.partition.accept(
            make_submission(number, WorkKind.GANG, tasks=3, resources=BIG)
        ).unwrap()
        for number in (1, 2)
    ]
    for _ in range(4):
        started = run_all(bench, bench.partition.step())
        for attempt_id in started:
            bench.partition.mark_ended(attempt_id, AttemptEnd.SUCCEEDED)
        bench.advance(31.0)
    assert all(gang.is_final for gang in gangs)


def test_gang_that_loses_a_task_starts_anew_together() -> None:
    bench = PartitionHarness(workers=3)
    gang = make_submission(1, WorkKind.GANG, tasks=3, resources=BIG)
    work = bench.partition.accept(gang).unwrap()
    first, second, third = run_all(bench, bench.partition.step())
    bench.partition.mark_ended(first, AttemptEnd.LOST)
    bench.advance(1.0)
    actions = bench.partition.step()
    assert actions.starts == []
    assert {order.attempt_id for order in actions.stops} == {second, third}
    for attempt_id in (second, third):
        bench.partition.mark_ended(attempt_id, AttemptEnd.STOPPED)
    bench.advance(1.0)
    assert len(bench.partition.step().starts) == 3
    assert {task.state for task in work.tasks} == {TaskState.PLACED}


def test_urgent_work_starts_in_time_on_a_full_fleet() -> None:
    bench = PartitionHarness(workers=3)
    bench.partition.accept(make_submission(1, WorkKind.BATCH, tasks=24))
    run_all(bench, bench.partition.step())
    urgent = make_submission(
        2, WorkKind.BATCH, team="harvest", resources=BIG, priority=Priority.URGENT
    )
    work = bench.partition.accept(urgent).unwrap()
    began_s = bench.clock.now()
    stops = bench.partition.step().stops
    assert len(stops) == 4
    assert len({order.worker for order in stops}) == 1
    assert all(order.checkpoint for order in stops)
    bench.advance(0.5)
    for order in stops:
        bench.partition.mark_ended(order.attempt_id, AttemptEnd.STOPPED)
    run_all(bench, bench.partition.step())
    assert work.tasks[0].state is TaskState.RUNNING
    assert bench.clock.now() - began_s <= URGENT_START_S


def test_worker_that_went_before_it_was_blamed_is_no_trouble() -> None:
    bench = PartitionHarness(workers=2)
    gone = "worker-0"
    works = [bench.partition.accept(make_submission(n)).unwrap() for n in range(3)]
    for attempt_id in run_all(bench, bench.partition.step()):
        bench.partition.mark_ended(attempt_id, AttemptEnd.FAILED)
        gone = works[0].tasks[0].failed_worker_names.copy().pop()
    bench.partition.ledger.remove(gone)
    bench.advance(1.0)
    for attempt_id in run_all(bench, bench.partition.step()):
        bench.partition.mark_ended(attempt_id, AttemptEnd.SUCCEEDED)
    assert all(work.is_final for work in works)


def test_work_that_is_not_idempotent_is_never_preempted() -> None:
    bench = PartitionHarness(workers=1)
    bench.partition.accept(
        make_submission(1, WorkKind.BATCH, tasks=8, idempotent=False)
    )
    run_all(bench, bench.partition.step())
    bench.partition.accept(make_submission(2, WorkKind.BATCH, priority=Priority.URGENT))
    assert bench.partition.step().stops == []


def test_teams_on_a_full_fleet_converge_to_their_shares() -> None:
    bench = PartitionHarness(workers=5)
    scheduler = bench.partition.scheduler
    scheduler.set_share("guild", 3.0)
    scheduler.set_share("harvest", 1.0)
    for number in range(400):
        team = "harvest" if number % 2 else "guild"
        bench.partition.accept(make_submission(number, WorkKind.BATCH, team=team))
    running = run_all(bench, bench.partition.step())
    for _ in range(150):
        bench.partition.mark_ended(running.pop(0), AttemptEnd.SUCCEEDED)
        running.extend(run_all(bench, bench.partition.step()))
    used = {team: usage.local.slots for team, usage in scheduler.usage.items()}
    assert used == {"guild": 30, "harvest": 10}


def test_large_task_of_a_team_below_its_share_gets_room() -> None:
    bench = PartitionHarness(workers=8)
    for number in range(64):
        bench.partition.accept(make_submission(number, WorkKind.BATCH, team="harvest"))
    running = run_all(bench, bench.partition.step())
    large = make_submission(999, WorkKind.BATCH, resources=Resources(8000, 1, 0, 1))
    work = bench.partition.accept(large).unwrap()
    for number in range(1000, 1100):
        bench.partition.accept(make_submission(number, WorkKind.BATCH, team="harvest"))
        bench.partition.mark_ended(running.pop(0), AttemptEnd.SUCCEEDED)
        bench.advance(0.2)
        running.extend(run_all(bench, bench.partition.step()))
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
def test_no_worker_is_given_more_than_it_has_room_for(
    steps: list[tuple[str, WorkKind, int, int]],
) -> None:
    bench = PartitionHarness(workers=3)
    running: list[str] = []
    ends = {
        "succeed": AttemptEnd.SUCCEEDED,
        "fail": AttemptEnd.FAILED,
        "lose": AttemptEnd.LOST,
        "refuse": AttemptEnd.NOT_RUN,
    }
    for number, (action, kind, size, pick) in enumerate(steps):
        if action == "submit":
            need = SMALL_TASK_RESOURCES.times(size)
            tasks = 1 if kind is WorkKind.REQUEST else size
            submission = make_submission(number, kind, resources=need, tasks=tasks)
            bench.partition.accept(submission)
        elif action == "cancel":
            works = list(bench.partition.work_registry.works.values())
            if works:
                work = works[pick % len(works)]
                refusal = bench.partition.accept(
                    make_submission(0, resources=SMALL_TASK_RESOURCES.times(99))
                )
                if refusal.is_err():
                    bench.partition.cancel(work, refusal.unwrap_err())
        elif running:
            bench.partition.mark_ended(
                running.pop(pick % len(running)), ends[action], b"x"
            )
        bench.advance(0.3)
        actions = bench.partition.step()
        running.extend(run_all(bench, actions))
        for order in actions.stops:
            bench.partition.mark_ended(order.attempt_id, AttemptEnd.STOPPED)
        for worker in bench.partition.ledger.workers.values():
            assert worker.allocated.fits_in(worker.info.capacity)
            charged = sum(a.resources.slots for a in worker.attempts.values())
            assert charged == worker.allocated.slots
