"""Workers lost for the same cause that the owner notices some time apart."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.jobs import JobState
from tests.test_workflow_crash_series import (
    RETURN_S,
    WORKERS,
    complete_job,
    find_worker,
    list_others,
    start_job,
)
from tests.test_workflow_crashes import (
    JOB_ID,
    MAX_CRASHED_WORKERS,
    CrashingCell,
    make_cell,
)
from tests.workflow_builders import make_record, make_step

ROUNDS = 15


def lose_worker(cell: CrashingCell, worker_id: str, failure: str) -> None:
    """Let the owner notice that a worker does not answer, which has crashed."""
    cell.running[worker_id].clear()
    cell.scheduler.mark_worker_unresponsive(worker_id, failure)


def return_workers(cell: CrashingCell, *worker_ids: str) -> None:
    """Start crashed workers again, and poll all that answer."""
    for worker_id in worker_ids:
        cell.replace_worker(worker_id)
    poll_answering(cell)


def poll_answering(cell: CrashingCell, *silent_ids: str) -> None:
    """Poll the workers that answer, and check timeouts as the owner does."""
    for entry in cell.entries:
        worker = cell.scheduler.workers[entry.worker_id]
        is_lost = worker.unresponsive_since_s is not None
        if not is_lost and entry.worker_id not in silent_ids:
            cell.poll(entry.worker_id)
    cell.execute(cell.scheduler.check_timeouts())


def settle(cell: CrashingCell) -> None:
    """Wait until all workers lost together must have been noticed."""
    cell.settle_crashes()
    poll_answering(cell)


def make_cell_with_job(workers: int = WORKERS) -> CrashingCell:
    cell = make_cell(workers)
    cell.scheduler.accept(make_record(0), 0.0)
    return cell


@pytest.mark.parametrize("spread_s", [0.15, 0.3, 0.69])
def test_job_is_not_given_up_for_crashes_of_which_its_own_is_noticed_first(
    spread_s: float,
):
    cell = make_cell_with_job()
    for _ in range(MAX_CRASHED_WORKERS - 1):
        start_job(cell)
        cell.clock.advance(0.01)
        worker_id, others = find_worker(cell), list_others(cell)[:2]
        lose_worker(cell, worker_id, "disconnected")
        cell.clock.advance(spread_s)
        for other_id in others:
            lose_worker(cell, other_id, "disconnected")
        cell.clock.advance(RETURN_S)
        return_workers(cell, worker_id, *others)
        settle(cell)
    complete_job(cell)


@pytest.mark.parametrize("spread_s", [0.15, 0.3, 0.69])
def test_job_is_not_given_up_for_crashes_of_which_its_own_is_noticed_last(
    spread_s: float,
):
    cell = make_cell_with_job()
    for _ in range(MAX_CRASHED_WORKERS - 1):
        others = [entry.worker_id for entry in cell.entries[:2]]
        for other_id in others:
            lose_worker(cell, other_id, "disconnected")
        cell.clock.advance(spread_s - 0.01)
        start_job(cell)
        cell.clock.advance(0.01)
        worker_id = find_worker(cell)
        lose_worker(cell, worker_id, "disconnected")
        cell.clock.advance(RETURN_S)
        return_workers(cell, worker_id, *others)
        settle(cell)
    complete_job(cell)


@pytest.mark.parametrize("noticed_s", [0.5, 1.1, 2.3])
def test_job_is_not_given_up_beside_workers_noticed_once_their_polls_time_out(
    noticed_s: float,
):
    cell = make_cell_with_job()
    for _ in range(MAX_CRASHED_WORKERS - 1):
        poll_answering(cell)
        start_job(cell)
        cell.clock.advance(0.01)
        worker_id, others = find_worker(cell), list_others(cell)[:2]
        lose_worker(cell, worker_id, "disconnected")
        back_s = min(RETURN_S, noticed_s)
        cell.clock.advance(back_s)
        cell.replace_worker(worker_id)
        poll_answering(cell, *others)
        cell.clock.advance(noticed_s - back_s)
        for other_id in others:
            lose_worker(cell, other_id, "no_answer")
        cell.clock.advance(RETURN_S)
        return_workers(cell, *others)
        settle(cell)
    complete_job(cell)


@pytest.mark.parametrize("failure", ["disconnected", "no_answer"])
def test_deadly_task_is_given_up_after_two_workers(failure: str):
    cell = make_cell_with_job()
    for _ in range(ROUNDS):
        poll_answering(cell)
        cell.plan_and_execute()
        crashed = [name for name, runs in cell.running.items() if runs]
        cell.clock.advance(0.01)
        for worker_id in crashed:
            lose_worker(cell, worker_id, failure)
        cell.clock.advance(RETURN_S)
        return_workers(cell, *crashed)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert len(cell.starts) == 2


@pytest.mark.parametrize("failure", ["disconnected", "no_answer"])
@pytest.mark.parametrize("spread_s", [0.05, 0.3, 0.7])
def test_deadly_tasks_do_not_excuse_each_other(spread_s: float, failure: str):
    cell = make_cell(12)
    records = [make_record(number, make_step(1, 4000)) for number in range(3)]
    for record in records:
        cell.scheduler.accept(record, 0.0)
    for _ in range(ROUNDS):
        poll_answering(cell)
        cell.plan_and_execute()
        crashed = [name for name, runs in cell.running.items() if runs]
        cell.clock.advance(0.01)
        for worker_id in crashed:
            lose_worker(cell, worker_id, failure)
            cell.clock.advance(spread_s)
        cell.clock.advance(RETURN_S)
        return_workers(cell, *crashed)
    for record in records:
        assert cell.scheduler.jobs[record.job_id].state is JobState.FAILED
        starts = [s for s in cell.starts if s.task.step.job_id == record.job_id]
        assert len(starts) <= MAX_CRASHED_WORKERS


@pytest.mark.parametrize("quiet_round", range(4))
@pytest.mark.parametrize(
    ("noticed_s", "failure"),
    [(0.05, "disconnected"), (0.5, "disconnected"), (1.1, "no_answer")],
)
def test_deadly_task_is_given_up_though_others_crash_beside_it_but_once(
    noticed_s: float, failure: str, quiet_round: int
):
    cell = make_cell_with_job(8)
    for number in range(ROUNDS):
        if cell.scheduler.jobs[JOB_ID].state.is_final:
            break
        start_job(cell)
        cell.clock.advance(0.01)
        worker_id = find_worker(cell)
        others = [] if number == quiet_round else list_others(cell)[:2]
        lose_worker(cell, worker_id, "disconnected")
        cell.clock.advance(noticed_s)
        for other_id in others:
            lose_worker(cell, other_id, failure)
        cell.clock.advance(RETURN_S)
        return_workers(cell, worker_id, *others)
        settle(cell)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert len(cell.starts) <= MAX_CRASHED_WORKERS


@pytest.mark.parametrize(
    ("noticed_s", "failure"), [(0.5, "disconnected"), (1.1, "no_answer")]
)
def test_deadly_task_is_given_up_though_others_crash_at_another_time_each_time(
    noticed_s: float, failure: str
):
    cell = make_cell_with_job(8)
    for _ in range(ROUNDS):
        if cell.scheduler.jobs[JOB_ID].state.is_final:
            break
        start_job(cell)
        cell.clock.advance(0.01)
        worker_id, others = find_worker(cell), list_others(cell)[:2]
        lose_worker(cell, worker_id, "disconnected")
        cell.clock.advance(noticed_s)
        for other_id in others:
            lose_worker(cell, other_id, failure)
        cell.clock.advance(RETURN_S)
        return_workers(cell, worker_id, *others)
        settle(cell)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert len(cell.starts) <= MAX_CRASHED_WORKERS
