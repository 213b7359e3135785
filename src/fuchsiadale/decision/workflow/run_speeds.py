"""Finds workers that have turned slow, and learns how slow cold workers are.

A worker that has turned slow is found from its runs, by a sequential test of how likely
their durations and progress are on a slow worker (Wald, "Sequential tests of
statistical hypotheses", Annals of Mathematical Statistics, 1945). The tasks of a step
resemble each other, so runs are compared with those of their step that have ended.
"""

from __future__ import annotations

from math import inf, log
from weakref import WeakKeyDictionary

from attrs import define

from fuchsiadale.decision.workflow.durations import MIN_DURATION_S, DurationModel
from fuchsiadale.decision.workflow.jobs import Run, RunState, Step
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.worker_speeds import (
    MAX_SLOWDOWN,
    ColdSlowdown,
    WorkerSpeed,
)

MIN_PEERS = 3
"""Ended runs of a step from which its other runs are compared with them."""

PEER_DEVIATION = 0.4
"""Standard deviation of the logarithm of durations within a step."""

ESTIMATE_DEVIATION = 0.7
"""Standard deviation of the logarithm of durations, given the caller's estimate."""

SUSPECTED_LOG = log(3.0)
"""Slowdown beyond the usual of a slow worker in the test, as a logarithm."""

MAX_MEAN = log(MAX_SLOWDOWN)
"""Largest deviation of the runs of a step that counts, as a logarithm."""

MAX_EVIDENCE = 2.5
"""Bound on the evidence of one step, as a logarithm of odds; two of them decide."""

MIN_EVIDENCE = 2.0
"""Evidence from which a worker is slow, as a logarithm of odds."""

FULL_PACE_PERCENT = 100

MIN_PROGRESS_PERCENT = 5
"""Progress in percent from which the duration of a run is extrapolated."""

MIN_RUN_AGE_S = 0.2
"""Age in seconds from which a run tells something."""

MEMORY_S = 1.5
"""Seconds for which an ended run tells whether its worker is slow."""


@define
class _StepRuns:
    """Number of ended runs of a step, and how long they usually take.

    Attributes
    ----------
    count : int
        Number of runs.
    log_total : float
        Sum of the logarithms of their durations over the slowdown of their workers.
    """

    count: int = 0
    log_total: float = 0.0


class RunSpeeds:
    """Finds slow workers, and learns how slow the cold ones of each pool are.

    Parameters
    ----------
    durations : DurationModel
        Predicts the durations of tasks.
    """

    def __init__(self, durations: DurationModel) -> None:
        self._durations = durations
        self._cold_slowdowns: dict[str, ColdSlowdown] = {}
        self._expected: dict[Step, tuple[float, float]] = {}
        self._expected_at_s = -inf
        self._step_runs: WeakKeyDictionary[Step, _StepRuns] = WeakKeyDictionary()
        self._ended: WeakKeyDictionary[
            WorkerSpeed, list[tuple[float, Step, float, float]]
        ] = WeakKeyDictionary()

    def cold_slowdown_of(self, pool: str) -> ColdSlowdown:
        """Return what is known of how slow the cold workers of a pool are."""
        return self._cold_slowdowns.setdefault(pool, ColdSlowdown())

    def update(self, worker: TrackedWorker, now_s: float) -> bool:
        """Bring what is known of a worker up to date before decisions by it.

        Returns
        -------
        has_turned : bool
            Whether it was found to have turned slow, or usual again, just now.
        """
        speed = worker.speed
        speed.cold_slowdown = self.cold_slowdown_of(worker.entry.pool)
        if now_s != self._expected_at_s:
            self._expected, self._expected_at_s = {}, now_s
        was_slow = speed.is_slow
        self._test(worker, now_s)
        speed.update(now_s)
        return speed.is_slow is not was_slow

    def note_end(
        self, worker: TrackedWorker, step: Step, ran_s: float, now_s: float
    ) -> None:
        """Note the duration of a run that covers a whole task."""
        log_s = log(max(ran_s, MIN_DURATION_S)) - log(worker.speed.usual_slowdown)
        usual_log_s, deviation = self._expect(step)
        ended = self._ended.setdefault(worker.speed, [])
        ended.append((now_s, step, log_s - usual_log_s, deviation))
        step_runs = self._step_runs.setdefault(step, _StepRuns())
        step_runs.count += 1
        step_runs.log_total += log_s

    def _expect(self, step: Step) -> tuple[float, float]:
        """Return how long a task of a step usually takes, and how sure that is.

        Returns
        -------
        usual_log_s : float
            Logarithm of its usual duration in seconds; infinite if it is not known.
        standard_deviation : float
            Standard deviation of that logarithm on a worker that is not slow.
        """
        step_runs = self._step_runs.get(step)
        if step_runs is not None and step_runs.count >= MIN_PEERS:
            return step_runs.log_total / step_runs.count, PEER_DEVIATION
        queue, estimated_s = step.job.record.queue, step.specification.estimated_s
        usual_s = self._durations.predict_s(queue, estimated_s)
        return (log(usual_s) if usual_s > 0.0 else inf), ESTIMATE_DEVIATION

    def _test(self, worker: TrackedWorker, now_s: float) -> None:
        """Find whether a worker is slow, from its runs and those that ended lately."""
        speed = worker.speed
        found: dict[Step, list[tuple[float, float]]] = {}
        ended = self._ended.get(speed)
        if ended:
            ended[:] = [item for item in ended if now_s - item[0] < MEMORY_S]
            for _, step, deviation, sd in ended:
                found.setdefault(step, []).append((deviation, sd))
        if not speed.cold_s(now_s):
            log_slowdown = log(speed.usual_slowdown)
            for run in worker.runs.values():
                log_s = _predict_log_s(run, now_s)
                if log_s is None:
                    continue
                step = run.task.step
                expected = self._expected.get(step)
                if expected is None:
                    expected = self._expected[step] = self._expect(step)
                deviation = log_s - log_slowdown - expected[0]
                if deviation > 0.0 or run.progress_percent >= MIN_PROGRESS_PERCENT:
                    found.setdefault(step, []).append((deviation, expected[1]))
        evidence = total = 0.0
        for items in found.values():
            # The error of an estimate is the same for all runs of a step.
            mean = sum(item[0] for item in items) / len(items)
            mean = min(max(mean, -MAX_MEAN), MAX_MEAN)
            odds = (mean - 0.5 * SUSPECTED_LOG) * SUSPECTED_LOG / items[0][1] ** 2
            evidence += min(max(odds, -MAX_EVIDENCE), MAX_EVIDENCE)
            total += mean
        if evidence >= MIN_EVIDENCE:
            speed.note_slow(total / len(found), now_s)
        elif evidence <= -MIN_EVIDENCE and speed.is_slow:
            speed.note_usual(now_s)


def _predict_log_s(run: Run, now_s: float) -> float | None:
    """Return how long a run takes at least, by its progress and its age.

    Returns
    -------
    log_s : float or None
        Logarithm of the duration in seconds; None if the run tells nothing yet.
    """
    if run.state is not RunState.RUNNING or run.may_have_resumed:
        return None
    if run.task.step.specification.is_lasting:
        return None
    began_s = run.began_s
    if began_s is None or run.pace_percent != FULL_PACE_PERCENT:
        return None
    least_s = now_s - began_s
    if least_s < MIN_RUN_AGE_S:
        return None
    worked_s = run.last_progress_s - began_s
    if run.progress_percent >= MIN_PROGRESS_PERCENT and worked_s >= MIN_RUN_AGE_S:
        least_s = max(least_s, worked_s * FULL_PACE_PERCENT / run.progress_percent)
    return log(least_s)
