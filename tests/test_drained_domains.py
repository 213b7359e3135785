"""Tests that no task starts in a failure domain that an operator has drained."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from click.testing import CliRunner

from fuchsiadale.cli.client import EntryClient, Reply
from fuchsiadale.cli.main import main
from fuchsiadale.decision.errors import ErrorKind
from fuchsiadale.decision.work import AttemptEnd, Priority, WorkKind
from tests.builders import (
    PartitionHarness,
    make_sleep_submission,
    make_submission,
    make_worker_info,
)
from tests.cluster import TestCluster
from tests.test_policies import HALF_WORKER_RESOURCES, confirm_starts
from tests.virtual_loop import run_with_virtual_clock

PROPAGATION_TIMEOUT_S = 18.0


def count_by_domain(harness: PartitionHarness) -> Counter[str]:
    """Plan, and return the number of starts by failure domain."""
    ledger = harness.partition.ledger
    starts = harness.partition.step().starts
    return Counter(ledger.workers[item.worker].info.failure_domain for item in starts)


def test_tasks_of_each_kind_start_outside_of_the_drained_domain() -> None:
    harness = PartitionHarness(workers=6)
    harness.partition.ledger.set_drained_domains({"domain-0"})
    for number, kind in enumerate(WorkKind):
        tasks = 1 if kind is WorkKind.REQUEST else 4
        harness.partition.accept(make_submission(number, kind, tasks=tasks))
    counts = count_by_domain(harness)
    assert counts.total() == 13
    assert set(counts) == {"domain-1", "domain-2"}


def test_running_tasks_go_on_and_others_wait_if_all_domains_are_drained() -> None:
    harness = PartitionHarness(workers=3)
    harness.partition.accept(make_submission(1, WorkKind.BATCH, tasks=3))
    (*others, last) = confirm_starts(harness, harness.partition.step())
    ledger = harness.partition.ledger
    ledger.set_drained_domains({"domain-0", "domain-1", "domain-2"})
    harness.partition.accept(make_submission(2, WorkKind.BATCH, tasks=2))
    actions = harness.partition.step()
    assert actions.starts == actions.stops == []
    harness.partition.mark_ended(last, AttemptEnd.SUCCEEDED)
    assert harness.partition.step().starts == []
    ledger.set_drained_domains({"domain-1", "domain-2"})
    assert set(count_by_domain(harness)) == {"domain-0"}


def test_worker_that_joins_a_drained_domain_gets_nothing() -> None:
    harness = PartitionHarness(workers=1)
    harness.partition.ledger.set_drained_domains({"domain-1"})
    infos = [make_worker_info(0), make_worker_info(1)]
    harness.reconciliation.set_workers(infos, [info.name for info in infos])
    assert harness.partition.ledger.workers["worker-1"].is_drained


def test_nothing_is_preempted_in_a_drained_domain() -> None:
    harness = PartitionHarness(workers=3)
    harness.partition.accept(make_submission(1, WorkKind.BATCH, tasks=24))
    confirm_starts(harness, harness.partition.step())
    harness.partition.ledger.set_drained_domains({"domain-0", "domain-1"})
    urgent = make_submission(
        2,
        WorkKind.BATCH,
        team="harvest",
        resources=HALF_WORKER_RESOURCES,
        priority=Priority.URGENT,
    )
    harness.partition.accept(urgent)
    assert {order.worker for order in harness.partition.step().stops} == {"worker-2"}


def test_drain_is_kept_by_the_next_owner_until_the_domain_is_restored() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            other = cluster.find_other_host(owner)
            config = cluster.nodes[other].config
            (await config.drain_domain("domain-0")).unwrap()
            version = (await config.drain_domain("domain-0")).unwrap().version
            await cluster.wait_until(
                lambda: all(
                    node.config.document.version == version
                    for node in cluster.nodes.values()
                ),
                PROPAGATION_TIMEOUT_S,
            )
            await run_requests(cluster, other, 0)
            assert not list_used(cluster, "worker-0")
            await cluster.kill(owner)
            await cluster.wait_until(lambda: cluster.find_owner() is not None)
            await run_requests(cluster, other, 100)
            assert not list_used(cluster, "worker-0")
            (await config.restore_domain("domain-0")).unwrap()
            await cluster.wait_until_ready()
            await asyncio.sleep(PROPAGATION_TIMEOUT_S)
            await run_requests(cluster, other, 200)
            assert list_used(cluster, "worker-0")
            again = await config.restore_domain("domain-0")
            assert again.unwrap_err().kind is ErrorKind.NOT_FOUND

    run_with_virtual_clock(session())


@pytest.mark.parametrize(
    ("command", "method"), [("drain", "PUT"), ("restore", "DELETE")]
)
def test_command_names_the_domain_and_shows_what_is_drained(
    monkeypatch: pytest.MonkeyPatch, command: str, method: str
) -> None:
    calls: list[tuple[str, str]] = []

    def call(client: EntryClient, *arguments: str) -> Reply:
        calls.append((arguments[0], arguments[1]))
        return Reply(200, {"version": 7, "drained_domains": ["a", "b"]})

    monkeypatch.setattr(EntryClient, "call", call)
    result = CliRunner().invoke(main, ["domain", command, "north hall"])
    assert result.exit_code == 0
    assert result.output.endswith("version 7: a, b\n")
    assert calls == [(method, "/admin/v1/drained-domains/north%20hall")]


async def run_requests(cluster: TestCluster, host: str, first_number: int) -> None:
    """Run requests that together need all workers."""
    router = cluster.nodes[host].router
    requests = [
        router.run_request(make_sleep_submission(first_number + index, 1.0, True))
        for index in range(20)
    ]
    for outcome in await asyncio.gather(*requests):
        outcome.unwrap()


def list_used(cluster: TestCluster, worker: str) -> list[str]:
    """Return the attempts that have run on a worker."""
    return [run.attempt_id for run in cluster.workers[worker].observations]
