"""Which members are alive, and which of them should own each partition."""

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
    """A member's row as read.

    Attributes
    ----------
    row : MemberRow
        The row.
    version : int
        Its version in the table.
    """

    row: MemberRow
    version: int


@define
class _MemberObservation:
    seen: VersionedMemberRow
    since_s: float


class MemberLeaseTracker:
    """Watches the members' rows for changes by its own clock.

    Parameters
    ----------
    clock : Clock
        The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sightings: dict[str, _MemberObservation] = {}

    @property
    def members(self) -> dict[str, MemberRow]:
        """The members whose rows exist, by name."""
        return {name: sighting.seen.row for name, sighting in self._sightings.items()}

    def update(self, rows: Iterable[VersionedMemberRow]) -> None:
        """Take a whole reading of the members' rows."""
        now_s = self._clock.now()
        sightings: dict[str, _MemberObservation] = {}
        for seen in rows:
            name = seen.row.member
            earlier = self._sightings.get(name)
            if earlier is None or earlier.seen.version != seen.version:
                sightings[name] = _MemberObservation(seen, now_s)
            else:
                sightings[name] = earlier
        self._sightings = sightings

    def restart_leases(self) -> None:
        """Count every lease anew, since the store did not answer throughout."""
        now_s = self._clock.now()
        for sighting in self._sightings.values():
            sighting.since_s = now_s

    def expired_members(self) -> list[VersionedMemberRow]:
        """Return the members whose rows stood unchanged for a whole lease."""
        now_s = self._clock.now()
        return [
            sighting.seen
            for sighting in self._sightings.values()
            if now_s - sighting.since_s > MEMBER_LEASE_S
        ]


def assign_owners(
    partitions: Iterable[str], members: Mapping[str, MemberRow]
) -> dict[str, str]:
    """Return the member that should own each partition.

    Rendezvous hashing (Thaler and Ravishankar, 1998) with a bound on load: no member
    is given more than its even part, rounded up. Members that drain get none.

    Parameters
    ----------
    partitions : iterable of str
        All partitions.
    members : mapping of str to MemberRow
        All members.

    Returns
    -------
    dict of str to str
        Empty if no member can own partitions.
    """
    able = [name for name, row in members.items() if not row.draining]
    names = sorted(partitions)
    if not able or not names:
        return {}
    most = -(-len(names) // len(able))
    loads: Counter[str] = Counter()
    owners: dict[str, str] = {}
    for partition in names:
        ranked = sorted(
            able, key=lambda member: rendezvous_weight(partition, member), reverse=True
        )
        owner = next(member for member in ranked if loads[member] < most)
        loads[owner] += 1
        owners[partition] = owner
    return owners


def rendezvous_weight(key: str, member: str) -> int:
    """Return the weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def preferred_member(key: str, members: Iterable[str]) -> str | None:
    """Return the member that rendezvous hashing prefers for a key."""
    return max(members, key=lambda member: rendezvous_weight(key, member), default=None)


def slice_index_of(name: str, slice_count: int) -> int:
    """Return the slice of a pool that a name belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % slice_count


def partition_name(pool: str, slice_index: int) -> str:
    """Return the name of a pool's slice."""
    return f"{pool}.{slice_index}"


def partition_of_work_id(work_id: str) -> str:
    """Return the partition that a work id names."""
    return work_id.rpartition(".")[0]
