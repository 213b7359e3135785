"""Finds successors that the store answers.

Owners leave the cell to them once the store has ceased to answer, or to fitter ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from eliot import log_message

from fuchsiadale.cell.owner_row import read_owner
from fuchsiadale.cell.peer_registry import Peer, PeerRegistry
from fuchsiadale.cell.peers import PeerClient
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.decision.succession import FIT_SHARE, should_hand_over
from fuchsiadale.ports.rows import RowStore

STORE_CHECK_INTERVAL_S = 0.1
"""Seconds between two looks at whether the store answers the owner."""

STORE_PROBE_PAUSE_S = 0.3
"""Seconds before peers are asked again whether the store answers them."""

MAX_ASKED_PEERS = 3
"""Number of the fittest peers that are asked whether the store answers them."""

PROBE_READ_TIMEOUT_S = 0.15
"""Seconds in which the store must answer a probe.

An owner of a store that is slow for everyone has no better successor. The store usually
answers in a thirtieth of this.
"""

LAST_READ_TIMEOUT_S = 0.05
"""Seconds in which the store must answer the last read before the owner leaves.

The store usually answers in a tenth of this.
"""

HAND_OVER_PAUSE_S = 5.0
"""Seconds before fitter peers are asked again that the store did not answer."""

PROBE_LEAD_S = STORE_CHECK_INTERVAL_S + PROBE_READ_TIMEOUT_S
"""Seconds before the store counts as unreachable at which the probes are due.

The look that starts them may be late by an interval.
"""


async def answers_quickly(
    store: RowStore, timeout_s: float = PROBE_READ_TIMEOUT_S
) -> bool:
    """Return whether the store answers a read of the owner's row within `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            found = await read_owner(store)
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
    return await _find_reachable(candidates, clients)


async def _find_reachable(
    candidates: list[Peer], clients: Mapping[str, PeerClient]
) -> Peer | None:
    """Return the fittest of some peers that the store answers quickly now."""
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


class HandOver:
    """Finds a much fitter peer to which an owner can hand the cell over.

    A peer that the store refuses could not acquire it, and the owner would have to.

    Parameters
    ----------
    peers : PeerRegistry
        The known peers.
    clients : mapping of str to PeerClient
        Clients of the peers, by address; kept up to date by the caller.
    fitness : float
        Fitness of this process.
    """

    def __init__(
        self, peers: PeerRegistry, clients: Mapping[str, PeerClient], fitness: float
    ) -> None:
        self._peers = peers
        self._clients = clients
        self._fitness = fitness
        self._asks_from_s = 0.0

    async def find_successor(self) -> Peer | None:
        """Return the fittest such peer that the store answers; None if there is none.

        Asks nobody for `HAND_OVER_PAUSE_S` after the store answered no such peer.
        """
        now_s = asyncio.get_running_loop().time()
        candidates = [
            peer
            for peer in self._peers.list_active()
            if should_hand_over(self._fitness, peer.fitness, now_s - peer.first_sync_s)
            and peer.address in self._clients
        ]
        if not candidates or now_s < self._asks_from_s:
            return None
        successor = await _find_reachable(candidates, self._clients)
        if successor is None:
            self._asks_from_s = now_s + HAND_OVER_PAUSE_S
            log_message("hand_over_put_off", candidates=len(candidates))
        return successor


def is_probe_due(tenure: Tenure) -> bool:
    """Return whether the store counts as unreachable soon unless it answers."""
    due_s = tenure.unreachable_from_s
    if due_s is None:
        return False
    return due_s - asyncio.get_running_loop().time() <= PROBE_LEAD_S


async def find_successor_if_unreachable(
    store: RowStore,
    tenure: Tenure,
    peers: PeerRegistry,
    clients: Mapping[str, PeerClient],
    fitness: float,
) -> Peer | None:
    """Return a peer that the store answers, unless it answers this process, too.

    Returns once the store counts as unreachable or later.

    Parameters
    ----------
    store : RowStore
        The store as this process sees it.
    tenure : Tenure
        The ownership of this process, for which `is_probe_due` holds.
    peers, clients, fitness
        See `find_successor`.

    Returns
    -------
    successor : Peer or None
        The peer; None if there is none or the store answers this process. If it answers
        only reads, answers to writes are lost, and they are lost to every process.
    """
    due_s = tenure.unreachable_from_s
    if due_s is None:
        return None
    loop = asyncio.get_running_loop()
    is_answered, successor = await asyncio.gather(
        _answers_quickly_at(store, due_s - PROBE_READ_TIMEOUT_S),
        find_successor(peers, clients, fitness),
    )
    await asyncio.sleep(max(0.0, due_s - loop.time()))
    # The fault may have ended since the first read was sent.
    if (
        is_answered
        or successor is None
        or await answers_quickly(store, LAST_READ_TIMEOUT_S)
    ):
        return None
    # This time is later if a transaction was answered meanwhile.
    new_due_s = tenure.unreachable_from_s
    return None if new_due_s is None or new_due_s > due_s else successor


async def _answers_quickly_at(store: RowStore, start_s: float) -> bool:
    """Return whether the store answers quickly at `start_s` on the loop's clock."""
    await asyncio.sleep(max(0.0, start_s - asyncio.get_running_loop().time()))
    return await answers_quickly(store)
