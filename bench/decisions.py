"""Benchmark of the time per decision, by number of workers and of teams."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator

from attrs import frozen
from hdrh.histogram import HdrHistogram

from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.reconciliation import Reconciler
from fuchsiadale.decision.reports import WorkerReport
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import (
    AttemptEnd,
    Program,
    Submission,
    WorkKind,
)

FLEET_SIZES = (27, 256, 1000, 4000)
"""Numbers of workers to measure with."""

TEAM_COUNTS = (6, 100, 690)
"""Numbers of teams to measure with."""

WARM_UP_DECISIONS = 500
"""Number of decisions before the measured ones."""

MEASURED_DECISIONS = 5000
"""Number of decisions that a measurement covers."""

MAX_LATENCY_NS = 10_000_000_000
"""Highest latency that the histogram can record, in nanoseconds."""

CAPACITY = Resources(32_000, 65_536, 2, 8, 64)
"""Capacity of each worker."""


@frozen
class DecisionLatency:
    """Time per decision at one number of workers and of teams.

    Each decision ends the oldest running attempt, accepts a request and starts what
    fits. Before, requests are started until attempts fill nine tenths of all slots or a
    request cannot start at once.

    Attributes
    ----------
    workers, teams : int
        Number of workers and of teams.
    p50_ms, p99_ms : float
        Percentiles of the time per decision, in milliseconds.
    per_second : float
        Decisions made per second.
    """

    workers: int
    teams: int
    p50_ms: float
    p99_ms: float
    per_second: float


def make_partition(workers: int) -> Partition:
    """Return a partition with adopted workers, whose owner may act."""
    clock = ManualClock(100.0)
    infos = [
        WorkerInfo(f"w{index}", "pool", "", f"domain-{index % 12}", "rack", CAPACITY)
        for index in range(workers)
    ]
    names = [info.name for info in infos]
    authority = Authority(clock, names, taken_over=False)
    authority.record_lease_renewal(clock.now())
    partition = Partition("pool.0", 1, clock, authority)
    reconciliation = Reconciler(partition, clock)
    reconciliation.set_workers(infos, names)
    for name in names:
        report = WorkerReport(clock_s=1.0, boot_id="b")
        reconciliation.process_adoption(name, report, clock.now())
    return partition


def generate_submissions(teams: int) -> Iterator[Submission]:
    """Yield requests of various sizes without end, from all teams in turn."""
    number = 0
    while True:
        number += 1
        yield Submission(
            work_id=f"pool.0.{number}",
            kind=WorkKind.REQUEST,
            team=f"team-{number % teams}",
            queue="queue",
            program=Program("echo"),
            resources=Resources(
                1000 * (1 + number % 4),
                1024 * (1 + number % 6),
                1 if number % 9 == 0 else 0,
                1,
                1,
            ),
        )


def measure_decisions(workers: int, teams: int) -> DecisionLatency:
    """Measure the time per decision with `workers` workers and `teams` active teams."""
    partition = make_partition(workers)
    submissions = generate_submissions(teams)
    running_ids: list[str] = []
    target_count = workers * CAPACITY.slots * 9 // 10
    while len(running_ids) < target_count:
        started_ids = _accept_and_start(partition, next(submissions))
        if not started_ids:
            break
        running_ids.extend(started_ids)
    histogram = HdrHistogram(1, MAX_LATENCY_NS, 3)
    gc.collect()
    gc.freeze()
    started_ns = time.perf_counter_ns()
    for index in range(WARM_UP_DECISIONS + MEASURED_DECISIONS):
        if index == WARM_UP_DECISIONS:
            started_ns = time.perf_counter_ns()
        decision_started_ns = time.perf_counter_ns()
        partition.mark_ended(running_ids[index], AttemptEnd.SUCCEEDED, b"answer")
        running_ids.extend(_accept_and_start(partition, next(submissions)))
        if index >= WARM_UP_DECISIONS:
            histogram.record_value(time.perf_counter_ns() - decision_started_ns)
    elapsed_s = (time.perf_counter_ns() - started_ns) / 1e9
    gc.unfreeze()
    return DecisionLatency(
        workers=workers,
        teams=teams,
        p50_ms=round(histogram.get_value_at_percentile(50) / 1e6, 4),
        p99_ms=round(histogram.get_value_at_percentile(99) / 1e6, 4),
        per_second=round(MEASURED_DECISIONS / elapsed_s),
    )


def measure_all() -> Iterator[DecisionLatency]:
    """Measure each number of workers with each number of teams."""
    for workers in FLEET_SIZES:
        for teams in TEAM_COUNTS:
            yield measure_decisions(workers, teams)


def _accept_and_start(partition: Partition, submission: Submission) -> list[str]:
    """Accept a submission and return the ids of the attempts that are then started."""
    partition.accept(submission)
    started_ids: list[str] = []
    for attempt in partition.step().starts:
        partition.mark_sent(attempt, 1e12)
        partition.mark_started(attempt.attempt_id)
        started_ids.append(attempt.attempt_id)
    return started_ids
