"""The connections to all other members of the cluster."""

from __future__ import annotations

from collections.abc import Callable

from fuchsiadale.decision.views import WorkView
from fuchsiadale.entry.directory import Directory, Owner
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.local_gateway import LocalGateway
from fuchsiadale.peers.gateway import Gateway, Peer, PeerConnector
from fuchsiadale.supervisor import Supervisor


class PeerSet:
    """Connects to every other member and fetches results from it.

    These are the results of requests whose callers wait at this process.

    Parameters
    ----------
    identity : Identity
        The member that this process is.
    directory : Directory
        The members of the cluster.
    local : LocalGateway
        The gateway to the partitions of this process.
    connector : PeerConnector
        Connects to the other members.
    supervisor : Supervisor
        Runs the loops that fetch results.
    deliver : callable
        Called with each result that a peer returns.
    on_departure : callable
        Called with the name of each member that has left the cluster.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        local: LocalGateway,
        connector: PeerConnector,
        supervisor: Supervisor,
        deliver: Callable[[WorkView], None],
        on_departure: Callable[[str], None],
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._local = local
        self._connector = connector
        self._supervisor = supervisor
        self._deliver = deliver
        self._on_departure = on_departure
        self._clients: dict[str, Peer] = {}

    @property
    def clients(self) -> dict[str, Peer]:
        """The connected peers, by member name."""
        return self._clients

    def find_gateway(self, owner: Owner) -> Gateway | None:
        """Return the gateway to an owner; None if it is not connected."""
        if owner.member == self._identity.member:
            return self._local
        return self._clients.get(owner.member)

    async def update(self) -> None:
        """Connect to new members and disconnect from those that have left."""
        members = self._directory.members
        for name, row in members.items():
            if name == self._identity.member or name in self._clients:
                continue
            client = self._connector.connect(name, row.peer_address)
            self._clients[name] = client
            self._start_collecting_results(client)
        for name in set(self._clients) - set(members):
            self._supervisor.cancel_child(f"collect/{name}")
            await self._clients.pop(name).close()
            self._on_departure(name)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    def _start_collecting_results(self, client: Peer) -> None:
        self._supervisor.start(
            f"collect/{client.member}",
            lambda: client.collect(lambda: self._identity.member, self._deliver),
        )
