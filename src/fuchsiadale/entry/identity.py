"""The identity of this process as a member of the cluster."""

from __future__ import annotations

from fuchsiadale.decision.rows import MemberRow
from fuchsiadale.ids import IdSource


class Identity:
    """The identity of this process as a member of the cluster.

    A process that was declared dead, for example while it was paused, joins again as a
    new member with another name.

    Parameters
    ----------
    host : str
        Name of the entry host.
    failure_domain : str
        Failure domain of the host.
    peer_address : str
        Address at which the process listens for its peers.
    ids : IdSource
        Generates the random part of the member names.

    Attributes
    ----------
    member : str
        Name of the current member.
    liveness_version : int
        Version of the liveness row of the member in the table; 0 before it has joined
        and after it has left.
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
        """Generate a new member name and record that it has not joined yet."""
        self.member = f"{self._host}.{self._ids.new()[:8]}"
        self.liveness_version = 0

    def build_row(self, renewals: int, draining: bool) -> MemberRow:
        """Return the row of the current member.

        Parameters
        ----------
        renewals : int
            Number of renewals that this process has attempted so far.
        draining : bool
            Whether the process is about to stop.

        Returns
        -------
        MemberRow
            The row to write to the table.
        """
        return MemberRow(
            member=self.member,
            host=self._host,
            failure_domain=self._failure_domain,
            peer_address=self._peer_address,
            renewals=renewals,
            draining=draining,
        )
