"""The stored row that names the owner of a cell."""

from __future__ import annotations

import asyncio

from attrs import Factory, evolve, frozen
from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.cell.rows import read_row
from fuchsiadale.codec import decode, encode
from fuchsiadale.ports.rows import RowCondition, RowStore, RowWrite, StoreFailure
from fuchsiadale.ports.store_clock import StoreClock

CONTROL_TABLE = "control"
OWNER_KEY = "owner"


@frozen
class FormerOwner:
    """An earlier owner whose leases may not have ended, in the row of a later one.

    Attributes
    ----------
    address, incarnation, leases_end_s, witnesses
        See `OwnerRow`.
    sent_age_s : float
        Seconds, at least, from its last row to the row that names it.
    """

    address: str
    incarnation: str
    sent_age_s: float
    leases_end_s: float | None = None
    witnesses: list[str] = Factory(list)


@frozen
class OwnerRow:
    """Row that names the process which owns the cell.

    Attributes
    ----------
    node : str
        Name of the machine that the owner runs on.
    address : str
        ``ip:port`` on which the owner listens for its peers.
    incarnation : str
        Id of the owner's process; a restarted process has another one.
    epoch : int
        Fencing token of the owner's orders; each new owner has a higher one.
    has_resigned : bool
        Whether the owner has resigned, so that a peer can replace it at once.
    best_fitness : float
        Best fitness of the owner and the peers that it knew at its last renewal; see
        the module `decision.succession`. 0 if unknown.
    written_ms : int
        What the store's clock showed at most when this row was sent; 0 if unknown.
    leases_end_s : float or None
        Seconds after this row was sent by which the leases that its owner grants have
        ended, unless its witnesses confirm an outage; None if the row does not tell.
    earlier_leases_end_s : float
        Seconds after this row was sent by which the leases of all earlier owners have
        ended.
    witnesses : list of str
        Addresses of the peers by whose majority the owner may go on without the store;
        see the module `cell.outage_witness`.
    former : list of FormerOwner
        Earlier owners whose leases may not have ended.
    """

    node: str
    address: str
    incarnation: str
    epoch: int
    has_resigned: bool = False
    best_fitness: float = 0.0
    written_ms: int = 0
    leases_end_s: float | None = None
    earlier_leases_end_s: float = 0.0
    witnesses: list[str] = Factory(list)
    former: list[FormerOwner] = Factory(list)

    def is_same_ownership(self, other: OwnerRow | None) -> bool:
        """Return whether two rows were written by one owner under one epoch."""
        return (
            other is not None
            and self.epoch == other.epoch
            and self.incarnation == other.incarnation
        )


@frozen
class StoredOwner:
    """The owner's row and its version.

    Attributes
    ----------
    row : OwnerRow or None
        The owner's row; None if it does not exist.
    version : int
        Version of the row; 0 if it does not exist.
    sent_s : float
        Latest time at which the row was sent to the store, on the event loop's clock.
    """

    row: OwnerRow | None
    version: int
    sent_s: float = 0.0


async def read_owner(
    store: RowStore, timeout_s: float = 1.0
) -> Result[StoredOwner, StoreFailure]:
    """Return the owner's row with its version; a row that is unreadable is an error."""
    found = await read_row(store, CONTROL_TABLE, OWNER_KEY, timeout_s)
    if isinstance(found, Err):
        return found
    row = found.ok_value
    if row is None:
        return Ok(StoredOwner(None, 0))
    decoded = decode(row.value, OwnerRow)
    if isinstance(decoded, Err):
        # Without its epoch nobody can tell which fencing token comes next.
        log_message("owner_row_unreadable", problem=decoded.err_value)
        return Err(StoreFailure.UNAVAILABLE)
    owner, clock = decoded.ok_value, store.clock
    sent_s = asyncio.get_running_loop().time()
    if clock is not None and owner.written_ms:
        sent_s = min(sent_s, clock.latest_time_s(owner.written_ms))
    return Ok(StoredOwner(owner, row.version, sent_s))


def date_row(row: OwnerRow, clock: StoreClock | None, sent_s: float) -> OwnerRow:
    """Return a row that is to be sent at `sent_s`, with the time on the store's clock.

    Parameters
    ----------
    row : OwnerRow
        The row.
    clock : StoreClock or None
        Last reading of the store's clock.
    sent_s : float
        When the row is sent, in seconds on the event loop's clock.
    """
    return evolve(row, written_ms=0 if clock is None else clock.latest_ms(sent_s))


async def write_owner(
    store: RowStore, row: OwnerRow, version: int, timeout_s: float = 1.0
) -> Result[int, StoreFailure]:
    """Replace the owner's row if it still has `version`; return the new version."""
    return await store.transact(
        (RowWrite(CONTROL_TABLE, OWNER_KEY, encode(row)),),
        (RowCondition(CONTROL_TABLE, OWNER_KEY, version),),
        timeout_s,
    )
