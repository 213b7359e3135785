"""How much longer than usual runs take on a worker, also while it is still cold.

A worker is slow for some time after its start, which its registration tells. How slow
cold workers of a pool are is learned from the runs that they executed meanwhile. Such
runs tell nothing of how fast the worker or its tasks are afterwards.
"""

from __future__ import annotations

from math import exp, log

from attrs import Factory, define, frozen

SLOWDOWN_WEIGHT = 0.1
"""Weight of the newest run in a worker's slowdown.

The small weight averages out the errors of callers' estimates.
"""

MAX_RUN_SLOWDOWN = 10.0
"""Upper bound on the slowdown of a single run.

An expected duration near 0 would otherwise give an arbitrarily large slowdown.
"""

USUAL_COLD_SLOWDOWN = 2.0
"""Slowdown of a cold worker that is assumed before runs on one have ended."""

USUAL_COLD_WEIGHT = 3.0
"""Weight of that assumption, in number of runs."""

MAX_COLD_SLOWDOWN = 10.0
"""Upper bound on the slowdown of cold workers; the lower bound is 1."""

MAX_COLD_S = 60.0
"""Seconds for which a worker counts as cold at most by one registration."""

MAX_COLD_WEIGHT = 30.0
"""Maximum total weight of earlier runs on cold workers of a pool."""

MIN_COLD_SHARE = 0.5
"""Share of a run from which it tells how slow cold workers are."""

MAX_DELAY_SHARE = 0.15
"""Share of the time to spare that a task may lose on a cold worker."""

COLD_PENALTY = 2.0
"""Penalty on a cold worker for a task with too little time to spare.

It outweighs the fit and the preferred rack, not an earlier failure of the task.
"""


@frozen
class Haste:
    """How much delay a task of a step can bear.

    Attributes
    ----------
    usual_s : float
        Expected duration of the task on a usual worker, in seconds.
    spare_s : float
        How much later than expected the job of the task may end, in seconds; infinite
        if it is not bound to any time.
    """

    usual_s: float
    spare_s: float

    def bears(self, delay_s: float) -> bool:
        """Tell whether a task may take longer than usual by `delay_s` seconds."""
        return delay_s <= MAX_DELAY_SHARE * self.spare_s


@define
class ColdSlowdown:
    """How many times longer runs take on the cold workers of a pool.

    It is the geometric mean of the observed slowdowns, shrunk towards
    `USUAL_COLD_SLOWDOWN`.
    """

    _weight: float = USUAL_COLD_WEIGHT
    _log_slowdown: float = log(USUAL_COLD_SLOWDOWN)

    @property
    def factor(self) -> float:
        """Slowdown of a cold worker, from 1 to `MAX_COLD_SLOWDOWN`."""
        return exp(self._log_slowdown)

    def observe(self, ran_s: float, cold_s: float, expected_s: float) -> bool:
        """Learn from a run that executed a whole task.

        Parameters
        ----------
        ran_s : float
            Duration of the run, in seconds.
        cold_s : float
            How long the worker remained cold from the start of the run, in seconds.
        expected_s : float
            Expected duration on the worker once it is no longer cold, in seconds.

        Returns
        -------
        is_used : bool
            Whether the run tells something of cold workers.
        """
        cold_s = min(cold_s, ran_s)
        if expected_s <= 0.0 or cold_s < MIN_COLD_SHARE * ran_s:
            return False
        # What was left when the worker became warm took its expected time.
        done_s = max(expected_s - (ran_s - cold_s), cold_s / MAX_COLD_SLOWDOWN)
        observed = log(min(max(cold_s / done_s, 1.0), MAX_COLD_SLOWDOWN))
        self._weight = min(self._weight + 1.0, MAX_COLD_WEIGHT)
        self._log_slowdown += (observed - self._log_slowdown) / self._weight
        return True


@define(eq=False)
class WorkerSpeed:
    """How much longer than usual runs take on a worker.

    Times are in seconds on the event loop's clock.

    Attributes
    ----------
    slowdown : float
        Moving average of the ratio of actual to expected durations of runs that did not
        start on the worker while it was cold.
    cold_until_s : float
        When the worker ceases to be cold, by its registration; 0 if it was never cold.
    cold_slowdown : ColdSlowdown
        How slow cold workers of its pool are.
    """

    slowdown: float = 1.0
    cold_until_s: float = 0.0
    cold_slowdown: ColdSlowdown = Factory(ColdSlowdown)
    _registered: tuple[int, float] = (0, 0.0)
    _now_s: float = 0.0

    @property
    def cold_rate(self) -> float:
        """Speed at present as a share of the speed once it is not cold."""
        return 1.0 / self.cold_slowdown.factor if self.cold_s(self._now_s) else 1.0

    def note_registration(
        self, started_ms: int, cold_remaining_s: float, now_s: float
    ) -> None:
        """Note for how much longer a worker is cold by its registration.

        A registration that repeats what it told before was not written anew, so the
        time that it tells counts from when it was read first.

        Parameters
        ----------
        started_ms : int
            Start of the worker's incarnation, in Unix milliseconds.
        cold_remaining_s : float
            For how much longer the worker remains cold, in seconds.
        now_s : float
            When the registration was read.
        """
        registered = (started_ms, cold_remaining_s)
        if registered != self._registered:
            self._registered = registered
            cold_s = min(cold_remaining_s, MAX_COLD_S)
            self.cold_until_s = now_s + cold_s if cold_s else 0.0

    def update(self, now_s: float, cold_slowdown: ColdSlowdown) -> None:
        """Set the time of the present decisions and what is known of the pool."""
        self._now_s = now_s
        self.cold_slowdown = cold_slowdown

    def cold_s(self, at_s: float) -> float:
        """Return for how much longer the worker is cold from a time, in seconds."""
        return max(0.0, self.cold_until_s - at_s)

    def expected_s(self, usual_s: float, from_s: float) -> float:
        """Return the expected duration of a run on the worker, in seconds.

        Parameters
        ----------
        usual_s : float
            Expected duration on a usual worker, in seconds.
        from_s : float
            When the run starts.
        """
        warm_s = usual_s * self.slowdown
        cold_s = self.cold_s(from_s)
        if not cold_s:
            return warm_s
        factor = self.cold_slowdown.factor
        return min(warm_s * factor, warm_s + cold_s * (1.0 - 1.0 / factor))

    def placement_cost(self, haste: Haste | None) -> float:
        """Return the cost of placing a task on the worker; the lowest is best.

        Parameters
        ----------
        haste : Haste or None
            How much delay the task can bear; None if it is not known.
        """
        if haste is None or not self.cold_s(self._now_s):
            return self.slowdown
        delay_s = self.expected_s(haste.usual_s, self._now_s) - haste.usual_s
        penalty = 0.0 if haste.bears(delay_s) else COLD_PENALTY
        return self.slowdown + penalty

    def note_duration(self, ran_s: float, expected_s: float) -> None:
        """Update the slowdown from a run whose duration covers the whole task."""
        if expected_s > 0.0:
            ratio = min(ran_s / expected_s, MAX_RUN_SLOWDOWN)
            self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)
