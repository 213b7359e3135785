"""Tests of orders to workers, and their reports, over a slow link."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from attrs import evolve

from fuchsiadale.backend.http import HttpBackendConnector
from fuchsiadale.backend.messages import (
    AdoptOrder,
    HeartbeatOrder,
    StartBatch,
    StartOrder,
)
from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.constants import MAX_PAYLOAD_BYTES, START_VALIDITY_S
from fuchsiadale.decision.ledger import WorkerState
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.reconciliation import Reconciler
from fuchsiadale.decision.work import TaskState
from fuchsiadale.entry.worker_driver import WorkerDriver
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.metrics import MemoryCounters
from fuchsiadale.standin.backend_server import BackendServerStandIn
from tests.builders import (
    PARTITION,
    SMALL_TASK_RESOURCES,
    make_submission,
    make_worker_info,
)
from tests.slow_link import SlowLink

REQUESTS_S = 20.0
"""Seconds allowed for a few requests with large payloads and answers."""

ADOPTION_S = 20.0
"""Seconds allowed until a new owner has received the answers that a worker keeps."""

EPOCH = 2
"""Epoch of the owner."""

RENEWAL_S = 0.5
"""Seconds between two renewals of the owner's lease."""


class SlowlyReachedWorker:
    """A partition with one worker, which it reaches over a slow link.

    Parameters
    ----------
    stand_in : BackendServerStandIn
        Serves the worker.
    address : str
        Base URL of the worker over the link.

    Attributes
    ----------
    stand_in : StandInWorker
        The worker.
    """

    def __init__(self, stand_in: BackendServerStandIn, address: str) -> None:
        clock = LoopClock()
        self.stand_in = next(iter(stand_in.workers.values()))
        info = evolve(self.stand_in.info, address=address)
        self.authority = Authority(clock, [info.name], taken_over=False)
        self.authority.record_lease_renewal(clock.now())
        self.partition = Partition(PARTITION, EPOCH, clock, self.authority)
        self.counters = MemoryCounters()
        self._clock = clock
        self._connector = HttpBackendConnector()
        reconciler = Reconciler(self.partition, clock)
        reconciler.set_workers([info], [info.name])
        self._driver = WorkerDriver(
            info.name,
            address,
            self._connector.connect(address),
            self.partition,
            reconciler,
            clock,
            self.counters,
            self._step,
            lambda: None,
        )

    @asynccontextmanager
    async def drive(self) -> AsyncIterator[None]:
        """Keep the session with the worker and the lease of the owner."""
        runs = (self._driver.keep_session, self._driver.send_orders, self._renew)
        tasks = [asyncio.create_task(run()) for run in runs]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await self._connector.close()

    async def run_echoes_of_former_owner(self, count: int, payload_bytes: int) -> None:
        """Let the worker end attempts of a former owner and keep their answers."""
        former = EPOCH - 1
        report = self.stand_in.adopt(AdoptOrder(PARTITION, former)).unwrap()
        renewal = HeartbeatOrder(former, report.clock_s, 0, [], 0.0)
        (await self.stand_in.heartbeat(renewal)).unwrap()
        orders = [
            StartOrder(
                f"attempt-{number}",
                "guild",
                SMALL_TASK_RESOURCES,
                "echo",
                payload_bytes * b"x",
                report.clock_s + START_VALIDITY_S,
            )
            for number in range(count)
        ]
        self.stand_in.start(StartBatch(former, orders))
        while self.stand_in.running_ids:
            await asyncio.sleep(0.01)

    async def wait_until_ready(self) -> None:
        """Wait until the owner has adopted the worker.

        Raises
        ------
        TimeoutError
            If that takes longer than `ADOPTION_S`.
        """
        worker = self.partition.ledger.workers[self.stand_in.info.name]
        async with asyncio.timeout(ADOPTION_S):
            while worker.state is not WorkerState.READY:
                await asyncio.sleep(0.05)

    async def run_echoes(self, count: int, payload_bytes: int) -> list[TaskState]:
        """Run requests that return their payload; return the states of their tasks."""
        works = [
            self.partition.accept(
                make_submission(number, payload=payload_bytes * b"x")
            ).unwrap()
            for number in range(count)
        ]
        tasks = [task for work in works for task in work.tasks]
        end_s = self._clock.now() + REQUESTS_S
        while self._clock.now() < end_s:
            self._step()
            if all(task.state.is_final for task in tasks):
                break
            await asyncio.sleep(0.05)
        return [task.state for task in tasks]

    async def _renew(self) -> None:
        while True:
            self.authority.record_lease_renewal(self._clock.now())
            await asyncio.sleep(RENEWAL_S)

    def _step(self) -> None:
        actions = self.partition.step()
        for attempt in actions.starts:
            self._driver.enqueue_start(attempt)
        for order in actions.stops:
            self._driver.enqueue_stop(order)
        for acknowledgement in actions.acknowledgements:
            self._driver.enqueue_acknowledgement(acknowledgement.attempt_id)


@asynccontextmanager
async def worker_behind_slow_link() -> AsyncIterator[SlowlyReachedWorker]:
    """Serve one worker and drive it over a slow link."""
    stand_in = BackendServerStandIn([make_worker_info(0)], LoopClock())
    runner = web.AppRunner(stand_in.make_app(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    link = SlowLink(runner.addresses[0][1])
    async with link.listen():
        name = next(iter(stand_in.workers))
        worker = SlowlyReachedWorker(stand_in, f"http://{link.address}/w/{name}")
        yield worker
    await runner.cleanup()


async def test_request_with_the_largest_payload_runs_over_a_slow_link():
    async with worker_behind_slow_link() as worker, worker.drive():
        states = await worker.run_echoes(1, MAX_PAYLOAD_BYTES)
    assert states == [TaskState.SUCCEEDED]


async def test_requests_with_large_payloads_run_beside_each_other_over_a_slow_link():
    async with worker_behind_slow_link() as worker, worker.drive():
        states = await worker.run_echoes(5, MAX_PAYLOAD_BYTES // 2)
    assert states == 5 * [TaskState.SUCCEEDED]


async def test_worker_that_keeps_large_answers_is_adopted_over_a_slow_link():
    async with worker_behind_slow_link() as worker:
        await worker.run_echoes_of_former_owner(4, MAX_PAYLOAD_BYTES // 2)
        async with worker.drive():
            await worker.wait_until_ready()
            assert await worker.run_echoes(1, 1) == [TaskState.SUCCEEDED]
