"""Finds a successor for an owner that the store has ceased to answer."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from fuchsiadale.cell.peer_registry import Peer, PeerRegistry
from fuchsiadale.cell.peers import PeerClient
from fuchsiadale.cell.rows import read_owner
from fuchsiadale.decision.succession import FIT_SHARE
from fuchsiadale.ports.rows import RowStore

MAX_ASKED_PEERS = 3
"""Number of the fittest peers that are asked whether the store answers them."""

PROBE_READ_TIMEOUT_S = 0.15
"""Seconds in which the store must answer a probe.

An owner of a store that is slow for everyone has no better successor. The store usually
answers in a thirtieth of this.
"""


async def answers_quickly(store: RowStore) -> bool:
    """Return whether the store answers a read of the owner's row quickly now."""
    try:
        found = await asyncio.wait_for(read_owner(store), PROBE_READ_TIMEOUT_S)
    except TimeoutError:
        return False
    return found.is_ok()


async def find_successor(
    peers: PeerRegistry, clients: Mapping[str, PeerClient], fitness: float
) -> Peer | None:
    """Return the fittest peer that the store answers quickly now.

    Parameters
    ----------
    peers : PeerRegistry
        The known peers.
    clients : mapping of str to PeerClient
        Clients of the peers, by address.
    fitness : float
        Fitness of the owner; peers that are much less fit are not asked, and replace
        it in their turn if no fit one is there.

    Returns
    -------
    successor : Peer or None
        The peer; None if the store answers none of those that were asked, as in an
        outage for all, in which an owner should keep its work going.
    """
    candidates = [
        peer
        for peer in peers.list_active()
        if peer.fitness >= FIT_SHARE * fitness and peer.address in clients
    ]
    candidates.sort(key=lambda peer: (-peer.fitness, peer.first_sync_s))
    candidates = candidates[:MAX_ASKED_PEERS]
    answers = await asyncio.gather(
        *(clients[peer.address].probe_store() for peer in candidates)
    )
    return next(
        (
            peer
            for peer, is_reachable in zip(candidates, answers, strict=True)
            if is_reachable
        ),
        None,
    )
