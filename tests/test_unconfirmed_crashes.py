"""Work that crashes workers before they confirm its start, and workers slow to boot."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest
from attrs import evolve
from result import Err, Result

from fuchsiadale.backend.messages import StartBatch, StartReply
from fuchsiadale.backend.server import CallFailure
from fuchsiadale.decision.constants import (
    CRASH_CLEARANCE_AGE_S,
    MAX_FAILURES_PER_TASK,
    POISON_WORKER_THRESHOLD,
    RERUN_WAIT_S,
)
from fuchsiadale.decision.errors import ErrorKind
from fuchsiadale.decision.work import Program, TaskState, WorkKind
from tests.builders import make_sleep_submission, make_submission
from tests.cluster import TestCluster
from tests.faulty_network import FaultyWorkerClient
from tests.virtual_loop import run_with_virtual_clock

JOB = evolve(make_submission(1, WorkKind.BATCH), program=Program("forever"))
SLOW_BOOT_S = RERUN_WAIT_S + 5.0
ENOUGH_S = 300.0
"""Time for more crashes than a task may cause."""


class Crasher:
    """Crashes each worker that starts the job.

    Parameters
    ----------
    cluster : TestCluster
        The cluster.
    monkeypatch : pytest.MonkeyPatch
        Replaces the start call.
    boot_s : float
        Seconds for which a crashed worker is out of reach.
    is_confirmed : bool
        Whether the owner gets the reply to the start.

    Attributes
    ----------
    crashed : list of str
        Names of the crashed workers.
    is_active : bool
        Whether it crashes workers.
    """

    def __init__(
        self,
        cluster: TestCluster,
        monkeypatch: pytest.MonkeyPatch,
        boot_s: float,
        is_confirmed: bool,
    ) -> None:
        self.crashed: list[str] = []
        self.is_active = True
        self._cluster = cluster
        self._boot_s = boot_s
        start_attempts = FaultyWorkerClient.start

        async def start(
            client: FaultyWorkerClient, batch: StartBatch
        ) -> Result[Sequence[StartReply], CallFailure]:
            replies = await start_attempts(client, batch)
            if self.is_active and self._crash_worker():
                return replies if is_confirmed else Err(CallFailure.UNKNOWN)
            return replies

        monkeypatch.setattr(FaultyWorkerClient, "start", start)

    def _crash_worker(self) -> bool:
        for name, worker in self._cluster.workers.items():
            if any(run.startswith(JOB.work_id) for run in worker.running_ids):
                worker.reboot()
                self.crashed.append(name)
                if self._boot_s:
                    unreachable = self._cluster.network_faults["entry-0"]
                    unreachable.unreachable_workers.add(name)
                    asyncio.get_running_loop().call_later(
                        self._boot_s, unreachable.unreachable_workers.discard, name
                    )
                return True
        return False


@pytest.mark.parametrize(
    ("boot_s", "is_confirmed", "max_crashes"),
    [
        (0.0, False, MAX_FAILURES_PER_TASK),
        (SLOW_BOOT_S, False, MAX_FAILURES_PER_TASK + POISON_WORKER_THRESHOLD),
        (SLOW_BOOT_S, True, 2 * POISON_WORKER_THRESHOLD),
    ],
)
def test_work_that_crashes_each_worker_at_once_is_given_up(
    boot_s: float,
    is_confirmed: bool,
    max_crashes: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            crasher = Crasher(cluster, monkeypatch, boot_s, is_confirmed)
            work_id = (await router.submit_job(JOB)).unwrap()
            await asyncio.sleep(ENOUGH_S)
            view = (await router.show(work_id, 0.0)).unwrap()
            assert view.refusal is not None
            assert view.refusal.kind is ErrorKind.POISON
            assert len(crasher.crashed) <= max_crashes

    run_with_virtual_clock(session())


@pytest.mark.parametrize("boot_s", [0.0, SLOW_BOOT_S])
def test_service_that_runs_between_unconfirmed_crashes_is_not_given_up(
    boot_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            crasher = Crasher(cluster, monkeypatch, boot_s, is_confirmed=False)
            work_id = (await router.submit_job(JOB)).unwrap()
            for number in range(1, 2 * MAX_FAILURES_PER_TASK):
                crasher.is_active = True
                await cluster.wait_until(
                    lambda count=number: len(crasher.crashed) == count
                )
                crasher.is_active = False
                await asyncio.sleep(4.0 * RERUN_WAIT_S + CRASH_CLEARANCE_AGE_S)
                (running,) = [w for w in cluster.workers.values() if w.running_ids]
                running.reboot()
            await asyncio.sleep(2.0 * RERUN_WAIT_S)
            view = (await router.show(work_id, 0.0)).unwrap()
            assert view.tasks[0].state is TaskState.RUNNING

    run_with_virtual_clock(session())


def test_requests_sent_to_workers_that_have_lost_power_succeed_later() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            router = cluster.nodes["entry-0"].router
            unreachable = cluster.network_faults["entry-0"].unreachable_workers
            for wave in range(MAX_FAILURES_PER_TASK + 1):
                unreachable.update(cluster.workers)
                requests = [
                    asyncio.ensure_future(
                        router.run_request(
                            evolve(
                                make_sleep_submission(10 * wave + number, 0.5, True),
                                deadline_s=60.0,
                            )
                        )
                    )
                    for number in range(3)
                ]
                await asyncio.sleep(1.0)
                for worker in cluster.workers.values():
                    worker.reboot()
                unreachable.clear()
                for request in requests:
                    view = (await request).unwrap()
                    assert view.tasks[0].state is TaskState.SUCCEEDED

    run_with_virtual_clock(session())
