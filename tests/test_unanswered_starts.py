"""Starts of lasting tasks that are left unanswered, as their worker is gone."""

from __future__ import annotations

import pytest

from fuchsiadale.cell.worker_clock import LEASE_S
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import AdviceTiming
from tests.loss_simulation import LossSimulation
from tests.test_lasting_suspects import ADVICE, MAX_TASK_GAP_S
from tests.workflow_builders import (
    make_configuration,
    make_entry,
    make_queue,
    make_record,
    make_step,
)

BEST = "worker-0"  # Its capacity fits the task best, so that the task starts there.
PHASES_S = [0.1 * number for number in range(24)]
"""Times from the loss of an idle worker until a task arrives; polls notice it by then.
"""


def make_simulation(advice: AdviceTiming | None) -> LossSimulation:
    capacities = {0: Resources(1000, 100, 0)}
    entries = [
        make_entry(index, capacity=capacities.get(index, Resources(4000, 4000, 4)))
        for index in range(4)
    ]
    configuration = make_configuration(make_queue(advice=advice))
    simulation = LossSimulation(entries, configuration)
    simulation.run_for(5.0)
    return simulation


def await_start(simulation: LossSimulation) -> float:
    """Return when the task has started on a worker that is up."""
    while not simulation.starts:
        simulation.run_for(0.01)
        assert simulation.clock.now() < 200.0
    return simulation.starts[0][0]


def lose_start(simulation: LossSimulation) -> float:
    """Lose a worker silently just before a task starts there; return when."""
    lost_s = simulation.clock.now()
    simulation.crash([BEST], is_silent=True)
    simulation.accept(make_record(0, make_step(is_lasting=True)))
    simulation.run_for(1.0)
    task = simulation.scheduler.jobs[make_record().job_id].tasks()[0]
    assert [run.worker_id for run in task.runs] == [BEST]
    return lost_s


@pytest.mark.parametrize("advice", [None, ADVICE])
def test_task_whose_start_is_left_unanswered_does_not_wait_too_long(
    advice: AdviceTiming | None,
):
    for phase_s in PHASES_S:
        simulation = make_simulation(advice)
        lost_s = simulation.clock.now()
        simulation.crash([BEST], is_silent=True)
        simulation.run_for(phase_s)
        simulation.accept(make_record(0, make_step(is_lasting=True)))
        assert await_start(simulation) - lost_s <= MAX_TASK_GAP_S


@pytest.mark.parametrize("after_s", [0.1, 0.5, 1.0, 2.0, 3.0])
def test_task_does_not_wait_for_the_lease_of_an_unanswered_worker_that_is_replaced(
    after_s: float,
):
    simulation = make_simulation(None)
    lost_s = lose_start(simulation)
    simulation.run_for(after_s)
    simulation.replace(BEST)
    assert await_start(simulation) - lost_s < LEASE_S


@pytest.mark.parametrize("after_s", [0.1, 0.5, 1.0, 2.0, 3.0, 3.9])
def test_task_whose_unanswered_worker_restarts_does_not_wait_too_long(after_s: float):
    simulation = make_simulation(None)
    lost_s = lose_start(simulation)
    simulation.run_for(after_s)
    simulation.restart(BEST)
    assert await_start(simulation) - lost_s <= MAX_TASK_GAP_S
