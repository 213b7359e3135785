"""The ownership of a cell at the moment in which a process acquires it."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.cell.earlier_leases import EarlierLeases
from fuchsiadale.cell.lease_terms import leases_end_s
from fuchsiadale.cell.outage_witness import MAX_WITNESSES
from fuchsiadale.cell.owner_row import OwnerRow
from fuchsiadale.cell.peer_messages import ProcessIdentity


@frozen
class AcquiredOwnership:
    """Ownership that this process has just acquired.

    Attributes
    ----------
    row : OwnerRow
        Stored row that names this process as the owner.
    version : int
        Version of that row.
    acquired_s : float
        When the transaction that acquired it was sent, on the event loop's clock.
    earlier_leases : EarlierLeases or None
        Leases of the owners before; None if there was none.
    """

    row: OwnerRow
    version: int
    acquired_s: float
    earlier_leases: EarlierLeases | None


def make_acquisition_row(
    identity: ProcessIdentity,
    incarnation: str,
    previous: OwnerRow | None,
    earlier: EarlierLeases | None,
    sent_s: float,
    max_lease_s: float,
) -> OwnerRow:
    """Return the row that replaces a previous owner's.

    Parameters
    ----------
    identity : ProcessIdentity
        What the new owner tells its peers about itself.
    incarnation : str
        Id of its process.
    previous : OwnerRow or None
        Row of the previous owner; None if there was none.
    earlier : EarlierLeases or None
        Leases of earlier owners; None if there was none.
    sent_s : float
        When the row is sent, in seconds on the event loop's clock.
    max_lease_s : float
        Longest lease that workers accept, in seconds.
    """
    own_address = identity.peer_address
    known = [] if previous is None else [*previous.witnesses, previous.address]
    witnesses = [address for address in known if address != own_address]
    return OwnerRow(
        identity.node,
        own_address,
        incarnation,
        1 if previous is None else previous.epoch + 1,
        best_fitness=identity.fitness,
        leases_end_s=leases_end_s(max_lease_s),
        earlier_leases_end_s=0.0 if earlier is None else earlier.remaining_s(sent_s),
        former=[] if earlier is None else earlier.list_owners(sent_s),
        witnesses=witnesses[:MAX_WITNESSES],
    )
