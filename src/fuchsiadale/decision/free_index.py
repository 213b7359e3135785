"""An index of workers by the size of their free room."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field, frozen

from fuchsiadale.decision.resources import Resources

CANDIDATES_PER_SIZE_CLASS = 16


@frozen(order=True)
class SizeClass:
    """A range of free room: each amount is the bit length of the real one."""

    accelerators: int
    cpu: int
    memory: int

    def may_hold(self, other: SizeClass) -> bool:
        """Tell whether room of this class can hold a need of class `other`."""
        return (
            self.accelerators >= other.accelerators
            and self.cpu >= other.cpu
            and self.memory >= other.memory
        )


def size_class_of(amounts: Resources) -> SizeClass:
    """Return the size class of a resource vector."""
    return SizeClass(
        amounts.accelerators.bit_length(),
        amounts.cpu_millis.bit_length(),
        amounts.memory_mb.bit_length(),
    )


@define
class _Bucket:
    """Names with constant-time insertion, removal and rotation."""

    names: list[str] = field(factory=list)
    positions: dict[str, int] = field(factory=dict)
    cursor: int = 0

    def add(self, name: str) -> None:
        self.positions[name] = len(self.names)
        self.names.append(name)

    def remove(self, name: str) -> None:
        position = self.positions.pop(name)
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position

    def sample(self, count: int) -> Iterator[str]:
        size = len(self.names)
        if size <= count:
            yield from list(self.names)
            return
        start = self.cursor % size
        self.cursor = start + count
        for offset in range(count):
            yield self.names[(start + offset) % size]


class AvailabilityIndex:
    """Finds workers whose free room may hold a need, smallest room first.

    A lookup visits at most `CANDIDATES_PER_CLASS` workers of each size class, so its
    cost depends on the number of classes in use and not on the number of workers.
    """

    def __init__(self) -> None:
        self._buckets: dict[SizeClass, _Bucket] = {}
        self._class_of: dict[str, SizeClass] = {}
        self._ordered: list[SizeClass] = []

    def put(self, name: str, free: Resources) -> None:
        """Add a worker or move it to the class of its free room."""
        new = size_class_of(free)
        old = self._class_of.get(name)
        if old == new:
            return
        if old is not None:
            self.discard(name)
        bucket = self._buckets.get(new)
        if bucket is None:
            bucket = _Bucket()
            self._buckets[new] = bucket
            self._ordered = sorted(self._buckets)
        bucket.add(name)
        self._class_of[name] = new

    def discard(self, name: str) -> None:
        """Remove a worker if it is present."""
        old = self._class_of.pop(name, None)
        if old is None:
            return
        bucket = self._buckets[old]
        bucket.remove(name)
        if not bucket.names:
            del self._buckets[old]
            self._ordered = sorted(self._buckets)

    def candidate_batches(self, need: Resources) -> Iterator[list[str]]:
        """Yield samples of workers, one size class at a time, smallest first."""
        wanted = size_class_of(need)
        for size_class in list(self._ordered):
            if not size_class.may_hold(wanted):
                continue
            bucket = self._buckets.get(size_class)
            if bucket is not None:
                yield list(bucket.sample(CANDIDATES_PER_SIZE_CLASS))
