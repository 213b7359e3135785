"""The clock interface of the decision logic, and a clock for tests."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """A monotonic clock that counts seconds from an arbitrary origin."""

    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds."""


class ManualClock(Clock):
    """A clock that advances only by calls of `advance`.

    Parameters
    ----------
    start_s : float, default=0.0
        The initial reading, in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self._now_s += seconds
