"""Finds out when the owner that a new one has replaced has certainly stopped."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fuchsiadale.cell.owner import Owner
from fuchsiadale.cell.owner_row import OwnerRow
from fuchsiadale.cell.peer_messages import ProcessIdentity, SyncCall
from fuchsiadale.cell.peers import PeerClient

POLL_INTERVAL_S = 0.5
"""Seconds between two calls to a previous owner to learn whether it has stopped."""


async def await_previous_owner_stop(
    owner: Owner,
    previous: OwnerRow,
    identity: ProcessIdentity,
    connect: Callable[[str], PeerClient],
    is_current: Callable[[], bool],
) -> None:
    """Tell the owner when the previous one has stopped.

    Parameters
    ----------
    owner : Owner
        The owner of this process.
    previous : OwnerRow
        Row of the owner that it replaced.
    identity : ProcessIdentity
        What this process tells its peers about itself.
    connect : callable
        Returns a client of the peer at an address.
    is_current : callable
        Returns whether `owner` still owns the cell; if not, the function returns.
    """
    if previous.address == identity.peer_address:
        owner.note_previous_owner_stopped()
        return
    client = connect(previous.address)
    try:
        while is_current():
            status = await client.sync(SyncCall(identity, owner.epoch))
            if status is not None and (
                status.incarnation != previous.incarnation or not status.is_owner
            ):
                owner.note_previous_owner_stopped()
                return
            await asyncio.sleep(POLL_INTERVAL_S)
    finally:
        await client.close()
