"""Slows filling work down where it disturbs serving work.

Answers serving tasks whose tail latency rises beyond its target because tasks beside
them take what they leave unused.
"""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.workflow.jobs import Run, RunState
from fuchsiadale.decision.workflow.messages import PaceRun

SLOWDOWN_SHARE = 0.85
"""Share of a target from which filling work is slowed to half its pace."""

SPEEDUP_SHARE = 0.6
"""Share of a target below which filling work is let work faster again."""

PACE_STEP_PERCENT = 20
"""How much faster filling work is let work at each calm report."""

FULL_PERCENT = 100
MS_PER_S = 1000.0


def adjust_filler_paces(runs: Iterable[Run]) -> list[PaceRun]:
    """Return the orders that fit what a worker's runs report."""
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
    """Return a serving run's tail latency as a share of its target."""
    target_s = run.task.step.specification.target_s
    if not target_s or run.load is None:
        return 0.0
    return run.load / (MS_PER_S * target_s)


def _next_pace_percent(percent: int, latency_ratio: float) -> int:
    if latency_ratio >= 1.0:
        return 0
    if latency_ratio >= SLOWDOWN_SHARE:
        return percent // 2
    if latency_ratio < SPEEDUP_SHARE:
        return min(FULL_PERCENT, percent + PACE_STEP_PERCENT)
    return percent
