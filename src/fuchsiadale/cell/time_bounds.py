"""Time bounds of a deployment and the times that follow from them, in seconds."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.workflow.hold_back import PastUseSettings

KEY_REVOCATION_MARGIN_S = 1.0
"""Seconds by which `max_key_staleness_s` is smaller than `key_revocation_s`.

A start order may take this long to reach its worker over a slow network.
"""

READY_MARGIN_S = 1.0
"""Seconds by which `max_ready_staleness_s` is smaller than `max_key_staleness_s`.

A process whose configuration is not confirmed thus stops being ready before it stops
accepting keys.
"""

DRAIN_MARGIN_S = 1.0
"""Seconds by which `max_drain_staleness_s` is smaller than `drain_s`.

A start order may take this long to reach its worker over a slow network.
"""

MAX_DRAIN_MARGIN_SHARE = 0.5
"""Maximum share of `drain_s` that the margin takes."""

MIN_JOB_RETENTION_S = 600.0
"""Minimum number of seconds for which ended jobs are kept.

A submission that is repeated within this time does not run the job again.
"""

MAX_UNREADY_PERIOD_S = 2.6
"""Maximum number of seconds between the end of readiness and closing the listeners.

The platform's readiness check fails twice in this time.
"""

MAX_CALL_COMPLETION_S = 2.0
"""Maximum number of seconds in which open calls may complete after the closing."""

SHUTDOWN_MARGIN_S = 0.5
"""Seconds left between the end of a shutdown and the platform killing the process."""


@frozen
class TimeBounds:
    """Time bounds that a deployment sets.

    Attributes
    ----------
    max_lease_s : float
        Longest lease that a worker accepts from an owner, in seconds.
    key_revocation_s : float
        Maximum number of seconds from the revocation of a key until it is rejected.
    status_retention_s : float
        Seconds for which the state of an ended job must be available to callers.
    shutdown_grace_s : float
        Seconds after a request to stop at which the platform kills the process.
    configuration_s : float
        Maximum number of seconds from the confirmation of a configuration until it is
        in force.
    past_use : PastUseSettings
        For how long past use counts in the order of waiting work; by default not at
        all.
    drain_s : float or None
        Maximum number of seconds from the confirmation of a request to drain a failure
        domain until nothing starts there; None if there are no such requests.
    """

    max_lease_s: float = 6.0
    key_revocation_s: float = 5.0
    status_retention_s: float = 120.0
    shutdown_grace_s: float = 6.0
    configuration_s: float = 2.0
    past_use: PastUseSettings = PastUseSettings()
    drain_s: float | None = None

    @property
    def max_key_staleness_s(self) -> float:
        """Age of the configuration, in seconds, above which no key is accepted."""
        return self.key_revocation_s - KEY_REVOCATION_MARGIN_S

    @property
    def max_denial_staleness_s(self) -> float:
        """Age of the configuration, in seconds, above which it denies nothing.

        A queue or key that it lacks may have been added and be in force since.
        """
        return min(self.configuration_s, self.max_key_staleness_s)

    @property
    def max_ready_staleness_s(self) -> float:
        """Age of the configuration, in seconds, from which a process is not ready."""
        return self.max_key_staleness_s - READY_MARGIN_S

    @property
    def max_drain_staleness_s(self) -> float | None:
        """Age of the known drain requests, in seconds, above which nothing starts."""
        if self.drain_s is None:
            return None
        return self.drain_s - min(DRAIN_MARGIN_S, MAX_DRAIN_MARGIN_SHARE * self.drain_s)

    @property
    def job_retention_s(self) -> float:
        """Seconds for which ended jobs are kept."""
        return max(MIN_JOB_RETENTION_S, self.status_retention_s)

    @property
    def unready_period_s(self) -> float:
        """Seconds between the end of readiness and closing the listeners."""
        return max(
            0.0, min(MAX_UNREADY_PERIOD_S, self.shutdown_grace_s - SHUTDOWN_MARGIN_S)
        )

    @property
    def max_shutdown_s(self) -> float:
        """Maximum number of seconds from a request to stop to the process's end."""
        return max(0.0, self.shutdown_grace_s - SHUTDOWN_MARGIN_S)

    @property
    def call_completion_s(self) -> float:
        """Seconds in which open calls may complete after the listeners are closed."""
        remaining_s = self.shutdown_grace_s - self.unready_period_s - SHUTDOWN_MARGIN_S
        return max(0.0, min(MAX_CALL_COMPLETION_S, remaining_s))
