"""Requests and jobs under lost messages and failing workers, on a virtual clock."""

from __future__ import annotations

import asyncio
import json

import pytest
from attrs import evolve

from fuchsiadale.decision.errors import ErrorKind, ExecutionOutcome
from fuchsiadale.decision.ledger import WorkerState
from fuchsiadale.decision.work import Program, TaskState, WorkKind
from tests.builders import (
    SMALL_TASK_RESOURCES,
    make_sleep_submission,
    make_submission,
    make_worker_info,
)
from tests.cluster import TestCluster
from tests.virtual_loop import run_with_virtual_clock


def test_start_whose_answer_was_lost_runs_once() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            node_faults = cluster.network_faults["entry-0"]
            pending_request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(1, 5.0, False))
            )
            node_faults.workers_losing_replies.update(cluster.workers)
            await asyncio.sleep(0.1)
            node_faults.workers_losing_replies.clear()
            view = (await pending_request).unwrap()
            assert view.tasks[0].state is TaskState.SUCCEEDED
            assert len(cluster.list_runs(view.work_id + "/")) == 1

    run_with_virtual_clock(session())


def test_truncated_answer_is_fetched_again() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            for worker in cluster.workers.values():
                worker.faults.truncates_answers = 2
            entry = cluster.nodes["entry-0"]
            view = (
                await entry.router.run_request(make_sleep_submission(1, 0.1, False))
            ).unwrap()
            assert view.tasks[0].answer == b"answer 1"
            assert len(cluster.list_runs(view.work_id + "/")) == 1

    run_with_virtual_clock(session())


def test_answer_too_large_to_record_is_delivered_despite_owner_failure() -> None:
    # After a second owner failure, a repeat with the same key succeeds without the
    # answer and does not run again.
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            router = cluster.nodes[cluster.find_other_host(owner)].router
            payload = json.dumps({"run_s": 3.0, "answer": "x" * 100_000}).encode()
            request = evolve(
                make_submission(1, idempotent=False, key="large"),
                program=Program("sleep", payload),
            )
            pending_request = asyncio.ensure_future(router.run_request(request))
            await asyncio.sleep(1.0)
            await cluster.kill(owner)
            view = (await pending_request).unwrap()
            assert len(view.tasks[0].answer) == 100_000
            await cluster.wait_until(lambda: cluster.find_owner() is not None)
            await asyncio.sleep(1.0)
            await cluster.kill(cluster.find_owner() or "")
            node = cluster.start_node("entry-9")
            await cluster.wait_until(lambda: cluster.find_owner() == "entry-9")
            repeat = evolve(request, work_id="general.0.repeat")
            repeat_view = (await node.router.run_request(repeat)).unwrap()
            assert repeat_view.tasks[0].state is TaskState.SUCCEEDED
            assert repeat_view.tasks[0].is_omitted
            assert len(cluster.list_runs(request.work_id + "/")) == 1

    run_with_virtual_clock(session())


def test_concurrent_requests_each_get_their_own_answer() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            nodes = list(cluster.nodes.values())
            pending_requests = [
                asyncio.ensure_future(
                    nodes[number % 3].router.run_request(
                        make_sleep_submission(
                            number, 0.1 + number % 7 / 10, number % 2 == 0
                        )
                    )
                )
                for number in range(90)
            ]
            for number, request_task in enumerate(pending_requests):
                view = (await request_task).unwrap()
                assert view.tasks[0].answer == f"answer {number}".encode()

    run_with_virtual_clock(session())


def test_deadline_before_any_start_is_reported_as_not_run() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            blocking = [
                asyncio.ensure_future(
                    entry.router.run_request(make_sleep_submission(number, 20.0, True))
                )
                for number in range(24)
            ]
            await asyncio.sleep(0.5)
            late = evolve(make_sleep_submission(99, 0.1, False), deadline_s=1.0)
            view = (await entry.router.run_request(late)).unwrap()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.TIMEOUT
            assert (
                view.refusal.error_response.execution_outcome
                is ExecutionOutcome.NOT_RUN
            )
            await asyncio.gather(*blocking)
            assert cluster.list_runs(late.work_id + "/") == []

    run_with_virtual_clock(session())


def test_deadline_after_the_start_is_reported_as_unknown_outcome() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            late = evolve(make_sleep_submission(1, 20.0, False), deadline_s=1.0)
            refusal = (await entry.router.run_request(late)).unwrap_err()
            assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN

    run_with_virtual_clock(session())


@pytest.mark.parametrize("kills_owner", [False, True])
def test_requests_with_one_key_at_several_entries_run_once(kills_owner: bool) -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            hosts = [host for host in cluster.nodes if host != owner] * 3
            pending_requests = []
            for number, host in enumerate(hosts):
                submission = evolve(
                    make_sleep_submission(7, 2.0, False),
                    work_id=f"general.0.same{number}",
                    key="crest-7",
                )
                node = cluster.nodes[host]
                pending_requests.append(
                    asyncio.ensure_future(node.router.run_request(submission))
                )
            await asyncio.sleep(0.3)
            if kills_owner:
                await cluster.kill(owner)
            answers = [
                (await request_task).unwrap().tasks[0].answer
                for request_task in pending_requests
            ]
            assert answers == [b"answer 7"] * len(hosts)
            assert len(cluster.list_runs("general.0.same")) == 1

    run_with_virtual_clock(session())


def test_repeat_of_an_ended_request_is_answered_soon() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            for number, node in enumerate(cluster.nodes.values()):
                submission = evolve(
                    make_sleep_submission(7, 0.1, False),
                    work_id=f"general.0.same{number}",
                    key="crest-7",
                )
                began_s = cluster.clock.now()
                view = (await node.router.run_request(submission)).unwrap()
                assert view.tasks[0].answer == b"answer 7"
                assert cluster.clock.now() - began_s < 3.2

    run_with_virtual_clock(session())


def test_reuse_of_a_key_for_other_work_is_refused() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            first = evolve(make_sleep_submission(1, 0.1, False), key="crest")
            (await router.run_request(first)).unwrap()
            other = evolve(make_sleep_submission(2, 0.1, False), key="crest")
            refusal = (await router.run_request(other)).unwrap_err()
            assert refusal.kind is ErrorKind.KEY_REUSED

    run_with_virtual_clock(session())


def test_worker_that_reports_leaving_gets_no_tasks_despite_a_stale_list() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            cluster.platform_faults.hosts_frozen = True
            leaving = cluster.workers["worker-1"]
            leaving.faults.leaving = True
            await asyncio.sleep(3.0)
            pending_requests = [
                asyncio.ensure_future(
                    entry.router.run_request(make_sleep_submission(number, 0.1, True))
                )
                for number in range(24)
            ]
            for request_task in pending_requests:
                (await request_task).unwrap()
            assert all(seen.worker != "worker-1" for seen in cluster.observations)
            leaving.faults.leaving = False
            await asyncio.sleep(3.0)
            second_round = [
                entry.router.run_request(make_sleep_submission(100 + number, 0.1, True))
                for number in range(24)
            ]
            await asyncio.gather(*second_round)
            assert any(seen.worker == "worker-1" for seen in cluster.observations)

    run_with_virtual_clock(session())


def test_removed_worker_is_used_again_after_it_returns_at_another_address() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1, workers=[make_worker_info(0)]) as cluster:
            entry = cluster.nodes["entry-0"]
            info = cluster.platform_state.workers["worker-0"]
            cluster.platform_state.remove_worker("worker-0")
            await asyncio.sleep(30.0)
            cluster.workers["elsewhere"] = cluster.workers["worker-0"]
            cluster.platform_state.put_worker(evolve(info, address="elsewhere"))
            await asyncio.sleep(5.0)
            view = (
                await entry.router.run_request(make_sleep_submission(1, 0.1, True))
            ).unwrap()
            assert view.tasks[0].state is TaskState.SUCCEEDED

    run_with_virtual_clock(session())


def test_service_tasks_move_off_a_worker_that_is_listed_as_leaving() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            service = evolve(
                make_submission(1, WorkKind.SERVICE, tasks=3),
                program=Program("forever"),
            )
            (await entry.router.submit_job(service)).unwrap()
            await asyncio.sleep(1.0)
            assert cluster.workers["worker-1"].running_ids
            info = cluster.platform_state.workers["worker-1"]
            cluster.platform_state.put_worker(evolve(info, leaving=True))
            await asyncio.sleep(5.0)
            assert not cluster.workers["worker-1"].running_ids
            assert sum(len(w.running_ids) for w in cluster.workers.values()) == 3

    run_with_virtual_clock(session())


def test_worker_that_fails_every_task_is_quarantined() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            cluster.workers["worker-0"].faults.fails_every_task = True
            for number in range(60):
                view = await entry.router.run_request(
                    make_sleep_submission(number, 0.05, True)
                )
                assert view.unwrap().tasks[0].state is TaskState.SUCCEEDED
            ledger = entry.ownership.drivers["general.0"].partition.ledger
            assert ledger.workers["worker-0"].state is WorkerState.QUARANTINED
            # The quarantine begins after 3 failures; the bound allows twice as many.
            assert len(cluster.workers["worker-0"].observations) <= 6

    run_with_virtual_clock(session())


def test_poison_work_ends_with_an_error_and_no_worker_is_quarantined() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            poison = evolve(make_submission(1, WorkKind.BATCH), program=Program("fail"))
            work_id = (await entry.router.submit_job(poison)).unwrap()
            view = (await entry.router.show(work_id, 30.0)).unwrap()
            assert view.is_final
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON
            ledger = entry.ownership.drivers["general.0"].partition.ledger
            states = {worker.state for worker in ledger.workers.values()}
            assert states == {WorkerState.READY}

    run_with_virtual_clock(session())


def test_worker_gets_no_tasks_while_one_of_its_tasks_uses_more_than_declared() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            payload = json.dumps({"run_s": 20.0, "takes": 8.0}).encode()
            oversized_job = evolve(
                make_submission(1, WorkKind.BATCH), program=Program("sleep", payload)
            )
            (await entry.router.submit_job(oversized_job)).unwrap()
            await asyncio.sleep(3.0)
            (overused_worker,) = [w for w in cluster.workers.values() if w.running_ids]
            pending_requests = [
                asyncio.ensure_future(
                    entry.router.run_request(
                        make_sleep_submission(100 + number, 1.0, True)
                    )
                )
                for number in range(24)
            ]
            await asyncio.sleep(0.5)
            assert len(overused_worker.running_ids) == 1
            # The other two workers hold 8 tasks each.
            assert sum(len(w.running_ids) for w in cluster.workers.values()) == 17
            await asyncio.gather(*pending_requests)
            await asyncio.sleep(20.0)
            second_round = [
                entry.router.run_request(make_sleep_submission(200 + number, 1.0, True))
                for number in range(24)
            ]
            await asyncio.gather(*second_round)
            # The ids of the second round begin with 2.
            assert any(
                seen.worker == overused_worker.info.name
                and "general.0.2" in seen.attempt_id
                for seen in cluster.observations
            )

    run_with_virtual_clock(session())


def test_work_that_can_never_run_is_refused_on_submission() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            big = make_submission(
                1, WorkKind.BATCH, resources=SMALL_TASK_RESOURCES.times(100)
            )
            refusal = (await router.submit_job(big)).unwrap_err()
            assert refusal.kind is ErrorKind.INFEASIBLE
            gang = make_submission(2, WorkKind.GANG, tasks=25)
            refusal = (await router.submit_job(gang)).unwrap_err()
            assert refusal.kind is ErrorKind.INFEASIBLE

    run_with_virtual_clock(session())


def test_many_cancellations_at_once_leave_no_task_running() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            entry = cluster.nodes["entry-0"]
            ids = []
            for number in range(40):
                job = evolve(
                    make_submission(number, WorkKind.BATCH, tasks=5),
                    program=Program("forever"),
                )
                ids.append((await entry.router.submit_job(job)).unwrap())
            await asyncio.sleep(1.0)
            # Any refusal serves; only its kind matters here.
            reason = evolve(
                (await entry.router.show("general.0.none", 0.0)).unwrap_err(),
                kind=ErrorKind.CANCELLED,
            )
            await asyncio.gather(
                *(entry.router.cancel_job(work_id, reason) for work_id in ids)
            )
            await asyncio.sleep(3.0)
            assert not any(w.running_ids for w in cluster.workers.values())
            view = (
                await entry.router.run_request(make_sleep_submission(99, 0.1, True))
            ).unwrap()
            assert view.tasks[0].state is TaskState.SUCCEEDED
            driver = cluster.nodes[cluster.find_owner() or ""].ownership.drivers[
                "general.0"
            ]
            for worker in driver.partition.ledger.workers.values():
                assert worker.unallocated == worker.info.capacity

    run_with_virtual_clock(session())


def test_reboot_of_a_worker_reports_unknown_outcome_unless_idempotent() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1, workers=[make_worker_info(0)]) as cluster:
            entry = cluster.nodes["entry-0"]
            non_idempotent_request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(1, 20.0, False))
            )
            idempotent_request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(2, 0.5, True))
            )
            await asyncio.sleep(0.2)
            cluster.workers["worker-0"].reboot()
            view = (await non_idempotent_request).unwrap()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.OUTCOME_UNKNOWN
            assert (await idempotent_request).unwrap().tasks[
                0
            ].state is TaskState.SUCCEEDED

    run_with_virtual_clock(session())
