"""Decides whether the configuration of an entry is recent enough to accept work."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import CONFIG_MAX_AGE_S


@frozen
class PeerConfigStatus:
    """What a peer reports about its configuration.

    Attributes
    ----------
    version : int
        The version that is in force at the peer.
    age_s : float
        Seconds from the last confirmation of that version to the answer of the peer.
    store_reachable : bool
        Whether the store answered the peer within the maximum age of a configuration.
    """

    version: int
    age_s: float
    store_reachable: bool


class ConfigFreshness:
    """Tracks how long ago the configuration version in force was confirmed.

    The version is confirmed by the store or by a peer that reaches the store. While
    this member does not reach the store, the version is also confirmed by more than
    half of all members, including this one, if none of them reaches the store or knows
    a newer version.

    Parameters
    ----------
    clock : Clock
        The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._version = 0
        self._confirmed_at_s: float | None = None
        self._store_answered_at_s: float | None = None
        self._agreed_at_s: dict[str, float] = {}
        self._member_count = 1

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one is applied."""
        return self._version

    def set_member_count(self, count: int) -> None:
        """Set the number of members, including this one."""
        self._member_count = max(count, 1)

    def apply(self, version: int) -> bool:
        """Put a version in force; return False if it is not newer."""
        if version <= self._version:
            return False
        self._version = version
        self._agreed_at_s.clear()
        return True

    def record_store_answer(self, version: int, sent_s: float) -> None:
        """Record that the store returned `version` to a request sent at `sent_s`."""
        self._store_answered_at_s = max(sent_s, self._store_answered_at_s or sent_s)
        if version == self._version:
            self._confirm(sent_s)

    def record_peer_answer(
        self, peer: str, status: PeerConfigStatus, sent_s: float
    ) -> None:
        """Record the answer of a peer to a request sent at `sent_s`."""
        if status.version > self._version:
            return
        if status.version == self._version and status.store_reachable:
            self._confirm(sent_s - status.age_s)
        if not status.store_reachable:
            self._agreed_at_s[peer] = sent_s
        self._confirm_by_majority()

    def is_store_reachable(self) -> bool:
        """Return whether the store answered within the maximum age."""
        return self._is_recent(self._store_answered_at_s)

    def age_s(self) -> float:
        """Return the seconds since the last confirmation; infinity before the first."""
        if self._confirmed_at_s is None:
            return float("inf")
        return self._clock.now() - self._confirmed_at_s

    def is_fresh(self) -> bool:
        """Return whether work may be accepted under the version in force."""
        return self._version > 0 and self._is_recent(self._confirmed_at_s)

    def _confirm_by_majority(self) -> None:
        """Confirm if most members lack the store and do not have a newer version."""
        if self.is_store_reachable():
            return
        recent_s = [
            sent_s for sent_s in self._agreed_at_s.values() if self._is_recent(sent_s)
        ]
        if 2 * (len(recent_s) + 1) > self._member_count and recent_s:
            self._confirm(min(recent_s))

    def _confirm(self, time_s: float) -> None:
        if self._confirmed_at_s is None or time_s > self._confirmed_at_s:
            self._confirmed_at_s = time_s

    def _is_recent(self, time_s: float | None) -> bool:
        if time_s is None:
            return False
        return self._clock.now() - time_s < CONFIG_MAX_AGE_S
