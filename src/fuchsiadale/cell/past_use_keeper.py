"""Keeps the past use of workspaces in the store, from one owner to the next."""

from __future__ import annotations

import asyncio

from eliot import log_message
from result import Err

from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.row_values import MAX_ROW_BYTES, compress_if_large, uncompress
from fuchsiadale.cell.rows import read_row
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.past_use import PastUse, UseRecord
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.ports.rows import RowStore, RowWrite
from fuchsiadale.ports.store_clock import MS_PER_S

PAST_USE_TABLE = "past_use"
PAST_USE_KEY = "workspaces"

RECORD_INTERVAL_S = 5.0
"""Seconds between two records of past use; a loss of the owner loses as much use."""

READ_RETRY_S = 1.0
"""Seconds between two attempts to read what the earlier owner recorded."""


class PastUseKeeper:
    """Reads the record of the earlier owner once, and offers new ones to commits.

    Past use is not needed to schedule, so nothing waits for the record. What is used
    before it has been read is added to it.

    Parameters
    ----------
    store : RowStore
        Store of the cell.
    past_use : PastUse
        Past use that this owner counts.
    metrics : CellMetrics
        Metrics of the process.
    """

    def __init__(
        self, store: RowStore, past_use: PastUse, metrics: CellMetrics
    ) -> None:
        self._store = store
        self._past_use = past_use
        self._metrics = metrics
        self._is_due = False

    async def run(self) -> None:
        """Restore the record, and then have a new one stored every few seconds."""
        if not self._past_use.is_enabled:
            return
        while not await self._restore():
            await asyncio.sleep(READ_RETRY_S)
        try:
            while True:
                await asyncio.sleep(RECORD_INTERVAL_S)
                self._is_due = True
                self._metrics.show_heaviness(self._past_use.list_heavy())
        finally:
            self._metrics.show_heaviness(())

    def list_writes(self) -> list[RowWrite]:
        """Return the write of the record for the next commit, if it is due."""
        if not self._is_due:
            return []
        clock = self._store.clock
        as_of_ms = clock.latest_ms(LoopClock().now()) if clock else 0
        record = self._past_use.make_record(as_of_ms)
        value = compress_if_large(encode(record))
        if len(value) > MAX_ROW_BYTES:
            log_message("past_use_too_large", bytes=len(value))
            self._is_due = False
            return []
        return [RowWrite(PAST_USE_TABLE, PAST_USE_KEY, value)]

    def note_stored(self) -> None:
        """Note that the commit with the last write is stored."""
        self._is_due = False

    async def _restore(self) -> bool:
        """Add what the store holds; return whether it could be read."""
        found = await read_row(self._store, PAST_USE_TABLE, PAST_USE_KEY)
        if isinstance(found, Err):
            return False
        row = found.ok_value
        if row is None:
            return True
        decoded = uncompress(row.value).and_then(
            lambda value: decode(value, as_type=UseRecord)
        )
        if isinstance(decoded, Err):
            log_message(
                "row_unreadable",
                table=PAST_USE_TABLE,
                key=PAST_USE_KEY,
                problem=decoded.err_value,
            )
            return True
        record, clock = decoded.ok_value, self._store.clock
        elapsed_s = 0.0
        if clock is not None and record.as_of_ms:
            now_ms = clock.latest_ms(LoopClock().now())
            elapsed_s = max(0.0, (now_ms - record.as_of_ms) / MS_PER_S)
        left_out = self._past_use.restore(record, elapsed_s)
        log_message(
            "past_use_restored",
            workspaces=len(record.use) - left_out,
            left_out=left_out,
            age_s=round(elapsed_s, 3),
        )
        return True
