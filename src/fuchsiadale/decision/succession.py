"""Decides which process of a cell should own it.

One process schedules a whole cell, so a cell with hundreds of workers needs an owner on
one of its faster machines. Slow machines leave an ownership that becomes free to fast
ones for a while, and a slow owner hands the cell over once a fast machine is there.
"""

from __future__ import annotations

FULL_SPEED_LINK_MBPS = 50.0
"""Link in Mbit/s from which an owner's link does not limit it.

An owner of 300 workers sends and receives about a tenth of this at its peak.
"""

FIT_SHARE = 0.75
"""Share of the best fitness from which a process acquires without deferring."""

MAX_DEFERRAL_S = 0.9
"""Longest time in seconds for which a process leaves a free ownership to fitter ones.

Processes notice the failure of an owner within about this time of one another.
"""

FIRST_START_DEFERRAL_S = 0.6
"""Deferral in seconds of a process of fitness 1 if there has been no owner yet.

The fitness of the others is then unknown, so the deferral is inversely proportional to
the own one. Callers come only later.
"""

HAND_OVER_SHARE = 0.5
"""Share of the fittest peer's fitness below which an owner hands the cell over.

The distance to `FIT_SHARE` keeps processes of similar fitness from doing so.
"""

MIN_PEER_AGE_S = 2.0
"""Seconds for which a peer must have been in contact before it is handed the cell."""


def compute_fitness(cpu_share: float, cores: float, link_mbps: float) -> float:
    """Return how fast a machine can schedule; 1 is one core with a fast link.

    Parameters
    ----------
    cpu_share : float
        Share of the machine's processor that the process may use.
    cores : float
        Speed of that processor in cores, as one thread sees it.
    link_mbps : float
        Bandwidth of the machine's link in Mbit/s.

    Returns
    -------
    fitness : float
        The machine's speed in cores, lowered for a link that would limit an owner.
    """
    return cpu_share * cores * min(1.0, link_mbps / FULL_SPEED_LINK_MBPS)


def acquisition_deferral_s(fitness: float, best_fitness: float | None) -> float:
    """Return how long a process leaves a free ownership to fitter processes.

    Parameters
    ----------
    fitness : float
        Fitness of the process.
    best_fitness : float or None
        Best fitness that the last owner knew of; None if there was no owner.

    Returns
    -------
    deferral_s : float
        Time in seconds. It is the longer the less fit the process is.
    """
    if best_fitness is None:
        return min(2.0, FIRST_START_DEFERRAL_S / max(fitness, 0.01))
    if fitness >= FIT_SHARE * best_fitness:
        return 0.0
    return MAX_DEFERRAL_S * (1.0 - fitness / best_fitness)


def should_hand_over(fitness: float, peer_fitness: float, peer_age_s: float) -> bool:
    """Tell whether an owner should hand the cell over to its fittest peer.

    Parameters
    ----------
    fitness : float
        Fitness of the owner.
    peer_fitness : float
        Fitness of the fittest peer.
    peer_age_s : float
        Seconds for which the owner has been in contact with that peer.

    Returns
    -------
    should_hand_over : bool
        Whether the peer is so much fitter that the interruption is worth it.
    """
    return fitness < HAND_OVER_SHARE * peer_fitness and peer_age_s >= MIN_PEER_AGE_S
