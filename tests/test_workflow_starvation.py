"""What waits never keeps from starting what fits and is not behind it."""

from __future__ import annotations

from random import Random
from unittest.mock import patch

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow import plan_state, unplaced_steps
from fuchsiadale.decision.workflow.configuration import CellConfiguration, Workspace
from fuchsiadale.decision.workflow.specification import JobRecord, StepSpecification
from fuchsiadale.decision.workflow.unplaced_steps import MAX_UNPLACED_STEPS
from tests.starvation_oracle import StarvationOracle
from tests.workflow_builders import (
    ADVICE,
    WORKSPACE,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

WORKERS = 4
URGENT = make_queue("urgent", priority=0, stretch=1000.0)
MIDDLE = make_queue("middle", priority=1, stretch=1000.0)
BATCH = make_queue("batch", priority=2, stretch=1000.0)
QUEUES = (URGENT, MIDDLE, BATCH)
MAX_PLANS = 60
"""Plans after which a mix must have come to rest."""

MAX_ROUNDS = 300
"""Rounds of four seconds after which all jobs of a mix must have ended."""


def make_cell(workers: int = WORKERS, *queues: object) -> Cell:
    cell = Cell(workers, make_configuration(*(queues or QUEUES)))  # type: ignore[arg-type]
    cell.progress_percent = 0
    cell.adopt_workers()
    return cell


def accept(cell: Cell, number: int, step: object, queue: str = "batch") -> str:
    record = make_record(number, step, queue=queue)
    cell.scheduler.accept(record, 0.0)
    return record.job_id


def started_jobs(cell: Cell) -> set[str]:
    return {order.task.step.job_id for order in cell.starts}


def test_steps_that_lack_different_resources_do_not_rule_out_a_small_step():
    cell = make_cell()
    lasting = make_step(WORKERS, 500, is_lasting=True, max_per_worker=1)
    accept(cell, 0, lasting)
    cell.plan_and_execute()
    for number in range(1, MAX_UNPLACED_STEPS + 2, 2):
        accept(cell, number, make_step(1, 4000), "urgent")
        tall = make_step(1, request=Resources(100, 4000, 0))
        accept(cell, number + 1, tall, "urgent")
    small = accept(cell, 99, make_step(1, 200), "urgent")
    cell.plan_and_execute()
    assert small in started_jobs(cell)


def test_gang_of_small_tasks_is_not_ruled_out_by_gangs_of_large_ones():
    cell = make_cell()
    accept(cell, 0, make_step(WORKERS, 2500, is_lasting=True, max_per_worker=1))
    cell.plan_and_execute()
    for number in range(1, MAX_UNPLACED_STEPS + 1):
        accept(cell, number, make_step(2, 2000, is_gang=True), "urgent")
    small = accept(cell, 99, make_step(8, 600, is_gang=True), "urgent")
    cell.plan_and_execute()
    assert small in started_jobs(cell)


@pytest.mark.parametrize(
    "waiting",
    [
        make_step(2, 200, is_gang=True, estimated_s=60.0),
        make_step(2, 200, is_lasting=True),
    ],
    ids=["gang", "lasting"],
)
def test_gang_behind_lasting_runs_keeps_nothing_from_starting(waiting: object):
    cell = make_cell()
    accept(cell, 0, make_step(WORKERS, 500, is_lasting=True, max_per_worker=1))
    cell.plan_and_execute()
    accept(cell, 1, make_step(WORKERS, 4000, is_gang=True), "urgent")
    cell.plan_and_execute()
    job_id = accept(cell, 2, waiting)
    cell.plan_and_execute()
    assert job_id in started_jobs(cell)


@pytest.mark.parametrize(("estimated_s", "starts"), [(9.0, True), (60.0, False)])
def test_gang_uses_reserved_workers_only_until_the_reserving_gang_starts(
    estimated_s: float, starts: bool
):
    cell = make_cell()
    accept(cell, 0, make_step(1, 4000, estimated_s=20.0), "urgent")
    cell.plan_and_execute()
    accept(cell, 1, make_step(WORKERS, 4000, is_gang=True), "urgent")
    cell.plan_and_execute()
    gang = make_step(2, 200, is_gang=True, estimated_s=estimated_s)
    job_id = accept(cell, 2, gang)
    cell.plan_and_execute()
    assert (job_id in started_jobs(cell)) is starts


def test_reservation_lapses_once_the_run_in_its_way_has_outlived_all_expectation():
    cell = make_cell(1)
    accept(cell, 0, make_step(1, 1000, estimated_s=2.0), "urgent")
    cell.plan_and_execute()
    accept(cell, 1, make_step(1, 4000), "urgent")
    job_id = accept(cell, 2, make_step(1, 1000, is_lasting=True))
    cell.clock.advance(7.0)
    cell.plan_and_execute()
    assert job_id not in started_jobs(cell)
    cell.clock.advance(2.0)
    cell.plan_and_execute()
    assert job_id in started_jobs(cell)


def test_step_that_waits_for_headroom_does_not_block_the_worker():
    cell = make_cell(1)
    accept(cell, 0, make_step(1, 3000, estimated_s=60.0))
    cell.plan_and_execute()
    accept(cell, 1, make_step(1, 500), "middle")
    job_id = accept(cell, 2, make_step(1, 500, is_lasting=True))
    cell.plan_and_execute()
    assert started_jobs(cell) == {make_record(0).job_id, job_id}


def test_runs_are_not_preempted_again_and_again_for_a_step_without_headroom():
    cell = make_cell(1)
    accept(cell, 0, make_step(1, 2300, estimated_s=60.0), "urgent")
    cell.plan_and_execute()
    accept(cell, 1, make_step(1, 1500, estimated_s=60.0, is_checkpointing=True))
    cell.plan_and_execute()
    accept(cell, 2, make_step(1, 1500, estimated_s=60.0), "middle")
    for _ in range(30):
        cell.clock.advance(0.3)
        cell.poll_all()
        cell.plan_and_execute()
    assert len(cell.stops) <= 1


def test_spread_gang_that_lacks_a_worker_does_not_block_the_others():
    cell = make_cell()
    accept(cell, 0, make_step(1, 4000, is_lasting=True))
    cell.plan_and_execute()
    gang = make_step(WORKERS, 100, is_gang=True, max_per_worker=1)
    accept(cell, 1, gang, "urgent")
    accept(cell, 2, make_step(WORKERS - 1, 4000, is_lasting=True))
    cell.plan_and_execute()
    assert len(cell.starts) == WORKERS


def test_step_without_advice_is_not_ruled_out_by_those_whose_workers_are_full():
    queues = (make_queue("advised", advice=ADVICE), BATCH)
    cell = make_cell(WORKERS, *queues)
    accept(cell, 0, make_step(1, 4000, is_lasting=True))
    cell.plan_and_execute()
    full = cell.starts[0].worker_id
    for number in range(1, MAX_UNPLACED_STEPS + 2):
        accept(cell, number, make_step(1), "advised")
    *ahead, last = cell.scheduler.active_steps.values()
    for step in ahead:
        for entry in cell.entries:
            step.advice_by_worker[entry.worker_id] = entry.worker_id == full
    for _ in range(2):
        cell.plan_and_execute()
        cell.answer_advice()
    cell.plan_and_execute()
    assert last.name.job_id in started_jobs(cell)


def test_plan_of_thousands_of_tasks_ends_early_and_the_next_goes_on():
    cell = make_cell(40)
    for worker in cell.scheduler.workers.values():
        worker.update_entry(
            evolve(worker.entry, capacity=Resources(4000, 100_000, 0)), 0.0
        )
    step = make_step(5000, 100, is_filler=True, max_per_worker=200)
    accept(cell, 0, step)
    lasting = accept(cell, 1, make_step(1, 1000, is_lasting=True))
    place_task, work = cell.scheduler.place_task, []

    def count_work(*args: object) -> None:
        runs = sum(len(w.runs) for w in cell.scheduler.workers.values())
        work[-1] += len(cell.scheduler.workers) + runs // plan_state.RUNS_PER_LOOK
        place_task(*args)  # type: ignore[arg-type]

    with patch.object(cell.scheduler, "place_task", count_work):
        while not work or cell.planner.is_cut_short:
            work.append(0)
            started = len(cell.starts)
            cell.plan_and_execute()
            assert len(cell.starts) > started
    assert len(cell.starts) == 5001
    assert lasting in started_jobs(cell)
    assert max(work) <= plan_state.MAX_PLACING_WORK + 40 + 5000


KINDS = ("plain", "saved", "gang", "lasting", "filler")


def make_random_step(rng: Random, is_narrow: bool) -> StepSpecification:
    """Return a random step; a narrow one differs from others in its need alone."""
    kind = rng.choice(("saved", "gang") if is_narrow else KINDS)
    return make_step(  # type: ignore[return-value]
        rng.randint(1, 8 if kind == "gang" else 4),
        request=Resources(
            rng.choice((100, 500, 1000, 2500, 3500, 4000)),
            rng.choice((100, 500, 1500, 3900, 4000)),
            rng.choice((0, 0, 0, 1, 4)),
        ),
        estimated_s=float(rng.randint(1, 30)),
        is_gang=kind == "gang",
        same_rack=kind == "gang" and rng.random() < 0.5,
        is_lasting=kind == "lasting",
        is_filler=kind == "filler",
        is_checkpointing=kind == "saved",
        max_per_worker=0 if is_narrow else rng.choice((0, 0, 0, 1, 2)),
        required_label="" if is_narrow else rng.choice(("", "", "", "r0")),
    )


def make_random_jobs(rng: Random) -> list[JobRecord]:
    """Return random jobs, of which the first leaves no worker whole."""
    is_narrow = rng.random() < 0.5
    queues = [rng.choice(QUEUES)] if is_narrow else QUEUES
    first_cpu = rng.choice((100, 500, 2500))
    first = make_step(6, first_cpu, is_lasting=True, max_per_worker=1)
    jobs = [make_record(0, first, queue="urgent")]
    for number in range(1, rng.randint(8, 40)):
        step = make_random_step(rng, is_narrow)
        record = make_record(number, step, queue=rng.choice(queues).name)
        workspace = rng.choice((WORKSPACE, WORKSPACE, "limited"))
        jobs.append(evolve(record, workspace=workspace))
    return jobs


def make_sparse_jobs(rng: Random, workers: int) -> list[JobRecord]:
    """Return a few small jobs behind an urgent gang that needs every worker whole."""
    first = make_step(workers, 500, estimated_s=rng.uniform(10, 60), max_per_worker=1)
    gang = make_step(workers, 4000, is_gang=True, estimated_s=3.0)
    jobs = [make_record(0, first, queue="batch"), make_record(1, gang, queue="urgent")]
    for number in range(2, rng.randint(3, 6)):
        step = make_step(
            rng.randint(1, 2),
            rng.choice((100, 200)),
            estimated_s=rng.uniform(1, 90),
            **{rng.choice(("is_gang", "is_lasting", "is_checkpointing")): True},
        )
        jobs.append(make_record(number, step, queue=rng.choice(("middle", "batch"))))
    return jobs


def plan_until_rest(cell: Cell) -> None:
    """Plan until a plan neither starts nor stops a run."""
    for _ in range(MAX_PLANS):
        done = len(cell.starts), len(cell.stops)
        cell.poll_all()
        cell.plan_and_execute()
        if done == (len(cell.starts), len(cell.stops)):
            return
    raise AssertionError("the plans come to no rest")


def end_due_runs(cell: Cell, duration_s: float) -> int:
    """Advance the clock and end the runs that are due; return the number left."""
    cell.clock.advance(duration_s)
    left = 0
    for worker in cell.scheduler.workers.values():
        for (task, number), run in list(worker.runs.items()):
            specification = run.task.step.specification
            if specification.is_lasting:
                continue
            if cell.clock.now() >= run.started_s + specification.estimated_s:
                cell.end_run(worker.entry.worker_id, task, number)
            else:
                left += 1
    return left


def check_mix(
    rng: Random, batch_size: int, workers: int, max_unplaced: int, is_sparse: bool
) -> None:
    """Plan random jobs that arrive in batches, and check what waits at each rest."""
    workspaces = (
        Workspace(WORKSPACE, (), 100.0),
        Workspace("limited", (), 100.0, Resources(6000, 7000, 4)),
    )
    cell = Cell(workers, CellConfiguration(1, QUEUES, workspaces))
    cell.progress_percent = 0
    cell.adopt_workers()
    oracle = StarvationOracle(cell.scheduler)
    waiting = make_sparse_jobs(rng, workers) if is_sparse else make_random_jobs(rng)
    cell.scheduler.accept(waiting.pop(0), 0.0)
    plan_until_rest(cell)
    with patch.object(unplaced_steps, "MAX_UNPLACED_STEPS", max_unplaced):
        for _ in range(MAX_ROUNDS):
            for record in waiting[:batch_size]:
                cell.scheduler.accept(record, 0.0)
            del waiting[:batch_size]
            plan_until_rest(cell)
            assert oracle.find_starved_steps() == []
            assert oracle.find_displaced_steps() == []
            left = end_due_runs(cell, 4.0)
            if not waiting and not left:
                break
        else:
            raise AssertionError("the jobs come to no end")
        plan_until_rest(cell)
        assert oracle.find_starved_steps() == []
        assert oracle.find_displaced_steps() == []


@settings(max_examples=200, deadline=None)
@given(
    rng=st.randoms(use_true_random=True),
    batch_size=st.integers(2, 40),
    workers=st.integers(2, 6),
    max_unplaced=st.sampled_from((1, 3, MAX_UNPLACED_STEPS)),
    is_sparse=st.booleans(),
)
def test_no_step_is_passed_over_without_a_reason(
    rng: Random, batch_size: int, workers: int, max_unplaced: int, is_sparse: bool
):
    check_mix(rng, batch_size, workers, max_unplaced, is_sparse)


def test_step_that_lacks_only_headroom_beside_fillers_is_not_displaced():
    check_mix(Random(79436414837), 4, 6, 1, is_sparse=False)


def test_step_behind_a_run_that_outlived_all_expectation_is_not_starved():
    check_mix(Random(526077984389), 4, 6, MAX_UNPLACED_STEPS, is_sparse=False)
