"""Makes the status that a process reports to its peers."""

from __future__ import annotations

from fuchsiadale.cell.owner import Owner
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.peer_messages import PeerStatus
from fuchsiadale.cell.row_renewal import RowRenewal


def make_peer_status(
    ownership: Ownership, owner: Owner | None, renewal: RowRenewal | None
) -> PeerStatus:
    """Return the status that a process reports to its peers.

    Parameters
    ----------
    ownership : Ownership
        What the process knows of the ownership of the cell.
    owner : Owner or None
        The owner in this process; None if it does not schedule.
    renewal : RowRenewal or None
        Renewal of the owner's row while this process still loads the stored state;
        None if it does not.
    """
    if owner is not None:
        return PeerStatus(
            ownership.incarnation,
            True,
            owner.epoch,
            owner.tenure.renewed_age_s,
            owner.count_pending(),
            owner.tenure.cannot_renew,
        )
    # A new owner already owns the cell while it still loads the stored state.
    return PeerStatus(
        ownership.incarnation,
        renewal is not None,
        ownership.epoch,
        0.0 if renewal is None else renewal.renewed_age_s,
    )
