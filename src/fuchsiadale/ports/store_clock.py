"""Reading of the clock of a row store, which all processes of a cell can compare."""

from __future__ import annotations

from attrs import frozen

MS_PER_S = 1000.0


@frozen
class StoreClock:
    """A reading of the store's steady clock in the reply to a call.

    Attributes
    ----------
    reading_ms : int
        The reading, in milliseconds.
    sent_s : float
        When the call was sent, in seconds on the event loop's clock.
    received_s : float
        When its reply arrived, in seconds on the event loop's clock.
    """

    reading_ms: int
    sent_s: float
    received_s: float

    def latest_ms(self, at_s: float) -> int:
        """Return what the store's clock shows at most at a time of the loop's clock."""
        return self.reading_ms + round(MS_PER_S * (at_s - self.sent_s))

    def latest_time_s(self, shown_ms: int) -> float:
        """Return by when, on the loop's clock, the store's clock showed `shown_ms`.

        It is at most `received_s`, as the event is taken to be over.
        """
        return min(self.received_s, self.reached_by_s(shown_ms))

    def reached_by_s(self, shown_ms: int) -> float:
        """Return by when, on the loop's clock, the store's clock shows `shown_ms`."""
        return self.received_s + (shown_ms - self.reading_ms) / MS_PER_S
