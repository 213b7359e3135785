"""What the owner records, and when it learns that it no longer owns the cell."""

from __future__ import annotations

import asyncio

from result import Ok

from fuchsiadale.cell.committer import STOP_AFTER_S, Committer, ProcessedEnd
from fuchsiadale.cell.rows import (
    CANCEL_SUFFIX,
    CONTROL_TABLE,
    JOB_TABLE,
    OWNER_KEY,
    OwnerRow,
    load_cell,
    read_owner,
    write_owner,
)
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.jobs import JobState
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import Cell, make_record

ROW = OwnerRow("node", "1:1", "this", 1)
SUCCESSOR = OwnerRow("other", "2:2", "that", 2)


class Recording:
    """A committer over a store in memory."""

    def __init__(self) -> None:
        self.store = MemoryRowStore()
        self.store.put(CONTROL_TABLE, OWNER_KEY, encode(ROW))
        self.cell = Cell(workers=1)
        self.recorded: list[dict[str, ProcessedEnd]] = []
        self.deposed: list[str] = []
        self.committer = Committer(
            self.store,
            self.cell.scheduler,
            ROW,
            self.store.get_version(CONTROL_TABLE, OWNER_KEY),
            self.recorded.append,
            self.deposed.append,
        )
        self.task = asyncio.create_task(self.committer.run())


def test_start_and_end_of_a_job_are_found_by_a_successor():
    async def main() -> None:
        recording = Recording()
        cell = recording.cell
        cell.adopt_workers()
        cell.scheduler.accept(make_record(), 0.0)
        start = cell.plan()[0]
        recording.committer.wake()
        await asyncio.sleep(0.1)
        stored = (await load_cell(recording.store)).unwrap()
        assert stored.workers[0].runs == [(start.task, start.run)]
        assert cell.scheduler.is_start_recorded(start)
        cell.execute([start])
        cell.end_all_runs()
        recording.committer.wake()
        await asyncio.sleep(0.1)
        stored = (await load_cell(recording.store)).unwrap()
        assert stored.progress[make_record().job_id].state is JobState.COMPLETED
        assert recording.recorded[-1]["worker-0"].number == 1

    run_with_virtual_clock(main())


def test_ownership_is_renewed_and_a_successor_ends_it():
    async def main() -> None:
        recording = Recording()
        await asyncio.sleep(3.0)
        assert recording.committer.renewed_age_s < 1.0
        found = (await read_owner(recording.store)).unwrap()
        assert isinstance(
            await write_owner(recording.store, SUCCESSOR, found.version), Ok
        )
        await asyncio.sleep(1.0)
        assert recording.deposed == ["superseded"]

    run_with_virtual_clock(main())


def test_lost_answer_does_not_end_the_ownership():
    async def main() -> None:
        recording = Recording()
        recording.store.lost_answers = 2
        await asyncio.sleep(3.0)
        assert recording.deposed == []
        assert recording.committer.renewed_age_s < 1.0

    run_with_virtual_clock(main())


def test_owner_stops_by_itself_when_it_cannot_renew():
    async def main() -> None:
        recording = Recording()
        await asyncio.sleep(1.0)
        recording.store.is_down = True
        await asyncio.sleep(STOP_AFTER_S - 1.0)
        assert recording.deposed == []
        await asyncio.sleep(2.0)
        assert recording.deposed == ["not_renewed"]

    run_with_virtual_clock(main())


def test_resigned_cell_is_free_at_once():
    async def main() -> None:
        recording = Recording()
        await asyncio.sleep(0.5)
        recording.task.cancel()
        await recording.committer.resign()
        found = (await read_owner(recording.store)).unwrap()
        assert found.row is not None
        assert found.row.has_resigned

    run_with_virtual_clock(main())


def test_ended_job_is_removed_from_the_store_after_its_retention_and_not_before():
    async def main() -> None:
        recording = Recording()
        cell = recording.cell
        cell.adopt_workers()
        for number in range(2):
            record = make_record(number)
            cell.scheduler.accept(record, 0.0)
            recording.store.put(JOB_TABLE, record.job_id, encode(record))
        cell.scheduler.cancel(make_record(0).job_id)
        recording.store.put(JOB_TABLE, make_record(0).job_id + CANCEL_SUFFIX, b"1")
        recording.committer.wake()
        await asyncio.sleep(0.1)
        cell.clock.advance(99.0)
        cell.scheduler.expire_jobs(100.0)
        assert len(cell.scheduler.jobs) == 2
        cell.clock.advance(2.0)
        cell.scheduler.expire_jobs(100.0)
        await asyncio.sleep(1.0)
        stored = (await load_cell(recording.store)).unwrap()
        assert [record.job_id for record in stored.records] == [make_record(1).job_id]
        assert stored.cancelled == frozenset()
        assert list(cell.scheduler.jobs) == [make_record(1).job_id]
        assert not cell.scheduler.expired_jobs

    run_with_virtual_clock(main())


def test_expired_jobs_are_kept_in_mind_until_the_store_took_their_removal():
    async def main() -> None:
        recording = Recording()
        cell = recording.cell
        cell.adopt_workers()
        cell.scheduler.accept(make_record(), 0.0)
        cell.scheduler.cancel(make_record().job_id)
        recording.committer.wake()
        await asyncio.sleep(0.1)
        recording.store.is_down = True
        cell.clock.advance(200.0)
        cell.scheduler.expire_jobs(100.0)
        await asyncio.sleep(1.0)
        assert cell.scheduler.expired_jobs
        recording.store.is_down = False
        await asyncio.sleep(1.0)
        assert not cell.scheduler.expired_jobs

    run_with_virtual_clock(main())


def test_owner_says_that_it_cannot_renew_only_after_some_refusals():
    async def main() -> None:
        recording = Recording()
        await asyncio.sleep(1.0)
        recording.store.is_down = True
        await asyncio.sleep(0.5)
        assert not recording.committer.cannot_renew
        await asyncio.sleep(0.5)
        assert recording.committer.cannot_renew
        recording.store.is_down = False
        await asyncio.sleep(0.5)
        assert not recording.committer.cannot_renew

    run_with_virtual_clock(main())
