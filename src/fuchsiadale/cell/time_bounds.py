"""What a cell's surroundings promise it and ask of it, in seconds."""

from __future__ import annotations

from attrs import frozen

KEY_MARGIN_S = 1.0
"""Time left below the bound on withdrawn keys: a start's way, also when slowed."""

READY_MARGIN_S = 1.0
"""Time before keys are not trusted at which a process asks for no new callers."""

MIN_RETENTION_S = 600.0
"""Least time for which ended jobs are kept, so that a late repeat does not run."""

LEAVE_NOTICE_S = 2.6
"""Time between not being ready and closing: two checks that the platform misses."""

LEAVE_LIMIT_S = 2.0
"""Further time in which calls that are under way are finished."""

LEAVE_MARGIN_S = 0.5
"""Time left before a process that is told to stop is killed."""


@frozen
class CellTerms:
    """Bounds of a deployment.

    Attributes
    ----------
    max_lease_s : float
        Longest lease that a worker grants.
    revocation_s : float
        Time after which a withdrawn key must not work.
    status_retention_s : float
        Time for which the state of an ended job must be told.
    shutdown_grace_s : float
        Time between a request to stop and the end of the process.
    """

    max_lease_s: float = 6.0
    revocation_s: float = 5.0
    status_retention_s: float = 120.0
    shutdown_grace_s: float = 6.0

    @property
    def key_trust_s(self) -> float:
        """Age of the configuration from which keys are not trusted."""
        return self.revocation_s - KEY_MARGIN_S

    @property
    def ready_age_s(self) -> float:
        """Age of the configuration from which a process asks for no new callers."""
        return self.key_trust_s - READY_MARGIN_S

    @property
    def retention_s(self) -> float:
        """Time for which ended jobs are kept."""
        return max(MIN_RETENTION_S, self.status_retention_s)

    @property
    def leave_notice_s(self) -> float:
        """Time between not being ready and closing."""
        return max(0.0, min(LEAVE_NOTICE_S, self.shutdown_grace_s - LEAVE_MARGIN_S))

    @property
    def leave_limit_s(self) -> float:
        """Further time in which calls that are under way are finished."""
        left_s = self.shutdown_grace_s - self.leave_notice_s - LEAVE_MARGIN_S
        return max(0.0, min(LEAVE_LIMIT_S, left_s))
