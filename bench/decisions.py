"""How long one decision takes, by number of workers and of teams."""

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

FLEETS = (27, 256, 1000, 4000)
TEAM_COUNTS = (6, 100, 690)
WARM_UP_DECISIONS = 500
DECISIONS = 5000
MAX_LATENCY_NS = 10_000_000_000
CAPACITY = Resources(32_000, 65_536, 2, 8, 64)


@frozen
class DecisionLatency:
    """Time from a submission to the start order, in milliseconds.

    Each decision accepts a request, places it and ends the oldest running one, on a
    fleet that is kept nine tenths full.
    """

    workers: int
    teams: int
    p50_ms: float
    p99_ms: float
    per_second: float


def make_partition(workers: int) -> Partition:
    """Return a partition of adopted workers whose owner may act."""
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
    """Yield requests of several sizes, the teams in turn."""
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
    """Measure decisions on a fleet of `workers` with `teams` active teams."""
    partition = make_partition(workers)
    source = generate_submissions(teams)
    running: list[str] = []
    target = workers * CAPACITY.slots * 9 // 10
    while len(running) < target:
        started = _decide(partition, next(source))
        if not started:
            break
        running.extend(started)
    histogram = HdrHistogram(1, MAX_LATENCY_NS, 3)
    gc.collect()
    gc.freeze()
    began_ns = time.perf_counter_ns()
    for count in range(WARM_UP_DECISIONS + DECISIONS):
        if count == WARM_UP_DECISIONS:
            began_ns = time.perf_counter_ns()
        before_ns = time.perf_counter_ns()
        partition.mark_ended(running[count], AttemptEnd.SUCCEEDED, b"answer")
        running.extend(_decide(partition, next(source)))
        if count >= WARM_UP_DECISIONS:
            histogram.record_value(time.perf_counter_ns() - before_ns)
    elapsed_s = (time.perf_counter_ns() - began_ns) / 1e9
    gc.unfreeze()
    return DecisionLatency(
        workers=workers,
        teams=teams,
        p50_ms=round(histogram.get_value_at_percentile(50) / 1e6, 4),
        p99_ms=round(histogram.get_value_at_percentile(99) / 1e6, 4),
        per_second=round(DECISIONS / elapsed_s),
    )


def measure_all() -> Iterator[DecisionLatency]:
    """Measure every size."""
    for workers in FLEETS:
        for teams in TEAM_COUNTS:
            yield measure_decisions(workers, teams)


def _decide(partition: Partition, submission: Submission) -> list[str]:
    partition.accept(submission)
    started: list[str] = []
    for attempt in partition.step().starts:
        partition.mark_sent(attempt, 1e12)
        partition.mark_started(attempt.attempt_id)
        started.append(attempt.attempt_id)
    return started
