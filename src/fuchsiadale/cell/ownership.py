"""Decides in each process whom to follow, and when to take the cell over."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable

from attrs import frozen
from eliot import log_message
from result import Err, Ok

from fuchsiadale.cell.peers import OwnerStanding, PeerClient
from fuchsiadale.cell.rows import (
    OwnerRow,
    StoredOwner,
    read_owner,
    write_owner,
)
from fuchsiadale.ports.rows import RowStore, StoreFailure

SYNC_INTERVAL_S = 0.6
"""Seconds between two calls to the owner; a silent death is seen in two."""

RECONNECT_DELAY_S = 0.05
"""Seconds before an owner is called again whose connection has ended."""

STORE_POLL_INTERVAL_S = 0.2
"""Seconds between two looks at a suspected owner's row."""

SILENT_OWNER_TIMEOUT_S = 1.0
"""Seconds without renewal after which an owner is replaced: two renewals."""

REFUSING_OWNER_TIMEOUT_S = 0.5
"""The same for an owner at whose address nothing listens: one renewal."""

STALE_OWNER_TIMEOUT_S = 0.6
"""The same for an owner that says itself that it cannot renew: one renewal."""

BLOCKED_OWNER_TIMEOUT_S = 0.35
"""The same for an owner that the store refuses: two of its tries."""

SUSPICION_TIMEOUT_S = 5.0
"""Seconds after which a suspected owner is asked again; two replacements."""

STALE_RENEWAL_AGE_S = 0.9
"""Age of an owner's renewal from which its row is read: two renewals."""

MAX_ACQUIRE_DELAY_S = 0.15
"""Seconds over which peers spread their tries to take the cell."""


@frozen
class AcquiredOwnership:
    """A cell that this process has just taken."""

    row: OwnerRow
    version: int
    previous_owner: OwnerRow | None


class Ownership:
    """Follows the owner and takes its place when it is gone.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    node : str
        Name of this machine.
    address : str
        ``ip:port`` for its peers.
    on_acquired : callable
        Called when this process has taken the cell.
    on_superseded : callable
        Called with a higher epoch than this process's own.
    """

    def __init__(
        self,
        store: RowStore,
        node: str,
        address: str,
        on_acquired: Callable[[AcquiredOwnership], Awaitable[bool]],
        on_superseded: Callable[[int], None],
    ) -> None:
        self._store = store
        self._node = node
        self._address = address
        self._incarnation = uuid.uuid4().hex
        self._on_acquired = on_acquired
        self._on_superseded = on_superseded
        self._owner: OwnerRow | None = None
        self._client: PeerClient | None = None
        self._owner_status: OwnerStanding | None = None
        self._owner_status_s = 0.0
        self._is_owner = False
        self._acquired_s = 0.0
        self.is_leaving = False

    @property
    def incarnation(self) -> str:
        """Identifies this process."""
        return self._incarnation

    @property
    def epoch(self) -> int:
        """The highest epoch known."""
        return 0 if self._owner is None else self._owner.epoch

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the cell."""
        return self._is_owner

    @property
    def owner_client(self) -> PeerClient | None:
        """Calls the owner; None if it is this process, or unknown."""
        return None if self._is_owner else self._client

    @property
    def owner_status(self) -> OwnerStanding | None:
        """What the owner last said of itself."""
        return self._owner_status

    @property
    def owner_status_age_s(self) -> float:
        """Seconds since the owner last answered."""
        return asyncio.get_running_loop().time() - self._owner_status_s

    @property
    def ownership_age_s(self) -> float:
        """Seconds since this process last took the cell."""
        return asyncio.get_running_loop().time() - self._acquired_s

    def mark_lost(self, reason: str) -> None:
        """Note that this process no longer owns the cell."""
        log_message("ownership_lost", epoch=self.epoch, reason=reason)
        self._is_owner = False
        self._owner = None

    async def run(self) -> None:
        """Follow the owner until cancelled."""
        while True:
            if self._is_owner:
                await asyncio.sleep(SYNC_INTERVAL_S)
            elif self._owner is None:
                await self._find_owner()
            else:
                await self._sync_with_owner()

    async def _find_owner(self) -> None:
        found = await read_owner(self._store)
        if isinstance(found, Err):
            await asyncio.sleep(STORE_POLL_INTERVAL_S)
            return
        stored = found.ok_value
        if self._is_available(stored):
            await asyncio.sleep(random.uniform(0.0, MAX_ACQUIRE_DELAY_S / 3))
            await self._acquire(stored)
        else:
            await self._set_owner(stored.row)

    def _is_available(self, stored: StoredOwner) -> bool:
        row = stored.row
        if row is None or row.has_resigned:
            return True
        # A row of this address and another incarnation is this process's own past.
        return row.address == self._address and row.incarnation != self._incarnation

    async def _set_owner(self, row: OwnerRow | None) -> None:
        if row is None or row == self._owner:
            return
        self._owner = row
        log_message("owner_found", owner=row.node, epoch=row.epoch)
        if self._client is not None:
            await self._client.close()
        self._client = self._make_client(row.address)

    def _make_client(self, address: str) -> PeerClient:
        return PeerClient(address)

    async def _sync_with_owner(self) -> None:
        owner, client = self._owner, self._client
        if owner is None or client is None:
            return
        status = await client.sync(
            self._node, self._address, owner.epoch, self.is_leaving
        )
        if status is None:
            log_message("owner_silent", owner=owner.node, epoch=owner.epoch)
            await self._replace_unless_renewed(
                owner,
                REFUSING_OWNER_TIMEOUT_S
                if client.is_refused
                else SILENT_OWNER_TIMEOUT_S,
            )
            return
        if status.epoch > owner.epoch:
            self._owner = None
            return
        is_same_process = status.incarnation == owner.incarnation
        if not is_same_process or not status.is_owner:
            # The process that the row names has ended, or has given the cell up.
            await self._replace_unless_renewed(
                owner, STALE_OWNER_TIMEOUT_S if is_same_process else 0.0
            )
            return
        self._owner_status = status
        self._owner_status_s = asyncio.get_running_loop().time()
        if status.cannot_renew:
            await self._replace_unless_renewed(owner, BLOCKED_OWNER_TIMEOUT_S)
            return
        if status.renewed_age_s > STALE_RENEWAL_AGE_S:
            await self._replace_unless_renewed(owner, STALE_OWNER_TIMEOUT_S)
            return
        await client.wait_lost(SYNC_INTERVAL_S)
        await asyncio.sleep(RECONNECT_DELAY_S)

    async def _replace_unless_renewed(self, owner: OwnerRow, timeout_s: float) -> None:
        """Take the cell over once its owner has not renewed while the store answers.

        Parameters
        ----------
        owner : OwnerRow
            The owner that is suspected.
        timeout_s : float
            Seconds for which its row must be seen unchanged.
        """
        first_version: int | None = None
        first_seen_s = 0.0
        started_s = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started_s < SUSPICION_TIMEOUT_S:
            found = await read_owner(self._store)
            now_s = asyncio.get_running_loop().time()
            if isinstance(found, Err):
                await asyncio.sleep(STORE_POLL_INTERVAL_S)
                continue
            stored = found.ok_value
            if stored.row is None or stored.row.epoch != owner.epoch:
                self._owner = None
                return
            if first_version is None:
                first_version, first_seen_s = stored.version, now_s
            if stored.version != first_version:
                # The owner still renews; only its answers are missing.
                await asyncio.sleep(SYNC_INTERVAL_S)
                return
            remaining_s = first_seen_s + timeout_s - now_s
            if stored.row.has_resigned or remaining_s <= 0.0:
                await asyncio.sleep(random.uniform(0.0, MAX_ACQUIRE_DELAY_S))
                await self._acquire(stored)
                return
            await asyncio.sleep(min(STORE_POLL_INTERVAL_S, remaining_s))

    async def _acquire(self, stored: StoredOwner) -> None:
        if self.is_leaving:
            await asyncio.sleep(STORE_POLL_INTERVAL_S)
            return
        previous = stored.row
        epoch = 1 if previous is None else previous.epoch + 1
        row = OwnerRow(self._node, self._address, self._incarnation, epoch)
        outcome = await write_owner(self._store, row, stored.version)
        version = outcome.ok()
        if isinstance(outcome, Err) and outcome.err_value is StoreFailure.UNKNOWN:
            found = await read_owner(self._store)
            if isinstance(found, Ok) and found.ok_value.row == row:
                version = found.ok_value.version
        if version is None:
            self._owner = None
            await asyncio.sleep(random.uniform(0.05, MAX_ACQUIRE_DELAY_S))
            return
        self._owner = row
        self._is_owner = True
        self._acquired_s = asyncio.get_running_loop().time()
        if not await self._on_acquired(AcquiredOwnership(row, version, previous)):
            self.mark_lost("not_recovered")

    def note_epoch(self, epoch: int) -> None:
        """Note an epoch that a peer knows."""
        if self._is_owner and epoch > self.epoch:
            self._on_superseded(epoch)
