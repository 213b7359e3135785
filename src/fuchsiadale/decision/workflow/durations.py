"""Learns from ended runs how long tasks take for a given estimate.

Answers callers whose estimates are far off, each queue in its own way. The logarithm
of the ratio between duration and estimate is fitted, queue by queue, by a weighted
linear regression on the logarithm of the estimate, shrunk towards the estimate itself
(ridge regression; Hoerl and Kennard, Technometrics, 1970).
"""

from __future__ import annotations

from math import exp, log

from attrs import define

PRIOR_WEIGHT = 2.0
"""Steps' worth of trust in the estimates as they are."""

MAX_WEIGHT = 60.0
"""Steps that are remembered; older ones fade, so that a change is learnt in minutes."""

MIN_DURATION_S = 0.01
"""Bound below which durations and estimates are not told apart, in seconds."""


@define
class _Fit:
    """Weighted sums over the steps of a queue, of logarithms.

    Attributes
    ----------
    weight : float
        Steps observed.
    estimate : float
        Mean of the estimates' logarithm.
    ratio : float
        Mean of the logarithm of duration over estimate.
    spread : float
        Sum of squared deviations of the estimates' logarithm.
    product : float
        Sum of products of both deviations.
    """

    weight: float = 0.0
    estimate: float = 0.0
    ratio: float = 0.0
    spread: float = 0.0
    product: float = 0.0

    def observe(self, estimate: float, ratio: float, weight: float) -> None:
        """Count a task (West, "Updating mean and variance estimates", CACM, 1979)."""
        if self.weight > MAX_WEIGHT:
            kept = MAX_WEIGHT / self.weight
            self.weight *= kept
            self.spread *= kept
            self.product *= kept
        self.weight += weight
        share = weight / self.weight
        deviation = estimate - self.estimate
        self.estimate += share * deviation
        self.spread += weight * deviation * (estimate - self.estimate)
        self.product += weight * deviation * (ratio - self.ratio)
        self.ratio += share * (ratio - self.ratio)

    def correct(self, estimate: float) -> float:
        """Return the logarithm of the duration to expect."""
        offset = self.ratio * self.weight / (self.weight + PRIOR_WEIGHT)
        slope = self.product / (self.spread + PRIOR_WEIGHT)
        slope = min(0.0, max(-1.0, slope))
        return estimate + offset + slope * (estimate - self.estimate)


class Durations:
    """Foretells how long tasks take, by queue and estimate."""

    def __init__(self) -> None:
        self._fits: dict[str, _Fit] = {}

    def observe(
        self, queue: str, estimated_s: float, ran_s: float, weight: float
    ) -> None:
        """Learn from a whole run.

        Parameters
        ----------
        queue : str
            The queue of its job.
        estimated_s : float
            What the caller estimated, in seconds.
        ran_s : float
            How long it ran, in seconds.
        weight : float
            Its part of its step; tasks of a step resemble each other.
        """
        if estimated_s <= 0.0:
            return
        estimate = log(max(estimated_s, MIN_DURATION_S))
        ratio = log(max(ran_s, MIN_DURATION_S)) - estimate
        self._fits.setdefault(queue, _Fit()).observe(estimate, ratio, weight)

    def expect_s(self, queue: str, estimated_s: float) -> float:
        """Return how long a task will run, in seconds; 0 if nothing is known."""
        fit = self._fits.get(queue)
        if fit is None:
            return estimated_s
        if estimated_s <= 0.0:
            return exp(fit.estimate + fit.ratio)
        return exp(fit.correct(log(max(estimated_s, MIN_DURATION_S))))
