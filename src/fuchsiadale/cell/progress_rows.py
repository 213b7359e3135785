"""Rows of the progress of jobs, which must not exceed the size of a row."""

from __future__ import annotations

import zlib

from attrs import evolve
from eliot import log_message
from result import Err, Result

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.workflow.jobs import Job, JobProgress, collect_progress
from fuchsiadale.ports.rows import RowWrite

PROGRESS_TABLE = "progress"

MAX_ROW_BYTES = 65_536
"""Maximum size of the content of a row in bytes."""

MAX_PLAIN_BYTES = 32_768
"""Size in bytes above which the content of a row is compressed."""

MAX_UNCOMPRESSED_BYTES = 1 << 24
"""Maximum size in bytes of the compressed content of a row once it is uncompressed."""

_ZLIB_HEADER = b"\x78"
"""First byte of compressed content; that of plain content stands for a map."""


def make_progress_write(job: Job) -> RowWrite:
    """Return the write that records the progress of a job.

    Checkpoints are left out if they do not fit into a row: their tasks then start from
    the beginning after a takeover.
    """
    job_id = job.record.job_id
    progress = collect_progress(job)
    value = _compress_if_large(encode(progress))
    if len(value) > MAX_ROW_BYTES:
        log_message("checkpoints_not_recorded", job=job_id, bytes=len(value))
        value = _compress_if_large(encode(evolve(progress, checkpoints={})))
    return RowWrite(PROGRESS_TABLE, job_id, value)


def decode_progress(value: bytes) -> Result[JobProgress, str]:
    """Return the progress in the content of a row, or why it cannot be read."""
    if value.startswith(_ZLIB_HEADER):
        decompressor = zlib.decompressobj()
        try:
            value = decompressor.decompress(value, MAX_UNCOMPRESSED_BYTES)
        except zlib.error as error:
            return Err(f"the data cannot be uncompressed: {error}")
        if not decompressor.eof:
            return Err("the compressed data is incomplete or too large")
    return decode(value, JobProgress)


def _compress_if_large(value: bytes) -> bytes:
    return zlib.compress(value) if len(value) > MAX_PLAIN_BYTES else value
