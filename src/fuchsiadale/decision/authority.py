"""Decides whether the owner of a partition may place and start tasks now."""

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
    """Which rules an owner follows; each can be disabled on its own for tests.

    Attributes
    ----------
    witness_acknowledgement : bool
        Whether an owner without a lease needs a quorum of witnesses that recently
        acknowledged its heartbeats.
    witness_majority : bool
        Whether adoption and acknowledgement need a majority of the witnesses instead
        of a single one.
    takeover_wait : bool
        Whether a new owner waits until the acknowledgements that the former owner
        received have expired.
    rerun_wait : bool
        Whether the owner waits for the leases on workers that it has not adopted to
        expire before it runs the tasks again that may still run there.
    renewal_stop : bool
        Whether an owner without a lease and without a quorum of witnesses ceases to
        renew the leases of tasks.
    """

    witness_acknowledgement: bool = True
    witness_majority: bool = True
    takeover_wait: bool = True
    rerun_wait: bool = True
    renewal_stop: bool = True


class Authority:
    """The authority of an owner over one partition in one epoch.

    The witnesses are the workers in the row of the partition. A new owner first waits
    until a majority of them has accepted its epoch, which is called adoption, and until
    the former owner can no longer act. It may then act while it holds its member lease.
    Without the lease, and only if the backend servers compare epochs, it may act while
    a majority of the witnesses acknowledges its heartbeats.

    Parameters
    ----------
    clock : Clock
        The clock.
    witnesses : iterable of str
        The workers in the row of the partition.
    taken_over : bool
        Whether the former owner was declared dead; False if it handed the partition
        over.
    fencing : bool
        Whether the backend servers compare epochs; if not, the owner may act only while
        it holds its lease.
    rules : AuthorityRules, optional
        The rules to follow; all by default.
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
        self._proposed_witnesses: frozenset[str] | None = None
        self._taken_over = taken_over
        self._fencing = fencing
        self._rules = rules or AuthorityRules()
        self._acquired_at_s = clock.now()
        self._majority_adopted_at_s: float | None = None
        self._adopted_workers: set[str] = set()
        self._departed_workers: set[str] = set()
        self._last_acknowledged_sent_s: dict[str, float] = {}
        self._lease_renewal_sent_s: float | None = None
        self._revoked = False

    @property
    def is_revoked(self) -> bool:
        """Whether a newer epoch was seen or the partition was handed over."""
        return self._revoked

    def revoke(self) -> None:
        """Give up the authority over the partition permanently."""
        self._revoked = True

    def record_lease_renewal(self, sent_s: float) -> None:
        """Record a successful renewal of the member row that was sent at `sent_s`."""
        if self._lease_renewal_sent_s is None or sent_s > self._lease_renewal_sent_s:
            self._lease_renewal_sent_s = sent_s

    def record_adoption(self, worker: str) -> None:
        """Record that a worker accepted this epoch."""
        self._adopted_workers.add(worker)
        self._departed_workers.discard(worker)
        self._note_majority()

    def record_departure(self, worker: str) -> None:
        """Record that a worker is not listed any more.

        It counts for the majority, but if it has not accepted this epoch, it may run
        attempts until their leases have expired.
        """
        if worker not in self._adopted_workers:
            self._departed_workers.add(worker)
            self._note_majority()

    def _note_majority(self) -> None:
        accounted_for = self._adopted_workers | self._departed_workers
        adopted_count = len(self._witnesses & accounted_for)
        if self._majority_adopted_at_s is None and self._is_quorum(
            adopted_count, self._witnesses
        ):
            self._majority_adopted_at_s = self._clock.now()

    def record_acknowledgement(self, worker: str, sent_s: float) -> None:
        """Record that a worker answered a heartbeat that was sent at `sent_s`."""
        previous_s = self._last_acknowledged_sent_s.get(worker, sent_s)
        self._last_acknowledged_sent_s[worker] = max(previous_s, sent_s)

    def propose_witnesses(self, witnesses: Iterable[str]) -> None:
        """Record that the witness set in the row may become `witnesses`.

        Until the change is confirmed, acting needs a quorum of both sets, because a new
        owner may read either of them.
        """
        self._proposed_witnesses = frozenset(witnesses)

    def confirm_witnesses(self, witnesses: Iterable[str]) -> None:
        """Record that the row holds `witnesses` as its witness set."""
        self._witnesses = frozenset(witnesses)
        self._proposed_witnesses = None

    def may_act(self) -> bool:
        """Return whether tasks may be placed and started now."""
        if self._revoked or not self._is_takeover_complete():
            return False
        return self._holds_lease() or (self._fencing and self._has_witness_quorum())

    def may_renew_leases(self) -> bool:
        """Return whether heartbeats may renew the leases of tasks now.

        A new owner does so before the former one has stopped, but not before a majority
        of the witnesses has accepted its epoch: until then the former owner may wait
        for the leases on the workers that only the new one reaches. An owner without a
        lease and without a quorum of witnesses does not either, because a new owner may
        wait for the leases on the workers that only this owner reaches.
        """
        if self._revoked:
            return False
        if not self._rules.renewal_stop:
            return True
        if self._taken_over and self._former_owner_last_request_s() is None:
            return False
        return self._holds_lease() or self._has_witness_quorum()

    def may_rerun_unreported(self) -> bool:
        """Return whether tasks that no adopted worker reported may be run again.

        This is the case once all witnesses are adopted and none has departed before, or
        once attempts on the other workers have certainly ended.
        """
        if self._witnesses <= self._adopted_workers and not self._departed_workers:
            return True
        if not self._rules.rerun_wait:
            return True
        return self.have_former_runs_ended()

    def have_former_runs_ended(self) -> bool:
        """Return whether what a former owner started has ended where it is not adopted.

        A former owner that was declared dead renews leases for `WITNESS_VALIDITY_S`
        after the last request that a majority acknowledged, and the tasks end
        `TASK_LEASE_S` later. `RERUN_WAIT_S` exceeds their sum.
        """
        request_s = self._former_owner_last_request_s()
        return request_s is not None and self._clock.now() - request_s > RERUN_WAIT_S

    def _is_takeover_complete(self) -> bool:
        """Return whether a majority is adopted and the former owner has stopped."""
        if self._witnesses and self._majority_adopted_at_s is None:
            return False
        if not self._rules.takeover_wait:
            return True
        stopped_s = self._former_owner_stop_time_s()
        return stopped_s is not None and self._clock.now() >= stopped_s

    def _former_owner_stop_time_s(self) -> float | None:
        """Return the time by which the former owner has stopped acting.

        A former owner that was declared dead may act on acknowledgements of heartbeats
        that it sent just before a majority of the witnesses was adopted. Returns None
        until that majority is adopted. After a handover the former owner had already
        stopped.
        """
        request_s = self._former_owner_last_request_s()
        if not self._taken_over or request_s is None:
            return request_s
        return request_s + WITNESS_VALIDITY_S + SAFETY_MARGIN_S

    def _former_owner_last_request_s(self) -> float | None:
        """Return a time after which no majority acknowledges the former owner.

        This is the adoption of a majority of the witnesses; None until then. Without
        witnesses, and after a handover, it is the acquisition.
        """
        if self._taken_over and self._witnesses:
            return self._majority_adopted_at_s
        return self._acquired_at_s

    def _holds_lease(self) -> bool:
        if self._lease_renewal_sent_s is None:
            return False
        age_s = self._clock.now() - self._lease_renewal_sent_s
        return age_s < MEMBER_LEASE_S - SAFETY_MARGIN_S

    def _has_witness_quorum(self) -> bool:
        if not self._rules.witness_acknowledgement:
            return True
        now_s = self._clock.now()
        recently_acknowledged = {
            name
            for name, sent_s in self._last_acknowledged_sent_s.items()
            if now_s - sent_s < WITNESS_VALIDITY_S
        }
        witness_sets = [self._witnesses]
        if self._proposed_witnesses is not None:
            witness_sets.append(self._proposed_witnesses)
        return all(
            self._is_quorum(len(recently_acknowledged & witness_set), witness_set)
            for witness_set in witness_sets
        )

    def _is_quorum(self, count: int, witnesses: frozenset[str]) -> bool:
        if not self._rules.witness_majority:
            return count >= 1
        return 2 * count > len(witnesses)
