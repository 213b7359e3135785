"""Work that crashes the workers which start it, on a virtual clock."""

from __future__ import annotations

import asyncio

from attrs import evolve

from fuchsiadale.decision.constants import POISON_WORKER_THRESHOLD
from fuchsiadale.decision.errors import ErrorKind
from fuchsiadale.decision.ledger import WorkerState
from fuchsiadale.decision.work import Program, TaskState, WorkKind
from tests.builders import make_sleep_submission, make_submission
from tests.cluster import TestCluster
from tests.virtual_loop import run_with_virtual_clock


async def crash_workers_that_run(
    cluster: TestCluster, work_id: str, crashed: list[str]
) -> None:
    """Reboot each worker that runs the work, and record its name; never return."""
    while True:
        await asyncio.sleep(0.05)
        for name, worker in cluster.workers.items():
            if any(run.startswith(f"{work_id}/") for run in worker.running_ids):
                crashed.append(name)
                worker.reboot()


def test_work_that_crashes_three_workers_is_not_started_again() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            deadly = evolve(
                make_submission(1, WorkKind.BATCH), program=Program("forever")
            )
            deadly_id = (await router.submit_job(deadly)).unwrap()
            crashed: list[str] = []
            crashing = asyncio.ensure_future(
                crash_workers_that_run(cluster, deadly_id, crashed)
            )
            view = (await router.show(deadly_id, 60.0)).unwrap()
            await asyncio.sleep(5.0)
            crashing.cancel()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON
            assert sorted(crashed) == sorted(cluster.workers)

    run_with_virtual_clock(session())


def test_work_beside_work_that_crashes_each_worker_succeeds() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            forever = Program("forever")
            deadly = evolve(make_submission(1, WorkKind.BATCH), program=forever)
            deadly_id = (await entry.router.submit_job(deadly)).unwrap()
            crashed: list[str] = []
            crashing = asyncio.ensure_future(
                crash_workers_that_run(cluster, deadly_id, crashed)
            )
            others = [
                asyncio.ensure_future(
                    entry.router.run_request(
                        evolve(make_sleep_submission(number, 2.0, True), deadline_s=60)
                    )
                )
                for number in range(2, 8)
            ]
            view = (await entry.router.show(deadly_id, 60.0)).unwrap()
            for other in others:
                answered = (await other).unwrap()
                assert answered.tasks[0].state is TaskState.SUCCEEDED
            crashing.cancel()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON
            assert set(crashed) == set(cluster.workers)
            assert len(crashed) < POISON_WORKER_THRESHOLD + 3
            ledger = entry.ownership.drivers["general.0"].partition.ledger
            states = {worker.state for worker in ledger.workers.values()}
            assert states == {WorkerState.READY}

    run_with_virtual_clock(session())


def test_work_that_lasted_on_workers_that_reboot_is_not_given_up() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            service = evolve(
                make_submission(1, WorkKind.BATCH), program=Program("forever")
            )
            work_id = (await entry.router.submit_job(service)).unwrap()
            for _ in range(6):
                await asyncio.sleep(15.0)
                (worker,) = [w for w in cluster.workers.values() if w.running_ids]
                worker.reboot()
            await asyncio.sleep(15.0)
            view = (await entry.router.show(work_id, 0.0)).unwrap()
            assert view.tasks[0].state is TaskState.RUNNING

    run_with_virtual_clock(session())


def test_work_on_workers_that_are_only_cut_off_is_not_given_up() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            unreachable = cluster.network_faults["entry-0"].unreachable_workers
            job = evolve(make_submission(1, WorkKind.BATCH), program=Program("forever"))
            work_id = (await entry.router.submit_job(job)).unwrap()
            cut_off: set[str] = set()
            for _ in range(6):
                await cluster.wait_until(
                    lambda: any(
                        worker.running_ids and name not in unreachable
                        for name, worker in cluster.workers.items()
                    )
                )
                unreachable.clear()
                unreachable.update(
                    name for name, w in cluster.workers.items() if w.running_ids
                )
                cut_off |= unreachable
                await asyncio.sleep(0.5)
            unreachable.clear()
            await asyncio.sleep(15.0)
            assert cut_off == set(cluster.workers)
            view = (await entry.router.show(work_id, 0.0)).unwrap()
            assert view.tasks[0].state is TaskState.RUNNING

    run_with_virtual_clock(session())
