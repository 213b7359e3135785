"""What a process says of itself while it takes the cell."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.daemon import CellDaemon, CellIdentity, CellSystems
from fuchsiadale.cell.terms import CellTerms
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock


def test_process_that_still_reads_the_store_owns_the_cell():
    async def main() -> None:
        systems = CellSystems(MemoryRowStore(), None, None, None, None)  # type: ignore[arg-type]
        daemon = CellDaemon(CellIdentity("node", "1:1"), systems, CellTerms())
        following = asyncio.create_task(daemon._ownership.run())
        await asyncio.sleep(0.3)
        standing = daemon._standing()
        assert standing.is_owner
        assert standing.epoch == 1
        assert 0.0 < standing.renewed_age_s < 0.3
        assert standing.pending is None
        following.cancel()

    run_with_virtual_clock(main())
