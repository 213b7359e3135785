"""Which ends of runs count as attempts, and from which count a job is failed."""

from __future__ import annotations

from random import Random

import orjson
import pytest
from attrs import evolve
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fuchsiadale.cell.progress_rows import decode_progress, make_progress_write
from fuchsiadale.decision.workflow.configuration import Queue
from fuchsiadale.decision.workflow.jobs import Job, JobState
from fuchsiadale.decision.workflow.messages import EndKind, StartOutcome, StartRun
from fuchsiadale.decision.workflow.specification import JobRecord, Schedule
from fuchsiadale.platform.documents import decode_configuration
from tests.test_platform_adapter import CONFIGURATION
from tests.test_workflow_model import (
    ROUNDS,
    make_numbered_record,
    run_normal_round,
    run_random_event,
)
from tests.workflow_builders import (
    STARTED_MS,
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)
from tests.workflow_simulation import ClusterSimulation

LEASE_LAPSE_S = 15.0
ONE_ATTEMPT = make_configuration(make_queue(max_attempts=1))


def make_cell(*queues: Queue, workers: int = 2) -> Cell:
    """Return a cell whose workers have answered."""
    cell = Cell(workers, make_configuration(*queues))
    cell.adopt_workers()
    return cell


def only_job(cell: Cell) -> Job:
    (job,) = cell.scheduler.jobs.values()
    return job


def start_job(cell: Cell, record: JobRecord) -> Job:
    """Accept a job and start the tasks that are due."""
    cell.scheduler.accept(record, 0.0)
    cell.plan_and_execute()
    return only_job(cell)


def take_over(former: Cell, epoch: int, is_recorded: bool = True) -> Cell:
    """Return the cell under a new owner that reads what the former one recorded."""
    cell = Cell(len(former.entries), former.scheduler.configuration, epoch)
    cell.running, cell.listed_ends = former.running, former.listed_ends
    job = only_job(former)
    progress = None
    if is_recorded:
        value = make_progress_write(job).value
        assert value is not None
        progress = decode_progress(value).unwrap()
    cell.scheduler.recover(job.record, progress, 0.0)
    cell.scheduler.update_registrations(cell.entries)
    for worker_id, worker in former.scheduler.workers.items():
        ends_s = cell.clock.now() + LEASE_LAPSE_S
        runs = list(worker.runs)
        cell.scheduler.restore_runs(worker_id, runs, ends_s, STARTED_MS)
    cell.clock.advance(0.01)
    cell.poll_all()
    return cell


@pytest.mark.parametrize(
    "kind", [kind for kind in EndKind if kind not in (EndKind.DONE, EndKind.FAILED)]
)
def test_end_of_another_kind_than_failed_is_not_an_attempt(kind: EndKind):
    cell = Cell(2, ONE_ATTEMPT)
    cell.adopt_workers()
    job = start_job(cell, make_record(0, make_step(2, is_gang=True)))
    for number in range(2, 6):
        cell.end_all_runs(kind)
        cell.plan_and_execute()
        assert [order.run for order in cell.starts[-2:]] == [number] * 2
    assert job.state is JobState.RUNNING


@pytest.mark.parametrize(
    "outcome",
    [item for item in StartOutcome if item is not StartOutcome.STARTED],
)
def test_start_that_is_refused_or_not_answered_is_not_an_attempt(
    outcome: StartOutcome,
):
    cell = Cell(2, ONE_ATTEMPT)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    for _ in range(5):
        for order in cell.plan():
            if isinstance(order, StartRun):
                cell.execute(cell.scheduler.note_start_outcome(order, outcome))
        cell.clock.advance(5.0)
        cell.poll_all()
    assert not only_job(cell).state.is_final


def test_run_that_is_lost_with_its_lease_is_not_an_attempt():
    cell = Cell(1, ONE_ATTEMPT)
    cell.adopt_workers()
    job = start_job(cell, make_record())
    for _ in range(3):
        cell.scheduler.mark_worker_unresponsive("worker-0")
        cell.clock.advance(LEASE_LAPSE_S)
        cell.execute(cell.scheduler.check_timeouts())
        cell.running["worker-0"].clear()
        cell.poll_all()
        cell.plan_and_execute()
    assert [order.run for order in cell.starts] == [1, 2, 3, 4]
    assert job.state is JobState.RUNNING


def test_failed_end_that_is_reported_again_is_counted_once():
    cell = make_cell(make_queue(max_attempts=2))
    job = start_job(cell, make_record())
    cell.end_all_runs(EndKind.FAILED)
    for _ in range(3):
        cell.poll_all()
    for started_ms in (STARTED_MS + 1, STARTED_MS, STARTED_MS + 1):
        cell.poll(cell.starts[0].worker_id, started_ms)
    assert job.tasks()[0].failures.count == 1
    assert job.state is JobState.RUNNING


@pytest.mark.parametrize(
    ("is_recorded", "is_acknowledged"), [(False, False), (True, False), (True, True)]
)
@pytest.mark.parametrize("is_gang", [False, True])
def test_failed_end_is_counted_once_by_owners_in_series(
    is_recorded: bool, is_acknowledged: bool, is_gang: bool
):
    cell = make_cell(make_queue(max_attempts=2))
    start_job(cell, make_record(0, make_step(2, is_gang=is_gang)))
    first = cell.starts[0]
    cell.end_run(first.worker_id, first.task, first.run, EndKind.FAILED)
    cell.poll_all()
    cell.poll_all()
    if is_acknowledged:
        cell.listed_ends = {worker_id: [] for worker_id in cell.running}
    for epoch in range(2, 6):
        cell = take_over(cell, epoch, is_recorded)
        job = only_job(cell)
        step = job.steps[0, 0]
        counts = [task.failures.count for task in step.tasks]
        assert counts == [1, 0]
        assert step.gang_failures.count == (1 if is_gang else 0)
        assert not job.state.is_final


def test_run_whose_failed_end_was_acknowledged_is_not_counted_by_the_next_owner():
    cell = make_cell(make_queue(max_attempts=2))
    start_job(cell, make_record())
    worker_id = cell.starts[0].worker_id
    stale_runs = list(cell.scheduler.workers[worker_id].runs)
    cell.end_all_runs(EndKind.FAILED)
    cell.listed_ends.clear()
    former_worker = cell.scheduler.workers[worker_id]
    former_worker.runs = dict.fromkeys(stale_runs)  # type: ignore[arg-type]
    cell = take_over(cell, 2)
    cell.clock.advance(1.0)
    cell.poll_all()
    task = only_job(cell).tasks()[0]
    assert task.failures.count == 1
    assert task.runs == []
    cell.plan_and_execute()
    assert len(cell.starts) == 1


def test_failed_end_that_is_read_after_its_lease_lapsed_is_counted_once():
    cell = make_cell(make_queue(max_attempts=3))
    job = start_job(cell, make_record())
    worker_id = cell.starts[0].worker_id
    cell.scheduler.mark_worker_unresponsive(worker_id)
    cell.end_run(worker_id, cell.starts[0].task, 1, EndKind.FAILED)
    cell.clock.advance(LEASE_LAPSE_S)
    cell.execute(cell.scheduler.check_timeouts())
    for _ in range(3):
        cell.poll(worker_id)
    assert job.tasks()[0].failures.count == 1
    cell.plan_and_execute()
    cell.end_all_runs(EndKind.FAILED)
    assert job.tasks()[0].failures.count == 2
    assert job.state is JobState.RUNNING


def test_failed_ends_of_a_gang_are_counted_once_for_each_run():
    cell = make_cell(make_queue(max_attempts=3), workers=3)
    job = start_job(cell, make_record(0, make_step(3, is_gang=True)))
    step = job.steps[0, 0]
    cell.end_all_runs(EndKind.FAILED)
    assert step.gang_failures.count == 1
    for index in (0, 1):
        assert job.state is JobState.RUNNING
        cell.plan_and_execute()
        failing = next(order for order in cell.starts[-3:] if order.task.index == index)
        cell.end_run(failing.worker_id, failing.task, failing.run, EndKind.FAILED)
        for _ in range(3):
            cell.poll_all()
    assert step.gang_failures.count == 3
    assert [task.failures.count for task in step.tasks] == [2, 2, 1]
    assert job.state is JobState.FAILED


def test_failed_ends_of_different_tasks_steps_and_occurrences_are_not_added_up():
    cell = make_cell(make_queue(max_attempts=2), workers=3)
    specification = make_record(0, make_step(2), make_step(2)).specification
    schedule = Schedule(0.0, 0.0, 2)
    record = evolve(
        make_record(), specification=evolve(specification, schedule=schedule)
    )
    job = start_job(cell, record)
    assert len(cell.starts) == 8
    cell.end_all_runs(EndKind.FAILED)
    cell = take_over(cell, 2)
    job = only_job(cell)
    assert [task.failures.count for task in job.tasks()] == [1] * 8
    assert job.state is JobState.RUNNING


@pytest.mark.parametrize("numbers", [(1, 2), (2, 1)])
def test_failed_copies_of_a_task_are_counted_at_most_once_each(
    numbers: tuple[int, ...],
):
    cell = make_cell(make_queue(max_attempts=3))
    job = start_job(cell, make_record(0, make_step(1, allows_copies=True)))
    first = cell.starts[0]
    other_id = "worker-1" if first.worker_id == "worker-0" else "worker-0"
    cell.running[other_id][first.task, 2] = ""
    for number in numbers:
        worker_id = first.worker_id if number == 1 else other_id
        cell.end_run(worker_id, first.task, number, EndKind.FAILED)
        for _ in range(3):
            cell.poll(worker_id)
    assert 1 <= job.tasks()[0].failures.count <= 2
    assert job.state is JobState.RUNNING


@pytest.mark.parametrize("state", [JobState.CANCELLED, JobState.COMPLETED])
def test_ended_job_is_not_failed_by_a_later_failed_end(state: JobState):
    cell = Cell(2, ONE_ATTEMPT)
    cell.adopt_workers()
    job = start_job(cell, make_record(0, make_step(2, is_gang=True)))
    first, second = cell.starts
    if state is JobState.CANCELLED:
        cell.scheduler.cancel(job.record.job_id)
    else:
        cell.end_run(first.worker_id, first.task, first.run)
        cell.poll(first.worker_id)
    cell.end_run(second.worker_id, second.task, second.run, EndKind.FAILED)
    cell.poll_all()
    assert job.state is state


def test_job_is_not_failed_by_another_run_of_a_task_that_is_done():
    cell = make_cell(make_queue(max_attempts=1))
    steps = (make_step(1), make_step(1, after=(0,)))
    job = start_job(cell, make_record(0, *steps))
    first = cell.starts[0]
    cell.scheduler.mark_worker_unresponsive(first.worker_id)
    cell.end_run(first.worker_id, first.task, first.run)
    cell.clock.advance(LEASE_LAPSE_S)
    cell.execute(cell.scheduler.check_timeouts())
    cell.plan_and_execute()
    second = cell.starts[1]
    assert second.task == first.task
    cell.end_run(second.worker_id, second.task, second.run, EndKind.FAILED)
    cell.poll(first.worker_id)
    cell.poll(second.worker_id)
    cell.plan_and_execute()
    cell.end_all_runs()
    assert job.state is JobState.COMPLETED


def test_failed_end_of_a_job_that_is_not_known_changes_no_other_job():
    cell = Cell(2, ONE_ATTEMPT)
    cell.adopt_workers()
    job = start_job(cell, make_record(0))
    first = cell.starts[0]
    other = evolve(first.task, step=evolve(first.task.step, job_id="f" * 16))
    cell.running[first.worker_id][other, 1] = ""
    cell.end_run(first.worker_id, other, 1, EndKind.FAILED)
    cell.poll_all()
    assert job.state is JobState.RUNNING
    assert job.tasks()[0].failures.count == 0


def test_version_without_the_queue_does_not_lower_its_number_of_attempts():
    cell = make_cell(make_queue(max_attempts=3))
    job = start_job(cell, make_record())
    cell.scheduler.apply_configuration(
        make_configuration(make_queue("other", max_attempts=1), version=2)
    )
    for _ in range(2):
        cell.end_all_runs(EndKind.FAILED)
        cell.plan_and_execute()
    assert job.state is JobState.RUNNING


def test_older_version_does_not_change_the_number_of_attempts():
    cell = make_cell(make_queue(max_attempts=3))
    job = start_job(cell, make_record())
    cell.scheduler.apply_configuration(make_configuration(make_queue(), version=9))
    cell.scheduler.apply_configuration(
        make_configuration(make_queue(max_attempts=1), version=8)
    )
    cell.end_all_runs(EndKind.FAILED)
    assert job.state is JobState.RUNNING


def test_removed_queue_keeps_its_attempts_under_an_owner_that_never_knew_it():
    cell = make_cell(make_queue("other", max_attempts=1))
    record = evolve(make_record(), queue_definition=make_queue(max_attempts=3))
    cell.scheduler.recover(record, None, 0.0)
    for _ in range(2):
        cell.plan_and_execute()
        cell.end_all_runs(EndKind.FAILED)
    assert only_job(cell).state is JobState.RUNNING


def test_job_whose_queue_is_not_known_is_not_failed():
    cell = make_cell(make_queue("other", max_attempts=1))
    cell.scheduler.recover(make_record(), None, 0.0)
    task = only_job(cell).tasks()[0]
    for number in range(1, 5):
        cell.running["worker-0"][task.name, number] = ""
        cell.poll_all()
        cell.end_all_runs(EndKind.FAILED)
    assert task.failures.count == 4
    assert not only_job(cell).state.is_final


@pytest.mark.parametrize("given", [{}, {"max_attempts": 0}, {"max_attempts": 1}])
def test_queue_without_a_number_of_attempts_fails_a_job_at_its_first_failed_run(
    given: dict[str, int],
):
    route = {key: CONFIGURATION["routes"][0][key] for key in ("name", "host")}  # type: ignore[index]
    route |= {"path_prefix": "/x/", "service": "pool", **given}
    document = {**CONFIGURATION, "routes": [route]}
    configuration = decode_configuration(orjson.dumps(document)).unwrap()
    cell = Cell(1, configuration)
    cell.adopt_workers()
    job = start_job(cell, make_record(queue="r-1"))
    assert job.state is JobState.RUNNING
    cell.end_all_runs(EndKind.STOPPED)
    cell.plan_and_execute()
    assert job.state is JobState.RUNNING
    cell.end_all_runs(EndKind.FAILED)
    assert job.state is JobState.FAILED


class CountingSimulation(ClusterSimulation):
    """Simulation that compares counted with real failures after each report."""

    def poll(self, worker_id: str, is_answered: bool) -> None:
        super().poll(worker_id, is_answered)
        for job in self.scheduler.jobs.values():
            for task in job.tasks():
                assert task.failures.count <= self.all_failures.get(task.name, 0), (
                    "a failure was counted more often than it happened"
                )


@settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.integers(0, 1 << 40))
def test_random_losses_delays_and_takeovers_add_no_failure(seed: int):
    random = Random(seed)
    simulation = CountingSimulation()
    for worker_id in simulation.worker_ids:
        simulation.poll(worker_id, True)
    for number in range(4):
        simulation.accept(make_numbered_record(number))
    simulation.record_progress()
    for _ in range(ROUNDS):
        if random.random() < 0.4:
            run_normal_round(simulation, random)
        else:
            run_random_event(simulation, random)
