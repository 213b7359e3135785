"""Member leases, and the assignment of partitions to members."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import xxhash
from attrs import define, frozen

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import MEMBER_LEASE_S
from fuchsiadale.decision.rows import MemberRow


@frozen
class VersionedMemberRow:
    """A member's row as read from the table.

    Attributes
    ----------
    row : MemberRow
        The content of the row.
    version : int
        The version that the table assigned to the row.
    """

    row: MemberRow
    version: int


@define
class _MemberObservation:
    versioned_row: VersionedMemberRow
    unchanged_since_s: float


class MemberLeaseTracker:
    """Measures on the local clock how long each member's row has not changed.

    A change of the row renews the lease of its member. Clocks of different hosts are
    never compared.

    Parameters
    ----------
    clock : Clock
        The local clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._observations: dict[str, _MemberObservation] = {}

    @property
    def members(self) -> dict[str, MemberRow]:
        """The rows of all members, by member name."""
        return {
            name: observation.versioned_row.row
            for name, observation in self._observations.items()
        }

    def update(self, rows: Iterable[VersionedMemberRow]) -> None:
        """Replace the known rows by `rows`, a complete scan of the table."""
        now_s = self._clock.now()
        observations: dict[str, _MemberObservation] = {}
        for versioned_row in rows:
            name = versioned_row.row.member
            previous = self._observations.get(name)
            if (
                previous is None
                or previous.versioned_row.version != versioned_row.version
            ):
                observations[name] = _MemberObservation(versioned_row, now_s)
            else:
                observations[name] = previous
        self._observations = observations

    def restart_leases(self) -> None:
        """Restart all leases after a failed read, which may have missed renewals."""
        now_s = self._clock.now()
        for observation in self._observations.values():
            observation.unchanged_since_s = now_s

    def expired_members(self) -> list[VersionedMemberRow]:
        """Return the members whose rows have not changed for longer than the lease."""
        now_s = self._clock.now()
        return [
            observation.versioned_row
            for observation in self._observations.values()
            if now_s - observation.unchanged_since_s > MEMBER_LEASE_S
        ]


def assign_owners(
    partitions: Iterable[str], members: Mapping[str, MemberRow]
) -> dict[str, str]:
    """Return the member that should own each partition.

    Uses rendezvous hashing (Thaler and Ravishankar, 1998) with a bound on load: no
    member gets more than an even share of the partitions, rounded up. Draining members
    get none.

    Parameters
    ----------
    partitions : iterable of str
        Names of all partitions.
    members : mapping of str to MemberRow
        The rows of all members, by member name.

    Returns
    -------
    dict of str to str
        The owner of each partition; empty if no member may own partitions.
    """
    candidates = [name for name, row in members.items() if not row.draining]
    sorted_partitions = sorted(partitions)
    if not candidates or not sorted_partitions:
        return {}
    max_load = -(-len(sorted_partitions) // len(candidates))
    loads: Counter[str] = Counter()
    owners: dict[str, str] = {}
    for partition in sorted_partitions:
        ranked = sorted(
            candidates,
            key=lambda member: rendezvous_weight(partition, member),
            reverse=True,
        )
        owner = next(member for member in ranked if loads[member] < max_load)
        loads[owner] += 1
        owners[partition] = owner
    return owners


def rendezvous_weight(key: str, member: str) -> int:
    """Return the rendezvous hash of a key and a member; the highest one wins."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def preferred_member(key: str, members: Iterable[str]) -> str | None:
    """Return the member that rendezvous hashing selects for a key.

    Returns None if there are no members.
    """
    return max(members, key=lambda member: rendezvous_weight(key, member), default=None)


def slice_index_of(name: str, slice_count: int) -> int:
    """Return the index of the pool slice that a worker name or work key is hashed to.

    The index is at least 0 and below `slice_count`.
    """
    return xxhash.xxh3_64_intdigest(name.encode()) % slice_count


def partition_name(pool: str, slice_index: int) -> str:
    """Return the name of the partition that manages one slice of a pool."""
    return f"{pool}.{slice_index}"


def partition_of_work_id(work_id: str) -> str:
    """Return the partition name that a work id begins with."""
    return work_id.rpartition(".")[0]
