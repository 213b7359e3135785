"""Tells a new owner by when the leases that earlier owners granted have ended."""

from __future__ import annotations

from itertools import chain

from fuchsiadale.cell.lease_terms import (
    MAX_RENEWAL_AGE_S,
    UNCONFIRMED_LEASES_END_S,
)
from fuchsiadale.cell.outage_witness import confirmations_ended_s
from fuchsiadale.cell.owner_row import FormerOwner, OwnerRow


class EarlierLeases:
    """Bound on the leases of all earlier owners, which evidence moves forward.

    Times are on the event loop's clock, in seconds.

    Parameters
    ----------
    previous : OwnerRow or FormerOwner
        The owner that was replaced, by its last row.
    sent_s : float
        Latest time at which it sent that row.
    """

    def __init__(self, previous: OwnerRow | FormerOwner, sent_s: float) -> None:
        self._previous = previous
        self._sent_s = sent_s
        self._last_confirmed_s: dict[str, float] = {}
        self._previous_end_s = sent_s + UNCONFIRMED_LEASES_END_S
        self._inherited_end_s = sent_s
        self._former: list[EarlierLeases] = []
        if isinstance(previous, FormerOwner):
            return
        # A row of an earlier version of the program tells of no owners before its own.
        self._inherited_end_s += (
            UNCONFIRMED_LEASES_END_S
            if previous.leases_end_s is None
            else previous.earlier_leases_end_s
        )
        self._former = [
            EarlierLeases(former, sent_s - former.sent_age_s)
            for former in previous.former
        ]
        if previous.has_resigned:
            self._bound_by_confirmation(sent_s)

    @property
    def ends_s(self) -> float:
        """When all these leases have ended, as far as is known."""
        inherited_s = self._inherited_end_s
        if self._former:
            former_s = max(former.ends_s for former in self._former)
            inherited_s = min(inherited_s, former_s)
        return max(inherited_s, self._previous_end_s)

    def list_owners(self, at_s: float) -> list[FormerOwner]:
        """Return the owners whose leases may not have ended at a time."""
        if self.remaining_s(at_s) == 0.0:
            return []
        previous = self._previous
        own = FormerOwner(
            previous.address,
            previous.incarnation,
            at_s - self._sent_s,
            previous.leases_end_s,
            list(previous.witnesses),
        )
        earlier = (former.list_owners(at_s) for former in self._former)
        return [own, *chain.from_iterable(earlier)]

    def remaining_s(self, at_s: float) -> float:
        """Return the seconds from a time until all these leases have ended."""
        return max(0.0, self.ends_s - at_s)

    def note_stopped(self, incarnation: str, at_s: float) -> None:
        """Note that an owner's process has sent no order after a time."""
        if self._previous.incarnation == incarnation:
            self._bound_by_confirmation(at_s)
        for former in self._former:
            former.note_stopped(incarnation, at_s)

    def note_confirmations_ended(self, address: str, last_confirmed_s: float) -> None:
        """Note that a witness confirms none of these owners any more.

        Parameters
        ----------
        address : str
            Address of the witness.
        last_confirmed_s : float
            Latest time at which it has confirmed one.
        """
        for former in self._former:
            former.note_confirmations_ended(address, last_confirmed_s)
        self._last_confirmed_s[address] = last_confirmed_s
        ended_s = confirmations_ended_s(
            self._previous.witnesses, self._last_confirmed_s
        )
        if ended_s is not None:
            self._bound_by_confirmation(max(self._sent_s, ended_s))

    def _bound_by_confirmation(self, confirmed_s: float) -> None:
        """Bound the leases by the last confirmation that they can rest on."""
        duration_s = self._previous.leases_end_s
        if duration_s is None:
            duration_s = UNCONFIRMED_LEASES_END_S - MAX_RENEWAL_AGE_S
        self._previous_end_s = min(self._previous_end_s, confirmed_s + duration_s)
