"""Snapshots, cut journals and what a new owner recovers from them."""

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
from fuchsiadale.decision.workbook import WorkBook
from fuchsiadale.entry import hosted_partition
from tests.builders import PARTITION, PartitionBench, make_submission
from tests.cluster import TestCluster
from tests.test_takeover import sleeping
from tests.virtual_loop import run_virtually

ENDS = [
    AttemptEnd.SUCCEEDED,
    AttemptEnd.FAILED,
    AttemptEnd.LOST,
    AttemptEnd.NOT_RUN,
    AttemptEnd.STOPPED,
]


def state_of(book: WorkBook) -> dict[str, object]:
    """Return what has to survive: states, attempts, answers and keys."""
    return {
        task.task_id: (
            task.state if task.state.is_final else task.attempt is not None,
            task.attempt.attempt_id if task.attempt and not task.state.is_final else "",
            task.answer.body if task.answer else b"",
            work.submission.key,
        )
        for work in book.works.values()
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
def test_snapshot_and_journal_lead_to_the_owners_state(
    steps: list[tuple[str, int]], snapshot_at: int
) -> None:
    bench = PartitionBench()
    events = []
    running: list[str] = []
    for number, (action, pick) in enumerate(steps):
        if number == snapshot_at:
            events = list(bench.partition.book.snapshot())
        if action == "submit":
            kind = [WorkKind.BATCH, WorkKind.REQUEST, WorkKind.GANG][pick % 3]
            tasks = 1 if kind is WorkKind.REQUEST else 1 + pick % 3
            bench.partition.accept(
                make_submission(number, kind, tasks=tasks, key=f"key {number}")
            )
        elif running:
            end = ENDS[pick % len(ENDS)]
            bench.partition.ended(running.pop(pick % len(running)), end, b"answer")
        bench.advance(0.5)
        actions = bench.partition.step()
        events.extend(actions.events)
        for attempt in actions.starts:
            bench.partition.mark_sent(attempt, 1e9)
            bench.partition.started(attempt.attempt_id)
            running.append(attempt.attempt_id)
    row = decode(encode(JournalRow([JournalEntry(PARTITION, events)])), JournalRow)
    recovered = WorkBook()
    for event in row.unwrap().entries[0].events:
        recovered.replay(event, 2, 0.0)
    assert state_of(recovered) == state_of(bench.partition.book)


def test_new_owner_finishes_a_cancellation_and_knows_why_work_failed() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.owner()
            assert owner is not None
            router = cluster.nodes[cluster.other(owner)].router
            poison = evolve(make_submission(1, WorkKind.BATCH), program=Program("fail"))
            failed = (await router.submit_job(poison)).unwrap()
            (await router.show(failed, 30.0)).unwrap()
            service = evolve(
                make_submission(2, WorkKind.SERVICE, tasks=3),
                program=Program("forever"),
            )
            cancelled = (await router.submit_job(service)).unwrap()
            await asyncio.sleep(1.0)
            cluster.links[owner].cut_workers.update(cluster.workers)
            reason = Refusal(ErrorKind.CANCELLED, "cancelled")
            (await router.cancel_job(cancelled, reason)).unwrap()
            await asyncio.sleep(0.2)
            await cluster.kill(owner)
            await cluster.until(lambda: cluster.owner() is not None)
            await asyncio.sleep(5.0)
            assert not any(worker.running for worker in cluster.workers.values())
            view = (await router.show(cancelled, 0.0)).unwrap()
            assert {task.state for task in view.tasks} == {TaskState.CANCELLED}
            view = (await router.show(failed, 0.0)).unwrap()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON

    run_virtually(session())


def test_delivered_requests_are_forgotten_soon_unless_they_have_a_key() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.owner()
            assert owner is not None
            entry = cluster.nodes[cluster.other(owner)]
            for number in range(20):
                key = "kept" if number == 7 else ""
                request = evolve(sleeping(number, 0.1, False), key=key)
                (await entry.router.run_request(request)).unwrap()
            await asyncio.sleep(60.0)
            book = cluster.nodes[owner].ownership.drivers["general.0"].partition.book
            assert list(book.works) == ["general.0.7"]
            await asyncio.sleep(600.0)
            assert list(book.works) == []

    run_virtually(session())


def test_new_owner_recovers_from_snapshot_and_cut_journal() -> None:
    async def session() -> None:
        with patch.object(hosted_partition, "SNAPSHOT_ROWS", 10):
            async with TestCluster(nodes=2) as cluster:
                owner = cluster.owner()
                assert owner is not None
                member = cluster.nodes[owner].member
                entry = cluster.nodes[cluster.other(owner)]
                first = evolve(sleeping(0, 0.1, False), key="first")
                (await entry.router.run_request(first)).unwrap()
                for number in range(1, 40):
                    request = sleeping(number, 0.1, False)
                    (await entry.router.run_request(request)).unwrap()
                await asyncio.sleep(60.0)
                rows = cluster.state.scan(journal_prefix(member), "")
                assert len(rows) < 20
                await cluster.kill(owner)
                await cluster.until(lambda: cluster.owner() is not None)
                again = evolve(sleeping(0, 0.1, False), work_id="general.0.again")
                view = await entry.router.run_request(evolve(again, key="first"))
                assert view.unwrap().tasks[0].state is TaskState.SUCCEEDED
                assert len(cluster.runs_of("general.0.again")) == 0

    run_virtually(session())


def test_journal_of_a_member_that_is_gone_is_removed_once_nobody_needs_it() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.owner()
            assert owner is not None
            member = cluster.nodes[owner].member
            entry = cluster.nodes[cluster.other(owner)]
            (await entry.router.run_request(sleeping(1, 0.1, False))).unwrap()
            await cluster.kill(owner)
            await asyncio.sleep(60.0)
            assert cluster.state.scan(journal_prefix(member), "")
            with patch.object(hosted_partition, "MAX_SEGMENTS", 1):
                await asyncio.sleep(60.0)
            assert cluster.state.scan(journal_prefix(member), "") == []
            assert journal_marker_key(member) not in cluster.state.rows

    run_virtually(session())
