"""Benchmark of the memory that each object in the state of a partition takes.

The encoded size of a configuration document is reported too.
"""

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
"""Number of objects in the smaller of the two states that are compared.

The partitions that hold requests also have this number of workers.
"""

LARGE_COUNT = 2200
"""Number of objects in the larger of the two states that are compared."""

TEAMS = 690
"""Number of teams in the configuration document."""

KEYS_PER_TEAM = 2
"""Number of keys of each team in the configuration document."""


@frozen
class ObjectMemory:
    """Size of each object of one kind.

    Attributes
    ----------
    what : str
        Kind of the objects.
    bytes_each : int
        Bytes of memory for each object; for the configuration document, its encoded
        size.
    """

    what: str
    bytes_each: int


def measure_all() -> Iterator[ObjectMemory]:
    """Measure each kind of objects."""
    yield _measure_object_memory("worker in the ledger", make_partition)
    yield _measure_object_memory("request that waits or runs", _make_accepted_requests)
    yield _measure_object_memory("request that ended and is kept", _make_ended_requests)
    yield _measure_object_memory("task of a batch of 100", _make_batches)
    document = _make_document()
    yield ObjectMemory("configuration document of 690 teams", len(encode(document)))


def _measure_object_memory(
    what: str, make_state: Callable[[int], object]
) -> ObjectMemory:
    """Return the memory per object of one kind.

    It is the difference in memory between a state with `LARGE_COUNT` objects and one
    with `SMALL_COUNT`, divided by the difference in count, so that fixed costs cancel
    out.
    """
    small_bytes = _measure_bytes(make_state, SMALL_COUNT)
    large_bytes = _measure_bytes(make_state, LARGE_COUNT)
    return ObjectMemory(
        what, round((large_bytes - small_bytes) / (LARGE_COUNT - SMALL_COUNT))
    )


def _measure_bytes(make_state: Callable[[int], object], count: int) -> int:
    """Return the bytes allocated by a state with `count` objects while it exists."""
    gc.collect()
    tracemalloc.start()
    state = make_state(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return size


def _make_accepted_requests(count: int) -> object:
    """Return a partition with `count` requests that wait or are placed."""
    partition = make_partition(SMALL_COUNT)
    submissions = generate_submissions(6)
    for _ in range(count):
        partition.accept(next(submissions))
    partition.step()
    return partition


def _make_ended_requests(count: int) -> object:
    """Return a partition that keeps `count` ended requests."""
    partition = make_partition(SMALL_COUNT)
    submissions = generate_submissions(6)
    for _ in range(count):
        partition.accept(next(submissions))
        for attempt in partition.step().starts:
            partition.mark_sent(attempt, 1e12)
            partition.mark_started(attempt.attempt_id)
            partition.mark_ended(attempt.attempt_id, AttemptEnd.SUCCEEDED, b"answer")
    partition.step()
    return partition


def _make_batches(count: int) -> object:
    """Return batches of 100 tasks with `count` tasks in total."""
    submissions = generate_submissions(6)
    return [
        make_work(evolve(next(submissions), kind=WorkKind.BATCH, tasks=100), 0.0)
        for _ in range(count // 100)
    ]


def _make_document() -> ConfigDocument:
    """Return a configuration document with `TEAMS` teams and their keys."""
    limit = Resources(64_000, 262_144, 8, 200, 1 << 50)
    teams = {f"team-{index}": TeamConfig(2.0, limit) for index in range(TEAMS)}
    pools = {f"pool-{index}": PoolConfig(slices=8) for index in range(3)}
    queues = {f"queue-{index}": QueueConfig(pool="pool-0") for index in range(20)}
    keys = {
        f"key{index:09d}": KeyRecord(f"team-{index % TEAMS}", "0" * 64)
        for index in range(TEAMS * KEYS_PER_TEAM)
    }
    return ConfigDocument(1, Configuration(teams, pools, queues), keys)
