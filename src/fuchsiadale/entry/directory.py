"""Who owns which partition, as last read from the table."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import frozen

from fuchsiadale.decision.rows import MemberRow, PartitionRow


@frozen
class Owner:
    """The owner of a partition and where its peers reach it."""

    member: str
    peer_address: str
    epoch: int


class Directory:
    """Maps partitions to owners and wakes those who wait for a change.

    Attributes
    ----------
    on_change : callable
        Called after an owner has changed.
    """

    def __init__(self) -> None:
        self._owners: dict[str, Owner] = {}
        self._members: dict[str, MemberRow] = {}
        self._changed = asyncio.Event()
        self.on_change: Callable[[], None] = _do_nothing

    @property
    def members(self) -> dict[str, MemberRow]:
        """The members, by name."""
        return self._members

    @property
    def owners(self) -> dict[str, Owner]:
        """The owners, by partition."""
        return self._owners

    def update(
        self, members: dict[str, MemberRow], partitions: dict[str, PartitionRow]
    ) -> None:
        """Take a whole reading of the table."""
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
        """Take one change that this process made itself."""
        if owner is None:
            self._owners.pop(partition, None)
        else:
            self._owners[partition] = owner
        self._signal_change()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return at the next change, or after `timeout_s` seconds."""
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
    """Do nothing."""
