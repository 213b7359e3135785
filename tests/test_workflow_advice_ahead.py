"""Advice that is requested before the lease of a silent worker lapses."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.messages import Ticket
from fuchsiadale.decision.workflow.ordering import PREEMPTING_AFTER_S
from tests.advice_builders import SLOW_ADVICE, TICK_S, AdvisedPlay
from tests.workflow_builders import (
    ADVICE,
    LANES,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

LEASE_S = 4.5
QUEUE = make_queue(priority=2, stretch=100.0, advice=SLOW_ADVICE)
CHEAP_QUEUE = make_queue(priority=2, stretch=100.0, advice=ADVICE)


def make_play(
    jobs: int = 1, workers: int = 4, queue: Queue = QUEUE, **step: object
) -> AdvisedPlay:
    """Return a play in which worker-0 has a run of each job."""
    cell = Cell(workers, make_configuration(queue))
    cell.adopt_workers()
    play = AdvisedPlay(cell, permitted={"worker-0"})
    for number in range(jobs):
        cell.scheduler.accept(make_record(number, make_step(**step)), 0.0)
    play.play(5.0)
    assert len(cell.running["worker-0"]) == jobs
    play.permitted = None
    play.calls.clear()
    play.most_open_calls = 0
    for step_state in cell.scheduler.active_steps.values():
        step_state.advice_by_worker.clear()
    return play


@pytest.mark.parametrize("is_lasting", [True, False], ids=["lasting", "ending"])
def test_task_of_a_lapsed_worker_does_not_wait_for_another_advice_call(
    is_lasting: bool,
):
    play = make_play(is_lasting=is_lasting, estimated_s=60.0)
    lapses_s = play.silence("worker-0", LEASE_S)
    play.play(LEASE_S - TICK_S)
    assert len(play.cell.starts) == 1
    waited_s = play.first_start_s(make_record(0).job_id, lapses_s, 5.0)
    assert waited_s <= 2 * TICK_S


def test_granted_workers_alone_are_asked_for_again_if_they_have_ample_room():
    play = make_play(is_lasting=True)
    (step,) = play.cell.scheduler.active_steps.values()
    step.advice_by_worker.update({"worker-1": True, "worker-2": True})
    play.silence("worker-0", LEASE_S)
    play.play(LEASE_S)
    assert [set(call.worker_ids) for _, call in play.calls] == [
        {"worker-1", "worker-2"}
    ]


def test_silence_alone_costs_no_advice_calls():
    play = make_play(is_lasting=True)
    play.silence("worker-0", LEASE_S)
    play.play(LEASE_S / 2)
    assert play.calls == []


def test_advice_is_not_requested_long_before_the_lease_of_a_previous_owner_ends():
    play = make_play(is_lasting=True)
    play.silence("worker-0", 0.5)
    worker = play.cell.scheduler.workers["worker-0"]
    worker.leases.inherited_end_s = play.cell.clock.now() + LEASE_S
    play.play(LEASE_S / 2)
    assert play.calls == []
    play.play(LEASE_S / 2)
    assert len(play.calls) == 1


@pytest.mark.parametrize("is_lasting", [True, False], ids=["lasting", "ending"])
def test_advice_ahead_of_a_lapse_is_requested_once_for_each_step(is_lasting: bool):
    play = make_play(jobs=8, cpu_millis=400, is_lasting=is_lasting, estimated_s=60.0)
    play.silence("worker-0", LEASE_S)
    play.play(LEASE_S + 1.0)
    assert len(play.cell.starts) == 16
    asked = [str(call.step) for _, call in play.calls]
    assert len(asked) == len(set(asked))


def test_advice_ahead_of_a_lapse_leaves_half_of_the_calls_to_waiting_steps():
    play = make_play(jobs=8, queue=CHEAP_QUEUE, cpu_millis=400, is_lasting=True)
    play.silence("worker-0", LEASE_S)
    play.play(LEASE_S - TICK_S)
    assert len(play.calls) == 8
    assert play.most_open_calls == LANES // 2


def test_no_advice_is_requested_ahead_for_work_that_finds_no_room():
    play = make_play(workers=2, cpu_millis=3000, is_lasting=True)
    play.permitted = {"worker-1"}
    play.cell.scheduler.accept(make_record(1, make_step(1, 3000, is_lasting=True)), 0.0)
    play.play(5.0)
    assert len(play.cell.running["worker-1"]) == 1
    play.calls.clear()
    play.silence("worker-0", LEASE_S)
    play.play(LEASE_S - TICK_S)
    assert play.calls == []


def test_advice_ahead_counts_the_room_that_an_overdue_task_may_preempt():
    play = make_play(workers=2, cpu_millis=3000, is_lasting=True)
    play.cell.progress_percent = 5
    resumable = make_step(4, 1000, is_checkpointing=True, estimated_s=60.0)
    play.permitted = {"worker-1"}
    play.cell.scheduler.accept(make_record(1, resumable), 0.0)
    play.play(5.0)
    assert len(play.cell.running["worker-1"]) == 4
    play.permitted = None
    lapses_s = play.silence("worker-0", PREEMPTING_AFTER_S)
    waited_s = play.first_start_s(make_record(0).job_id, lapses_s, 10.0)
    assert waited_s <= 4 * TICK_S


def test_ticket_that_is_still_valid_at_the_lapse_makes_a_call_needless():
    play = make_play(cpu_millis=2000, is_lasting=True)
    (step,) = play.cell.scheduler.active_steps.values()
    lapses_s = play.silence("worker-0", LEASE_S)
    step.advice_by_worker["worker-1"] = True
    step.tickets["worker-1"] = Ticket("t", lapses_s + 1.0)
    waited_s = play.first_start_s(make_record(0).job_id, lapses_s, 2 * LEASE_S)
    assert waited_s <= 2 * TICK_S
    assert play.calls == []


def test_no_advice_is_requested_ahead_for_a_cancelled_job():
    play = make_play(is_lasting=True)
    play.silence("worker-0", LEASE_S)
    play.cell.scheduler.cancel(make_record(0).job_id)
    play.play(LEASE_S)
    assert play.calls == []


def test_lasting_steps_are_served_first_with_advice_ahead_of_a_lapse():
    play = make_play(jobs=2, cpu_millis=400, is_lasting=False, estimated_s=60.0)
    lasting = make_record(9, make_step(1, 400, is_lasting=True))
    play.permitted = {"worker-0"}
    play.cell.scheduler.accept(lasting, 0.0)
    play.play(2.0)
    assert len(play.cell.running["worker-0"]) == 3
    play.permitted = None
    play.calls.clear()
    for step in play.cell.scheduler.active_steps.values():
        step.advice_by_worker.clear()
    play.silence("worker-0", LEASE_S)
    play.play(LEASE_S - TICK_S)
    assert play.calls[0][1].step.job_id == lasting.job_id
