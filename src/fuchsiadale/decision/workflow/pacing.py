"""Slows filler tasks down where they disturb serving tasks.

Serving tasks answer requests under a target for their tail latency. Filler tasks use
the processors that other tasks on a worker leave idle, which can raise that latency
beyond its target.
"""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.workflow.jobs import Run, RunState
from fuchsiadale.decision.workflow.messages import PaceRun

SLOWDOWN_SHARE = 0.85
"""Share of the latency target from which each report halves the pace of filler tasks.

At the target itself, filler tasks are paused.
"""

SPEEDUP_SHARE = 0.6
"""Share of the latency target below which filler tasks may speed up again."""

PACE_STEP_PERCENT = 20
"""Increase of the pace for each report of low latency, in percent of full speed."""

FULL_PERCENT = 100
MS_PER_S = 1000.0


def adjust_filler_paces(runs: Iterable[Run]) -> list[PaceRun]:
    """Set the pace of the filler runs on a worker by the latency of its serving runs.

    Parameters
    ----------
    runs : iterable of Run
        All runs on the worker, with their last reported loads; paces change in place.

    Returns
    -------
    orders : list of PaceRun
        An order for each run whose pace changes.
    """
    running = [run for run in runs if run.state is RunState.RUNNING]
    fillers = [run for run in running if run.task.step.specification.is_filler]
    if not fillers:
        return []
    latency_ratio = max((_latency_ratio(run) for run in running), default=0.0)
    orders = []
    for run in fillers:
        percent = _next_pace_percent(run.pace_percent, latency_ratio)
        if percent != run.pace_percent:
            run.pace_percent = percent
            order = PaceRun(run.worker_id, run.task.name, run.number, percent)
            orders.append(order)
    return orders


def _latency_ratio(run: Run) -> float:
    """Return the tail latency of a run as a share of its target.

    It is 0 if the run has no target or has reported no load.
    """
    target_s = run.task.step.specification.target_s
    if not target_s or run.load is None:
        return 0.0
    return run.load / (MS_PER_S * target_s)


def _next_pace_percent(percent: int | None, latency_ratio: float) -> int:
    if percent is None:
        # It may be paused. A pace that does no harm is found step by step.
        percent = 0 if latency_ratio > 0.0 else FULL_PERCENT
    if latency_ratio >= 1.0:
        return 0
    if latency_ratio >= SLOWDOWN_SHARE:
        return percent // 2
    if latency_ratio < SPEEDUP_SHARE:
        return min(FULL_PERCENT, percent + PACE_STEP_PERCENT)
    return percent
