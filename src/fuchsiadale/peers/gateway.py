"""Interfaces for calls to the owner of a partition and to other entry processes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from result import Result

from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.views import PartitionView, WorkView
from fuchsiadale.decision.work import Submission
from fuchsiadale.peers.peer_pb2 import GossipReply, GossipRequest


class Gateway(ABC):
    """Interface for calls to a member about the partitions that it owns.

    Refusals of the kinds ``NOT_OWNER`` and ``NO_OWNER`` mean that the call had no
    effect, ``OUTCOME_UNKNOWN`` that the member may have processed it.
    """

    @abstractmethod
    async def submit(
        self, submission: Submission, reply_to: str
    ) -> Result[str, Refusal]:
        """Submit work; return the id of the work accepted.

        Parameters
        ----------
        submission : Submission
            The work.
        reply_to : str
            Id of the member whose caller waits for the result, if it is a request.

        Returns
        -------
        Result
            The id of the work accepted, or the refusal. The id is that of earlier work
            if the idempotency key was used before.
        """

    @abstractmethod
    async def cancel(
        self, work_id: str, reason: Refusal, member: str
    ) -> Result[WorkView, Refusal]:
        """Cancel work, unless a caller of another member waits for its result.

        Parameters
        ----------
        work_id : str
            Id of the work.
        reason : Refusal
            Refusal reported for tasks that did not run.
        member : str
            Id of the member whose caller no longer waits; empty if the caller
            cancelled a job.

        Returns
        -------
        Result
            A view of the work, cancelled or not, or the refusal.
        """

    @abstractmethod
    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work once it is final or `hold_s` seconds have passed."""

    @abstractmethod
    async def list_team_jobs(
        self, partition: str, team: str
    ) -> Result[list[WorkView], Refusal]:
        """Return views of a team's jobs in one partition."""

    @abstractmethod
    async def inspect(self, partition: str) -> Result[PartitionView, Refusal]:
        """Return a view of a partition for operators."""


class Peer(Gateway):
    """Interface of a client of another entry process."""

    @property
    @abstractmethod
    def member(self) -> str:
        """Member id of the peer."""

    @abstractmethod
    async def gossip(self, request: GossipRequest) -> Result[GossipReply, Refusal]:
        """Exchange configuration versions and team usage."""

    @abstractmethod
    async def collect(
        self, get_own_member: Callable[[], str], deliver: Callable[[WorkView], None]
    ) -> None:
        """Fetch results for this process from the peer until cancelled.

        Parameters
        ----------
        get_own_member : callable
            Returns the current member id of this process, which changes when the
            process joins again.
        deliver : callable
            Called with each result; a result may be delivered twice.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""


class PeerConnector(ABC):
    """Interface of a factory that creates clients of peers."""

    @abstractmethod
    def connect(self, member: str, address: str) -> Peer:
        """Return a client of the peer that listens on an address."""
