"""Tracks the processes of a cell that exchange calls with its owner."""

from __future__ import annotations

import asyncio

from attrs import define

PEER_TIMEOUT_S = 3.0
"""Seconds after its last sync call from which a peer counts as gone."""


@define
class Peer:
    """A process that has sent sync calls.

    Times are on the event loop's clock, in seconds.

    Attributes
    ----------
    address : str
        ``ip:port`` on which the process listens for its peers.
    fitness : float
        Fitness of the process as an owner; see the module `decision.succession`.
    first_sync_s : float
        Time of the first of the sync calls that followed each other without a gap of
        `PEER_TIMEOUT_S`.
    last_sync_s : float
        Time of the last sync call.
    """

    address: str
    fitness: float
    first_sync_s: float
    last_sync_s: float


class PeerRegistry:
    """Knows the peers that have called within `PEER_TIMEOUT_S`."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def note_sync(self, address: str, fitness: float, is_leaving: bool) -> None:
        """Note a sync call; a peer that is leaving is forgotten."""
        now_s = asyncio.get_running_loop().time()
        if is_leaving:
            self._peers.pop(address, None)
            return
        peer = self._peers.get(address)
        if peer is None or now_s - peer.last_sync_s >= PEER_TIMEOUT_S:
            peer = self._peers[address] = Peer(address, fitness, now_s, now_s)
        peer.fitness, peer.last_sync_s = fitness, now_s

    def list_active(self) -> list[Peer]:
        """Return the peers that have called recently; forget the others."""
        now_s = asyncio.get_running_loop().time()
        self._peers = {
            address: peer
            for address, peer in self._peers.items()
            if now_s - peer.last_sync_s < PEER_TIMEOUT_S
        }
        return list(self._peers.values())

    def list_addresses(self) -> list[str]:
        """Return the addresses of the active peers, those known longest first."""
        peers = sorted(self.list_active(), key=lambda peer: peer.first_sync_s)
        return [peer.address for peer in peers]

    def find_fittest(self) -> Peer | None:
        """Return the fittest active peer, of equals the one known longest."""
        return max(
            self.list_active(),
            key=lambda peer: (peer.fitness, -peer.first_sync_s),
            default=None,
        )
