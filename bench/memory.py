"""What the state of a partition takes in memory, by slope."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Iterator

from attrs import evolve, frozen

from bench.decisions import generate_submissions, make_partition
from fuchsiadale.codec import encode
from fuchsiadale.config.model import (
    ConfigDocument,
    Configuration,
    KeyRecord,
    PoolConfig,
    QueueConfig,
    TeamConfig,
)
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import AttemptEnd, WorkKind, make_work

SMALL_COUNT = 200
LARGE_COUNT = 2200
TEAMS = 690
KEYS_PER_TEAM = 2


@frozen
class MemorySlope:
    """Bytes for each of something."""

    what: str
    bytes_each: int


def measure_all() -> Iterator[MemorySlope]:
    """Measure every slope."""
    yield _slope("worker in the ledger", make_partition)
    yield _slope("request that waits or runs", _requests)
    yield _slope("request that ended and is kept", _ended_requests)
    yield _slope("task of a batch of 100", _batch_tasks)
    document = _document()
    yield MemorySlope("configuration document of 690 teams", len(encode(document)))


def _slope(what: str, make: Callable[[int], object]) -> MemorySlope:
    """Return the difference between a large and a small amount, for each one."""
    small = _bytes_of(make, SMALL_COUNT)
    large = _bytes_of(make, LARGE_COUNT)
    return MemorySlope(what, round((large - small) / (LARGE_COUNT - SMALL_COUNT)))


def _bytes_of(make: Callable[[int], object], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    held = make(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size


def _requests(count: int) -> object:
    partition = make_partition(SMALL_COUNT)
    source = generate_submissions(6)
    for _ in range(count):
        partition.accept(next(source))
    partition.step()
    return partition


def _ended_requests(count: int) -> object:
    partition = make_partition(SMALL_COUNT)
    source = generate_submissions(6)
    for _ in range(count):
        partition.accept(next(source))
        for attempt in partition.step().starts:
            partition.mark_sent(attempt, 1e12)
            partition.mark_started(attempt.attempt_id)
            partition.mark_ended(attempt.attempt_id, AttemptEnd.SUCCEEDED, b"answer")
    partition.step()
    return partition


def _batch_tasks(count: int) -> object:

    source = generate_submissions(6)
    return [
        make_work(evolve(next(source), kind=WorkKind.BATCH, tasks=100), 0.0)
        for _ in range(count // 100)
    ]


def _document() -> ConfigDocument:
    limit = Resources(64_000, 262_144, 8, 200, 1 << 50)
    teams = {f"team-{index}": TeamConfig(2.0, limit) for index in range(TEAMS)}
    pools = {f"pool-{index}": PoolConfig(slices=8) for index in range(3)}
    queues = {f"queue-{index}": QueueConfig(pool="pool-0") for index in range(20)}
    keys = {
        f"key{index:09d}": KeyRecord(f"team-{index % TEAMS}", "0" * 64)
        for index in range(TEAMS * KEYS_PER_TEAM)
    }
    return ConfigDocument(1, Configuration(teams, pools, queues), keys)
