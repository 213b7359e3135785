"""Whether an entry's configuration may still be relied on."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import CONFIG_MAX_AGE_S


@frozen
class PeerConfigStatus:
    """What a peer says of its configuration.

    Attributes
    ----------
    version : int
        The version that the peer has in force.
    age_s : float
        Seconds since the peer confirmed it, as of its answer.
    store_reachable : bool
        Whether the peer reached the store in that time.
    """

    version: int
    age_s: float
    store_reachable: bool


class ConfigFreshness:
    """Tracks how long ago the version in force was confirmed.

    Parameters
    ----------
    clock : Clock
        The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._version = 0
        self._confirmed_s: float | None = None
        self._store_s: float | None = None
        self._agreeing_s: dict[str, float] = {}
        self._member_count = 1

    @property
    def version(self) -> int:
        """The version in force; 0 before there is one."""
        return self._version

    def set_member_count(self, count: int) -> None:
        """Take the number of members, this one included."""
        self._member_count = max(count, 1)

    def apply(self, version: int) -> bool:
        """Put a version in force; return False for one that is not newer."""
        if version <= self._version:
            return False
        self._version = version
        self._agreeing_s.clear()
        return True

    def record_store_answer(self, version: int, sent_s: float) -> None:
        """Note that the store, asked at `sent_s`, had this version."""
        self._store_s = max(sent_s, self._store_s or sent_s)
        if version == self._version:
            self._confirm(sent_s)

    def record_peer_answer(
        self, peer: str, told: PeerConfigStatus, sent_s: float
    ) -> None:
        """Note what a peer, asked at `sent_s`, said."""
        if told.version > self._version:
            return
        if told.version == self._version and told.store_reachable:
            self._confirm(sent_s - told.age_s)
        if not told.store_reachable:
            self._agreeing_s[peer] = sent_s
        self._confirm_by_majority()

    def is_store_reachable(self) -> bool:
        """Tell whether the store answered within the freshness time."""
        return self._is_recent(self._store_s)

    def age_s(self) -> float:
        """Return the seconds since the last confirmation."""
        if self._confirmed_s is None:
            return float("inf")
        return self._clock.now() - self._confirmed_s

    def is_fresh(self) -> bool:
        """Tell whether work may be accepted under the version in force."""
        return self._version > 0 and self._is_recent(self._confirmed_s)

    def _confirm_by_majority(self) -> None:
        """Confirm if nobody reaches the store and most members agree."""
        if self.is_store_reachable():
            return
        recent = [s for s in self._agreeing_s.values() if self._is_recent(s)]
        if 2 * (len(recent) + 1) > self._member_count and recent:
            self._confirm(min(recent))

    def _confirm(self, moment_s: float) -> None:
        if self._confirmed_s is None or moment_s > self._confirmed_s:
            self._confirmed_s = moment_s

    def _is_recent(self, moment_s: float | None) -> bool:
        if moment_s is None:
            return False
        return self._clock.now() - moment_s < CONFIG_MAX_AGE_S
