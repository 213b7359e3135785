"""Decides in each process whom to follow, and when to take the cell over."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable

from attrs import frozen
from eliot import log_message
from result import Err, Ok

from fuchsiadale.cell.peers import PeerClient, PeerStatus
from fuchsiadale.cell.rows import (
    OwnerRow,
    StoredOwner,
    read_owner,
    write_owner,
)
from fuchsiadale.ports.rows import RowStore, StoreFailure

SYNC_S = 0.6
"""Seconds between two calls to the owner; a silent death is seen in two."""

RECONNECT_S = 0.05
"""Seconds before an owner is called again whose connection has ended."""

SUSPECT_S = 0.2
"""Seconds between two looks at a suspected owner's row."""

UNCHANGED_S = 1.0
"""Seconds without renewal after which an owner is replaced: two renewals."""

REFUSED_S = 0.5
"""The same for an owner at whose address nothing listens: one renewal."""

STALE_S = 0.6
"""The same for an owner that says itself that it cannot renew: one renewal."""

CANNOT_RENEW_S = 0.35
"""The same for an owner that the store refuses: two of its tries."""

SUSPICION_S = 5.0
"""Seconds after which a suspected owner is asked again; two replacements."""

STALE_RENEWAL_S = 0.9
"""Age of an owner's renewal from which its row is read: two renewals."""

TAKE_SPREAD_S = 0.15
"""Seconds over which peers spread their tries to take the cell."""


@frozen
class Taking:
    """A cell that this process has just taken."""

    row: OwnerRow
    version: int
    previous: OwnerRow | None


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
    on_taken : callable
        Called when this process has taken the cell.
    on_superseded : callable
        Called with a higher epoch than this process's own.
    """

    def __init__(
        self,
        store: RowStore,
        node: str,
        address: str,
        on_taken: Callable[[Taking], Awaitable[bool]],
        on_superseded: Callable[[int], None],
    ) -> None:
        self._store = store
        self._node = node
        self._address = address
        self._incarnation = uuid.uuid4().hex
        self._on_taken = on_taken
        self._on_superseded = on_superseded
        self._owner: OwnerRow | None = None
        self._client: PeerClient | None = None
        self._standing: PeerStatus | None = None
        self._standing_s = 0.0
        self._is_owner = False
        self._taken_s = 0.0
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
    def owner_standing(self) -> PeerStatus | None:
        """What the owner last said of itself."""
        return self._standing

    @property
    def standing_age_s(self) -> float:
        """Seconds since the owner last answered."""
        return asyncio.get_running_loop().time() - self._standing_s

    @property
    def taken_age_s(self) -> float:
        """Seconds since this process last took the cell."""
        return asyncio.get_running_loop().time() - self._taken_s

    def lose(self, reason: str) -> None:
        """Note that this process no longer owns the cell."""
        log_message("ownership_lost", epoch=self.epoch, reason=reason)
        self._is_owner = False
        self._owner = None

    async def run(self) -> None:
        """Follow the owner until cancelled."""
        while True:
            if self._is_owner:
                await asyncio.sleep(SYNC_S)
            elif self._owner is None:
                await self._find_owner()
            else:
                await self._follow()

    async def _find_owner(self) -> None:
        found = await read_owner(self._store)
        if isinstance(found, Err):
            await asyncio.sleep(SUSPECT_S)
            return
        stored = found.ok_value
        if self._is_vacant(stored):
            await asyncio.sleep(random.uniform(0.0, TAKE_SPREAD_S / 3))
            await self._take(stored)
        else:
            await self._adopt_owner(stored.row)

    def _is_vacant(self, stored: StoredOwner) -> bool:
        row = stored.row
        if row is None or row.has_resigned:
            return True
        # A row of this address and another incarnation is this process's own past.
        return row.address == self._address and row.incarnation != self._incarnation

    async def _adopt_owner(self, row: OwnerRow | None) -> None:
        if row is None or row == self._owner:
            return
        self._owner = row
        log_message("owner_found", owner=row.node, epoch=row.epoch)
        if self._client is not None:
            await self._client.close()
        self._client = self._make_client(row.address)

    def _make_client(self, address: str) -> PeerClient:
        return PeerClient(address)

    async def _follow(self) -> None:
        owner, client = self._owner, self._client
        if owner is None or client is None:
            return
        standing = await client.sync(
            self._node, self._address, owner.epoch, self.is_leaving
        )
        if standing is None:
            log_message("owner_silent", owner=owner.node, epoch=owner.epoch)
            await self._suspect(
                owner, REFUSED_S if client.is_unavailable else UNCHANGED_S
            )
            return
        if standing.epoch > owner.epoch:
            self._owner = None
            return
        is_same = standing.incarnation == owner.incarnation
        if not is_same or not standing.is_owner:
            # The process that the row names has ended, or has given the cell up.
            await self._suspect(owner, STALE_S if is_same else 0.0)
            return
        self._standing = standing
        self._standing_s = asyncio.get_running_loop().time()
        if standing.cannot_renew:
            await self._suspect(owner, CANNOT_RENEW_S)
            return
        if standing.renewed_age_s > STALE_RENEWAL_S:
            await self._suspect(owner, STALE_S)
            return
        await client.wait_for_disconnect(SYNC_S)
        await asyncio.sleep(RECONNECT_S)

    async def _suspect(self, owner: OwnerRow, unchanged_s: float) -> None:
        """Take the cell over once its owner has not renewed while the store answers.

        Parameters
        ----------
        owner : OwnerRow
            The owner that is suspected.
        unchanged_s : float
            Seconds for which its row must be seen unchanged.
        """
        first_version: int | None = None
        first_seen_s = 0.0
        started_s = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started_s < SUSPICION_S:
            found = await read_owner(self._store)
            now_s = asyncio.get_running_loop().time()
            if isinstance(found, Err):
                await asyncio.sleep(SUSPECT_S)
                continue
            stored = found.ok_value
            if stored.row is None or stored.row.epoch != owner.epoch:
                self._owner = None
                return
            if first_version is None:
                first_version, first_seen_s = stored.version, now_s
            if stored.version != first_version:
                # The owner still renews; only its answers are missing.
                await asyncio.sleep(SYNC_S)
                return
            left_s = first_seen_s + unchanged_s - now_s
            if stored.row.has_resigned or left_s <= 0.0:
                await asyncio.sleep(random.uniform(0.0, TAKE_SPREAD_S))
                await self._take(stored)
                return
            await asyncio.sleep(min(SUSPECT_S, left_s))

    async def _take(self, stored: StoredOwner) -> None:
        if self.is_leaving:
            await asyncio.sleep(SUSPECT_S)
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
            await asyncio.sleep(random.uniform(0.05, TAKE_SPREAD_S))
            return
        self._owner = row
        self._is_owner = True
        self._taken_s = asyncio.get_running_loop().time()
        if not await self._on_taken(Taking(row, version, previous)):
            self.lose("not_recovered")

    def note_epoch(self, epoch: int) -> None:
        """Note an epoch that a peer knows."""
        if self._is_owner and epoch > self.epoch:
            self._on_superseded(epoch)
