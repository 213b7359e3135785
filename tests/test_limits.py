"""Upper limits over the fleet: the sum of what partitions run stays below them."""

from __future__ import annotations

import asyncio

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from fuchsiadale.config.documents import SourceFile
from fuchsiadale.decision.grants import (
    TeamGrants,
    adopt_limit,
    shrink,
    take,
)
from fuchsiadale.decision.resources import (
    NO_RESOURCES,
    UNLIMITED_AMOUNT,
    Resources,
)
from fuchsiadale.decision.work import Program, WorkKind
from tests.builders import SMALL, make_submission, make_worker
from tests.cluster import TestCluster
from tests.virtual_loop import run_virtually

PARTITIONS = ("p.0", "p.1", "p.2")


def tasks(count: int) -> Resources:
    """Return a limit on the number of tasks alone."""
    most = UNLIMITED_AMOUNT
    return Resources(most, most, most, count, most)


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("run"),
            st.sampled_from(PARTITIONS),
            st.integers(1, 5),
            st.booleans(),
        ),
        st.tuples(
            st.just("end"),
            st.sampled_from(PARTITIONS),
            st.integers(1, 5),
            st.booleans(),
        ),
        st.tuples(
            st.just("return"),
            st.sampled_from(PARTITIONS),
            st.just(0),
            st.booleans(),
        ),
        st.tuples(
            st.just("forget"), st.sampled_from(PARTITIONS), st.just(0), st.just(True)
        ),
        st.tuples(st.just("limit"), st.just("p.0"), st.integers(0, 20), st.just(True)),
    ),
    max_size=60,
)


class GrantWorld:
    """Partitions that run one team's tasks under one row."""

    def __init__(self) -> None:
        self.row = TeamGrants(tasks(10), 1)
        self.limit = 10
        self.version = 1
        self.known = dict.fromkeys(PARTITIONS, 0)
        self.running = dict.fromkeys(PARTITIONS, 0)

    def read(self, partition: str) -> None:
        """Let an owner learn its grant and keep within it, ceilings included."""
        grant = self.row.grants.get(partition, NO_RESOURCES).slots
        ceiling = self.row.ceilings.get(partition)
        self.known[partition] = grant if ceiling is None else min(grant, ceiling.slots)
        self.running[partition] = min(self.running[partition], self.known[partition])

    def run(self, partition: str, count: int, is_answered: bool) -> None:
        """Run more tasks, taking a greater grant first if needed."""
        wanted = self.running[partition] + count
        if wanted > self.known[partition]:
            adopted = adopt_limit(self.row, tasks(self.limit), self.version)
            if isinstance(adopted, Ok):
                need = evolve(NO_RESOURCES, slots=wanted)
                self.row = take(adopted.ok_value, partition, need)
            if not is_answered:
                return
            self.read(partition)
        self.running[partition] = min(wanted, max(self.known[partition], 0))

    def give_back(self, partition: str, is_answered: bool) -> None:
        """Return what is not used; the owner lowers its own bound first."""
        keep = self.running[partition]
        self.known[partition] = min(self.known[partition], keep)
        self.row = shrink(self.row, partition, evolve(tasks(keep), slots=keep))
        if is_answered:
            self.read(partition)

    def set_limit(self, limit: int) -> None:
        """Lower or raise the limit; every owner learns of it and comes down."""
        self.limit = limit
        self.version += 1
        adopted = adopt_limit(self.row, tasks(limit), self.version)
        assert isinstance(adopted, Ok)
        self.row = adopted.ok_value
        for partition in PARTITIONS:
            self.read(partition)
            if partition in self.row.ceilings:
                self.row = shrink(self.row, partition, self.row.ceilings[partition])


@settings(derandomize=True, max_examples=500, deadline=None)
@given(STEPS)
def test_running_never_exceeds_the_limit(
    steps: list[tuple[str, str, int, bool]],
) -> None:
    world = GrantWorld()
    for kind, partition, count, is_answered in steps:
        if kind == "run":
            world.run(partition, count, is_answered)
        elif kind == "end":
            world.running[partition] = max(0, world.running[partition] - count)
        elif kind == "return":
            world.give_back(partition, is_answered)
        elif kind == "forget":
            world.read(partition)
        else:
            world.set_limit(count)
        assert sum(world.running.values()) <= world.limit
        assert world.row.granted.slots <= world.limit


def test_older_configuration_cannot_raise_a_limit() -> None:
    row = TeamGrants(tasks(3), limit_version=7)
    assert isinstance(adopt_limit(row, tasks(100), 6), Err)


LIMITED = """\
teams:
  guild: {limit: {tasks: %d}}
pools:
  general: {slices: 3}
queues:
  proofs: {pool: general}
"""


def test_fleet_wide_limit_holds_over_partitions_and_a_lowered_one_is_met() -> None:
    async def session() -> None:
        workers = [make_worker(index) for index in range(9)]
        async with TestCluster(3, workers, LIMITED % 10) as cluster:
            entry = next(iter(cluster.nodes.values()))
            await cluster.until(
                lambda: all(cluster.owner(f"general.{i}") for i in range(3))
            )
            for number in range(6):
                submission = make_submission(
                    number, WorkKind.SERVICE, tasks=8, resources=SMALL
                )
                submission = evolve(
                    submission,
                    work_id=f"general.{number % 3}.{number}",
                    program=Program("forever"),
                )
                (await entry.router.submit_job(submission)).unwrap()
            peak = 0
            for _ in range(100):
                await asyncio.sleep(0.1)
                peak = max(peak, running(cluster))
            assert peak == 10
            files = [SourceFile("all.yaml", LIMITED % 4)]
            (await entry.config.change_folder(files, None)).unwrap()
            await cluster.until(lambda: running(cluster) <= 4, limit_s=18.0)
            for _ in range(100):
                await asyncio.sleep(0.1)
                assert running(cluster) <= 4

    run_virtually(session())


def running(cluster: TestCluster) -> int:
    """Return how many tasks the workers run."""
    return sum(len(worker.running) for worker in cluster.workers.values())
