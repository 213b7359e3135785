"""Size of the rows that a cell stores, against the platform's limit."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from fuchsiadale.cell.progress_rows import decode_progress, make_progress_write
from fuchsiadale.cell.rows import JOB_TABLE, load_stored_cell
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.jobs import Job, collect_progress, make_job
from tests.committer_setup import CommitterSetup
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_record, make_step

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
