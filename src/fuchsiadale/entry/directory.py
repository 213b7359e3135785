"""The members and the owners of partitions, as last read or changed here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import frozen

from fuchsiadale.decision.rows import MemberRow, PartitionRow


@frozen
class Owner:
    """The owner of a partition.

    Attributes
    ----------
    member : str
        Name of the member that owns the partition.
    peer_address : str
        Address at which the member listens for its peers.
    epoch : int
        Epoch in which the member acquired the partition.
    """

    member: str
    peer_address: str
    epoch: int


class Directory:
    """Holds the members and owners and wakes coroutines that wait for a new owner.

    Attributes
    ----------
    on_change : callable
        Called without arguments after an owner has changed.
    """

    def __init__(self) -> None:
        self._owners: dict[str, Owner] = {}
        self._members: dict[str, MemberRow] = {}
        self._changed = asyncio.Event()
        self.on_change: Callable[[], None] = _do_nothing

    @property
    def members(self) -> dict[str, MemberRow]:
        """The rows of the members by member name."""
        return self._members

    @property
    def owners(self) -> dict[str, Owner]:
        """The owners by partition name."""
        return self._owners

    def update(
        self, members: dict[str, MemberRow], partitions: dict[str, PartitionRow]
    ) -> None:
        """Replace all members and owners by those read from the table.

        A partition whose owner is not among the members has no owner.

        Parameters
        ----------
        members : dict of str to MemberRow
            The rows of the members by member name.
        partitions : dict of str to PartitionRow
            The rows of the partitions by partition name.
        """
        owners: dict[str, Owner] = {}
        for name, row in partitions.items():
            member = members.get(row.owner)
            if member is not None:
                owners[name] = Owner(row.owner, member.peer_address, row.epoch)
        has_changed = owners != self._owners
        self._owners = owners
        self._members = members
        if has_changed:
            self._signal_change()

    def set_owner(self, partition: str, owner: Owner | None) -> None:
        """Set the owner of a partition that this process acquired or gave up.

        The change applies without waiting for the next read of the table.

        Parameters
        ----------
        partition : str
            Name of the partition.
        owner : Owner or None
            Its owner; None removes the owner.
        """
        if owner is None:
            self._owners.pop(partition, None)
        else:
            self._owners[partition] = owner
        self._signal_change()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change of an owner, for at most `timeout_s` seconds."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        self.on_change()


def _do_nothing() -> None:
    """Do nothing, as the default callback for changes."""
