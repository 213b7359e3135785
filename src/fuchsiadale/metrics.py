"""Counters of events: each refusal, each retry and each change of state."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping

import statsd

from fuchsiadale.config.settings import Address

STATSD_PREFIX = "fuchsiadale"
"""Prefix of the counters' names on the statsd server."""


class Counters(ABC):
    """Counts events by name."""

    @abstractmethod
    def add(self, name: str, count: int = 1) -> None:
        """Add `count` to a counter."""

    def add_all(self, counts: Mapping[str, int]) -> None:
        """Add to several counters."""
        for name, count in counts.items():
            self.add(name, count)


class MemoryCounters(Counters):
    """Keeps the counts in memory.

    Attributes
    ----------
    counts : Counter of str
        Counts by name.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Add `count` to a counter."""
        self.counts[name] += count


class StatsdCounters(MemoryCounters):
    """Keeps the counts and sends them to a statsd server.

    Parameters
    ----------
    address : Address
        Address of the statsd server.
    """

    def __init__(self, address: Address) -> None:
        super().__init__()
        self._client = statsd.StatsClient(
            address.ip, address.port, prefix=STATSD_PREFIX
        )

    def add(self, name: str, count: int = 1) -> None:
        """Add `count` to a counter."""
        super().add(name, count)
        self._client.incr(name, count)
