"""What a cell's surroundings promise it and ask of it, in seconds."""

from __future__ import annotations

from attrs import frozen

KEY_REVOCATION_MARGIN_S = 1.0
"""Time left below the bound on withdrawn keys: a start's way, also when slowed."""

READY_MARGIN_S = 1.0
"""Time before keys are not trusted at which a process asks for no new callers."""

MIN_JOB_RETENTION_S = 600.0
"""Least time for which ended jobs are kept, so that a late repeat does not run."""

MAX_UNREADY_PERIOD_S = 2.6
"""Time between not being ready and closing: two checks that the platform misses."""

MAX_CALL_COMPLETION_S = 2.0
"""Further time in which calls that are under way are finished."""

SHUTDOWN_MARGIN_S = 0.5
"""Time left before a process that is told to stop is killed."""


@frozen
class TimeBounds:
    """Bounds of a deployment.

    Attributes
    ----------
    max_lease_s : float
        Longest lease that a worker grants.
    key_revocation_s : float
        Time after which a withdrawn key must not work.
    status_retention_s : float
        Time for which the state of an ended job must be told.
    shutdown_grace_s : float
        Time between a request to stop and the end of the process.
    """

    max_lease_s: float = 6.0
    key_revocation_s: float = 5.0
    status_retention_s: float = 120.0
    shutdown_grace_s: float = 6.0

    @property
    def max_key_staleness_s(self) -> float:
        """Age of the configuration from which keys are not trusted."""
        return self.key_revocation_s - KEY_REVOCATION_MARGIN_S

    @property
    def max_ready_staleness_s(self) -> float:
        """Age of the configuration from which a process asks for no new callers."""
        return self.max_key_staleness_s - READY_MARGIN_S

    @property
    def job_retention_s(self) -> float:
        """Time for which ended jobs are kept."""
        return max(MIN_JOB_RETENTION_S, self.status_retention_s)

    @property
    def unready_period_s(self) -> float:
        """Time between not being ready and closing."""
        return max(
            0.0, min(MAX_UNREADY_PERIOD_S, self.shutdown_grace_s - SHUTDOWN_MARGIN_S)
        )

    @property
    def call_completion_s(self) -> float:
        """Further time in which calls that are under way are finished."""
        remaining_s = self.shutdown_grace_s - self.unready_period_s - SHUTDOWN_MARGIN_S
        return max(0.0, min(MAX_CALL_COMPLETION_S, remaining_s))
