"""What workspaces have running, and how fast they may submit."""

from __future__ import annotations

from attrs import define, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources

BURST_S = 3.0
"""Seconds of its rate that a workspace may submit at once; a burst's rise."""


class WorkspaceUsage:
    """Counts what each workspace may have running, over all pools."""

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def used(self, workspace: str) -> Resources:
        """Return what a workspace may have running."""
        return self._used.get(workspace, NO_RESOURCES)

    def add(self, workspace: str, amount: Resources) -> None:
        """Count a run."""
        self._used[workspace] = self.used(workspace) + amount

    def remove(self, workspace: str, amount: Resources) -> None:
        """Take a run that has surely ended out."""
        self._used[workspace] = self.used(workspace) - amount

    def allows(self, workspace: str, amount: Resources, limit: Resources) -> bool:
        """Tell whether a workspace may run `amount` more under `limit`."""
        return (self.used(workspace) + amount).fits_in(limit)


@define
class _Bucket:
    tokens: float
    updated_s: float


@frozen
class SubmissionRateLimiter:
    """Tells which submissions exceed their workspace's rate.

    The rate is a token bucket: `weight` a second, with a burst of `BURST_S`.
    """

    _buckets: dict[str, _Bucket]

    def exceeds_rate(self, workspace: str, weight: float, now_s: float) -> bool:
        """Count a submission and tell whether it exceeds the rate."""
        burst = max(weight * BURST_S, 1.0)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(burst, now_s)
        elapsed_s = now_s - bucket.updated_s
        bucket.tokens = min(burst, bucket.tokens + elapsed_s * weight)
        bucket.updated_s = now_s
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1.0
        return False
