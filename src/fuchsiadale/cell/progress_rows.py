"""Rows of the progress of jobs, which must not exceed the size of a row."""

from __future__ import annotations

from functools import partial
from typing import Any

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

KEPT_CRASHES_MARGIN = 0.8
"""Share of the room for histories of crashes that is used.

Their size once compressed is not known before.
"""


def make_progress_write(job: Job) -> RowWrite:
    """Return the write that records the progress of a job.

    What does not fit into a row is left out, first what costs least after a takeover:
    tasks without checkpoints start from the beginning, and crashes that are forgotten
    are counted anew, but those of the tasks with the most are kept if possible. Runs of
    a later owner have higher numbers in any case.
    """
    job_id = job.record.job_id
    progress = collect_progress(job)
    value = _encode_progress(progress)
    for name in ("checkpoints", "crashes", "survivors", "last_runs"):
        if len(value) <= MAX_ROW_BYTES:
            break
        log_message(f"{name}_not_recorded", job=job_id, bytes=len(value))
        full, full_bytes = progress, len(value)
        left_out: dict[str, Any] = {name: {}}
        progress = evolve(progress, **left_out)
        value = _encode_progress(progress)
        if name == "crashes" and len(value) < MAX_ROW_BYTES:
            share = (MAX_ROW_BYTES - len(value)) / (full_bytes - len(value))
            shortened = _encode_progress(_keep_most_crashes(full, share))
            value = shortened if len(shortened) <= MAX_ROW_BYTES else value
    return RowWrite(PROGRESS_TABLE, job_id, value)


def _encode_progress(progress: JobProgress) -> bytes:
    return compress_if_large(encode(progress))


def _keep_most_crashes(progress: JobProgress, share: float) -> JobProgress:
    """Return progress with the longest histories of crashes, in `share` of the size."""
    sizes = {name: len(encode(item)) for name, item in progress.crashes.items()}
    left = share * KEPT_CRASHES_MARGIN * sum(sizes.values())
    kept = {}
    for name in sorted(sizes, key=sizes.__getitem__, reverse=True):
        left -= sizes[name]
        if left < 0:
            break
        kept[name] = progress.crashes[name]
    return evolve(progress, crashes=kept)


def decode_progress(value: bytes) -> Result[JobProgress, str]:
    """Return the progress in the content of a row, or why it cannot be read."""
    return uncompress(value).and_then(partial(decode, as_type=JobProgress))
