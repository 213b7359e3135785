"""Workers that are lost while a cell changes its owner, on the virtual clock."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.cell.worker_clock import LEASE_S, lease_expiry_delay_s
from fuchsiadale.cell.worker_link import POLL_WAIT_S
from fuchsiadale.codec import encode
from tests.memory_cell import MemoryCell
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_entry, make_record, make_step


def test_worker_lost_after_it_answered_a_new_owner_holds_its_task_for_one_lease():
    async def main() -> None:
        cell = MemoryCell()
        cell.worker_list.entries = (make_entry(0),)
        await cell.start_process("1:1", 10.0)
        await cell.start_process("2:1", 10.0)
        await asyncio.sleep(3.0)
        record = make_record(0, make_step(1, is_lasting=True))
        cell.store.put(JOB_TABLE, record.job_id, encode(record))
        await asyncio.sleep(2.0)
        (former,) = cell.owners
        await cell.kill_process(former)
        cell.silent.add(former)
        while not cell.owners:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        owner = cell.daemons[cell.owners[0]]._owner
        assert owner is not None
        (worker,) = owner._scheduler.workers.values()
        assert worker.runs
        cell.workers.reachable_addresses = set()
        loop = asyncio.get_running_loop()
        lost_s = loop.time()
        while worker.runs:
            await asyncio.sleep(0.05)
        max_wait_s = POLL_WAIT_S + lease_expiry_delay_s(LEASE_S)
        assert loop.time() - lost_s < max_wait_s + 0.5
        await cell.kill_process(cell.owners[0])

    run_with_virtual_clock(main())
