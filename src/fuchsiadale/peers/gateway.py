"""How the owner of a partition is reached."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from result import Result

from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.views import PartitionView, WorkView
from fuchsiadale.decision.work import Submission
from fuchsiadale.peers.peer_pb2 import GossipReply, GossipRequest


class Gateway(ABC):
    """Reaches the member that owns some partitions.

    Refusals of the kinds ``NOT_OWNER`` and ``NO_OWNER`` mean that nothing was taken
    in; ``OUTCOME_UNKNOWN`` that the call may have arrived.
    """

    @abstractmethod
    async def submit(
        self, submission: Submission, reply_to: str
    ) -> Result[str, Refusal]:
        """Submit work for a member; return the id of the work accepted."""

    @abstractmethod
    async def cancel(
        self, work_id: str, reason: Refusal, member: str
    ) -> Result[WorkView, Refusal]:
        """End work, unless the caller of another member waits for it."""

    @abstractmethod
    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work, once it is final or `hold_s` seconds have passed."""

    @abstractmethod
    async def list_team_jobs(
        self, partition: str, team: str
    ) -> Result[list[WorkView], Refusal]:
        """Return views of a team's jobs in one partition."""

    @abstractmethod
    async def inspect(self, partition: str) -> Result[PartitionView, Refusal]:
        """Return a view of a partition for operators."""


class Peer(Gateway):
    """Another entry process."""

    @property
    @abstractmethod
    def member(self) -> str:
        """The member that it is."""

    @abstractmethod
    async def gossip(self, request: GossipRequest) -> Result[GossipReply, Refusal]:
        """Exchange versions and usage."""

    @abstractmethod
    async def collect(
        self, get_own_member: Callable[[], str], deliver: Callable[[WorkView], None]
    ) -> None:
        """Fetch results for this process, for ever.

        Parameters
        ----------
        get_own_member : callable
            Returns the member that this process is at present.
        deliver : callable
            Takes each result; one may come twice.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""


class PeerConnector(ABC):
    """Connects to peers."""

    @abstractmethod
    def connect(self, member: str, address: str) -> Peer:
        """Return the peer that listens at an address."""
