"""In-memory row store that can simulate failures, for tests."""

from __future__ import annotations

import asyncio
from base64 import b64encode

from result import Err, Ok, Result

from fuchsiadale.ports.rows import (
    RowChanges,
    RowCondition,
    RowPage,
    RowStore,
    RowWrite,
    StoreFailure,
    TableRow,
)
from fuchsiadale.ports.store_clock import StoreClock

LATENCY_S = 0.004
"""Simulated duration of each call to the store, in seconds."""

CLOCK_OFFSET_S = 77.0
"""Seconds by which the store's clock is ahead of the event loop's."""


class MemoryRowStore(RowStore):
    """Row store that keeps all rows and their change history in memory.

    Attributes
    ----------
    is_down : bool
        Whether every call fails as unavailable.
    lost_answers : int
        Number of further applied transactions whose outcome is reported as unknown;
        each of them reduces it by one.
    is_history_lost : bool
        Whether the next watch fails because the change history is lost; the watch
        resets it.
    read_latency_s : dict of str to float
        Seconds that reads of a table take longer than other calls, by table.
    applied_writes : list of RowWrite
        All writes that were applied, in order.
    transaction_bytes : list of int
        Size of each transaction, with its contents in base64.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lost_answers = 0
        self.is_history_lost = False
        self.read_latency_s: dict[str, float] = {}
        self.applied_writes: list[RowWrite] = []
        self.transaction_bytes: list[int] = []
        self._rows: dict[tuple[str, str], TableRow] = {}
        self._history: list[TableRow] = []
        self._version = 0
        self._changed = asyncio.Event()

    @property
    def clock(self) -> StoreClock | None:
        """Reading of the store's clock, which shows another time than the loop's."""
        now_s = asyncio.get_running_loop().time()
        return StoreClock(round(1000 * (now_s + CLOCK_OFFSET_S)), now_s, now_s)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row unconditionally."""
        self._apply((RowWrite(table, key, value),))

    def get_version(self, table: str, key: str) -> int:
        """Return the version of a row, or 0 if it does not exist."""
        row = self._rows.get((table, key))
        return row.version if row else 0

    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply all writes if every condition holds; return the store's new version."""
        await asyncio.sleep(LATENCY_S)
        if self.is_down:
            return Err(StoreFailure.UNAVAILABLE)
        for condition in conditions:
            if self.get_version(condition.table, condition.key) != condition.version:
                return Err(StoreFailure.CONFLICT)
        self._apply(writes)
        sizes = (len(b64encode(write.value or b"")) for write in writes)
        self.transaction_bytes.append(sum(sizes))
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(StoreFailure.UNKNOWN)
        return Ok(self._version)

    async def read(
        self, table: str, start: str = "", limit: int = 500, timeout_s: float = 1.0
    ) -> Result[RowPage, StoreFailure]:
        """Return at most `limit` rows of a table, sorted by key, from `start` on."""
        await asyncio.sleep(LATENCY_S + self.read_latency_s.get(table, 0.0))
        if self.is_down:
            return Err(StoreFailure.UNAVAILABLE)
        keys = sorted(
            key for row_table, key in self._rows if row_table == table and key >= start
        )
        rows = tuple(self._rows[table, key] for key in keys[:limit])
        next_start = keys[limit] if len(keys) > limit else None
        return Ok(RowPage(rows, next_start, self._version))

    async def watch(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Return the changes of a table after a version.

        If there are none yet, the store waits at most `wait_s` seconds for one.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            await asyncio.sleep(LATENCY_S)
            if self.is_down:
                return Err(StoreFailure.UNAVAILABLE)
            if self.is_history_lost:
                self.is_history_lost = False
                return Err(StoreFailure.HISTORY_LOST)
            rows = tuple(
                row
                for row in self._history
                if row.table == table and row.version > after_version
            )
            if rows or loop.time() >= deadline_s:
                return Ok(RowChanges(rows, self._version))
            await asyncio.sleep(0.05)

    def _apply(self, writes: tuple[RowWrite, ...]) -> None:
        self._version += 1
        for write in writes:
            self.applied_writes.append(write)
            key = (write.table, write.key)
            value = write.value or b""
            is_deleted = write.value is None
            row = TableRow(write.table, write.key, value, self._version, is_deleted)
            self._history.append(row)
            if is_deleted:
                self._rows.pop(key, None)
            else:
                self._rows[key] = row
