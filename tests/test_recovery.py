"""Tests of snapshots, truncated journals and the recovery by a new owner."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.rows import (
    JournalEntry,
    JournalRow,
    journal_marker_key,
    journal_prefix,
)
from fuchsiadale.decision.work import AttemptEnd, Program, TaskState, WorkKind
from fuchsiadale.decision.work_registry import WorkRegistry
from fuchsiadale.entry import hosted_partition
from tests.builders import (
    PARTITION,
    PartitionHarness,
    make_sleep_submission,
    make_submission,
    make_worker_info,
)
from tests.cluster import TestCluster
from tests.virtual_loop import run_with_virtual_clock

ENDS = [
    AttemptEnd.SUCCEEDED,
    AttemptEnd.FAILED,
    AttemptEnd.LOST,
    AttemptEnd.NOT_RUN,
    AttemptEnd.STOPPED,
]


def recoverable_state(work_registry: WorkRegistry) -> dict[str, object]:
    """Return the state that must be recovered: states, attempts, answers and keys."""
    return {
        task.task_id: (
            task.state if task.state.is_final else task.attempt is not None,
            task.attempt.attempt_id if task.attempt and not task.state.is_final else "",
            task.answer.body if task.answer else b"",
            work.submission.key,
        )
        for work in work_registry.works.values()
        if work.submission.is_journalled
        for task in work.tasks
    }


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["submit", "end"]), st.integers(0, 40)),
        max_size=60,
    ),
    st.integers(0, 60),
)
def test_replay_of_snapshot_and_journal_restores_the_owners_state(
    steps: list[tuple[str, int]], snapshot_at: int
) -> None:
    harness = PartitionHarness()
    events = []
    running: list[str] = []
    for number, (action, pick) in enumerate(steps):
        if number == snapshot_at:
            events = list(harness.partition.work_registry.snapshot_events())
        if action == "submit":
            kind = [WorkKind.BATCH, WorkKind.REQUEST, WorkKind.GANG][pick % 3]
            tasks = 1 if kind is WorkKind.REQUEST else 1 + pick % 3
            harness.partition.accept(
                make_submission(number, kind, tasks=tasks, key=f"key {number}")
            )
        elif running:
            end = ENDS[pick % len(ENDS)]
            harness.partition.mark_ended(
                running.pop(pick % len(running)), end, b"answer"
            )
        harness.advance(0.5)
        actions = harness.partition.step()
        events.extend(actions.events)
        for attempt in actions.starts:
            harness.partition.mark_sent(attempt, 1e9)
            harness.partition.mark_started(attempt.attempt_id)
            running.append(attempt.attempt_id)
    row = decode(encode(JournalRow([JournalEntry(PARTITION, events)])), JournalRow)
    recovered = WorkRegistry()
    for event in row.unwrap().entries[0].events:
        recovered.replay(event, 2, 0.0)
    assert recoverable_state(recovered) == recoverable_state(
        harness.partition.work_registry
    )


def test_new_owner_finishes_a_cancellation_and_reports_why_work_failed() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            router = cluster.nodes[cluster.find_other_host(owner)].router
            poison = evolve(make_submission(1, WorkKind.BATCH), program=Program("fail"))
            failed = (await router.submit_job(poison)).unwrap()
            (await router.show(failed, 30.0)).unwrap()
            service = evolve(
                make_submission(2, WorkKind.SERVICE, tasks=3),
                program=Program("forever"),
            )
            cancelled = (await router.submit_job(service)).unwrap()
            await asyncio.sleep(1.0)
            cluster.network_faults[owner].unreachable_workers.update(cluster.workers)
            reason = Refusal(ErrorKind.CANCELLED, "cancelled")
            (await router.cancel_job(cancelled, reason)).unwrap()
            await asyncio.sleep(0.2)
            await cluster.kill(owner)
            await cluster.wait_until(lambda: cluster.find_owner() is not None)
            await asyncio.sleep(5.0)
            assert not any(worker.running_ids for worker in cluster.workers.values())
            view = (await router.show(cancelled, 0.0)).unwrap()
            assert {task.state for task in view.tasks} == {TaskState.CANCELLED}
            view = (await router.show(failed, 0.0)).unwrap()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON

    run_with_virtual_clock(session())


def test_delivered_requests_are_discarded_early_unless_they_have_a_key() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            for number in range(20):
                key = "kept" if number == 7 else ""
                request = evolve(make_sleep_submission(number, 0.1, False), key=key)
                (await entry.router.run_request(request)).unwrap()
            await asyncio.sleep(60.0)
            work_registry = (
                cluster.nodes[owner]
                .ownership.drivers["general.0"]
                .partition.work_registry
            )
            assert list(work_registry.works) == ["general.0.7"]
            await asyncio.sleep(600.0)
            assert list(work_registry.works) == []

    run_with_virtual_clock(session())


def test_new_owner_recovers_from_snapshot_and_truncated_journal() -> None:
    async def session() -> None:
        with patch.object(hosted_partition, "SNAPSHOT_ROW_THRESHOLD", 10):
            async with TestCluster(nodes=2) as cluster:
                owner = cluster.find_owner()
                assert owner is not None
                member = cluster.nodes[owner].member
                entry = cluster.nodes[cluster.find_other_host(owner)]
                first = evolve(make_sleep_submission(0, 0.1, False), key="first")
                (await entry.router.run_request(first)).unwrap()
                for number in range(1, 40):
                    request = make_sleep_submission(number, 0.1, False)
                    (await entry.router.run_request(request)).unwrap()
                await asyncio.sleep(60.0)
                rows = cluster.platform_state.scan(journal_prefix(member), "")
                assert len(rows) < 20
                await cluster.kill(owner)
                await cluster.wait_until(lambda: cluster.find_owner() is not None)
                repeated = evolve(
                    make_sleep_submission(0, 0.1, False), work_id="general.0.again"
                )
                view = await entry.router.run_request(evolve(repeated, key="first"))
                assert view.unwrap().tasks[0].state is TaskState.SUCCEEDED
                assert len(cluster.list_runs("general.0.again")) == 0

    run_with_virtual_clock(session())


def test_journal_of_a_dead_member_is_removed_once_no_partition_needs_it() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            member = cluster.nodes[owner].member
            entry = cluster.nodes[cluster.find_other_host(owner)]
            (
                await entry.router.run_request(make_sleep_submission(1, 0.1, False))
            ).unwrap()
            await cluster.kill(owner)
            await asyncio.sleep(60.0)
            assert cluster.platform_state.scan(journal_prefix(member), "")
            with patch.object(hosted_partition, "MAX_SEGMENTS", 1):
                await asyncio.sleep(60.0)
            assert cluster.platform_state.scan(journal_prefix(member), "") == []
            assert journal_marker_key(member) not in cluster.platform_state.rows

    run_with_virtual_clock(session())


def test_result_of_a_request_right_after_a_reboot_of_its_worker_is_not_lost() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1, workers=[make_worker_info(0)]) as cluster:
            router = cluster.nodes["entry-0"].router
            (worker,) = cluster.workers.values()
            for number in range(1, 8):
                if number == 6:
                    worker.reboot()
                request = make_sleep_submission(number, 0.1, number < 6)
                view = (await router.run_request(request)).unwrap()
                assert view.tasks[0].state is TaskState.SUCCEEDED

    run_with_virtual_clock(session())
