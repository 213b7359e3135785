"""Tests that the pace of a run reaches its worker although orders are lost."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok, Result

from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.order_dispatcher import OrderDispatcher
from fuchsiadale.cell.reply_loss_tracker import ReplyLossTracker
from fuchsiadale.decision.workflow.messages import PaceRun
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.ports.task_workers import CallFailure, WorkerAddress
from tests.link_builders import FakeWorker, LinkFixture
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import Cell, make_record, make_step

WORKER = "worker-0"


class PacedWorker(FakeWorker):
    """Worker client that loses a number of orders to pace, and keeps the others."""

    def __init__(self, failures: int, failure: CallFailure) -> None:
        super().__init__()
        self.failures, self.failure = failures, failure
        self.percents: list[int] = []
        self.calls = 0

    async def set_pace(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        percent: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Lose the order, or acknowledge it."""
        self.calls += 1
        await asyncio.sleep(0.05)
        if self.calls <= self.failures:
            return Err(self.failure)
        self.percents.append(percent)
        return Ok(None)


class PaceFixture:
    """A dispatcher, and a cell with a filling run on the worker that it calls."""

    def __init__(self, worker: PacedWorker) -> None:
        self.cell = Cell(workers=1)
        self.cell.adopt_workers()
        self.cell.scheduler.accept(make_record(0, make_step(is_filler=True)), 0.0)
        self.cell.plan_and_execute()
        (self.start,) = self.cell.starts
        self.link = LinkFixture(ReplyLossTracker(), worker)
        self.dispatcher = OrderDispatcher(
            self.cell.scheduler,
            {WORKER: self.link.link},
            None,  # type: ignore[arg-type]
            CellMetrics(),
            lambda: None,
            lambda: None,
        )

    def pace(self, percent: int) -> None:
        """Order a pace."""
        order = PaceRun(WORKER, self.start.task, self.start.run, percent)
        self.dispatcher.execute([order])


@pytest.mark.parametrize(
    "failure", [CallFailure.NO_ANSWER, CallFailure.REFUSED, CallFailure.DISCONNECTED]
)
def test_lost_order_to_pace_is_sent_again(failure: CallFailure):
    async def main() -> None:
        worker = PacedWorker(2, failure)
        fixture = PaceFixture(worker)
        fixture.pace(0)
        await asyncio.sleep(3.0)
        assert worker.percents == [0]
        fixture.link.task.cancel()

    run_with_virtual_clock(main())


def test_later_pace_replaces_one_that_is_not_acknowledged():
    async def main() -> None:
        worker = PacedWorker(1, CallFailure.NO_ANSWER)
        fixture = PaceFixture(worker)
        fixture.pace(0)
        await asyncio.sleep(0.01)
        fixture.pace(40)
        await asyncio.sleep(0.01)
        fixture.pace(20)
        await asyncio.sleep(3.0)
        assert worker.percents == [20]
        fixture.pace(100)
        await asyncio.sleep(3.0)
        assert worker.percents == [20, 100]
        fixture.link.task.cancel()

    run_with_virtual_clock(main())


def test_pace_is_not_sent_again_once_its_run_has_ended():
    async def main() -> None:
        worker = PacedWorker(1000, CallFailure.NO_ANSWER)
        fixture = PaceFixture(worker)
        fixture.pace(0)
        await asyncio.sleep(1.0)
        fixture.cell.end_all_runs()
        await asyncio.sleep(1.0)
        calls = worker.calls
        await asyncio.sleep(3.0)
        assert worker.calls == calls
        fixture.link.task.cancel()

    run_with_virtual_clock(main())
