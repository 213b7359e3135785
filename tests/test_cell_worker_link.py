"""How a worker is looked at, also while its answers are lost."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from fuchsiadale.cell.answer_losses import MEMORY_S, SHORT_WAIT_S, AnswerLosses
from fuchsiadale.cell.worker_link import (
    LOOK_WAIT_S,
    LinkEvents,
    WorkerLink,
    lapse_after_s,
)
from fuchsiadale.decision.workflow.messages import WorkerReport
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartAnswer,
    StartRequest,
    WorkerAddress,
    WorkerClient,
)
from tests.virtual_loop import run_with_virtual_clock


class Worker(WorkerClient):
    """A worker whose answers can be lost; it is given time by the virtual loop."""

    def __init__(self) -> None:
        self.is_mute = False
        self.waits_s: list[float] = []

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Answer after the time that the look may wait, or not at all."""
        self.waits_s.append(request.wait_s)
        if self.is_mute:
            await asyncio.sleep(timeout_s)
            return Err(CallFailure.NO_ANSWER)
        await asyncio.sleep(request.wait_s + 0.001)
        return Ok(WorkerReport(1, 1000))

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start nothing."""
        raise NotImplementedError

    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Stop nothing."""
        raise NotImplementedError

    async def set_pace(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        percent: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Change nothing."""
        raise NotImplementedError


class Watched:
    """A busy link to a worker, and what it told its owner."""

    def __init__(self, losses: AnswerLosses) -> None:
        self.worker = Worker()
        self.reports_s: list[float] = []
        self.silences = 0
        self.lease_ends_s: list[float] = []
        events = LinkEvents(
            lambda *args: self.reports_s.append(asyncio.get_running_loop().time()),
            self._note_silence,
            lambda worker_id: None,
            lambda worker_id, ends_s: self.lease_ends_s.append(ends_s),
            lambda worker_id: None,
        )
        address = WorkerAddress("worker", "10.0.0.1:80")
        self.link = WorkerLink(self.worker, address, 1, 6.0, events, losses)
        self.link.is_busy = True
        self.task = asyncio.create_task(self.link.run())

    def _note_silence(self, worker_id: str) -> None:
        self.silences += 1


def test_looks_are_short_for_a_while_after_an_answer_was_lost():
    async def main() -> None:
        losses = AnswerLosses()
        watched = Watched(losses)
        await asyncio.sleep(2.0)
        assert watched.worker.waits_s[-1] == LOOK_WAIT_S
        losses.note()
        await asyncio.sleep(LOOK_WAIT_S + 0.1)
        assert watched.worker.waits_s[-1] == SHORT_WAIT_S
        await asyncio.sleep(MEMORY_S)
        assert watched.worker.waits_s[-1] == LOOK_WAIT_S

    run_with_virtual_clock(main())


def test_many_workers_are_not_looked_at_more_often():
    async def main() -> None:
        losses = AnswerLosses()
        losses.workers = 176
        losses.note()
        assert losses.limit_wait_s(LOOK_WAIT_S) == LOOK_WAIT_S

    run_with_virtual_clock(main())


def test_worker_that_answers_again_is_known_at_once():
    async def main() -> None:
        watched = Watched(AnswerLosses())
        await asyncio.sleep(2.0)
        watched.worker.is_mute = True
        await asyncio.sleep(3.0)
        assert watched.silences > 0
        watched.worker.is_mute = False
        back_s = asyncio.get_running_loop().time()
        await asyncio.sleep(2.0)
        first_s = next(at_s for at_s in watched.reports_s if at_s > back_s)
        assert first_s - back_s < 0.5

    run_with_virtual_clock(main())


def test_leases_of_a_worker_that_stays_silent_lapse():
    async def main() -> None:
        watched = Watched(AnswerLosses())
        await asyncio.sleep(2.0)
        watched.worker.is_mute = True
        await asyncio.sleep(LOOK_WAIT_S + lapse_after_s(6.0) + 1.0)
        assert max(watched.lease_ends_s) < asyncio.get_running_loop().time()
        watched.worker.is_mute = False
        await asyncio.sleep(2.0)
        assert max(watched.lease_ends_s) > asyncio.get_running_loop().time()

    run_with_virtual_clock(main())
