"""Lasting tasks that may have crashed their workers, and how soon they run again."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.attempts import RECENT_START_S
from fuchsiadale.decision.workflow.configuration import AdviceTiming
from fuchsiadale.decision.workflow.jobs import JobState
from tests.loss_simulation import LossSimulation
from tests.test_workflow_crashes import MAX_CRASHED_WORKERS
from tests.workflow_builders import (
    make_configuration,
    make_entry,
    make_queue,
    make_record,
    make_step,
)

SMALL = "small"
TASKS = 8
WORKERS = 24
JOB_ID = make_record().job_id
ADVICE = AdviceTiming(0.43, 0.0062, 2.0)
MAX_TASK_GAP_S = 9.0
"""Longest time from the loss of a lasting task's worker to its next start."""

TAKEOVER_S = 1.9
"""Seconds from the loss of an owner until another has recovered."""

INHERITED_LEASE_S = 6.0
"""Seconds from the loss of an owner until all leases that it granted have lapsed."""

EIGHT_WORKERS, FOUR_WORKERS = 1, 2  # Tasks on a worker: as many as there are, in eight.


def make_simulation(
    tasks_per_worker: int, advice: AdviceTiming | None
) -> LossSimulation:
    queue = make_queue(advice=advice)
    configuration = make_configuration(queue, make_queue(SMALL), weight=1e6)
    entries = [make_entry(index) for index in range(WORKERS)]
    simulation = LossSimulation(entries, configuration)
    simulation.run_for(1.0)
    step = make_step(TASKS, is_lasting=True, max_per_worker=tasks_per_worker)
    simulation.accept(make_record(0, step))
    return simulation


def await_starts(simulation: LossSimulation) -> None:
    """Wait until all tasks have started."""
    while len(simulation.starts) < TASKS:
        simulation.run_for(0.01)
    simulation.run_for(0.05)


def lose_workers(simulation: LossSimulation, replaced_after_s: float) -> None:
    """Let the workers of the job crash; others are at their addresses later."""
    lost = simulation.list_workers_of(JOB_ID)
    simulation.crash(lost)
    simulation.run_for(replaced_after_s)
    for worker_id in lost:
        simulation.replace(worker_id)


@pytest.mark.parametrize("advice", [None, ADVICE])
@pytest.mark.parametrize("tasks_per_worker", [EIGHT_WORKERS, FOUR_WORKERS])
@pytest.mark.parametrize("replaced_after_s", [2.0, 4.0, 5.5])
def test_tasks_suspected_after_a_takeover_do_not_wait_for_one_another_too_long(
    replaced_after_s: float, tasks_per_worker: int, advice: AdviceTiming | None
):
    simulation = make_simulation(tasks_per_worker, advice)
    simulation.run_for(4.0)
    lost = simulation.list_workers_of(JOB_ID)
    simulation.crash(lost)
    lease_ends_s = simulation.clock.now() + INHERITED_LEASE_S
    simulation.take_over(TAKEOVER_S, lease_ends_s)
    simulation.run_for(replaced_after_s - TAKEOVER_S)
    for worker_id in lost:
        simulation.replace(worker_id)
    simulation.run_for(15.0)
    assert simulation.longest_gap_s(JOB_ID) <= MAX_TASK_GAP_S


@pytest.mark.parametrize("advice", [None, ADVICE])
@pytest.mark.parametrize("tasks_per_worker", [EIGHT_WORKERS, FOUR_WORKERS])
@pytest.mark.parametrize("replaced_after_s", [1.0, 4.0, 5.2])
def test_tasks_that_lost_their_workers_at_their_start_do_not_wait_too_long(
    replaced_after_s: float, tasks_per_worker: int, advice: AdviceTiming | None
):
    simulation = make_simulation(tasks_per_worker, advice)
    await_starts(simulation)
    lose_workers(simulation, replaced_after_s)
    simulation.run_for(15.0)
    assert simulation.longest_gap_s(JOB_ID) <= MAX_TASK_GAP_S


@pytest.mark.parametrize("advice", [None, ADVICE])
@pytest.mark.parametrize("after_s", [0.3, 1.0, 2.0])
def test_tasks_that_lose_their_workers_again_as_suspects_do_not_wait_too_long(
    after_s: float, advice: AdviceTiming | None
):
    simulation = make_simulation(EIGHT_WORKERS, advice)
    await_starts(simulation)
    lose_workers(simulation, 1.0)
    simulation.run_for(after_s)
    simulation.crash(simulation.list_workers_of(JOB_ID))
    simulation.run_for(15.0)
    assert simulation.longest_gap_s(JOB_ID) <= MAX_TASK_GAP_S


@pytest.mark.parametrize("advice", [None, ADVICE])
def test_tasks_suspected_on_a_busy_pool_do_not_wait_too_long(
    advice: AdviceTiming | None,
):
    simulation = make_simulation(EIGHT_WORKERS, advice)
    simulation.run_for(2.0)
    for number in range(4):
        simulation.accept_often(SMALL, 0.15 + 0.01 * number, 0.3)
    simulation.run_for(2.0)
    lost = simulation.list_workers_of(JOB_ID)
    simulation.crash(lost)
    lease_ends_s = simulation.clock.now() + INHERITED_LEASE_S
    simulation.take_over(TAKEOVER_S, lease_ends_s)
    simulation.run_for(5.5 - TAKEOVER_S)
    for worker_id in lost:
        simulation.replace(worker_id)
    simulation.run_for(6.0)
    assert simulation.longest_gap_s(JOB_ID) <= MAX_TASK_GAP_S


@pytest.mark.parametrize("tasks_per_worker", [EIGHT_WORKERS, FOUR_WORKERS])
@pytest.mark.parametrize("replaced_after_s", [2.0, 4.0])
def test_suspects_do_not_wait_for_the_lease_of_one_whose_start_is_left_unanswered(
    replaced_after_s: float, tasks_per_worker: int
):
    simulation = make_simulation(tasks_per_worker, None)
    simulation.run_for(4.0)
    lost = simulation.list_workers_of(JOB_ID)
    simulation.crash(lost)
    lease_ends_s = simulation.clock.now() + INHERITED_LEASE_S
    simulation.take_over(TAKEOVER_S, lease_ends_s)
    simulation.run_for(replaced_after_s - TAKEOVER_S)
    for worker_id in lost:
        simulation.replace(worker_id)
    while len(simulation.starts) == TASKS:
        simulation.run_for(0.001)
    simulation.crash([simulation.starts[-1][1].worker_id], is_silent=True)
    simulation.run_for(15.0)
    assert simulation.longest_gap_s(JOB_ID) <= MAX_TASK_GAP_S


@pytest.mark.parametrize("return_s", [1.0, 6.0])
@pytest.mark.parametrize("crash_delay_s", [0.0, 0.05, 0.15])
@pytest.mark.parametrize("deadly_count", [1, 4, TASKS])
def test_lasting_job_with_deadly_tasks_is_given_up_after_few_starts_of_each(
    deadly_count: int, crash_delay_s: float, return_s: float
):
    simulation = make_simulation(EIGHT_WORKERS, None)
    tasks = simulation.scheduler.jobs[JOB_ID].tasks()
    simulation.deadly_tasks = {task.name for task in tasks[:deadly_count]}
    simulation.crash_delay_s, simulation.return_s = crash_delay_s, return_s
    simulation.run_for(60.0)
    assert simulation.scheduler.jobs[JOB_ID].state is JobState.FAILED
    for name in simulation.deadly_tasks:
        starts = [start for _, start in simulation.starts if start.task == name]
        assert len(starts) <= MAX_CRASHED_WORKERS


def test_suspects_use_one_worker_at_a_time_until_one_has_outlived_its_start():
    simulation = make_simulation(EIGHT_WORKERS, None)
    await_starts(simulation)
    lose_workers(simulation, 1.0)
    first = len(simulation.starts)
    simulation.run_for(8.0)
    at_s = [start_s for start_s, _ in simulation.starts[first:]]
    assert len(at_s) == TASKS
    for start_s in at_s:
        outlived = [other_s for other_s in at_s if other_s <= start_s - RECENT_START_S]
        started = [other_s for other_s in at_s if other_s <= start_s]
        assert len(started) - len(outlived) <= 1 + len(outlived)
