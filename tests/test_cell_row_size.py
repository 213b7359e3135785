"""Size of the rows that a cell stores, against the platform's limit."""

from __future__ import annotations

from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.jobs import collect_progress, make_job
from tests.workflow_builders import make_record, make_step

MAX_ROW_BYTES = 65_536


def test_progress_of_a_large_job_is_not_beyond_the_size_of_a_row():
    job = make_job(make_record(0, make_step(1000, is_checkpointing=True)))
    for task in job.tasks():
        task.last_run = 10_001
        task.checkpoint = "0123456789abcdef" * 2
    assert len(encode(collect_progress(job))) <= MAX_ROW_BYTES
