"""Tests of commits that need long on the link from the owner to the store."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiadale.cell.ownership import STALE_RENEWAL_AGE_S
from tests.committer_setup import CommitterSetup
from tests.slow_link_store import SlowLinkRowStore
from tests.test_cell_row_size import fill_worker, make_large_job
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_entry

LINK_BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s."""

MAX_RECORDING_S = 5.0
"""Seconds in which all progress has to be recorded."""


class SlowCommits:
    """An owner with much unrecorded progress behind a slow link to the store."""

    def __init__(self, bytes_per_s: float) -> None:
        self.store = SlowLinkRowStore()
        self.setup = CommitterSetup(store=self.store)
        self.scheduler = self.setup.cell.scheduler
        self.store.bytes_per_s = bytes_per_s

    def add_jobs(self, jobs: int, tasks: int, checkpoint_digits: int = 16) -> None:
        """Add unrecorded jobs whose tasks all have a checkpoint."""
        for number in range(jobs):
            job = make_large_job(tasks, checkpoint_digits, number)
            self.scheduler.jobs[job.record.job_id] = job
            self.scheduler.unrecorded_jobs.add(job.record.job_id)

    def add_workers(self, workers: int, runs: int) -> None:
        """Add workers whose runs are not recorded."""
        cell = self.setup.cell
        cell.entries = [make_entry(index) for index in range(workers)]
        cell.adopt_workers()
        for index in range(workers):
            fill_worker(cell, f"worker-{index}", runs, index)
        for worker in self.scheduler.workers.values():
            worker.note_recorded(())
        self.scheduler.unrecorded_jobs.clear()

    async def record_all(self) -> float:
        """Wait until all is recorded; return the greatest age of a renewal meanwhile.

        Raises
        ------
        TimeoutError
            If something is still unrecorded after `MAX_RECORDING_S`.
        """
        ages_s = []
        async with asyncio.timeout(MAX_RECORDING_S):
            self.setup.committer.request_commit()
            while not self._is_recorded():
                await asyncio.sleep(0.01)
                ages_s.append(self.setup.tenure.renewed_age_s)
        self.setup.task.cancel()
        return max(ages_s)

    def _is_recorded(self) -> bool:
        workers = self.scheduler.workers.values()
        is_any_stale = any(worker.is_record_stale for worker in workers)
        # While a transaction is in progress, its jobs do not count as unrecorded.
        is_sending = self.store.is_sending
        return not (self.scheduler.unrecorded_jobs or is_any_stale or is_sending)


def test_commit_that_the_link_cannot_carry_in_time_is_not_repeated_for_ever():
    async def main() -> None:
        commits = SlowCommits(LINK_BYTES_PER_S)
        commits.add_jobs(10, 3000, checkpoint_digits=24)
        await commits.record_all()

    run_with_virtual_clock(main())


@pytest.mark.parametrize("workers", [45, 200])
def test_progress_of_many_running_tasks_is_recorded_over_a_busy_slow_link(
    workers: int,
):
    async def main() -> None:
        commits = SlowCommits(LINK_BYTES_PER_S / 2)
        commits.add_workers(workers, 3600 // workers)
        commits.add_jobs(45, 80)
        await commits.record_all()

    run_with_virtual_clock(main())


def test_ownership_is_renewed_in_time_while_much_progress_is_recorded():
    async def main() -> None:
        commits = SlowCommits(LINK_BYTES_PER_S)
        commits.add_workers(45, 80)
        commits.add_jobs(45, 80)
        assert await commits.record_all() < STALE_RENEWAL_AGE_S - 0.2
        assert commits.store.given_up_bytes == []

    run_with_virtual_clock(main())


def test_large_commits_are_sent_whole_over_a_fast_link():
    async def main() -> None:
        commits = SlowCommits(200 * LINK_BYTES_PER_S)
        commits.add_jobs(40, 3000, checkpoint_digits=24)
        await commits.record_all()
        assert max(commits.store.transaction_bytes) > 500_000

    run_with_virtual_clock(main())
