"""Work on workers that crash at the same moment, for a cause outside the work."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from fuchsiadale.decision.constants import MAX_FAILURES_PER_TASK
from fuchsiadale.decision.errors import ErrorKind
from fuchsiadale.decision.ledger import WorkerState
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.work import Program, TaskState, WorkKind
from tests.builders import make_sleep_submission, make_submission, make_worker_info
from tests.cluster import TestCluster
from tests.test_crashing_work import crash_workers_that_run
from tests.virtual_loop import run_with_virtual_clock

TASKS = 24
"""Tasks that fill the three workers of the cluster."""


def count_running(cluster: TestCluster) -> int:
    """Return the number of attempts that run on all workers."""
    return sum(len(worker.running_ids) for worker in cluster.workers.values())


@pytest.mark.parametrize("age_s", [0.0, 1.0])
@pytest.mark.parametrize("kind", [WorkKind.BATCH, WorkKind.GANG, WorkKind.SERVICE])
def test_work_is_not_poison_if_all_workers_reboot_at_once(
    kind: WorkKind, age_s: float
) -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            sleep = make_sleep_submission(1, 8.0, True).program
            job = evolve(make_submission(1, kind, tasks=TASKS), program=sleep)
            work_id = (await router.submit_job(job)).unwrap()
            await cluster.wait_until(lambda: count_running(cluster) == TASKS)
            await asyncio.sleep(age_s)
            for worker in cluster.workers.values():
                worker.reboot()
            view = (await router.show(work_id, 60.0)).unwrap()
            assert view.refusal is None
            assert {task.state for task in view.tasks} == {TaskState.SUCCEEDED}

    run_with_virtual_clock(session())


@pytest.mark.parametrize("kind", [WorkKind.BATCH, WorkKind.GANG])
def test_work_of_which_each_task_crashes_its_worker_is_given_up(kind: WorkKind) -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            deadly = evolve(
                make_submission(1, kind, tasks=TASKS), program=Program("forever")
            )
            work_id = (await router.submit_job(deadly)).unwrap()
            crashed: list[str] = []
            crashing = asyncio.ensure_future(
                crash_workers_that_run(cluster, work_id, crashed)
            )
            view = (await router.show(work_id, 120.0)).unwrap()
            crashing.cancel()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON
            assert len(crashed) <= MAX_FAILURES_PER_TASK * len(cluster.workers)

    run_with_virtual_clock(session())


def test_service_that_runs_for_long_between_early_crashes_is_not_poison() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            service = evolve(
                make_submission(1, WorkKind.SERVICE), program=Program("forever")
            )
            work_id = (await router.submit_job(service)).unwrap()
            for _ in range(6):
                for runs_for_s in (0.1, 60.0):
                    await cluster.wait_until(lambda: count_running(cluster) == 1)
                    await asyncio.sleep(runs_for_s)
                    (running,) = [w for w in cluster.workers.values() if w.running_ids]
                    running.reboot()
            await asyncio.sleep(30.0)
            view = (await router.show(work_id, 0.0)).unwrap()
            assert view.tasks[0].state is TaskState.RUNNING

    run_with_virtual_clock(session())


def test_requests_on_a_worker_that_reboots_meet_their_deadlines() -> None:
    async def session() -> None:
        capacity = Resources(32000, 65536, 0, 32, 64)
        workers = [make_worker_info(index, capacity) for index in range(2)]
        async with TestCluster(nodes=1, workers=workers) as cluster:
            router = cluster.nodes["entry-0"].router
            requests = [
                asyncio.ensure_future(
                    router.run_request(make_sleep_submission(number, 1.0, True))
                )
                for number in range(2 * 32)
            ]
            await cluster.wait_until(lambda: count_running(cluster) == len(requests))
            for worker in cluster.workers.values():
                worker.reboot()
            for request in requests:
                view = (await request).unwrap()
                assert view.tasks[0].state is TaskState.SUCCEEDED

    run_with_virtual_clock(session())


def test_work_that_crashes_workers_beside_many_requests_is_given_up() -> None:
    async def session() -> None:
        capacity = Resources(32000, 65536, 0, 32, 64)
        workers = [make_worker_info(index, capacity) for index in range(3)]
        async with TestCluster(nodes=1, workers=workers) as cluster:
            router = cluster.nodes["entry-0"].router
            requests = [
                asyncio.ensure_future(
                    router.run_request(
                        evolve(
                            make_sleep_submission(number, 1.0, True), deadline_s=120.0
                        )
                    )
                )
                for number in range(2, 2 + 3 * 31)
            ]
            deadly = evolve(
                make_submission(1, WorkKind.BATCH), program=Program("forever")
            )
            work_id = (await router.submit_job(deadly)).unwrap()
            crashed: list[str] = []
            crashing = asyncio.ensure_future(
                crash_workers_that_run(cluster, work_id, crashed)
            )
            view = (await router.show(work_id, 120.0)).unwrap()
            crashing.cancel()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON
            assert len(crashed) <= MAX_FAILURES_PER_TASK
            for request in requests:
                answered = (await request).unwrap()
                assert answered.tasks[0].state is TaskState.SUCCEEDED

    run_with_virtual_clock(session())


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("count", [6, 18])
def test_requests_that_always_fail_leave_workers_for_others(
    count: int, idempotent: bool
) -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            entry = cluster.nodes["entry-0"]
            failing = Program("fail")
            for number in range(count):
                request = make_sleep_submission(number, 1.0, idempotent)
                await entry.router.run_request(evolve(request, program=failing))
            ledger = entry.ownership.drivers["general.0"].partition.ledger
            states = [worker.state for worker in ledger.workers.values()]
            assert states.count(WorkerState.READY) >= 2
            sent_s = cluster.clock.now()
            sound = make_sleep_submission(count, 0.1, True)
            view = (await entry.router.run_request(sound)).unwrap()
            assert view.tasks[0].state is TaskState.SUCCEEDED
            assert cluster.clock.now() - sent_s < 1.0

    run_with_virtual_clock(session())
