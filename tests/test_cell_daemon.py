"""What a process says of itself while it takes the cell."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.daemon import CellDaemon, CellDependencies, ProcessIdentity
from fuchsiadale.cell.time_bounds import TimeBounds
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_virtually


def test_process_that_still_reads_the_store_owns_the_cell():
    async def main() -> None:
        systems = CellDependencies(MemoryRowStore(), None, None, None, None)  # type: ignore[arg-type]
        daemon = CellDaemon(ProcessIdentity("node", "1:1"), systems, TimeBounds())
        following = asyncio.create_task(daemon._ownership.run())
        await asyncio.sleep(0.3)
        standing = daemon._get_status()
        assert standing.is_owner
        assert standing.epoch == 1
        assert 0.0 < standing.renewed_age_s < 0.3
        assert standing.pending is None
        following.cancel()

    run_virtually(main())
