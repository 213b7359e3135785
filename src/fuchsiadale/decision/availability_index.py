"""Index of workers by the size of their available resources."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field, frozen

from fuchsiadale.decision.resources import Resources

CANDIDATES_PER_SIZE_CLASS = 16
"""Maximum number of workers that a lookup visits in each size class."""


@frozen(order=True)
class SizeClass:
    """Class of resource vectors of similar size.

    Each attribute is the bit length of an amount, so that a class spans the amounts
    between two powers of two.

    Attributes
    ----------
    accelerators, cpu, memory : int
        Bit lengths of the accelerators, the thousandths of a core and the MiB of
        memory.
    """

    accelerators: int
    cpu: int
    memory: int

    def may_contain(self, other: SizeClass) -> bool:
        """Tell whether a vector of this class may contain one of class `other`."""
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
    """Names of workers, with insertion, removal and rotation in constant time."""

    names: list[str] = field(factory=list)
    positions: dict[str, int] = field(factory=dict)
    next_start: int = 0

    def add(self, name: str) -> None:
        self.positions[name] = len(self.names)
        self.names.append(name)

    def remove(self, name: str) -> None:
        position = self.positions.pop(name)
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position

    def next_sample(self, count: int) -> Iterator[str]:
        """Yield up to `count` names, starting after the previous sample."""
        size = len(self.names)
        if size <= count:
            yield from list(self.names)
            return
        start = self.next_start % size
        self.next_start = start + count
        for offset in range(count):
            yield self.names[(start + offset) % size]


class AvailabilityIndex:
    """Finds workers whose available resources may be enough for a task.

    A lookup visits at most `CANDIDATES_PER_SIZE_CLASS` workers of each size class, so
    its cost depends on the number of classes in use and not on the number of workers.
    """

    def __init__(self) -> None:
        self._bucket_by_class: dict[SizeClass, _Bucket] = {}
        self._class_by_name: dict[str, SizeClass] = {}
        self._sorted_classes: list[SizeClass] = []

    def put(self, name: str, available: Resources) -> None:
        """Add a worker, or move it to the size class of its available resources."""
        new_class = size_class_of(available)
        old_class = self._class_by_name.get(name)
        if old_class == new_class:
            return
        if old_class is not None:
            self.discard(name)
        bucket = self._bucket_by_class.get(new_class)
        if bucket is None:
            bucket = _Bucket()
            self._bucket_by_class[new_class] = bucket
            self._sorted_classes = sorted(self._bucket_by_class)
        bucket.add(name)
        self._class_by_name[name] = new_class

    def discard(self, name: str) -> None:
        """Remove a worker, if the index holds it."""
        old_class = self._class_by_name.pop(name, None)
        if old_class is None:
            return
        bucket = self._bucket_by_class[old_class]
        bucket.remove(name)
        if not bucket.names:
            del self._bucket_by_class[old_class]
            self._sorted_classes = sorted(self._bucket_by_class)

    def candidate_batches(self, demand: Resources) -> Iterator[list[str]]:
        """Yield a sample of workers from each size class that may contain `demand`.

        The classes are in ascending order of accelerators, then processors, then
        memory.
        """
        demand_class = size_class_of(demand)
        for size_class in list(self._sorted_classes):
            if not size_class.may_contain(demand_class):
                continue
            bucket = self._bucket_by_class.get(size_class)
            if bucket is not None:
                yield list(bucket.next_sample(CANDIDATES_PER_SIZE_CLASS))
