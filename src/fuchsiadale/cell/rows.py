"""Rows that a cell keeps in the store, and functions to read and write them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeVar

from attrs import frozen
from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.cell.progress_rows import PROGRESS_TABLE, decode_progress
from fuchsiadale.cell.row_values import compress_if_large, uncompress
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.workflow.job_progress import JobProgress
from fuchsiadale.decision.workflow.jobs import (
    Job,
)
from fuchsiadale.decision.workflow.messages import WorkerEntry
from fuchsiadale.decision.workflow.names import TaskName, parse_task_name
from fuchsiadale.decision.workflow.specification import NO_SPECIFICATION, JobRecord
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.ports.rows import (
    RowPage,
    RowStore,
    RowWrite,
    StoreFailure,
    TableRow,
)
from fuchsiadale.ports.store_clock import StoreClock

T = TypeVar("T")

JOB_TABLE = "job"
WORKER_TABLE = "worker"
CANCEL_SUFFIX = "/cancel"


ROWS_PER_SLICE = 100
"""Rows that are decoded, or jobs that are recovered, without a pause; some 10 ms."""

PAGE_TIMEOUT_S = 6.0
"""Timeout of reading one page of a table in seconds.

A page of 1 MB takes 2 s over the slowest link of 5 Mbit/s, beside pages of other tables
more. The reader's ownership is renewed meanwhile.
"""

PAGE_ATTEMPTS = 8
"""Attempts of a new owner to read a page; pages before it are not read again."""

PAGE_RETRY_DELAY_S = 0.2
"""Seconds between two attempts to read a page."""


@frozen
class WorkerRow:
    """Row of a worker and of every run that the owner may have started on it.

    Attributes
    ----------
    entry : WorkerEntry
        The worker's registration.
    run_texts : list of str
        ``task#number`` of each run that may be present on the worker.
    started_ms : int
        Start of the worker's incarnation that last answered the owner, in Unix
        milliseconds; 0 if it had not answered.
    misdated_leases_end_ms : int
        What the store's clock shows at most when the leases have ended that orders for
        another incarnation may have granted; 0 if there are none.
    """

    entry: WorkerEntry
    run_texts: list[str]
    started_ms: int = 0
    misdated_leases_end_ms: int = 0

    @property
    def runs(self) -> list[tuple[TaskName, int]]:
        """Task and number of each run that may be present on the worker.

        Runs with an invalid task name or number are left out.
        """
        named = (text.rpartition("#") for text in self.run_texts)
        return [
            (task, int(number))
            for name, _, number in named
            if (task := parse_task_name(name)) is not None and number.isdecimal()
        ]


def make_worker_write(
    worker: TrackedWorker, clock: StoreClock | None = None
) -> RowWrite:
    """Return the write that records a worker for a later owner.

    Parameters
    ----------
    worker : TrackedWorker
        The worker.
    clock : StoreClock, optional
        Last reading of the store's clock.
    """
    run_texts = [f"{name}#{number}" for name, number in worker.runs]
    misdated_end_s = worker.leases.misdated_end_s
    end_ms = clock.latest_ms(misdated_end_s) if clock and misdated_end_s else 0
    row = WorkerRow(worker.entry, run_texts, worker.started_ms, end_ms)
    value = compress_if_large(encode(row))
    return RowWrite(WORKER_TABLE, worker.entry.worker_id, value)


def decode_worker_row(value: bytes) -> Result[WorkerRow, str]:
    """Return the worker in the content of a row, or why it cannot be read."""
    return uncompress(value).and_then(partial(decode, as_type=WorkerRow))


@frozen
class _EndedJob:
    """The fields of a stored job that are needed once it has ended."""

    job_id: str
    queue: str
    workspace: str
    accepted_s: float


@frozen
class StoredCell:
    """Stored state of a cell, from which a new owner recovers.

    Rows that cannot be decoded are left out, and so are jobs whose progress cannot be,
    since their ended tasks must not run again.

    Attributes
    ----------
    records : tuple of JobRecord
        All stored jobs; those that have ended are without their steps.
    progress : dict of str to JobProgress
        Recorded progress by job id; a job without stored progress is missing.
    cancelled : frozenset of str
        Ids of the jobs that their callers cancelled, also of some that are not stored.
    workers : tuple of WorkerRow
        All stored workers.
    version : int
        Version of the store from which changes of the job table must be watched.
    """

    records: tuple[JobRecord, ...]
    progress: dict[str, JobProgress]
    cancelled: frozenset[str]
    workers: tuple[WorkerRow, ...]
    version: int


def make_job_removal(job: Job) -> list[RowWrite]:
    """Return the writes that remove all rows of an ended job."""
    job_id = job.record.job_id
    writes = [RowWrite(JOB_TABLE, job_id, None), RowWrite(PROGRESS_TABLE, job_id, None)]
    if job.is_cancelled:
        writes.append(RowWrite(JOB_TABLE, job_id + CANCEL_SUFFIX, None))
    return writes


def decode_job_record(value: bytes) -> Result[JobRecord, str]:
    """Return the job in the content of a row, or why it cannot be read."""
    return uncompress(value).and_then(partial(decode, as_type=JobRecord))


def make_cancellation_removal(job_id: str) -> RowWrite:
    """Return the write that removes the cancellation of a job that is not stored."""
    return RowWrite(JOB_TABLE, job_id + CANCEL_SUFFIX, None)


def is_cancellation_key(key: str) -> bool:
    """Return whether the key of a row in the job table stands for a cancellation."""
    return key.endswith(CANCEL_SUFFIX)


async def read_table(
    store: RowStore,
    table: str,
    timeout_s: float = PAGE_TIMEOUT_S,
    page_attempts: int = 1,
) -> Result[tuple[tuple[TableRow, ...], int], StoreFailure]:
    """Return all rows of a table and the store's version when the first page was read.

    A watch from this version also delivers changes made while later pages are read.
    """
    rows: list[TableRow] = []
    start = ""
    version: int | None = None
    while True:
        page = await _read_page(store, table, start, timeout_s, page_attempts)
        if isinstance(page, Err):
            return page
        found = page.ok_value
        rows.extend(found.rows)
        version = found.version if version is None else version
        if found.next_start is None:
            return Ok((tuple(rows), version))
        start = found.next_start


async def _read_page(
    store: RowStore, table: str, start: str, timeout_s: float, attempts: int
) -> Result[RowPage, StoreFailure]:
    """Read a page by at most `attempts` attempts."""
    for _ in range(attempts - 1):
        page = await store.read(table, start, timeout_s=timeout_s)
        if page.is_ok():
            return page
        await asyncio.sleep(PAGE_RETRY_DELAY_S)
    return await store.read(table, start, timeout_s=timeout_s)


async def read_row(
    store: RowStore, table: str, key: str, timeout_s: float = 1.0
) -> Result[TableRow | None, StoreFailure]:
    """Return a row, or None if it does not exist."""
    page = await store.read(table, key, 1, timeout_s)
    if isinstance(page, Err):
        return page
    rows = page.ok_value.rows
    return Ok(rows[0] if rows and rows[0].key == key else None)


async def load_stored_cell(store: RowStore) -> Result[StoredCell, StoreFailure]:
    """Return the stored jobs, progress, cancellations and workers of the cell."""
    # Only the owner writes progress and workers, so they are those of the moment in
    # which the ownership was acquired; a watch delivers later changes of jobs.
    jobs, progress, workers = await asyncio.gather(
        read_table(store, JOB_TABLE, page_attempts=PAGE_ATTEMPTS),
        read_table(store, PROGRESS_TABLE, page_attempts=PAGE_ATTEMPTS),
        read_table(store, WORKER_TABLE, page_attempts=PAGE_ATTEMPTS),
    )
    if isinstance(jobs, Err):
        return jobs
    if isinstance(progress, Err):
        return progress
    if isinstance(workers, Err):
        return workers
    job_rows, version = jobs.ok_value
    found_progress, unreadable_progress = await _decode_rows(
        progress.ok_value[0], decode_progress
    )
    found_workers, _ = await _decode_rows(workers.ok_value[0], decode_worker_row)
    # Runs of ended jobs that may be present have to be found in the jobs' steps.
    running = {
        name.step.job_id for row in found_workers.values() for name, _ in row.runs
    }
    ended = {
        job_id
        for job_id, item in found_progress.items()
        if item.state.is_final and job_id not in running
    }
    live_rows: list[TableRow] = []
    ended_rows: list[TableRow] = []
    for row in job_rows:
        if not is_cancellation_key(row.key):
            (ended_rows if row.key in ended else live_rows).append(row)
    live_records, unreadable_live = await _decode_rows(live_rows, decode_job_record)
    ended_records, unreadable_ended = await _decode_rows(ended_rows, _decode_ended_job)
    records = {**live_records, **ended_records}
    return Ok(
        StoredCell(
            tuple(
                record
                for key, record in records.items()
                if key not in unreadable_progress
            ),
            found_progress,
            frozenset(
                row.key.removesuffix(CANCEL_SUFFIX)
                for row in job_rows
                if is_cancellation_key(row.key)
            ).difference(unreadable_live, unreadable_ended, unreadable_progress),
            tuple(found_workers.values()),
            version,
        )
    )


def _decode_ended_job(value: bytes) -> Result[JobRecord, str]:
    """Return an ended job without its steps, which nothing needs any more.

    A cell may hold tens of thousands of ended jobs, and this takes a tenth of the time.
    """
    found = uncompress(value).and_then(partial(decode, as_type=_EndedJob))
    return found.map(
        lambda job: JobRecord(
            job.job_id,
            job.queue,
            job.workspace,
            job.accepted_s,
            NO_SPECIFICATION,
        )
    )


async def _decode_rows(
    rows: Iterable[TableRow], decode_value: Callable[[bytes], Result[T, str]]
) -> tuple[dict[str, T], set[str]]:
    """Return the values of rows by key, and the keys of rows that are unreadable.

    Other tasks of the event loop run in between, such as the renewal of the ownership.
    """
    values: dict[str, T] = {}
    unreadable_keys = set()
    for index, row in enumerate(rows):
        if index % ROWS_PER_SLICE == 0:
            await asyncio.sleep(0)
        decoded = decode_value(row.value)
        if isinstance(decoded, Err):
            unreadable_keys.add(row.key)
            log_message(
                "row_unreadable",
                table=row.table,
                key=row.key,
                problem=decoded.err_value,
            )
        else:
            values[row.key] = decoded.ok_value
    return values, unreadable_keys
