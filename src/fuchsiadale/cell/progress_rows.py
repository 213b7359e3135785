"""Rows of the progress of jobs, which must not exceed the size of a row."""

from __future__ import annotations

from functools import partial

from attrs import evolve
from eliot import log_message
from result import Result

from fuchsiadale.cell.row_values import (
    MAX_ROW_BYTES,
    compress_if_large,
    uncompress,
)
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.workflow.job_progress import JobProgress, collect_progress
from fuchsiadale.decision.workflow.jobs import (
    Job,
)
from fuchsiadale.ports.rows import RowWrite

PROGRESS_TABLE = "progress"


def make_progress_write(job: Job) -> RowWrite:
    """Return the write that records the progress of a job.

    Checkpoints are left out if they do not fit into a row: their tasks then start from
    the beginning after a takeover.
    """
    job_id = job.record.job_id
    progress = collect_progress(job)
    value = compress_if_large(encode(progress))
    if len(value) > MAX_ROW_BYTES:
        log_message("checkpoints_not_recorded", job=job_id, bytes=len(value))
        value = compress_if_large(encode(evolve(progress, checkpoints={})))
    return RowWrite(PROGRESS_TABLE, job_id, value)


def decode_progress(value: bytes) -> Result[JobProgress, str]:
    """Return the progress in the content of a row, or why it cannot be read."""
    return uncompress(value).and_then(partial(decode, as_type=JobProgress))
