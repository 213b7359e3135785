"""Monitors the owner of the cell and acquires the ownership when the owner fails."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable
from contextlib import suppress

from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.cell.acquisition import AcquiredOwnership, make_acquisition_row
from fuchsiadale.cell.earlier_leases import EarlierLeases
from fuchsiadale.cell.owner_row import (
    OwnerRow,
    StoredOwner,
    date_row,
    read_owner,
    write_owner,
)
from fuchsiadale.cell.peer_messages import PeerStatus, ProcessIdentity, SyncCall
from fuchsiadale.cell.peers import PeerClient
from fuchsiadale.cell.takeover_timeouts import (
    CANNOT_RENEW_TIMEOUT_S,
    REFUSING_OWNER_TIMEOUT_S,
    SILENT_OWNER_TIMEOUT_S,
    STALE_OWNER_TIMEOUT_S,
)
from fuchsiadale.cell.worker_clock import LEASE_S
from fuchsiadale.decision.succession import acquisition_deferral_s
from fuchsiadale.ports.rows import RowStore, StoreFailure

SYNC_INTERVAL_S = 0.6
"""Seconds between two calls to the owner.

The failure of an owner whose connection is not closed, such as that of its machine, is
detected within two intervals.
"""

RECONNECT_DELAY_S = 0.05
"""Seconds before the owner is called again after its connection has ended."""

STORE_POLL_INTERVAL_S = 0.2
"""Seconds between reads of the owner's row while the owner is suspected or unknown."""

SUSPICION_TIMEOUT_S = 5.0
"""Seconds after which a suspected owner is called again.

The time suffices for replacing an owner twice.
"""

STALE_RENEWAL_AGE_S = 0.9
"""Age in seconds above which an owner's last renewal makes the owner suspect.

An owner renews twice in this time.
"""

MAX_ACQUIRE_DELAY_S = 0.15
"""Maximum random delay before an attempt to acquire the ownership, in seconds.

The delay spreads the attempts of the peers. It is at most a third of this if the cell
has no owner.
"""

FAILED_START_DEFERRAL_S = 5.0
"""Seconds for which a process that failed to start as owner leaves the cell to others.

Within this time they replace it twice.
"""


class Ownership:
    """Calls the owner regularly and replaces it when it fails.

    Parameters
    ----------
    store : RowStore
        Store of the cell.
    identity : ProcessIdentity
        What this process tells its peers about itself.
    on_acquired : callable
        Called when this process has acquired the ownership; returns whether this
        process could start to schedule.
    on_superseded : callable
        Called with the epoch that a peer reported if it is higher than the epoch under
        which this process owns the cell.
    connect : callable
        Returns a client of the peer at an address.
    max_lease_s : float
        Longest lease that workers accept, in seconds.

    Attributes
    ----------
    is_leaving : bool
        Whether this process is shutting down and must not acquire the ownership.
    """

    def __init__(
        self,
        store: RowStore,
        identity: ProcessIdentity,
        on_acquired: Callable[[AcquiredOwnership], Awaitable[bool]],
        on_superseded: Callable[[int], None],
        connect: Callable[[str], PeerClient] = PeerClient,
        max_lease_s: float = LEASE_S,
    ) -> None:
        self._store = store
        self._identity = identity
        self._incarnation = uuid.uuid4().hex
        self._on_acquired = on_acquired
        self._on_superseded = on_superseded
        self._connect = connect
        self._max_lease_s = max_lease_s
        self._owner: OwnerRow | None = None
        self._client: PeerClient | None = None
        self._owner_status: PeerStatus | None = None
        self._owner_status_s = 0.0
        self._is_owner = False
        self._owner_resigned = asyncio.Event()
        self._resigned_epoch = 0
        self._read_epoch = 0
        self._defers_until_s = 0.0
        self.is_leaving = False

    @property
    def incarnation(self) -> str:
        """Id of this process, which changes with every restart."""
        return self._incarnation

    @property
    def epoch(self) -> int:
        """Epoch of the known owner; 0 if the owner is unknown."""
        return 0 if self._owner is None else self._owner.epoch

    @property
    def read_epoch(self) -> int:
        """Highest epoch that this process has read from the store; 0 without any."""
        return self._read_epoch

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the cell."""
        return self._is_owner

    @property
    def owner_client(self) -> PeerClient | None:
        """Client for calls to the owner; None if it is this process or unknown."""
        return None if self._is_owner else self._client

    @property
    def owner_status(self) -> PeerStatus | None:
        """Last status that a process reported as the owner; None if there is none yet.

        The process may be a previous owner.
        """
        return self._owner_status

    @property
    def owner_status_age_s(self) -> float:
        """Seconds since `owner_status` was received; valid only if that is not None."""
        return asyncio.get_running_loop().time() - self._owner_status_s

    def mark_lost(self, reason: str) -> None:
        """Note that this process no longer owns the cell."""
        log_message("ownership_lost", epoch=self.epoch, reason=reason)
        self._is_owner = False
        self._owner = None

    async def run(self) -> None:
        """Monitor the owner until cancelled."""
        while True:
            if self._is_owner:
                await asyncio.sleep(SYNC_INTERVAL_S)
            elif self._owner is None:
                await self._find_owner()
            else:
                await self._sync_with_owner()

    async def _read_owner(self) -> Result[StoredOwner, StoreFailure]:
        found = await read_owner(self._store)
        if isinstance(found, Ok) and found.ok_value.row is not None:
            self._read_epoch = max(self._read_epoch, found.ok_value.row.epoch)
        return found

    async def _find_owner(self) -> None:
        found = await self._read_owner()
        if isinstance(found, Err):
            await asyncio.sleep(STORE_POLL_INTERVAL_S)
            return
        stored = found.ok_value
        if self._is_unowned(stored):
            await self._acquire_in_turn(stored, MAX_ACQUIRE_DELAY_S / 3)
        else:
            await self._set_owner(stored.row)

    def _is_unowned(self, stored: StoredOwner) -> bool:
        """Return whether the ownership can be acquired at once.

        The row is missing, resigned or left by a previous run of this
        process.
        """
        row = stored.row
        if row is None or row.has_resigned:
            return True
        # Another incarnation at this address is a previous run of this process.
        is_own_address = row.address == self._identity.peer_address
        return is_own_address and row.incarnation != self._incarnation

    async def _set_owner(self, row: OwnerRow | None) -> None:
        if row is None:
            return
        if self._owner is not None and self._owner.is_same_ownership(row):
            return
        self._owner = row
        log_message("owner_found", owner=row.node, epoch=row.epoch)
        if self._client is not None:
            await self._client.close()
        self._client = self._connect(row.address)

    async def _sync_with_owner(self) -> None:
        """Call the owner once and replace it if it has failed."""
        owner, client = self._owner, self._client
        if owner is None or client is None:
            return
        self._owner_resigned.clear()
        status = await client.sync(
            SyncCall(self._identity, owner.epoch, self.is_leaving)
        )
        if status is None:
            log_message("owner_silent", owner=owner.node, epoch=owner.epoch)
            await self._replace_unless_renewed(
                owner,
                REFUSING_OWNER_TIMEOUT_S
                if client.is_unavailable
                else SILENT_OWNER_TIMEOUT_S,
            )
            return
        if status.epoch > owner.epoch:
            self._owner = None
            return
        is_same_process = status.incarnation == owner.incarnation
        if not is_same_process or not status.is_owner:
            # The process that the row names has ended, or has lost the ownership.
            await self._replace_unless_renewed(
                owner, STALE_OWNER_TIMEOUT_S if is_same_process else 0.0
            )
            return
        self._owner_status = status
        self._owner_status_s = asyncio.get_running_loop().time()
        if status.cannot_renew:
            await self._replace_unless_renewed(owner, CANNOT_RENEW_TIMEOUT_S)
            return
        if status.renewed_age_s > STALE_RENEWAL_AGE_S:
            await self._replace_unless_renewed(owner, STALE_OWNER_TIMEOUT_S)
            return
        await self._wait_for_next_sync(client)

    async def _wait_for_next_sync(self, client: PeerClient) -> None:
        """Wait until the next call is due; end early if the owner may have ended."""
        resigned = asyncio.ensure_future(self._owner_resigned.wait())
        disconnected = asyncio.ensure_future(
            client.wait_for_disconnect(SYNC_INTERVAL_S)
        )
        try:
            await asyncio.wait(
                {resigned, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnected.cancel()
            resigned.cancel()
            await asyncio.gather(resigned, disconnected, return_exceptions=True)
        await self._wait_for_resignation(RECONNECT_DELAY_S)

    def note_resigned(self, address: str, epoch: int) -> None:
        """Replace the owner without delay, as it says that it has resigned.

        Parameters
        ----------
        address : str
            Address of the process that says so; only an owner speaks for itself.
        epoch : int
            Epoch that it has resigned.
        """
        owner = self._owner
        if owner is None or owner.address != address or owner.epoch != epoch:
            return
        self._resigned_epoch = epoch
        self._owner_resigned.set()

    async def _replace_unless_renewed(self, owner: OwnerRow, timeout_s: float) -> None:
        """Replace the owner if its row stays unchanged, or at once if it resigned.

        This process does not replace the owner if it renews, if another process has
        replaced it, or if the store does not answer for `SUSPICION_TIMEOUT_S`.

        Parameters
        ----------
        owner : OwnerRow
            Row of the suspected owner.
        timeout_s : float
            Seconds for which the row must stay unchanged before the owner is replaced.
        """
        first_version: int | None = None
        first_seen_s = 0.0
        started_s = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started_s < SUSPICION_TIMEOUT_S:
            found = await self._read_owner()
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
                # The owner has renewed in the meantime, so it is not replaced.
                await self._wait_for_resignation(SYNC_INTERVAL_S)
                return
            remaining_s = first_seen_s + timeout_s - now_s
            if stored.row.epoch == self._resigned_epoch:
                # The owner has chosen this process, even if it could not store that.
                await self._acquire(stored)
                return
            if stored.row.has_resigned or remaining_s <= 0.0:
                await self._acquire_in_turn(stored, MAX_ACQUIRE_DELAY_S)
                return
            await self._wait_for_resignation(min(STORE_POLL_INTERVAL_S, remaining_s))

    async def _wait_for_resignation(self, timeout_s: float) -> None:
        """Wait for `timeout_s`, or until the owner leaves the cell to this process."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._owner_resigned.wait()

    async def _acquire_in_turn(self, stored: StoredOwner, max_delay_s: float) -> None:
        """Acquire the ownership unless a fitter process does so first.

        Parameters
        ----------
        stored : StoredOwner
            The owner's row, which can be replaced.
        max_delay_s : float
            Maximum random delay, which spreads the attempts of equally fit processes.
        """
        best_fitness = None if stored.row is None else stored.row.best_fitness
        deferral_s = acquisition_deferral_s(self._identity.fitness, best_fitness)
        loop = asyncio.get_running_loop()
        acquires_s = max(loop.time() + deferral_s, self._defers_until_s)
        acquires_s += random.uniform(0.0, max_delay_s)
        while (remaining_s := acquires_s - loop.time()) > STORE_POLL_INTERVAL_S:
            await asyncio.sleep(STORE_POLL_INTERVAL_S)
            found = await self._read_owner()
            if isinstance(found, Ok) and found.ok_value.version != stored.version:
                self._owner = None
                return
        await asyncio.sleep(max(0.0, remaining_s))
        await self._acquire(stored)

    async def _acquire(self, stored: StoredOwner) -> None:
        """Acquire the ownership with a new epoch if the owner's row is unchanged."""
        if self.is_leaving:
            await asyncio.sleep(STORE_POLL_INTERVAL_S)
            return
        previous = stored.row
        earlier = None if previous is None else EarlierLeases(previous, stored.sent_s)
        sent_s = asyncio.get_running_loop().time()
        row = make_acquisition_row(
            self._identity,
            self._incarnation,
            previous,
            earlier,
            sent_s,
            self._max_lease_s,
        )
        row = date_row(row, self._store.clock, sent_s)
        outcome = await write_owner(self._store, row, stored.version)
        version = outcome.ok()
        if isinstance(outcome, Err) and outcome.err_value is StoreFailure.UNKNOWN:
            found = await self._read_owner()
            if isinstance(found, Ok) and found.ok_value.row == row:
                version = found.ok_value.version
        if version is None:
            self._owner = None
            await asyncio.sleep(random.uniform(0.05, MAX_ACQUIRE_DELAY_S))
            return
        self._owner = row
        self._is_owner = True
        acquired = AcquiredOwnership(row, version, sent_s, earlier)
        try:
            has_started = await self._on_acquired(acquired)
        except Exception as error:
            # A process that cannot schedule must not look like an owner to its peers.
            log_message("owner_not_started", epoch=row.epoch, error=repr(error))
            has_started = False
        if not has_started:
            self.mark_lost("not_recovered")
            self._defers_until_s = sent_s + FAILED_START_DEFERRAL_S

    def note_epoch(self, epoch: int) -> None:
        """Call `on_superseded` if a peer's epoch is higher than that of this owner.

        Nothing happens if this process is not the owner.
        """
        if self._is_owner and epoch > self.epoch:
            self._on_superseded(epoch)
