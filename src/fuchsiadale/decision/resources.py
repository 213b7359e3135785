"""Resource vectors: the capacity of a worker or the demand of a task."""

from __future__ import annotations

from attrs import frozen


@frozen
class Resources:
    """Amounts of every resource that the scheduler accounts for.

    Attributes
    ----------
    cpu_millis : int
        Processor time in thousandths of a core.
    memory_mb : int
        Memory in MiB.
    accelerators : int
        Number of accelerators.
    slots : int
        Number of task slots.
    connections : int
        Number of open connections to the backend server.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the element-wise sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the element-wise difference."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def minimum(self, other: Resources) -> Resources:
        """Return the element-wise minimum."""
        return Resources(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
            min(self.connections, other.connections),
        )

    def maximum(self, other: Resources) -> Resources:
        """Return the element-wise maximum."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
            max(self.connections, other.connections),
        )

    def scaled_by_ratio(
        self, numerator: Resources, denominator: Resources
    ) -> Resources:
        """Return each amount times ``numerator / denominator``, rounded down.

        Zero amounts of the denominator count as 1.
        """
        return Resources(
            self.cpu_millis * numerator.cpu_millis // max(denominator.cpu_millis, 1),
            self.memory_mb * numerator.memory_mb // max(denominator.memory_mb, 1),
            self.accelerators
            * numerator.accelerators
            // max(denominator.accelerators, 1),
            self.slots * numerator.slots // max(denominator.slots, 1),
            self.connections * numerator.connections // max(denominator.connections, 1),
        )

    def times(self, count: int) -> Resources:
        """Return every amount multiplied by `count`."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
            self.slots * count,
            self.connections * count,
        )

    def fits_in(self, available: Resources) -> bool:
        """Tell whether every amount is at most the one in `available`."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
            and self.slots <= available.slots
            and self.connections <= available.connections
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the largest ratio of an amount to the same amount in `total`.

        Only processors, memory and accelerators count, and those of them whose total
        is 0 are ignored. This is the dominant share of
        Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
        """
        share = 0.0
        if total.cpu_millis > 0:
            share = self.cpu_millis / total.cpu_millis
        if total.memory_mb > 0:
            share = max(share, self.memory_mb / total.memory_mb)
        if total.accelerators > 0:
            share = max(share, self.accelerators / total.accelerators)
        return share


MILLIS_PER_CORE = 1000
MB_PER_GB = 1024

NO_RESOURCES = Resources()
UNLIMITED_AMOUNT = 1 << 50
"""Amount of a resource that stands for no limit."""

NO_LIMIT = Resources(*[UNLIMITED_AMOUNT] * 5)
