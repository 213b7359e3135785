"""Counters for each refusal, retry and change of state."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping

import statsd

from fuchsiadale.config.settings import Address

STATSD_PREFIX = "fuchsiadale"


class Counters(ABC):
    """Counts events by name."""

    @abstractmethod
    def add(self, name: str, count: int = 1) -> None:
        """Count an event."""

    def add_all(self, counts: Mapping[str, int]) -> None:
        """Count several events."""
        for name, count in counts.items():
            self.add(name, count)


class MemoryCounters(Counters):
    """Keeps the counts in memory."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Count an event."""
        self.counts[name] += count


class StatsdCounters(MemoryCounters):
    """Keeps the counts and sends them to a statsd server.

    Parameters
    ----------
    address : Address
        Where the server listens.
    """

    def __init__(self, address: Address) -> None:
        super().__init__()
        self._client = statsd.StatsClient(
            address.ip, address.port, prefix=STATSD_PREFIX
        )

    def add(self, name: str, count: int = 1) -> None:
        """Count an event."""
        super().add(name, count)
        self._client.incr(name, count)
