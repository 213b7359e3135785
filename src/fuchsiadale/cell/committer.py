"""Commits the owner's progress and renews its ownership in the same transaction."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import islice

from eliot import log_message
from result import Err, Ok

from fuchsiadale.cell.commit_size import CommitSize
from fuchsiadale.cell.owner_row import (
    CONTROL_TABLE,
    OWNER_KEY,
    read_owner,
    write_owner,
)
from fuchsiadale.cell.past_use_keeper import PastUseKeeper
from fuchsiadale.cell.processed_end import ProcessedEnd
from fuchsiadale.cell.progress_rows import make_progress_write
from fuchsiadale.cell.rows import (
    WORKER_TABLE,
    make_cancellation_removal,
    make_job_removal,
    make_worker_write,
)
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.jobs import Job
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.ports.rows import RowCondition, RowStore, RowWrite, StoreFailure

RENEWAL_INTERVAL_S = 0.45
"""Seconds between two renewals of the ownership.

Peers suspect an owner whose last renewal is more than two intervals old, even if it
still answers; see `STALE_RENEWAL_AGE_S` in the module `ownership`.
"""

BATCHING_DELAY_S = 0.006
"""Seconds for which changes are collected before they are committed together."""

RETRY_DELAY_S = 0.15
"""Seconds before a failed transaction is retried."""

MAX_TRANSACTION_ENTRIES = 100
"""Maximum number of writes and conditions that the store accepts per transaction."""

MAX_ROWS_PER_JOB = 3
"""Rows that a job can have: its record, its progress and its cancellation."""

MAX_JOBS_PER_COMMIT = 45
"""Maximum number of progress rows per transaction; the store accepts 100 entries."""

PROGRESS_SHARE = 0.7
"""Share of a transaction's size that progress rows may take; one row always fits."""

MAX_WORKERS_PER_COMMIT = 45
"""Maximum number of worker rows per transaction; the store accepts 100 entries."""

WORKER_SHARE = 0.3
"""Share of a transaction's size that worker rows may take; one row always fits."""

COMMIT_TIMEOUT_S = 0.8
"""Seconds to wait for the answer to a transaction; then its outcome counts as unknown.

A slow store takes up to this long to answer.
"""

MAX_RESIGN_ATTEMPTS = 3
"""Attempts to store a resignation, of which the first may meet a commit in progress."""


class Committer:
    """Commits progress to the store as long as this process owns the cell.

    Every transaction replaces the owner's row, on the condition that its version is
    unchanged. A transaction with an unknown outcome therefore cannot take effect after
    a later one.

    Parameters
    ----------
    store : RowStore
        Store of the cell.
    scheduler : Scheduler
        Scheduler whose jobs and workers are recorded.
    tenure : Tenure
        The ownership to renew.
    on_recorded : callable
        Called after each commit with the last processed end, whose effects are now
        stored, so that it can be acknowledged, by the id of each worker that has a new
        one. The argument is empty if the transaction could not hold all unrecorded
        jobs.
    on_ownership_lost : callable
        Called with a reason when this process no longer owns the cell.
    past_use : PastUseKeeper, optional
        Offers the record of past use from time to time.
    """

    def __init__(
        self,
        store: RowStore,
        scheduler: Scheduler,
        tenure: Tenure,
        on_recorded: Callable[[dict[str, ProcessedEnd]], None],
        on_ownership_lost: Callable[[str], None],
        past_use: PastUseKeeper | None = None,
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._tenure = tenure
        self._on_recorded = on_recorded
        self._on_ownership_lost = on_ownership_lost
        self._past_use = past_use
        self._commit_requested = asyncio.Event()
        self._recorded_ends: dict[str, ProcessedEnd] = {}
        self._size = CommitSize()

    @property
    def tenure(self) -> Tenure:
        """What permits the owner to act."""
        return self._tenure

    def request_commit(self) -> None:
        """Commit changes soon, without waiting for the next renewal."""
        self._commit_requested.set()

    async def run(self) -> None:
        """Commit changes and renew the ownership until it is lost."""
        while True:
            if not self._has_urgent_changes():
                try:
                    # Unlike wait_for, this does not lose a cancellation in Python 3.11.
                    async with asyncio.timeout(self._get_time_until_renewal()):
                        await self._commit_requested.wait()
                    await asyncio.sleep(BATCHING_DELAY_S)
                except TimeoutError:
                    pass
            self._commit_requested.clear()
            if not await self._commit():
                return

    def _has_urgent_changes(self) -> bool:
        scheduler = self._scheduler
        return bool(scheduler.unrecorded_jobs) or any(
            worker.is_record_awaited for worker in scheduler.workers.values()
        )

    def _collect_workers(self) -> tuple[list[TrackedWorker], list[RowWrite]]:
        """Return workers to record and their writes, as many as a transaction takes.

        Those that are new or have a new run come first.
        """
        stale = [
            worker
            for worker in self._scheduler.workers.values()
            if worker.is_record_stale
        ]
        stale.sort(key=lambda worker: not worker.is_record_awaited)
        workers: list[TrackedWorker] = []
        writes: list[RowWrite] = []
        total_bytes = 0
        for worker in stale[:MAX_WORKERS_PER_COMMIT]:
            write = make_worker_write(worker, self._store.clock)
            total_bytes += len(write.value or b"")
            if workers and total_bytes > WORKER_SHARE * self._size.limit_bytes:
                break
            workers.append(worker)
            writes.append(write)
        return workers, writes

    def _list_past_use_writes(self, others: list[RowWrite]) -> list[RowWrite]:
        """Return the write of past use, unless others need the room of a commit."""
        share = _count_bytes(others) / self._size.limit_bytes
        if self._past_use is None or share > PROGRESS_SHARE:
            return []
        return self._past_use.list_writes()

    def _select_expired_jobs(self, max_entries: int) -> list[Job]:
        """Return expired jobs whose rows at most `max_entries` writes can remove."""
        jobs = self._scheduler.expired_jobs.values()
        return list(islice(jobs, max(0, max_entries // MAX_ROWS_PER_JOB)))

    def _get_time_until_renewal(self) -> float:
        return max(0.0, RENEWAL_INTERVAL_S - self._tenure.renewed_age_s)

    async def _commit(self) -> bool:
        """Commit one transaction; return whether the ownership may still hold."""
        scheduler = self._scheduler
        self._keep_returned_workers()
        jobs, progress_writes = self._collect_progress()
        job_ids = [job.record.job_id for job in jobs]
        has_all_jobs = len(job_ids) == len(scheduler.unrecorded_jobs)
        scheduler.unrecorded_jobs.difference_update(job_ids)
        states_by_job = {job.record.job_id: job.state for job in jobs}
        workers, worker_writes = self._collect_workers()
        processed_ends = self._collect_processed_ends()
        sent_s = asyncio.get_running_loop().time()
        row = self._tenure.make_row(sent_s, self._store.clock)
        writes = [RowWrite(CONTROL_TABLE, OWNER_KEY, encode(row))]
        writes += progress_writes
        writes += worker_writes
        past_use_writes = self._list_past_use_writes(writes)
        writes += past_use_writes
        recorded = [
            (list(worker.runs), worker.started_ms, worker.leases.misdated_end_s)
            for worker in workers
        ]
        retired_ids = list(scheduler.retired_workers)[
            : MAX_TRANSACTION_ENTRIES - 1 - len(writes)
        ]
        writes += [RowWrite(WORKER_TABLE, worker_id, None) for worker_id in retired_ids]
        jobs_to_remove = self._select_expired_jobs(
            MAX_TRANSACTION_ENTRIES - 1 - len(writes)
        )
        for job in jobs_to_remove:
            writes += make_job_removal(job)
        cancellations_to_remove = list(
            islice(
                scheduler.expired_cancellations,
                max(0, MAX_TRANSACTION_ENTRIES - 1 - len(writes)),
            )
        )
        writes += map(make_cancellation_removal, cancellations_to_remove)
        outcome = await self._store.transact(
            tuple(writes),
            (RowCondition(CONTROL_TABLE, OWNER_KEY, self._tenure.version),),
            COMMIT_TIMEOUT_S,
        )
        if isinstance(outcome, Ok):
            self._tenure.note_stored(outcome.ok_value, sent_s)
            duration_s = asyncio.get_running_loop().time() - sent_s
            self._size.note_answered(_count_bytes(writes), duration_s)
            if self._past_use and past_use_writes:
                self._past_use.note_stored()
            for job in jobs:
                job.recorded_state = states_by_job[job.record.job_id]
            for worker, state in zip(workers, recorded, strict=True):
                worker.note_recorded(*state)
            scheduler.retired_workers.difference_update(retired_ids)
            for worker_id in retired_ids:
                self._recorded_ends.pop(worker_id, None)
            for job in jobs_to_remove:
                scheduler.expired_jobs.pop(job.record.job_id, None)
            scheduler.expired_cancellations.difference_update(cancellations_to_remove)
            if has_all_jobs:
                self._recorded_ends.update(processed_ends)
            self._on_recorded(processed_ends if has_all_jobs else {})
            return True
        # A job whose last state is stored may have expired during the transaction.
        scheduler.unrecorded_jobs.update(scheduler.jobs.keys() & job_ids)
        return await self._handle_failure(outcome.err_value, sent_s)

    def _keep_returned_workers(self) -> None:
        """Keep the rows of removed workers that have been registered again."""
        retired = self._scheduler.retired_workers
        for worker_id in retired & self._scheduler.workers.keys():
            retired.discard(worker_id)
            self._recorded_ends.pop(worker_id, None)

    def _collect_progress(self) -> tuple[list[Job], list[RowWrite]]:
        """Return jobs to record and their writes, as many as a transaction takes."""
        jobs: list[Job] = []
        writes: list[RowWrite] = []
        total_bytes = 0
        for job_id in islice(self._scheduler.unrecorded_jobs, MAX_JOBS_PER_COMMIT):
            job = self._scheduler.jobs[job_id]
            write = make_progress_write(job)
            total_bytes += len(write.value or b"")
            if jobs and total_bytes > PROGRESS_SHARE * self._size.limit_bytes:
                break
            jobs.append(job)
            writes.append(write)
        return jobs, writes

    def _collect_processed_ends(self) -> dict[str, ProcessedEnd]:
        """Return the last processed end of each worker that has a new one."""
        ends = {}
        for worker_id, worker in self._scheduler.workers.items():
            recorded = self._recorded_ends.get(worker_id)
            if (
                recorded is None
                or recorded.sequence_number != worker.last_processed_end
                or recorded.started_ms != worker.started_ms
            ):
                ends[worker_id] = ProcessedEnd(
                    worker.started_ms, worker.last_processed_end
                )
        return ends

    async def _handle_failure(self, failure: StoreFailure, sent_s: float) -> bool:
        """Handle a failed commit; return whether the ownership may still hold."""
        may_be_stored = failure is StoreFailure.UNKNOWN
        if may_be_stored:
            self._size.note_unanswered()
        self._tenure.note_failed(failure.value, sent_s, may_be_stored)
        if failure in (StoreFailure.CONFLICT, StoreFailure.UNKNOWN):
            found = await read_owner(self._store)
            if isinstance(found, Ok):
                stored = found.ok_value
                if not self._tenure.row.is_same_ownership(stored.row):
                    self._on_ownership_lost("superseded")
                    return False
                self._tenure.note_found(stored.version)
                return True
        if not self._tenure.may_act:
            self._on_ownership_lost("not_renewed")
            return False
        await asyncio.sleep(RETRY_DELAY_S)
        return True

    async def resign(self) -> None:
        """Mark the owner's row as resigned, so that a peer takes over at once."""
        is_stored = False
        loop = asyncio.get_running_loop()
        for _ in range(MAX_RESIGN_ATTEMPTS):
            row = self._tenure.make_row(loop.time(), self._store.clock, True)
            outcome = await write_owner(self._store, row, self._tenure.version)
            is_stored = isinstance(outcome, Ok)
            # A commit that was in progress may have been stored without an answer.
            if is_stored or not await self._refresh_version():
                break
        log_message(
            "ownership_resigned",
            epoch=self._tenure.row.epoch,
            outcome="stored" if is_stored else "not stored",
        )

    async def _refresh_version(self) -> bool:
        """Read the version of the owner's row; return whether it is still this one's.

        A row that says that this owner has resigned is not.
        """
        found = await read_owner(self._store)
        if isinstance(found, Err):
            return False
        stored = found.ok_value
        if not self._tenure.row.is_same_ownership(stored.row) or stored.row is None:
            return False
        self._tenure.note_found(stored.version)
        return not stored.row.has_resigned


def _count_bytes(writes: list[RowWrite]) -> int:
    return sum(len(write.value or b"") for write in writes)
