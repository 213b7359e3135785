"""The connections to all peers."""

from __future__ import annotations

from collections.abc import Callable

from fuchsiadale.decision.views import WorkView
from fuchsiadale.entry.directory import Directory, Owner
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.local_gateway import LocalGateway
from fuchsiadale.peers.gateway import Gateway, Peer, PeerConnector
from fuchsiadale.supervisor import Supervisor


class PeerSet:
    """The connections to all peers.

    Parameters
    ----------
    identity : Identity
        This member.
    directory : Directory
        The members.
    local : LocalGateway
        Reaches the partitions of this process.
    connector : PeerConnector
        Connects to peers.
    supervisor : Supervisor
        Runs the loops that fetch results.
    deliver : callable
        Takes results.
    on_gone : callable
        Called with a member that is gone.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        local: LocalGateway,
        connector: PeerConnector,
        supervisor: Supervisor,
        deliver: Callable[[WorkView], None],
        on_gone: Callable[[str], None],
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._local = local
        self._connector = connector
        self._supervisor = supervisor
        self._deliver = deliver
        self._on_gone = on_gone
        self._clients: dict[str, Peer] = {}

    @property
    def clients(self) -> dict[str, Peer]:
        """The peers, by member."""
        return self._clients

    def find(self, owner: Owner) -> Gateway | None:
        """Return the gateway to an owner."""
        if owner.member == self._identity.member:
            return self._local
        return self._clients.get(owner.member)

    async def update(self) -> None:
        """Connect to new members and leave those that are gone."""
        members = self._directory.members
        for name, row in members.items():
            if name == self._identity.member or name in self._clients:
                continue
            client = self._connector.connect(name, row.peer_address)
            self._clients[name] = client
            self._start_collecting(client)
        for name in set(self._clients) - set(members):
            self._supervisor.cancel_child(f"collect/{name}")
            await self._clients.pop(name).close()
            self._on_gone(name)

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            await client.close()

    def _start_collecting(self, client: Peer) -> None:
        self._supervisor.start(
            f"collect/{client.member}",
            lambda: client.collect(lambda: self._identity.member, self._deliver),
        )
