"""Which member of the cluster this process is."""

from __future__ import annotations

from fuchsiadale.decision.rows import MemberRow
from fuchsiadale.ids import IdSource


class Identity:
    """The member that this process is at present.

    A process that was declared dead while it was paused joins again as a new member.

    Parameters
    ----------
    host : str
        Name of the entry host.
    failure_domain : str
        Its failure domain.
    peer_address : str
        Where its peers reach it.
    ids : IdSource
        Makes the members' names unique.
    """

    def __init__(
        self, host: str, failure_domain: str, peer_address: str, ids: IdSource
    ) -> None:
        self._ids = ids
        self._host = host
        self._failure_domain = failure_domain
        self._peer_address = peer_address
        self.member = ""
        self.liveness_version = 0
        self.assign_new_member()

    def assign_new_member(self) -> None:
        """Become a new member that has not joined yet."""
        self.member = f"{self._host}.{self._ids.new()[:8]}"
        self.liveness_version = 0

    def build_row(self, renewals: int, draining: bool) -> MemberRow:
        """Return this member's row."""
        return MemberRow(
            member=self.member,
            host=self._host,
            failure_domain=self._failure_domain,
            peer_address=self._peer_address,
            renewals=renewals,
            draining=draining,
        )
