"""Owners that are lost or cut off, together with workers or from them."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiadale.decision.constants import (
    MEMBER_LEASE_S,
    MEMBER_RENEWAL_INTERVAL_S,
    RERUN_WAIT_S,
    SAFETY_MARGIN_S,
    WITNESS_VALIDITY_S,
)
from fuchsiadale.decision.work import WorkKind
from fuchsiadale.entry.ownership_driver import RECONCILE_INTERVAL_S
from tests.builders import make_sleep_submission
from tests.cluster import TestCluster
from tests.virtual_loop import run_with_virtual_clock

# Seconds from the death of an owner until another one has adopted its workers.
MAX_ADOPTION_S = MEMBER_LEASE_S + MEMBER_RENEWAL_INTERVAL_S + RECONCILE_INTERVAL_S
# Seconds from that adoption until the former owner has surely stopped.
MAX_PREDECESSOR_STOP_S = WITNESS_VALIDITY_S + SAFETY_MARGIN_S


def test_request_on_a_worker_lost_with_the_owner_waits_for_its_lease_only() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            entry = cluster.nodes[cluster.find_other_host(owner)]
            request = asyncio.ensure_future(
                entry.router.run_request(make_sleep_submission(1, 30.0, True))
            )
            await asyncio.sleep(0.5)
            workers = cluster.workers.values()
            (lost,) = [w.info.name for w in workers if w.running_ids]
            cluster.lose_worker(lost)
            await cluster.kill(owner)
            waited_s = await cluster.wait_until(
                lambda: any(worker.running_ids for worker in workers)
            )
            assert waited_s < MAX_ADOPTION_S + RERUN_WAIT_S + 0.5
            request.cancel()

    run_with_virtual_clock(session())


@pytest.mark.parametrize("kind", [WorkKind.BATCH, WorkKind.SERVICE])
def test_task_on_a_worker_cut_off_with_its_owner_never_runs_on_two_workers(
    kind: WorkKind,
) -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            job = make_sleep_submission(1, 100.0, True, kind)
            (await cluster.nodes[owner].router.submit_job(job)).unwrap()
            await asyncio.sleep(0.5)
            (name,) = [n for n, w in cluster.workers.items() if w.running_ids]
            cluster.cut_off(owner, {name})
            for _ in range(1200):
                await asyncio.sleep(0.05)
                running = [w for w in cluster.workers.values() if w.running_ids]
                assert len(running) <= 1
            assert running
            assert not cluster.workers[name].running_ids

    run_with_virtual_clock(session())


def test_task_on_unlisted_workers_cut_off_with_their_owner_never_runs_twice() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            job = make_sleep_submission(1, 100.0, True, WorkKind.BATCH)
            (await cluster.nodes[owner].router.submit_job(job)).unwrap()
            await asyncio.sleep(0.5)
            workers = cluster.workers.values()
            (name,) = [w.info.name for w in workers if w.running_ids]
            other = next(n for n in cluster.workers if n != name)
            cluster.cut_off(owner, {name, other})
            for unlisted in (name, other):
                cluster.platform_state.remove_worker(unlisted)
            for _ in range(600):
                await asyncio.sleep(0.05)
                assert len([w for w in workers if w.running_ids]) <= 1

    run_with_virtual_clock(session())


def test_late_adopter_does_not_rerun_the_task_of_an_owner_that_may_act() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            other = cluster.find_other_host(owner)
            job = make_sleep_submission(1, 100.0, True, WorkKind.BATCH)
            (await cluster.nodes[owner].router.submit_job(job)).unwrap()
            await asyncio.sleep(0.5)
            workers = cluster.workers.values()
            (name,) = [w.info.name for w in workers if w.running_ids]
            cluster.network_faults[owner].is_store_unreachable = True
            cluster.isolate(owner)
            faults = cluster.network_faults[other]
            faults.unreachable_workers.update(cluster.workers)
            await cluster.wait_until(
                lambda: bool(cluster.nodes[other].ownership.drivers)
            )
            await asyncio.sleep(RERUN_WAIT_S)
            cluster.network_faults[owner].unreachable_workers.update(
                set(cluster.workers) - {name}
            )
            faults.unreachable_workers = {name}
            for _ in range(600):
                await asyncio.sleep(0.05)
                assert len([w for w in workers if w.running_ids]) <= 1

    run_with_virtual_clock(session())


def test_job_that_has_surely_not_started_does_not_wait_for_a_lost_worker() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            owner = cluster.find_owner()
            assert owner is not None
            for index in range(24):
                blocking = make_sleep_submission(index, 3.0, True, WorkKind.BATCH)
                (await cluster.nodes[owner].router.submit_job(blocking)).unwrap()
            job = make_sleep_submission(99, 30.0, False, WorkKind.BATCH)
            work_id = (await cluster.nodes[owner].router.submit_job(job)).unwrap()
            cluster.lose_worker("worker-0")
            await cluster.kill(owner)
            waited_s = await cluster.wait_until(
                lambda: any(
                    attempt_id.startswith(work_id + "/")
                    for worker in cluster.workers.values()
                    for attempt_id in worker.running_ids
                )
            )
            assert waited_s < MAX_ADOPTION_S + MAX_PREDECESSOR_STOP_S + 0.5

    run_with_virtual_clock(session())
