"""Tells a new owner by when the leases that earlier owners granted have ended."""

from __future__ import annotations

from fuchsiadale.cell.lease_terms import (
    MAX_RENEWAL_AGE_S,
    UNCONFIRMED_LEASES_END_S,
)
from fuchsiadale.cell.outage_witness import confirmations_ended_s
from fuchsiadale.cell.owner_row import OwnerRow


class EarlierLeases:
    """Bound on the leases of all earlier owners, which evidence moves forward.

    Times are on the event loop's clock, in seconds.

    Parameters
    ----------
    previous : OwnerRow
        Last row of the owner that was replaced.
    sent_s : float
        Latest time at which it sent that row.

    Attributes
    ----------
    previous : OwnerRow
        Last row of the owner that was replaced.
    """

    def __init__(self, previous: OwnerRow, sent_s: float) -> None:
        self.previous = previous
        self._sent_s = sent_s
        self._last_confirmed_s: dict[str, float] = {}
        self._inherited_end_s = sent_s + previous.earlier_leases_end_s
        self._previous_end_s = sent_s + UNCONFIRMED_LEASES_END_S
        if previous.has_resigned:
            self._bound_by_confirmation(sent_s)

    @property
    def ends_s(self) -> float:
        """When all these leases have ended, as far as is known."""
        return max(self._inherited_end_s, self._previous_end_s)

    def remaining_s(self, at_s: float) -> float:
        """Return the seconds from a time until all these leases have ended."""
        return max(0.0, self.ends_s - at_s)

    def note_stopped(self, at_s: float) -> None:
        """Note that the replaced owner has sent no order after a time."""
        self._bound_by_confirmation(at_s)

    def note_confirmations_ended(self, address: str, last_confirmed_s: float) -> None:
        """Note that a witness confirms no outage any more to the replaced owner.

        Parameters
        ----------
        address : str
            Address of the witness.
        last_confirmed_s : float
            Latest time at which it has confirmed one.
        """
        self._last_confirmed_s[address] = last_confirmed_s
        ended_s = confirmations_ended_s(self.previous.witnesses, self._last_confirmed_s)
        if ended_s is not None:
            self._bound_by_confirmation(max(self._sent_s, ended_s))

    def _bound_by_confirmation(self, confirmed_s: float) -> None:
        """Bound the leases by the last confirmation that they can rest on."""
        duration_s = self.previous.leases_end_s
        if duration_s is None:
            duration_s = UNCONFIRMED_LEASES_END_S - MAX_RENEWAL_AGE_S
        self._previous_end_s = min(self._previous_end_s, confirmed_s + duration_s)
