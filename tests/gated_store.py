"""The store as one process of a cell sees it, for tests."""

from __future__ import annotations

import asyncio

from result import Err, Result

from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.ports.rows import (
    RowChanges,
    RowCondition,
    RowPage,
    RowStore,
    RowWrite,
    StoreFailure,
)
from fuchsiadale.ports.store_clock import StoreClock


class GatedStore(RowStore):
    """The store as one process sees it.

    Parameters
    ----------
    store : RowStore
        The store that all processes share.

    Attributes
    ----------
    is_refused : bool
        Whether the store refuses this process at once.
    is_silent : bool
        Whether the store answers this process nothing.
    loses_answers : bool
        Whether transactions of this process are applied and not answered.
    delay_s : float
        Seconds by which answers to this process are late.
    answer_delay_s : float
        Seconds after a call takes effect until it is answered. A transaction that is
        cancelled meanwhile has taken effect.
    load_delay_s : float
        Seconds that this process needs to read the jobs, beside other delays.
    refuses_writes : bool
        Whether the store refuses the transactions of this process, and answers reads.
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self.is_refused = False
        self.is_silent = False
        self.loses_answers = False
        self.delay_s = 0.0
        self.answer_delay_s = 0.0
        self.load_delay_s = 0.0
        self.refuses_writes = False

    @property
    def clock(self) -> StoreClock | None:
        """Reading of the store's clock."""
        return self._store.clock

    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply a transaction unless this process is refused or not answered."""
        failure = await self._fail(timeout_s)
        if failure is not None:
            return Err(failure)
        if self.refuses_writes:
            return Err(StoreFailure.UNAVAILABLE)
        outcome = await self._store.transact(writes, conditions, timeout_s)
        if self.loses_answers:
            await asyncio.sleep(timeout_s)
            return Err(StoreFailure.UNKNOWN)
        await asyncio.sleep(self.answer_delay_s)
        return outcome

    async def read(
        self, table: str, start: str = "", limit: int = 500, timeout_s: float = 1.0
    ) -> Result[RowPage, StoreFailure]:
        """Read a table unless this process is refused or not answered."""
        failure = await self._fail(timeout_s)
        if failure is not None:
            return Err(failure)
        if table == JOB_TABLE:
            await asyncio.sleep(self.load_delay_s)
        page = await self._store.read(table, start, limit, timeout_s)
        await asyncio.sleep(self.answer_delay_s)
        return page

    async def watch(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Watch a table unless this process is refused or not answered."""
        failure = await self._fail(wait_s)
        if failure is not None:
            return Err(failure)
        return await self._store.watch(table, after_version, wait_s)

    async def _fail(self, timeout_s: float) -> StoreFailure | None:
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            return StoreFailure.UNKNOWN
        await asyncio.sleep(self.delay_s)
        return StoreFailure.UNAVAILABLE if self.is_refused else None
