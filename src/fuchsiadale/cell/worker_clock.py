"""Readings of a worker's clock, on which the ends of its leases are given."""

from __future__ import annotations

from attrs import define

from fuchsiadale.decision.workflow.tracked_worker import MAX_CLOCK_DRIFT

KILL_MARGIN_S = 0.3
"""Seconds from a lease's end until its runs count as gone: the time to kill them."""

MS_PER_S = 1000.0


@define
class ClockReading:
    """Last known reading of a worker's clock.

    Attributes
    ----------
    reading_ms : int
        Reading of the worker's clock, in milliseconds.
    received_s : float
        Time on the event loop's clock at which the reading arrived, in seconds.
    """

    reading_ms: int
    received_s: float

    def lease_end_ms(self, now_s: float, lease_s: float) -> int:
        """Return the end of a lease that is granted now, on the worker's clock."""
        return self.reading_ms + round(MS_PER_S * (now_s - self.received_s + lease_s))

    def has_gone_back(self, later_ms: int | None) -> bool:
        """Return whether the clock has started anew before a later reading."""
        return later_ms is not None and later_ms < self.reading_ms

    def lease_expiry_s(self, lease_end_ms: int, max_lease_s: float) -> float:
        """Return when a lease has expired and its runs are certainly killed.

        Parameters
        ----------
        lease_end_ms : int
            End of the lease that was requested, in milliseconds on some incarnation's
            clock.
        max_lease_s : float
            Longest lease that the worker accepts, in seconds.

        Returns
        -------
        expiry_s : float
            The time on the event loop's clock, in seconds.
        """
        remaining_s = min((lease_end_ms - self.reading_ms) / MS_PER_S, max_lease_s)
        return self.received_s + remaining_s / (1.0 - MAX_CLOCK_DRIFT) + KILL_MARGIN_S
