"""Tells the owner of each job and cancellation that is stored."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from fuchsiadale.cell.rows import JOB_TABLE, read_table
from fuchsiadale.ports.rows import RowStore, StoreFailure, TableRow

JOB_WATCH_S = 2.0
"""Seconds that a watch waits; a silent connection is found out after it."""

STORE_RETRY_S = 0.1
"""Seconds before a failed reading is tried again."""


class JobWatch:
    """Follows the table of jobs, and reads it again when its history is lost.

    Parameters
    ----------
    store : RowStore
        Where the table is.
    version : int
        What is known already.
    on_row : callable
        Called with the key and the content of each new row.
    """

    def __init__(
        self, store: RowStore, version: int, on_row: Callable[[str, bytes], None]
    ) -> None:
        self._store = store
        self._version = version
        self._on_row = on_row

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            changes = await self._store.watch(JOB_TABLE, self._version, JOB_WATCH_S)
            if isinstance(changes, Err):
                if changes.err_value is StoreFailure.HISTORY_LOST:
                    await self._read_again()
                else:
                    await asyncio.sleep(STORE_RETRY_S)
                continue
            self._take(changes.ok_value.rows)
            self._version = changes.ok_value.version

    async def _read_again(self) -> None:
        found = await read_table(self._store, JOB_TABLE)
        if isinstance(found, Err):
            await asyncio.sleep(STORE_RETRY_S)
            return
        rows, version = found.ok_value
        log_message("jobs_read_again", rows=len(rows), version=version)
        self._take(rows)
        self._version = version

    def _take(self, rows: tuple[TableRow, ...]) -> None:
        for row in rows:
            if not row.is_deleted:
                self._on_row(row.key, row.value)
