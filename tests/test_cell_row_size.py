"""Size of the rows that a cell stores, against the platform's limit."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from attrs import evolve
from result import Ok

from fuchsiadale.cell.gateway import CallerRequest
from fuchsiadale.cell.progress_rows import decode_progress, make_progress_write
from fuchsiadale.cell.rows import (
    JOB_TABLE,
    decode_worker_row,
    load_stored_cell,
    make_worker_write,
)
from fuchsiadale.codec import encode
from fuchsiadale.decision.errors import ErrorKind
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.attempts import LateCrash
from fuchsiadale.decision.workflow.job_progress import collect_progress
from fuchsiadale.decision.workflow.jobs import (
    Job,
    make_job,
)
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.placement import MAX_RUNS_PER_WORKER
from tests.committer_setup import CommitterSetup
from tests.test_cell_gateway import GatewayFixture, error_kind
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import Cell, make_entry, make_record, make_step

MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_BYTES = 1_000_000


def make_large_job(tasks: int, checkpoint_digits: int = 16, number: int = 0) -> Job:
    """Return a job whose tasks all have run and saved a checkpoint."""
    random = Random(tasks)
    step = make_step(tasks, is_checkpointing=True)
    job = make_job(make_record(number, step))
    for task in job.tasks():
        task.last_run = 10_001 + random.randrange(3)
        digits = random.choices("0123456789abcdef", k=checkpoint_digits)
        task.checkpoint = "".join(digits)
    return job


def test_progress_of_a_large_job_is_not_beyond_the_size_of_a_row():
    job = make_job(make_record(0, make_step(1000, is_checkpointing=True)))
    for task in job.tasks():
        task.last_run = 10_001
        task.checkpoint = "0123456789abcdef" * 2
    value = make_progress_write(job).value
    assert value is not None
    assert len(value) <= MAX_ROW_BYTES
    assert decode_progress(value).unwrap() == collect_progress(job)


@pytest.mark.parametrize("checkpoint_digits", [16, 200])
def test_progress_of_the_largest_job_is_not_beyond_the_size_of_a_row(
    checkpoint_digits: int,
):
    job = make_large_job(5000, checkpoint_digits)
    value = make_progress_write(job).value
    assert value is not None
    assert len(value) <= MAX_ROW_BYTES
    assert decode_progress(value).unwrap().last_runs == collect_progress(job).last_runs


@pytest.mark.parametrize("tasks", [1500, 5000])
def test_progress_of_a_job_with_many_crashes_is_not_beyond_the_size_of_a_row(
    tasks: int,
):
    job = make_large_job(tasks)
    random = Random(tasks)
    for task in job.tasks():
        task.failures = task.failures.with_failure(random.randrange(1, 10_000))
        for _ in range(4 if task.index % 100 == 0 else 3):
            address = f"10.0.{random.randrange(5)}.{random.randrange(250)}:8080"
            run = random.randrange(1, 1_000_000)
            task.crashes = task.crashes.with_crash(run, address, True)
            late = LateCrash(run, address, random.random())
            task.crashes = task.crashes.with_late_crash(late)
    value = make_progress_write(job).value
    assert value is not None
    assert len(value) <= MAX_ROW_BYTES
    found, full = decode_progress(value).unwrap(), collect_progress(job)
    assert found.failures == full.failures
    most = {str(task.name) for task in job.tasks() if task.index % 100 == 0}
    assert most <= found.crashes.keys() <= full.crashes.keys()


@pytest.mark.parametrize("value", [b"", b"\x78", b"\x78\x9c\x00\xff"])
def test_malformed_progress_is_an_error(value: bytes):
    assert decode_progress(value).is_err()


def test_progress_of_many_large_jobs_is_not_beyond_the_size_of_a_transaction():
    async def main() -> None:
        setup = CommitterSetup()
        jobs = [make_large_job(3000, 24, number) for number in range(40)]
        for job in jobs:
            setup.store.put(JOB_TABLE, job.record.job_id, encode(job.record))
            setup.cell.scheduler.jobs[job.record.job_id] = job
            setup.cell.scheduler.unrecorded_jobs.add(job.record.job_id)
        setup.committer.request_commit()
        await asyncio.sleep(1.0)
        setup.task.cancel()
        assert max(setup.store.transaction_bytes) <= MAX_TRANSACTION_BYTES
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert stored.progress.keys() == {job.record.job_id for job in jobs}

    run_with_virtual_clock(main())


def fill_worker(cell: Cell, worker_id: str, runs: int, seed: int = 0) -> None:
    """Let a worker have runs of as many jobs with random ids."""
    random = Random(seed)
    names = []
    for _ in range(runs):
        record = evolve(make_record(), job_id=f"{random.getrandbits(64):016x}")
        cell.scheduler.recover(record, None, 0.0)
        name = TaskName(StepName(record.job_id, 0, 0), 0)
        names.append((name, 10_000 * random.randrange(1, 40) + random.randrange(99)))
    cell.scheduler.restore_runs(worker_id, names, cell.clock.now() + 10.0)


def test_runs_of_a_worker_are_not_beyond_the_size_of_a_row():
    cell = Cell(1)
    cell.adopt_workers()
    fill_worker(cell, "worker-0", MAX_RUNS_PER_WORKER)
    worker = cell.scheduler.workers["worker-0"]
    value = make_worker_write(worker).value
    assert value is not None
    assert len(value) <= MAX_ROW_BYTES
    assert decode_worker_row(value).unwrap().runs == list(worker.runs)


def test_burst_of_small_tasks_does_not_bring_a_worker_beyond_what_its_row_holds():
    cell = Cell(1)
    cell.entries = [make_entry(0, capacity=Resources(1 << 30, 1 << 30, 0))]
    cell.adopt_workers()
    fill_worker(cell, "worker-0", MAX_RUNS_PER_WORKER - 1)
    cell.scheduler.accept(make_record(1, make_step(3, 1)), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 1


def test_runs_of_many_full_workers_are_not_beyond_the_size_of_a_transaction():
    async def main() -> None:
        setup = CommitterSetup()
        setup.cell.entries = [make_entry(index) for index in range(12)]
        setup.cell.adopt_workers()
        for index in range(12):
            fill_worker(setup.cell, f"worker-{index}", 2000, index)
        for worker in setup.cell.scheduler.workers.values():
            worker.note_recorded(())
        setup.cell.scheduler.unrecorded_jobs.clear()
        setup.committer.request_commit()
        await asyncio.sleep(1.0)
        setup.task.cancel()
        assert max(setup.store.transaction_bytes) <= MAX_TRANSACTION_BYTES
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert [len(row.runs) for row in stored.workers] == [2000] * 12

    run_with_virtual_clock(main())


def test_job_that_does_not_fit_into_a_row_is_refused_at_once():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        random = Random(0)
        steps = [
            make_step(1, random.randrange(1 << 40), image=f"{random.getrandbits(256)}")
            for _ in range(2500)
        ]
        path = "/queue/" + make_record().job_id
        specification = make_record(0, *steps).specification
        outcome = await fixture.gateway.submit(
            CallerRequest("host", path, "key"), Ok(specification)
        )
        assert error_kind(outcome) is ErrorKind.TOO_LARGE
        assert fixture.store.applied_writes == []

    run_with_virtual_clock(main())
