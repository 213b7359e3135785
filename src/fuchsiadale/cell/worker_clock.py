"""Durations of leases, and readings of the clock on which their ends are given."""

from __future__ import annotations

from attrs import define

from fuchsiadale.decision.workflow.tracked_worker import MAX_CLOCK_DRIFT

LEASE_S = 4.5
"""Duration of a lease of runs, in seconds.

Runs must survive a takeover of the cell, during which their leases are not renewed for
3 s. The lease also bounds how long the runs of an unresponsive worker are waited for.
"""

KILL_MARGIN_S = 0.3
"""Seconds from a lease's end until its runs count as gone: the time to kill them."""

MS_PER_S = 1000.0


def lease_expiry_delay_s(max_lease_s: float) -> float:
    """Return how long after its grant a lease has expired and its runs are killed.

    Parameters
    ----------
    max_lease_s : float
        Longest lease that workers accept, in seconds.

    Returns
    -------
    delay_s : float
        Time from the grant until the runs are certainly killed, in seconds.
    """
    return min(LEASE_S, max_lease_s) / (1.0 - MAX_CLOCK_DRIFT) + KILL_MARGIN_S


def longest_lease_delay_s(max_lease_s: float) -> float:
    """Return how long after an order any lease that it grants has expired.

    Parameters
    ----------
    max_lease_s : float
        Longest lease that workers accept, in seconds.

    Returns
    -------
    delay_s : float
        Time from the order until the runs are certainly killed, in seconds.
    """
    return max_lease_s / (1.0 - MAX_CLOCK_DRIFT) + KILL_MARGIN_S


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

    def has_gone_back(self, later_ms: int | None, sent_s: float) -> bool:
        """Return whether the clock has started anew before a later reading.

        Parameters
        ----------
        later_ms : int or None
            The later reading, in milliseconds; None if there is none.
        sent_s : float
            Time on the event loop's clock before it was read, in seconds.
        """
        if later_ms is None:
            return False
        passed_s = (sent_s - self.received_s) * (1.0 - MAX_CLOCK_DRIFT)
        # The fraction of a millisecond of either reading is cut off.
        return later_ms < self.reading_ms + MS_PER_S * passed_s - 1.0

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
