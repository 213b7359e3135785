"""Tests of an owner that cannot read the list of workers."""

from __future__ import annotations

import asyncio
from itertools import pairwise

from attrs import evolve
from result import Result

from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.cell.worker_list_reader import (
    MAX_WORKER_LIST_AGE_S,
    MIN_WORKER_LIST_INTERVAL_S,
    WORKER_LIST_INTERVAL_S,
)
from fuchsiadale.codec import encode
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.messages import WorkerEntry
from fuchsiadale.ports.rows import StoreFailure
from tests.leased_cell import LeasedCell
from tests.memory_cell import MemoryCell, MemoryWorkerList
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_entry, make_record, make_step

SHRUNK = Resources(2000, 4000, 4)


def submit(cell: MemoryCell, number: int, *steps: object) -> None:
    record = make_record(number, *steps)
    cell.store.put(JOB_TABLE, record.job_id, encode(record))


def test_owner_places_nothing_by_an_outdated_list_of_workers():
    async def main() -> None:
        cell = MemoryCell()
        cell.worker_list.entries = (make_entry(0),)
        await cell.start_process("1:1", 10.0)
        await asyncio.sleep(3.0)
        submit(cell, 0)
        await asyncio.sleep(1.0)
        assert len(cell.workers.running) == 1
        cell.worker_list.is_down = True
        await asyncio.sleep(MAX_WORKER_LIST_AGE_S + 0.1)
        submit(cell, 1)
        await asyncio.sleep(5.0)
        assert len(cell.workers.running) == 1
        cell.worker_list.is_down = False
        await asyncio.sleep(1.0)
        assert len(cell.workers.running) == 2
        await cell.kill_process("1:1")

    run_with_virtual_clock(main())


def test_start_that_waits_for_its_commit_is_not_sent_to_a_worker_that_has_shrunk():
    async def main() -> None:
        cell = MemoryCell()
        cell.worker_list.entries = (make_entry(0),)
        await cell.start_process("1:1", 10.0)
        await asyncio.sleep(3.0)
        cell.stores["1:1"].loses_answers = True
        submit(cell, 0, make_step(4))
        await asyncio.sleep(0.5)
        cell.worker_list.entries = (make_entry(0, capacity=SHRUNK),)
        await asyncio.sleep(1.0)
        assert not cell.workers.running
        cell.stores["1:1"].loses_answers = False
        await asyncio.sleep(2.0)
        assert len(cell.workers.running) == 2
        await cell.kill_process("1:1")

    run_with_virtual_clock(main())


def test_worker_that_is_listed_at_another_address_is_polled_there():
    async def main() -> None:
        cell = MemoryCell()
        entry = make_entry(0)
        cell.worker_list.entries = (entry,)
        await cell.start_process("1:1", 10.0)
        await asyncio.sleep(3.0)
        moved = evolve(entry, address="10.0.0.9:80")
        cell.worker_list.entries = (moved,)
        cell.workers.reachable_addresses = {moved.address}
        await asyncio.sleep(3.0)
        submit(cell, 0)
        await asyncio.sleep(3.0)
        assert len(cell.workers.running) == 1
        await cell.kill_process("1:1")

    run_with_virtual_clock(main())


class RecordingWorkerList(MemoryWorkerList):
    """List of workers that keeps the times at which it is read."""

    def __init__(self) -> None:
        super().__init__()
        self.times_s: list[float] = []

    async def read(self) -> Result[tuple[WorkerEntry, ...], StoreFailure]:
        """Return the registrations."""
        self.times_s.append(asyncio.get_running_loop().time())
        return await super().read()


def test_list_is_read_early_once_when_an_incarnation_that_is_not_listed_answers():
    async def main() -> None:
        cell = LeasedCell(2)
        worker_list = RecordingWorkerList()
        worker_list.entries = cell.worker_list.entries
        cell.worker_list = worker_list
        await cell.start_process("node:0", 10.0)
        await asyncio.sleep(3.0)
        (worker_id, worker), _ = cell.fleet.workers.items()
        worker.crash(asyncio.get_running_loop().time())
        await asyncio.sleep(0.1)
        cell.restart_worker(worker_id, is_registered=False)
        await asyncio.sleep(6.0)
        times_s = worker_list.times_s
        pauses_s = [late - early for early, late in pairwise(times_s)]
        early = [s for s in pauses_s if s < WORKER_LIST_INTERVAL_S - 0.001]
        assert len(early) == 1
        assert early[0] >= MIN_WORKER_LIST_INTERVAL_S
        await cell.kill_process("node:0")

    run_with_virtual_clock(main())
