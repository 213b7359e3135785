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
class _QueueRegression:
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

    total_weight: float = 0.0
    mean_estimate: float = 0.0
    mean_ratio: float = 0.0
    squared_deviations: float = 0.0
    deviation_products: float = 0.0

    def observe(self, estimate: float, ratio: float, weight: float) -> None:
        """Count a task (West, "Updating mean and variance estimates", CACM, 1979)."""
        if self.total_weight > MAX_WEIGHT:
            kept = MAX_WEIGHT / self.total_weight
            self.total_weight *= kept
            self.squared_deviations *= kept
            self.deviation_products *= kept
        self.total_weight += weight
        share = weight / self.total_weight
        deviation = estimate - self.mean_estimate
        self.mean_estimate += share * deviation
        self.squared_deviations += weight * deviation * (estimate - self.mean_estimate)
        self.deviation_products += weight * deviation * (ratio - self.mean_ratio)
        self.mean_ratio += share * (ratio - self.mean_ratio)

    def predict(self, estimate: float) -> float:
        """Return the logarithm of the duration to expect."""
        offset = (
            self.mean_ratio * self.total_weight / (self.total_weight + PRIOR_WEIGHT)
        )
        slope = self.deviation_products / (self.squared_deviations + PRIOR_WEIGHT)
        slope = min(0.0, max(-1.0, slope))
        return estimate + offset + slope * (estimate - self.mean_estimate)


class DurationModel:
    """Foretells how long tasks take, by queue and estimate."""

    def __init__(self) -> None:
        self._regressions: dict[str, _QueueRegression] = {}

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
        self._regressions.setdefault(queue, _QueueRegression()).observe(
            estimate, ratio, weight
        )

    def predict_s(self, queue: str, estimated_s: float) -> float:
        """Return how long a task will run, in seconds; 0 if nothing is known."""
        fit = self._regressions.get(queue)
        if fit is None:
            return estimated_s
        if estimated_s <= 0.0:
            return exp(fit.mean_estimate + fit.mean_ratio)
        return exp(fit.predict(log(max(estimated_s, MIN_DURATION_S))))
