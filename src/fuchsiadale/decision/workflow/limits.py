"""Resource usage and submission rates of workspaces."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources

BURST_S = 3.0
"""Seconds of submissions at the full rate that a token bucket holds.

A burst of submissions takes about that long to reach its peak.
"""


class WorkspaceUsage:
    """Tracks the resources that each workspace may be using, over all pools."""

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    @property
    def by_workspace(self) -> Mapping[str, Resources]:
        """Resources that each workspace may be using."""
        return self._used

    def used(self, workspace: str) -> Resources:
        """Return the resources that a workspace may be using."""
        return self._used.get(workspace, NO_RESOURCES)

    def add(self, workspace: str, amount: Resources) -> None:
        """Add the resources of a run to a workspace's usage."""
        self._used[workspace] = self.used(workspace) + amount

    def remove(self, workspace: str, amount: Resources) -> None:
        """Subtract the resources of a run that has certainly ended."""
        self._used[workspace] = self.used(workspace) - amount

    def allows(self, workspace: str, amount: Resources, limit: Resources) -> bool:
        """Return whether `amount` more keeps a workspace's usage within `limit`."""
        return (self.used(workspace) + amount).fits_in(limit)


@define
class _TokenBucket:
    tokens: float
    updated_s: float


@frozen
class SubmissionRateLimiter:
    """Detects submissions above the rate, with one token bucket per workspace.

    A bucket gains `weight` tokens per second. Its capacity is `weight * BURST_S`
    tokens, or 1 if that is more.
    """

    _buckets: dict[str, _TokenBucket]

    def exceeds_rate(self, workspace: str, weight: float, arrived_s: float) -> bool:
        """Count a submission and return whether it exceeds the workspace's rate.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        weight : float
            Submissions per second that the workspace may make.
        arrived_s : float
            When the submission was accepted, on the event loop's clock. Submissions
            that were accepted out of order count as made at once.
        """
        burst = max(weight * BURST_S, 1.0)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _TokenBucket(burst, arrived_s)
        elapsed_s = max(0.0, arrived_s - bucket.updated_s)
        bucket.tokens = min(burst, bucket.tokens + elapsed_s * weight)
        bucket.updated_s = max(bucket.updated_s, arrived_s)
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1.0
        return False
