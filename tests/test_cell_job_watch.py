"""Tests that each stored job is delivered, also if the store loses its history."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.job_watch import JobWatch
from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.workflow.specification import JobRecord
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import Cell, make_record


def test_table_is_read_again_after_the_store_lost_its_history():
    async def main() -> None:
        store = MemoryRowStore()
        received_keys: list[str] = []
        watch = JobWatch(store, 0, lambda key, value: received_keys.append(key))
        asyncio.create_task(watch.run())
        store.put(JOB_TABLE, "a", b"1")
        await asyncio.sleep(0.2)
        assert received_keys == ["a"]
        store.is_history_lost = True
        store.put(JOB_TABLE, "b", b"1")
        await asyncio.sleep(0.5)
        assert received_keys == ["a", "b"]

    run_with_virtual_clock(main())


def test_job_that_expires_while_the_table_is_read_again_is_not_run_twice():
    async def main() -> None:
        store = MemoryRowStore()
        cell = Cell(1)
        cell.adopt_workers()

        def accept(key: str, value: bytes) -> None:
            cell.scheduler.accept(decode(value, JobRecord).unwrap(), 0.0)

        asyncio.create_task(JobWatch(store, 0, accept).run())
        store.put(JOB_TABLE, make_record().job_id, encode(make_record()))
        await asyncio.sleep(0.2)
        cell.plan_and_execute()
        cell.end_all_runs()
        job = cell.scheduler.jobs[make_record().job_id]
        job.recorded_state = job.state
        cell.clock.advance(1.0)
        cell.scheduler.expire_jobs(0.5)
        cell.scheduler.expired_jobs.clear()
        store.is_history_lost = True
        store.put(JOB_TABLE, make_record(1).job_id, encode(make_record(1)))
        await asyncio.sleep(0.5)
        cell.plan_and_execute()
        assert [order.task.step.job_id for order in cell.starts] == [
            make_record(0).job_id,
            make_record(1).job_id,
        ]

    run_with_virtual_clock(main())
