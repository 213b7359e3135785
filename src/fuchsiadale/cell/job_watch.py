"""Notifies the owner of each stored job and cancellation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from fuchsiadale.cell.rows import JOB_TABLE, read_table
from fuchsiadale.ports.rows import RowStore, StoreFailure, TableRow

JOB_WATCH_WAIT_S = 2.0
"""Seconds that a watch waits for a change; a dead connection is noticed afterwards."""

STORE_RETRY_DELAY_S = 0.1
"""Seconds before a failed read or watch is repeated."""


class JobWatch:
    """Watches the job table, and reads it whole when the store has lost its history.

    Parameters
    ----------
    store : RowStore
        Store that holds the table.
    version : int
        Version of the store up to which the owner knows the table.
    on_row : callable
        Called once with the key and the content of each new row, also when the table
        is read whole; deleted rows are skipped.
    """

    def __init__(
        self, store: RowStore, version: int, on_row: Callable[[str, bytes], None]
    ) -> None:
        self._store = store
        self._version = version
        self._on_row = on_row

    async def run(self) -> None:
        """Watch the table until cancelled."""
        while True:
            changes = await self._store.watch(
                JOB_TABLE, self._version, JOB_WATCH_WAIT_S
            )
            if isinstance(changes, Err):
                if changes.err_value is StoreFailure.HISTORY_LOST:
                    await self._read_table()
                else:
                    await asyncio.sleep(STORE_RETRY_DELAY_S)
                continue
            self._deliver_rows(changes.ok_value.rows)
            # A store that is behind must not make the watch repeat older rows.
            self._version = max(self._version, changes.ok_value.version)

    async def _read_table(self) -> None:
        found = await read_table(self._store, JOB_TABLE)
        if isinstance(found, Err):
            await asyncio.sleep(STORE_RETRY_DELAY_S)
            return
        rows, version = found.ok_value
        log_message("jobs_read_again", rows=len(rows), version=version)
        # The job of an older row may have expired while the table was read.
        self._deliver_rows(tuple(row for row in rows if row.version > self._version))
        self._version = version

    def _deliver_rows(self, rows: tuple[TableRow, ...]) -> None:
        for row in rows:
            if not row.is_deleted:
                self._on_row(row.key, row.value)
