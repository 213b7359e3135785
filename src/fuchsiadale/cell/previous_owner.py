"""Finds out by when the leases that earlier owners granted have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from fuchsiadale.cell.earlier_leases import EarlierLeases
from fuchsiadale.cell.outage_witness import OutageWitness
from fuchsiadale.cell.owner_row import FormerOwner
from fuchsiadale.cell.peer_messages import ProcessIdentity, SyncCall
from fuchsiadale.cell.peers import PeerClient

POLL_INTERVAL_S = 0.5
"""Seconds between two calls to a process that has not answered."""


class PreviousOwnerInquiry:
    """Asks replaced owners and their witnesses what their leases can still rest on.

    Parameters
    ----------
    leases : EarlierLeases
        Takes what is learnt.
    epoch : int
        Epoch of the new owner, which this process is.
    identity : ProcessIdentity
        What this process tells its peers about itself.
    witness : OutageWitness
        Confirms outages on behalf of this process.
    connect : callable
        Returns a client of the peer at an address.
    is_current : callable
        Returns whether this process still owns the cell; it asks only as long.
    on_bound : callable
        Called with the time by which the leases have ended, in seconds on the event
        loop's clock, when that has changed.
    """

    def __init__(
        self,
        leases: EarlierLeases,
        epoch: int,
        identity: ProcessIdentity,
        witness: OutageWitness,
        connect: Callable[[str], PeerClient],
        is_current: Callable[[], bool],
        on_bound: Callable[[float], None],
    ) -> None:
        self._leases = leases
        self._epoch = epoch
        self._identity = identity
        self._witness = witness
        self._connect = connect
        self._is_current = is_current
        self._on_bound = on_bound

    async def run(self) -> None:
        """Ask until all have answered or all the leases have ended."""
        own_address = self._identity.peer_address
        owners = self._leases.list_owners(asyncio.get_running_loop().time())
        calls = []
        for address in dict.fromkeys(w for o in owners for w in o.witnesses):
            if address == own_address:
                self._note_witness(
                    address, self._witness.end_confirmations(self._epoch)
                )
            else:
                calls.append(self._ask(address, self._ask_witness))
        for owner in owners:
            if owner.address == own_address:
                # A previous run of this process, or an ownership that it has lost.
                self._note_stopped(owner)
            else:
                calls.append(self._ask(owner.address, partial(self._ask_owner, owner)))
        await asyncio.gather(*calls)

    async def _ask(
        self, address: str, ask: Callable[[PeerClient], Awaitable[bool]]
    ) -> None:
        loop = asyncio.get_running_loop()
        client = self._connect(address)
        try:
            while self._is_current() and loop.time() < self._leases.ends_s:
                if await ask(client):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            await client.close()

    async def _ask_owner(self, owner: FormerOwner, client: PeerClient) -> bool:
        status = await client.sync(SyncCall(self._identity, self._epoch))
        if status is None:
            return False
        if status.incarnation == owner.incarnation and status.is_owner:
            return False
        self._note_stopped(owner)
        return True

    async def _ask_witness(self, client: PeerClient) -> bool:
        age_s = await client.end_confirmations(self._epoch)
        if age_s is not None:
            self._note_witness(client.address, age_s)
        return age_s is not None

    def _note_stopped(self, owner: FormerOwner) -> None:
        ends_s = self._leases.ends_s
        now_s = asyncio.get_running_loop().time()
        self._leases.note_stopped(owner.incarnation, now_s)
        self._report_bound(ends_s)

    def _note_witness(self, address: str, age_s: float) -> None:
        ends_s = self._leases.ends_s
        confirmed_s = asyncio.get_running_loop().time() - age_s
        self._leases.note_confirmations_ended(address, confirmed_s)
        self._report_bound(ends_s)

    def _report_bound(self, previous_ends_s: float) -> None:
        if self._leases.ends_s < previous_ends_s:
            self._on_bound(self._leases.ends_s)
