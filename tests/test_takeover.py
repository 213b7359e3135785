"""Tests of changes of the owner of a partition, on a virtual clock."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from fuchsiadale.decision.errors import ErrorKind
from fuchsiadale.decision.work import TaskState, WorkKind
from tests.builders import make_sleep_submission
from tests.cluster import TestCluster
from tests.virtual_loop import run_with_virtual_clock


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("run_s", [0.05, 3.0, 12.0])
def test_every_request_runs_exactly_once_if_the_owner_is_killed(
    idempotent: bool, run_s: float
) -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            requests = [
                asyncio.ensure_future(
                    entry.router.run_request(
                        make_sleep_submission(number, run_s, idempotent)
                    )
                )
                for number in range(12)
            ]
            await asyncio.sleep(0.06)
            await cluster.kill(owner)
            views = [(await request).unwrap() for request in requests]
            for number, view in enumerate(views):
                assert view.tasks[0].state is TaskState.SUCCEEDED
                assert view.tasks[0].answer == f"answer {number}".encode()
                assert len(cluster.list_runs(view.work_id + "/")) == 1
            assert not any(
                worker.has_exceeded_capacity for worker in cluster.workers.values()
            )

    run_with_virtual_clock(session())


def test_drained_owner_finishes_its_requests() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            node = cluster.nodes[owner]
            requests = [
                asyncio.ensure_future(
                    node.router.run_request(make_sleep_submission(number, 2.0, False))
                )
                for number in range(30)
            ]
            await asyncio.sleep(0.05)
            await node.drain()
            assert all(request.done() for request in requests)
            await cluster.kill(owner)
            for request in requests:
                view = (await request).unwrap()
                assert view.tasks[0].state is TaskState.SUCCEEDED
                assert len(cluster.list_runs(view.work_id + "/")) == 1

    run_with_virtual_clock(session())


def test_drain_does_not_wait_for_a_dead_peer_to_collect_results() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            caller = cluster.find_other_host(owner)
            pending_request = asyncio.ensure_future(
                cluster.nodes[caller].router.run_request(
                    make_sleep_submission(1, 2.0, True)
                )
            )
            await asyncio.sleep(0.5)
            await cluster.kill(caller)
            await asyncio.sleep(12.0)
            async with asyncio.timeout(15.0):
                await cluster.nodes[owner].drain()
            pending_request.cancel()

    run_with_virtual_clock(session())


def test_task_on_unreachable_worker_is_rerun_only_after_it_ended() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            pending_request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(1, 30.0, True))
            )
            await asyncio.sleep(0.2)
            (running_worker,) = [w for w in cluster.workers.values() if w.running_ids]
            cluster.network_faults[
                cluster.find_other_host(owner)
            ].unreachable_workers.add(running_worker.info.name)
            await cluster.kill(owner)
            view = (await pending_request).unwrap()
            assert view.tasks[0].state is TaskState.SUCCEEDED
            runs = cluster.list_runs(view.work_id + "/")
            assert len(runs) == 2
            first, second = sorted(runs, key=lambda run: run.started_s)
            assert first.ended_s is not None
            assert first.ended_s < second.started_s

    run_with_virtual_clock(session())


def test_only_idempotent_requests_run_during_a_store_outage() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            cluster.platform_faults.table_down = True
            await asyncio.sleep(60.0)
            view = await entry.router.run_request(make_sleep_submission(1, 0.1, True))
            assert view.unwrap().tasks[0].state is TaskState.SUCCEEDED
            refused = await entry.router.run_request(
                make_sleep_submission(2, 0.1, False)
            )
            assert refused.unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE
            job = await entry.router.submit_job(
                make_sleep_submission(3, 0.1, True, WorkKind.BATCH)
            )
            assert job.unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE
            assert cluster.list_runs("general.0.2/") == []
            cluster.platform_faults.table_down = False
            await asyncio.sleep(2.0)
            accepted_job = await entry.router.submit_job(
                make_sleep_submission(4, 0.1, True, WorkKind.BATCH)
            )
            assert accepted_job.is_ok()

    run_with_virtual_clock(session())


def test_running_task_is_not_lost_in_a_store_outage() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            request = asyncio.ensure_future(
                cluster.nodes[owner].router.run_request(
                    make_sleep_submission(1, 30.0, True)
                )
            )
            await asyncio.sleep(0.2)
            cluster.platform_faults.table_down = True
            view = (await request).unwrap()
            assert view.tasks[0].state is TaskState.SUCCEEDED
            assert len(cluster.list_runs(view.work_id + "/")) == 1

    run_with_virtual_clock(session())


def test_isolated_owner_never_acts_at_the_same_time_as_the_new_owner() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            cluster.network_faults[owner].is_store_unreachable = True
            cluster.isolate(owner)
            former_owner = cluster.nodes[owner].ownership.drivers["general.0"]
            for _ in range(600):
                await asyncio.sleep(0.05)
                acting = [
                    host
                    for host, node in cluster.nodes.items()
                    if (driver := node.ownership.drivers.get("general.0")) is not None
                    and driver.partition.authority.may_act()
                ]
                assert len(acting) <= 1
            assert cluster.find_owner() not in (owner, None)
            assert not former_owner.partition.authority.may_act()

    run_with_virtual_clock(session())


def test_outcome_of_non_idempotent_request_on_unreachable_worker_is_unknown() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            other = cluster.find_other_host(owner)
            entry = cluster.nodes[other]
            pending_request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(1, 40.0, False))
            )
            await asyncio.sleep(0.2)
            (running_worker,) = [w for w in cluster.workers.values() if w.running_ids]
            cluster.network_faults[other].unreachable_workers.add(
                running_worker.info.name
            )
            await cluster.kill(owner)
            view = (await pending_request).unwrap()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.OUTCOME_UNKNOWN
            assert len(cluster.list_runs(view.work_id + "/")) == 1

    run_with_virtual_clock(session())


def test_outcome_is_unknown_if_the_worker_rebooted_before_its_adoption() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            request = make_sleep_submission(1, 40.0, False)
            pending_request = asyncio.ensure_future(entry.router.run_request(request))
            await asyncio.sleep(0.2)
            (running_worker,) = [w for w in cluster.workers.values() if w.running_ids]
            await cluster.kill(owner)
            running_worker.reboot()
            view = (await pending_request).unwrap()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.OUTCOME_UNKNOWN
            assert cluster.list_runs(request.work_id + "/") == []

    run_with_virtual_clock(session())


def test_isolated_former_owner_starts_nothing_on_adopted_workers() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            former_owner = cluster.nodes[owner]
            cluster.network_faults[owner].is_store_unreachable = True
            cluster.isolate(owner)
            await cluster.wait_until(lambda: cluster.find_owner() not in (owner, None))
            request = make_sleep_submission(1, 0.1, True)
            driver = former_owner.ownership.drivers.get("general.0")
            if driver is not None:
                await driver.submit(request, former_owner.member)
            await asyncio.sleep(20.0)
            assert cluster.list_runs(request.work_id + "/") == []

    run_with_virtual_clock(session())


def test_task_the_new_owner_cannot_reach_never_runs_on_two_workers() -> None:
    # The isolated former owner has to stop renewing the task.
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            pending_request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(1, 50.0, True))
            )
            await asyncio.sleep(0.2)
            (running_worker,) = [w for w in cluster.workers.values() if w.running_ids]
            cluster.network_faults[owner].is_store_unreachable = True
            cluster.isolate(owner)
            for host in cluster.nodes:
                if host != owner:
                    cluster.network_faults[host].unreachable_workers.add(
                        running_worker.info.name
                    )
            for _ in range(1200):
                await asyncio.sleep(0.05)
                running = [w for w in cluster.workers.values() if w.running_ids]
                assert len(running) <= 1
            pending_request.cancel()

    run_with_virtual_clock(session())


def test_pending_task_is_not_started_by_two_owners() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            former_owner = cluster.nodes[owner]
            blocking_requests = [
                asyncio.ensure_future(
                    former_owner.router.run_request(
                        make_sleep_submission(number, 16.0, True)
                    )
                )
                for number in range(24)
            ]
            await asyncio.sleep(0.2)
            job = evolve(make_sleep_submission(99, 5.0, True, WorkKind.BATCH), tasks=6)
            work_id = (await former_owner.router.submit_job(job)).unwrap()
            cluster.network_faults[owner].is_store_unreachable = True
            cluster.isolate(owner)
            await asyncio.sleep(40.0)
            runs = cluster.list_runs(work_id + "/")
            assert len(runs) == 6
            assert not any(
                worker.has_exceeded_capacity for worker in cluster.workers.values()
            )
            for request in blocking_requests:
                request.cancel()

    run_with_virtual_clock(session())


def test_request_on_an_unlisted_worker_does_not_run_again_while_it_may_run() -> None:
    async def session() -> None:
        async with TestCluster() as cluster:
            owner = cluster.find_owner()
            entry = cluster.nodes[cluster.find_other_host(owner)]
            request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(1, 30.0, True))
            )
            workers = cluster.workers.values()
            await cluster.wait_until(lambda: any(w.running_ids for w in workers))
            (name,) = [w.info.name for w in workers if w.running_ids]
            faults = cluster.network_faults[owner or ""]
            faults.is_store_unreachable = faults.is_host_list_unreachable = True
            cluster.isolate(owner or "")
            cluster.platform_state.remove_worker(name)
            await cluster.wait_until(
                lambda: any(w.running_ids for w in workers if w.info.name != name)
            )
            assert not cluster.workers[name].running_ids
            request.cancel()

    run_with_virtual_clock(session())
