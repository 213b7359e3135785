"""Whether the owner of a partition may act for it now."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import (
    MEMBER_LEASE_S,
    RERUN_WAIT_S,
    SAFETY_MARGIN_S,
    WITNESS_VALIDITY_S,
)


@frozen
class AuthorityRules:
    """Which rules are in force; a test switches them off one by one.

    Attributes
    ----------
    witness_acknowledgement : bool
        Without a lease, acting needs recent acknowledgements of witnesses.
    witness_majority : bool
        Adoption and acknowledgement need a majority of the witness set, not one.
    takeover_wait : bool
        A taker waits until acknowledgements of the former owner have expired.
    rerun_wait : bool
        What may run on a worker never adopted is re-run only after its leases.
    """

    witness_acknowledgement: bool = True
    witness_majority: bool = True
    takeover_wait: bool = True
    rerun_wait: bool = True


class Authority:
    """An owner's right to act for one partition in one epoch.

    Parameters
    ----------
    clock : Clock
        The clock.
    witnesses : iterable of str
        The workers in the partition's row.
    taken_over : bool
        Whether the former owner was declared dead instead of handing over.
    fencing : bool
        Whether the backend servers compare epochs.
    rules : AuthorityRules, optional
        Which rules are in force.
    """

    def __init__(
        self,
        clock: Clock,
        witnesses: Iterable[str],
        taken_over: bool,
        fencing: bool = True,
        rules: AuthorityRules | None = None,
    ) -> None:
        self._clock = clock
        self._witnesses = frozenset(witnesses)
        self._proposed: frozenset[str] | None = None
        self._taken_over = taken_over
        self._fencing = fencing
        self._rules = rules or AuthorityRules()
        self._taken_at_s = clock.now()
        self._majority_at_s: float | None = None
        self._adopted: set[str] = set()
        self._acknowledged_s: dict[str, float] = {}
        self._lease_sent_s: float | None = None
        self._revoked = False

    @property
    def is_revoked(self) -> bool:
        """Whether a newer epoch was seen or the partition was handed over."""
        return self._revoked

    def revoke(self) -> None:
        """Give up the partition for good."""
        self._revoked = True

    def record_lease_renewal(self, sent_s: float) -> None:
        """Note a renewal of the member row that was sent at `sent_s`."""
        if self._lease_sent_s is None or sent_s > self._lease_sent_s:
            self._lease_sent_s = sent_s

    def record_adoption(self, worker: str) -> None:
        """Note a worker that accepted this epoch, or that is known to have gone."""
        self._adopted.add(worker)
        seen = len(self._witnesses & self._adopted)
        if self._majority_at_s is None and self._is_quorum(seen, self._witnesses):
            self._majority_at_s = self._clock.now()

    def record_acknowledgement(self, worker: str, sent_s: float) -> None:
        """Note a worker's answer to a heartbeat that was sent at `sent_s`."""
        earlier_s = self._acknowledged_s.get(worker, sent_s)
        self._acknowledged_s[worker] = max(earlier_s, sent_s)

    def propose_witnesses(self, witnesses: Iterable[str]) -> None:
        """Note that the row's witness set may change now.

        Until it is confirmed a quorum of both sets is needed, since a taker may read
        either of them.
        """
        self._proposed = frozenset(witnesses)

    def confirm_witnesses(self, witnesses: Iterable[str]) -> None:
        """Take the witness set that the row surely holds."""
        self._witnesses = frozenset(witnesses)
        self._proposed = None

    def may_act(self) -> bool:
        """Tell whether tasks may be placed and started now."""
        if self._revoked or not self._is_taken():
            return False
        return self._holds_lease() or (self._fencing and self._has_witnesses())

    def may_rerun_unreported(self) -> bool:
        """Tell whether nothing can be running that no adopted worker reported."""
        if self._witnesses <= self._adopted:
            return True
        if not self._rules.rerun_wait:
            return True
        stopped_s = self._former_owner_stopped_s()
        return stopped_s is not None and self._clock.now() - stopped_s > RERUN_WAIT_S

    def _is_taken(self) -> bool:
        if self._witnesses and self._majority_at_s is None:
            return False
        if not self._rules.takeover_wait:
            return True
        stopped_s = self._former_owner_stopped_s()
        return stopped_s is not None and self._clock.now() >= stopped_s

    def _former_owner_stopped_s(self) -> float | None:
        """Return when the former owner has surely stopped acting, once it is known.

        One that was declared dead may act on acknowledgements that it asked for just
        before a majority was adopted.
        """
        if not self._taken_over:
            return self._taken_at_s
        moment_s = self._majority_at_s if self._witnesses else self._taken_at_s
        if moment_s is None:
            return None
        return moment_s + WITNESS_VALIDITY_S + SAFETY_MARGIN_S

    def _holds_lease(self) -> bool:
        if self._lease_sent_s is None:
            return False
        age_s = self._clock.now() - self._lease_sent_s
        return age_s < MEMBER_LEASE_S - SAFETY_MARGIN_S

    def _has_witnesses(self) -> bool:
        if not self._rules.witness_acknowledgement:
            return True
        now_s = self._clock.now()
        recent = {
            name
            for name, sent_s in self._acknowledged_s.items()
            if now_s - sent_s < WITNESS_VALIDITY_S
        }
        sets = [self._witnesses]
        if self._proposed is not None:
            sets.append(self._proposed)
        return all(self._is_quorum(len(recent & each), each) for each in sets)

    def _is_quorum(self, count: int, witnesses: frozenset[str]) -> bool:
        if not self._rules.witness_majority:
            return count >= 1
        return 2 * count > len(witnesses)
