"""Tests of takeovers in which reads of the store fail from time to time."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from result import Err, Result

from fuchsiadale.cell.cell_loading import load_cell
from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.codec import encode
from fuchsiadale.ports.rows import RowPage, StoreFailure
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration, make_record

JOBS = 6_000
"""Jobs of ten minutes, in twelve pages."""

READS_PER_FAILURE = 5


class InterruptedStore(MemoryRowStore):
    """Row store of which one read in `READS_PER_FAILURE` fails; all if it is lost."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.is_lost = False

    async def read(
        self, table: str, start: str = "", limit: int = 500, timeout_s: float = 1.0
    ) -> Result[RowPage, StoreFailure]:
        """Return rows, unless this read fails."""
        self.reads += 1
        if self.is_lost or self.reads % READS_PER_FAILURE == 0:
            return Err(StoreFailure.UNKNOWN)
        return await super().read(table, start, limit, timeout_s)


class KnownConfiguration:
    """Stands for a watch that has received the configuration."""

    current = make_configuration()


KNOWN = cast(ConfigurationWatch, KnownConfiguration())


def test_takeover_of_many_jobs_does_not_begin_anew_with_each_read_that_fails():
    async def main() -> None:
        store = InterruptedStore()
        for number in range(JOBS):
            record = make_record(number)
            store.put(JOB_TABLE, record.job_id, encode(record))
        loaded: Any = await load_cell(store, KNOWN)
        assert loaded is not None
        assert len(loaded[0].records) == JOBS
        assert store.reads < 25

    run_with_virtual_clock(main())


def test_takeover_is_given_up_soon_if_the_store_answers_no_read():
    async def main() -> None:
        store = InterruptedStore()
        store.is_lost = True
        started_s = asyncio.get_running_loop().time()
        assert await load_cell(store, KNOWN) is None
        assert asyncio.get_running_loop().time() - started_s < 2.0

    run_with_virtual_clock(main())
