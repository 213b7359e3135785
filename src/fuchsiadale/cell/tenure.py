"""Tracks what permits the owner of a cell to act: its row, renewals and witnesses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from attrs import evolve
from eliot import log_message

from fuchsiadale.cell.earlier_leases import EarlierLeases
from fuchsiadale.cell.lease_terms import (
    MAX_LEASE_EXTENSION_S,
    MAX_RENEWAL_AGE_S,
)
from fuchsiadale.cell.outage_witness import MAX_WITNESSES, last_confirmation_s
from fuchsiadale.cell.owner_row import OwnerRow, date_row
from fuchsiadale.cell.peer_registry import PEER_TIMEOUT_S
from fuchsiadale.cell.worker_clock import LEASE_S
from fuchsiadale.ports.store_clock import StoreClock

CANNOT_RENEW_AFTER_S = 0.2
"""Seconds since the first failure after which an owner reports that it cannot renew.

No transaction succeeds in this time, and two attempts fail.
"""

MAX_COMMIT_S = 0.6
"""Seconds without an answer to a transaction from which the store seems unreachable.

A store that is slow by a factor of 60 answers in less than half of this.
"""


class Tenure:
    """The ownership of a cell under one epoch, as its owner sees it.

    A row whose outcome is unknown may be the one that a successor replaces. The owner
    therefore counts its renewal from the first of such rows, and changes its witnesses
    only once a row is known to be stored.

    Parameters
    ----------
    row : OwnerRow
        Row that names this process as the owner.
    version : int
        Current version of that row.
    renewed_s : float
        When the transaction was sent that last renewed or acquired the ownership, on
        the event loop's clock.
    max_lease_s : float
        Longest lease that workers accept, in seconds.
    earlier_leases : EarlierLeases or None
        Leases of earlier owners; None without any. Also an attribute.
    list_peers : callable
        Returns the addresses of the peers that may be witnesses.
    """

    def __init__(
        self,
        row: OwnerRow,
        version: int,
        renewed_s: float,
        max_lease_s: float = LEASE_S,
        earlier_leases: EarlierLeases | None = None,
        list_peers: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        self._row = row
        self._version = version
        self._renewed_s = renewed_s
        self._max_lease_s = max_lease_s
        self.earlier_leases = earlier_leases
        self._list_peers = list_peers
        self._acquired_s = renewed_s
        self._witnesses = tuple(row.witnesses)
        self._unconfirmed_witnesses: tuple[str, ...] | None = None
        self._confirmed_s: dict[str, float] = {}
        self._unresolved_sent_s: float | None = None
        self._failing_since_s: float | None = None
        self._unanswered_since_s: float | None = None

    @property
    def row(self) -> OwnerRow:
        """Row that names this process as the owner, without what each renewal adds."""
        return self._row

    @property
    def version(self) -> int:
        """Version of the owner's row."""
        return self._version

    @property
    def renewed_age_s(self) -> float:
        """Seconds since the last renewal that is known to be stored was sent."""
        return asyncio.get_running_loop().time() - self._renewed_s

    @property
    def may_act(self) -> bool:
        """Whether the last renewal still permits orders to workers.

        A process that was paused meanwhile finds this out here before it sends an order
        that it had prepared.
        """
        return self.renewed_age_s <= MAX_RENEWAL_AGE_S

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Addresses of all witnesses that the stored row may name."""
        return tuple({*self._witnesses, *(self._unconfirmed_witnesses or ())})

    @property
    def lease_limit_s(self) -> float:
        """Latest end of a lease that may be granted now, on the event loop's clock.

        A successor of an owner without witnesses waits until the owner has stopped for
        want of a renewal, so such an owner may grant leases until then.
        """
        lease_s = min(LEASE_S, self._max_lease_s)
        if not self.witnesses:
            return self._renewed_s + MAX_RENEWAL_AGE_S + lease_s
        confirmed_s = max(self._renewed_s, self._outage_confirmed_s or 0.0)
        return confirmed_s + lease_s + MAX_LEASE_EXTENSION_S

    @property
    def cannot_renew(self) -> bool:
        """Whether all transactions failed for more than `CANNOT_RENEW_AFTER_S`."""
        if self._failing_since_s is None:
            return False
        now_s = asyncio.get_running_loop().time()
        return now_s - self._failing_since_s > CANNOT_RENEW_AFTER_S

    @property
    def unreachable_from_s(self) -> float | None:
        """When the store counts as unreachable from here unless it answers before.

        On the event loop's clock; None while no transaction waits for its answer and
        the last one has succeeded.
        """
        due_s = []
        if self._failing_since_s is not None:
            due_s.append(self._failing_since_s + CANNOT_RENEW_AFTER_S)
        if self._unanswered_since_s is not None:
            due_s.append(self._unanswered_since_s + MAX_COMMIT_S)
        return min(due_s, default=None)

    @property
    def _outage_confirmed_s(self) -> float | None:
        """Since when the latest confirmation of an outage has counted."""
        times_s = [
            last_confirmation_s(witnesses, self._confirmed_s)
            for witnesses in (self._witnesses, self._unconfirmed_witnesses)
            if witnesses is not None
        ]
        known_s = [time_s for time_s in times_s if time_s is not None]
        return min(known_s) if len(known_s) == len(times_s) else None

    def record_best_fitness(self, fitness: float) -> None:
        """Store the best fitness in the cell with the next renewal."""
        self._row = evolve(self._row, best_fitness=fitness)

    def note_outage_confirmed(self, address: str, asked_s: float) -> None:
        """Note that a witness that was asked at `asked_s` has confirmed an outage."""
        self._confirmed_s[address] = asked_s

    def make_row(
        self, sent_s: float, clock: StoreClock | None, has_resigned: bool = False
    ) -> OwnerRow:
        """Return the row to send now.

        Parameters
        ----------
        sent_s : float
            The time on the event loop's clock.
        clock : StoreClock or None
            Last reading of the store's clock.
        has_resigned : bool, default=False
            Whether the owner resigns.
        """
        if self._unconfirmed_witnesses is None:
            self._unconfirmed_witnesses = self._choose_witnesses(sent_s)
        if self._unanswered_since_s is None:
            self._unanswered_since_s = sent_s
        if self._unresolved_sent_s is None:
            self._unresolved_sent_s = sent_s
        earlier = self.earlier_leases
        remaining_s = 0.0 if earlier is None else earlier.remaining_s(sent_s)
        row = evolve(
            self._row,
            has_resigned=has_resigned,
            earlier_leases_end_s=remaining_s,
            former=[] if earlier is None else earlier.list_owners(sent_s),
            witnesses=list(self._unconfirmed_witnesses),
        )
        return date_row(row, clock, sent_s)

    def note_stored(self, version: int, sent_s: float) -> None:
        """Note that the row that was sent at `sent_s` is stored under a version."""
        self._unanswered_since_s = None
        self._track_failures(False, "")
        self._note_stored_row(version, sent_s)

    def note_failed(self, reason: str, sent_s: float, may_be_stored: bool) -> None:
        """Note that the row that was sent at `sent_s` may or may not be stored."""
        self._track_failures(True, reason)
        if not may_be_stored and self._unresolved_sent_s == sent_s:
            self._unresolved_sent_s = None

    def note_found(self, version: int) -> None:
        """Note the version under which the store has the row of this ownership."""
        self._unanswered_since_s = None
        if version != self._version and self._unresolved_sent_s is not None:
            self._track_failures(False, "")
            self._note_stored_row(version, self._unresolved_sent_s)
        self._version = version

    def _choose_witnesses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses of the peers to name as witnesses from now on."""
        addresses = list(self._list_peers())
        if now_s - self._acquired_s < PEER_TIMEOUT_S:
            # Some peers have not yet called this process as the owner.
            addresses = [*self._row.witnesses, *addresses]
        # Without any peer, it is this process rather that is cut off from them.
        addresses = addresses or list(self._witnesses)
        return tuple(dict.fromkeys(addresses))[:MAX_WITNESSES]

    def _note_stored_row(self, version: int, sent_s: float) -> None:
        self._version, self._renewed_s = version, sent_s
        if self._unconfirmed_witnesses is not None:
            self._witnesses = self._unconfirmed_witnesses
        self._unconfirmed_witnesses = None
        self._unresolved_sent_s = None

    def _track_failures(self, is_failure: bool, reason: str) -> None:
        """Record and log when transactions start to fail and succeed again."""
        was_failing = self._failing_since_s is not None
        if is_failure != was_failing:
            now_s = asyncio.get_running_loop().time()
            self._failing_since_s = now_s if is_failure else None
            log_message(
                "dependency_lost" if is_failure else "dependency_regained",
                dependency="store",
                reason=reason,
                renewed_age_s=round(self.renewed_age_s, 3),
            )
