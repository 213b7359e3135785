"""Renews the ownership of a process that still reads the stored cell."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from result import Err, Ok

from fuchsiadale.cell.committer import RENEWAL_INTERVAL_S, RETRY_DELAY_S
from fuchsiadale.cell.owner_row import read_owner, write_owner
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.ports.rows import RowStore, StoreFailure


class RowRenewal:
    """Renews the owner's row until the owner commits its own progress.

    Without it, peers would replace a process that needs longer to read a large cell
    than an owner may go without a renewal.

    Parameters
    ----------
    store : RowStore
        Store of the cell.
    tenure : Tenure
        The ownership to renew.
    """

    def __init__(self, store: RowStore, tenure: Tenure) -> None:
        self._store = store
        self._tenure = tenure
        self._is_superseded = False
        self._is_requested = asyncio.Event()

    @property
    def renewed_age_s(self) -> float:
        """Seconds since the last successful renewal was sent."""
        return self._tenure.renewed_age_s

    @property
    def is_superseded(self) -> bool:
        """Whether another process has acquired the ownership."""
        return self._is_superseded

    def request(self) -> None:
        """Renew the row now, as its contents have changed."""
        self._is_requested.set()

    async def run(self) -> None:
        """Renew the row until cancelled or superseded."""
        loop = asyncio.get_running_loop()
        tenure = self._tenure
        while not self._is_superseded:
            with suppress(TimeoutError):
                async with asyncio.timeout(RENEWAL_INTERVAL_S - tenure.renewed_age_s):
                    await self._is_requested.wait()
            self._is_requested.clear()
            sent_s = loop.time()
            row = tenure.make_row(sent_s, self._store.clock)
            outcome = await write_owner(self._store, row, tenure.version)
            if isinstance(outcome, Ok):
                tenure.note_stored(outcome.ok_value, sent_s)
                continue
            is_unknown = outcome.err_value is StoreFailure.UNKNOWN
            tenure.note_failed(outcome.err_value.value, sent_s, is_unknown)
            if outcome.err_value in (StoreFailure.CONFLICT, StoreFailure.UNKNOWN):
                await self._refresh_version()
            await asyncio.sleep(RETRY_DELAY_S)

    async def _refresh_version(self) -> None:
        found = await read_owner(self._store)
        if isinstance(found, Err):
            return
        stored = found.ok_value
        if self._tenure.row.is_same_ownership(stored.row):
            self._tenure.note_found(stored.version)
        else:
            self._is_superseded = True
