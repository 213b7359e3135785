"""Learns from ended runs how long tasks take for a given estimate.

The model corrects the estimates of callers, which may be far off and whose error
differs between queues. For each queue, the logarithm of the ratio between duration and
estimate is fitted by a weighted linear regression on the logarithm of the estimate,
shrunk towards the estimate itself (ridge regression; Hoerl and Kennard, Technometrics,
1970).
"""

from __future__ import annotations

from math import exp, log

from attrs import define

PRIOR_WEIGHT = 2.0
"""Weight of the prior that estimates are right, in number of observed steps.

It is also the ridge penalty on the slope of the regression.
"""

MAX_WEIGHT = 60.0
"""Maximum total weight of past observations, in number of steps.

Older steps lose weight, so that the model adapts to a change within minutes.
"""

MIN_DURATION_S = 0.01
"""Lower bound on durations and estimates, in seconds; shorter ones count as this."""


@define
class _QueueRegression:
    """Weighted linear regression over the tasks of a queue, on logarithms.

    Attributes
    ----------
    total_weight : float
        Total weight of the observed tasks; the tasks of one step weigh 1 together.
    mean_log_estimate : float
        Mean of the logarithm of the estimates.
    mean_log_ratio : float
        Mean of the logarithm of the ratio between duration and estimate.
    squared_deviations : float
        Sum of the squared deviations of the logarithm of the estimates.
    deviation_products : float
        Sum of the products of the deviations of both logarithms.
    """

    total_weight: float = 0.0
    mean_log_estimate: float = 0.0
    mean_log_ratio: float = 0.0
    squared_deviations: float = 0.0
    deviation_products: float = 0.0

    def observe(self, log_estimate: float, log_ratio: float, weight: float) -> None:
        """Add a task to the regression.

        The means and sums are updated incrementally (West, "Updating mean and variance
        estimates", CACM, 1979).

        Parameters
        ----------
        log_estimate : float
            Logarithm of the estimate.
        log_ratio : float
            Logarithm of the ratio between duration and estimate.
        weight : float
            Weight of the task.
        """
        if self.total_weight > MAX_WEIGHT:
            decay = MAX_WEIGHT / self.total_weight
            self.total_weight *= decay
            self.squared_deviations *= decay
            self.deviation_products *= decay
        self.total_weight += weight
        share = weight / self.total_weight
        deviation = log_estimate - self.mean_log_estimate
        self.mean_log_estimate += share * deviation
        self.squared_deviations += (
            weight * deviation * (log_estimate - self.mean_log_estimate)
        )
        self.deviation_products += (
            weight * deviation * (log_ratio - self.mean_log_ratio)
        )
        self.mean_log_ratio += share * (log_ratio - self.mean_log_ratio)

    def predict(self, log_estimate: float) -> float:
        """Return the logarithm of the expected duration for that of an estimate."""
        offset = (
            self.mean_log_ratio * self.total_weight / (self.total_weight + PRIOR_WEIGHT)
        )
        slope = self.deviation_products / (self.squared_deviations + PRIOR_WEIGHT)
        # A slope of 0 keeps estimates proportional; -1 ignores them.
        slope = min(0.0, max(-1.0, slope))
        return log_estimate + offset + slope * (log_estimate - self.mean_log_estimate)


class DurationModel:
    """Predicts how long tasks take, by queue and estimate."""

    def __init__(self) -> None:
        self._regressions: dict[str, _QueueRegression] = {}

    def observe(
        self, queue: str, estimated_s: float, ran_s: float, weight: float
    ) -> None:
        """Learn from a run that executed a whole task.

        Parameters
        ----------
        queue : str
            The queue of the job.
        estimated_s : float
            The caller's estimate in seconds; a run without one is ignored.
        ran_s : float
            Duration of the run, in seconds.
        weight : float
            One over the number of tasks of its step, so that a step counts once: its
            tasks resemble each other.
        """
        if estimated_s <= 0.0:
            return
        log_estimate = log(max(estimated_s, MIN_DURATION_S))
        log_ratio = log(max(ran_s, MIN_DURATION_S)) - log_estimate
        self._regressions.setdefault(queue, _QueueRegression()).observe(
            log_estimate, log_ratio, weight
        )

    def predict_s(self, queue: str, estimated_s: float) -> float:
        """Return the expected duration of a task, in seconds.

        Without an estimate, it is the geometric mean of the observed durations. It is 0
        if there is neither an estimate nor an observed run of the queue.
        """
        fit = self._regressions.get(queue)
        if fit is None:
            return estimated_s
        if estimated_s <= 0.0:
            return exp(fit.mean_log_estimate + fit.mean_log_ratio)
        return exp(fit.predict(log(max(estimated_s, MIN_DURATION_S))))
