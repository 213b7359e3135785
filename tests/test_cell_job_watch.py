"""Tests that each stored job is delivered, also if the store loses its history."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.job_watch import JobWatch
from fuchsiadale.cell.rows import JOB_TABLE
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock


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
        assert received_keys[-2:] == ["a", "b"]

    run_with_virtual_clock(main())
