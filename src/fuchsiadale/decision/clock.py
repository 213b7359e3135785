"""The clock that every decision reads."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """A monotonic clock."""

    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds."""


class ManualClock(Clock):
    """A clock that moves only when told to.

    Parameters
    ----------
    start_s : float, default=0.0
        The first reading, in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._now_s += seconds
