"""The stored row that names the owner of a cell."""

from __future__ import annotations

from attrs import frozen
from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.cell.rows import read_row
from fuchsiadale.codec import decode, encode
from fuchsiadale.ports.rows import RowCondition, RowStore, RowWrite, StoreFailure

CONTROL_TABLE = "control"
OWNER_KEY = "owner"


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
    """

    node: str
    address: str
    incarnation: str
    epoch: int
    has_resigned: bool = False
    best_fitness: float = 0.0

    def is_same_ownership(self, other: OwnerRow | None) -> bool:
        """Return whether two rows were written by one owner under one epoch."""
        return (
            other is not None
            and self.epoch == other.epoch
            and self.incarnation == other.incarnation
        )


@frozen
class AcquiredOwnership:
    """Ownership that this process has just acquired.

    Attributes
    ----------
    row : OwnerRow
        Stored row that names this process as the owner.
    version : int
        Version of that row.
    previous_owner : OwnerRow or None
        Row of the owner that this process replaced; None if there was none.
    acquired_s : float
        When the transaction that acquired it was sent, on the event loop's clock.
    """

    row: OwnerRow
    version: int
    previous_owner: OwnerRow | None
    acquired_s: float


@frozen
class StoredOwner:
    """The owner's row and its version.

    Attributes
    ----------
    row : OwnerRow or None
        The owner's row; None if it does not exist.
    version : int
        Version of the row; 0 if it does not exist.
    """

    row: OwnerRow | None
    version: int


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
    return Ok(StoredOwner(decoded.ok_value, row.version))


async def write_owner(
    store: RowStore, row: OwnerRow, version: int, timeout_s: float = 1.0
) -> Result[int, StoreFailure]:
    """Replace the owner's row if it still has `version`; return the new version."""
    return await store.transact(
        (RowWrite(CONTROL_TABLE, OWNER_KEY, encode(row)),),
        (RowCondition(CONTROL_TABLE, OWNER_KEY, version),),
        timeout_s,
    )
