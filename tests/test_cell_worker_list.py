"""Tests of an owner that cannot read the list of workers."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.owner import MAX_WORKER_LIST_AGE_S
from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.codec import encode
from tests.memory_cell import MemoryCell
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_entry, make_record


def submit(cell: MemoryCell, number: int) -> None:
    record = make_record(number)
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
