"""The owner learns of every stored job, also when the history is lost."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.job_watch import JobWatch
from fuchsiadale.cell.rows import JOB_TABLE
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock


def test_jobs_stored_while_the_history_was_lost_are_read_again():
    async def main() -> None:
        store = MemoryRowStore()
        seen: list[str] = []
        watch = JobWatch(store, 0, lambda key, value: seen.append(key))
        asyncio.create_task(watch.run())
        store.put(JOB_TABLE, "a", b"1")
        await asyncio.sleep(0.2)
        assert seen == ["a"]
        store.is_history_lost = True
        store.put(JOB_TABLE, "b", b"1")
        await asyncio.sleep(0.5)
        assert seen[-2:] == ["a", "b"]

    run_with_virtual_clock(main())
