"""Vouches that an owner without renewals has not been replaced.

In an outage of the store nobody can replace the owner, which goes on to extend leases
then. An owner that is cut off alone must not, since a successor that cannot reach a
worker waits for the leases there. The owner's row therefore names some peers as its
witnesses, and without a renewal the owner extends leases only as long as a majority of
them confirms that no successor has asked them. A successor asks the same witnesses to
confirm no more, and learns from those that answer when they last did so.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

MAX_WITNESSES = 15
"""Largest number of witnesses that an owner names."""


def count_confirmations_needed(witness_count: int) -> int:
    """Return how many witnesses must confirm an owner: a majority."""
    return witness_count // 2 + 1


def count_refusals_needed(witness_count: int) -> int:
    """Return how many witnesses that confirm no more rule out a majority that does."""
    return witness_count + 1 - count_confirmations_needed(witness_count)


def last_confirmation_s(
    witnesses: Sequence[str], confirmed_s: Mapping[str, float]
) -> float | None:
    """Return since when the latest confirmation by a majority has counted.

    Parameters
    ----------
    witnesses : sequence of str
        Addresses of the witnesses.
    confirmed_s : mapping of str to float
        When each last confirmed the owner, by address.

    Returns
    -------
    since_s : float or None
        The time of the oldest of the confirmations that make up the latest majority;
        None without a majority.
    """
    needed = count_confirmations_needed(len(witnesses))
    times_s = sorted(
        (confirmed_s[address] for address in witnesses if address in confirmed_s),
        reverse=True,
    )
    return times_s[needed - 1] if len(times_s) >= needed else None


def confirmations_ended_s(
    witnesses: Sequence[str], last_confirmed_s: Mapping[str, float]
) -> float | None:
    """Return when a majority of the witnesses can last have confirmed an owner.

    Parameters
    ----------
    witnesses : sequence of str
        Addresses of the witnesses.
    last_confirmed_s : mapping of str to float
        Latest time at which each of those that confirm no more has confirmed, by
        address.

    Returns
    -------
    ended_s : float or None
        The time; None if a majority may still confirm.
    """
    needed = count_refusals_needed(len(witnesses))
    times_s = sorted(
        last_confirmed_s[address]
        for address in witnesses
        if address in last_confirmed_s
    )
    return times_s[needed - 1] if witnesses and len(times_s) >= needed else None


class OutageWitness:
    """Confirms to an owner without renewals that no successor has asked this process.

    Parameters
    ----------
    get_read_epoch : callable
        Returns the highest epoch of an owner that this process has read from the store;
        0 if it has read none.
    """

    def __init__(self, get_read_epoch: Callable[[], int]) -> None:
        self._get_read_epoch = get_read_epoch
        self._lowest_epoch = 0
        # An earlier process at this address may have confirmed until this one started.
        self._last_confirmed_s = asyncio.get_running_loop().time()

    def confirm(self, epoch: int) -> bool:
        """Return whether the owner of an epoch may go on without the store.

        An earlier process at this address may have answered a successor, which this one
        knows of once it has read the owner's row.
        """
        read_epoch = self._get_read_epoch()
        if not read_epoch or epoch < max(read_epoch, self._lowest_epoch):
            return False
        self._last_confirmed_s = asyncio.get_running_loop().time()
        return True

    def end_confirmations(self, epoch: int) -> float:
        """Confirm nothing more to owners of lower epochs.

        Parameters
        ----------
        epoch : int
            Epoch of the new owner.

        Returns
        -------
        age_s : float
            Seconds since this process, or an earlier one at its address, can last have
            confirmed anything.
        """
        self._lowest_epoch = max(self._lowest_epoch, epoch)
        return asyncio.get_running_loop().time() - self._last_confirmed_s
