"""Tests that the tasks of a team never exceed its fleet-wide limit."""

from __future__ import annotations

import asyncio

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from fuchsiadale.config.documents import SourceFile
from fuchsiadale.decision.grants import (
    TeamGrants,
    apply_limit,
    lower_grant,
    raise_grant,
)
from fuchsiadale.decision.resources import (
    NO_RESOURCES,
    UNLIMITED_AMOUNT,
    Resources,
)
from fuchsiadale.decision.work import Program, WorkKind
from tests.builders import SMALL_TASK_RESOURCES, make_submission, make_worker_info
from tests.cluster import TestCluster
from tests.virtual_loop import run_with_virtual_clock

PARTITIONS = ("p.0", "p.1", "p.2")


def limit_of_tasks(count: int) -> Resources:
    """Return resources that limit only the number of tasks."""
    unlimited = UNLIMITED_AMOUNT
    return Resources(unlimited, unlimited, unlimited, count, unlimited)


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


class GrantModel:
    """A model of partitions that run the tasks of one team under its row of grants."""

    def __init__(self) -> None:
        self.row = TeamGrants(limit_of_tasks(10), 1)
        self.task_limit = 10
        self.version = 1
        self.known_grants = dict.fromkeys(PARTITIONS, 0)
        self.running = dict.fromkeys(PARTITIONS, 0)

    def read_grant(self, partition: str) -> None:
        """Let an owner read its grant and ceiling, and stop tasks beyond them."""
        grant = self.row.grants.get(partition, NO_RESOURCES).slots
        ceiling = self.row.ceilings.get(partition)
        self.known_grants[partition] = (
            grant if ceiling is None else min(grant, ceiling.slots)
        )
        self.running[partition] = min(
            self.running[partition], self.known_grants[partition]
        )

    def run_tasks(self, partition: str, count: int, is_answered: bool) -> None:
        """Run more tasks, and raise the grant first if that is needed.

        Without an answer the owner does not learn that the row has changed.
        """
        wanted = self.running[partition] + count
        if wanted > self.known_grants[partition]:
            updated_row = apply_limit(
                self.row, limit_of_tasks(self.task_limit), self.version
            )
            if isinstance(updated_row, Ok):
                wanted_grant = evolve(NO_RESOURCES, slots=wanted)
                self.row = raise_grant(updated_row.ok_value, partition, wanted_grant)
            if not is_answered:
                return
            self.read_grant(partition)
        self.running[partition] = min(wanted, max(self.known_grants[partition], 0))

    def return_unused(self, partition: str, is_answered: bool) -> None:
        """Return the unused grant; the owner lowers its known grant before the row."""
        keep = self.running[partition]
        self.known_grants[partition] = min(self.known_grants[partition], keep)
        self.row = lower_grant(
            self.row, partition, evolve(limit_of_tasks(keep), slots=keep)
        )
        if is_answered:
            self.read_grant(partition)

    def set_limit(self, limit: int) -> None:
        """Change the limit, and let every owner reduce its tasks and grant to it."""
        self.task_limit = limit
        self.version += 1
        updated_row = apply_limit(self.row, limit_of_tasks(limit), self.version)
        assert isinstance(updated_row, Ok)
        self.row = updated_row.ok_value
        for partition in PARTITIONS:
            self.read_grant(partition)
            if partition in self.row.ceilings:
                self.row = lower_grant(
                    self.row, partition, self.row.ceilings[partition]
                )


@settings(derandomize=True, max_examples=500, deadline=None)
@given(STEPS)
def test_running_tasks_never_exceed_the_limit(
    steps: list[tuple[str, str, int, bool]],
) -> None:
    model = GrantModel()
    for kind, partition, count, is_answered in steps:
        if kind == "run":
            model.run_tasks(partition, count, is_answered)
        elif kind == "end":
            model.running[partition] = max(0, model.running[partition] - count)
        elif kind == "return":
            model.return_unused(partition, is_answered)
        elif kind == "forget":
            model.read_grant(partition)
        else:
            model.set_limit(count)
        assert sum(model.running.values()) <= model.task_limit
        assert model.row.total_granted.slots <= model.task_limit


def test_older_configuration_cannot_raise_a_limit() -> None:
    row = TeamGrants(limit_of_tasks(3), limit_version=7)
    assert isinstance(apply_limit(row, limit_of_tasks(100), 6), Err)


def test_more_of_one_resource_does_not_take_others_from_other_partitions() -> None:
    limit = Resources(16_000, 16_384, 0, UNLIMITED_AMOUNT, UNLIMITED_AMOUNT)
    row = TeamGrants(limit, 1)
    for cores in range(1, 9):
        row = raise_grant(row, "p.0", Resources(1000 * cores, 1024, 0, 1, 1))
    wanted = Resources(4000, 8192, 0, 4, 4)
    assert wanted.fits_in(raise_grant(row, "p.1", wanted).grants["p.1"])


LIMITED = """\
teams:
  guild: {limit: {tasks: %d}}
pools:
  general: {slices: 3}
queues:
  proofs: {pool: general}
"""


def test_fleet_wide_limit_holds_over_partitions_also_after_it_is_lowered() -> None:
    async def session() -> None:
        workers = [make_worker_info(index) for index in range(9)]
        async with TestCluster(3, workers, LIMITED % 10) as cluster:
            entry = next(iter(cluster.nodes.values()))
            await cluster.wait_until(
                lambda: all(cluster.find_owner(f"general.{i}") for i in range(3))
            )
            for number in range(6):
                submission = make_submission(
                    number, WorkKind.SERVICE, tasks=8, resources=SMALL_TASK_RESOURCES
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
                peak = max(peak, count_running_tasks(cluster))
            assert peak == 10
            files = [SourceFile("all.yaml", LIMITED % 4)]
            (await entry.config.replace_from_files(files, None)).unwrap()
            await cluster.wait_until(
                lambda: count_running_tasks(cluster) <= 4, limit_s=18.0
            )
            for _ in range(100):
                await asyncio.sleep(0.1)
                assert count_running_tasks(cluster) <= 4

    run_with_virtual_clock(session())


def test_configuration_changes_do_not_take_the_limit_from_other_partitions() -> None:
    async def session() -> None:
        workers = [make_worker_info(index) for index in range(9)]
        async with TestCluster(3, workers, LIMITED % 16) as cluster:
            entry = next(iter(cluster.nodes.values()))
            await cluster.wait_until(
                lambda: all(cluster.find_owner(f"general.{i}") for i in range(3))
            )
            services = [
                evolve(
                    make_submission(number, WorkKind.SERVICE),
                    work_id=f"general.{number}.{number}",
                    program=Program("forever"),
                )
                for number in range(3)
            ]
            for service in services[:2]:
                (await entry.router.submit_job(service)).unwrap()
            await cluster.wait_until(lambda: count_running_tasks(cluster) == 2)
            for _ in range(7):
                (await entry.config.create_key("guild")).unwrap()
                await asyncio.sleep(1.0)
            (await entry.router.submit_job(services[2])).unwrap()
            await cluster.wait_until(
                lambda: count_running_tasks(cluster) == 3, limit_s=1.0
            )

    run_with_virtual_clock(session())


def count_running_tasks(cluster: TestCluster) -> int:
    """Return the number of tasks that the workers are running."""
    return sum(len(worker.running_ids) for worker in cluster.workers.values())
