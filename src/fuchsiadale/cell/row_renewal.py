"""Renews the ownership of a process that still reads the stored cell."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from fuchsiadale.cell.committer import RENEWAL_INTERVAL_S, RETRY_DELAY_S
from fuchsiadale.cell.owner_row import AcquiredOwnership, read_owner, write_owner
from fuchsiadale.ports.rows import RowStore, StoreFailure


class RowRenewal:
    """Renews the owner's row until the owner commits its own progress.

    Without it, peers would replace a process that needs longer to read a large cell
    than an owner may go without a renewal.

    Parameters
    ----------
    store : RowStore
        Store of the cell.
    acquired : AcquiredOwnership
        The ownership to renew.
    """

    def __init__(self, store: RowStore, acquired: AcquiredOwnership) -> None:
        self._store = store
        self._row = acquired.row
        self._version = acquired.version
        self._renewed_s = acquired.acquired_s
        self._is_superseded = False

    @property
    def version(self) -> int:
        """Last known version of the owner's row."""
        return self._version

    @property
    def renewed_s(self) -> float:
        """When the last successful renewal was sent, on the event loop's clock."""
        return self._renewed_s

    @property
    def renewed_age_s(self) -> float:
        """Seconds since the last successful renewal was sent."""
        return asyncio.get_running_loop().time() - self._renewed_s

    @property
    def is_superseded(self) -> bool:
        """Whether another process has acquired the ownership."""
        return self._is_superseded

    async def run(self) -> None:
        """Renew the row until cancelled or superseded."""
        loop = asyncio.get_running_loop()
        while not self._is_superseded:
            await asyncio.sleep(self._renewed_s + RENEWAL_INTERVAL_S - loop.time())
            sent_s = loop.time()
            outcome = await write_owner(self._store, self._row, self._version)
            if isinstance(outcome, Ok):
                self._version, self._renewed_s = outcome.ok_value, sent_s
                continue
            if outcome.err_value in (StoreFailure.CONFLICT, StoreFailure.UNKNOWN):
                await self._refresh_version()
            await asyncio.sleep(RETRY_DELAY_S)

    async def _refresh_version(self) -> None:
        found = await read_owner(self._store)
        if isinstance(found, Err):
            return
        stored = found.ok_value
        if self._row.is_same_ownership(stored.row):
            self._version = stored.version
        else:
            self._is_superseded = True
