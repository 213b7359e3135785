"""Builders of links to workers, for tests on the virtual clock."""

from __future__ import annotations

import asyncio
import math

from result import Err, Ok, Result

from fuchsiadale.cell.fencing_tokens import FencingTokens
from fuchsiadale.cell.link_callbacks import LinkCallbacks
from fuchsiadale.cell.reply_loss_tracker import (
    ReplyLossTracker,
)
from fuchsiadale.cell.worker_link import (
    WorkerLink,
)
from fuchsiadale.decision.workflow.messages import (
    ReportedEnd,
    StartOutcome,
    WorkerReport,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartAnswer,
    StartRequest,
    WorkerAddress,
    WorkerClient,
)


class FakeWorker(WorkerClient):
    """Worker client that can simulate lost replies; its waits take virtual time."""

    def __init__(self) -> None:
        self.is_unresponsive = False
        self.poll_waits_s: list[float] = []
        self.started: list[TaskName] = []
        self.stopped: list[TaskName] = []

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Reply after the poll's wait, or fail after the timeout if unresponsive."""
        self.poll_waits_s.append(request.wait_s)
        if self.is_unresponsive:
            await asyncio.sleep(timeout_s)
            return Err(CallFailure.NO_ANSWER)
        await asyncio.sleep(request.wait_s + 0.001)
        return Ok(WorkerReport(1, 1000))

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Record the start and accept it."""
        self.started.append(request.task)
        return StartAnswer(StartOutcome.STARTED)

    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Record the stop and acknowledge it."""
        self.stopped.append(task)
        return Ok(None)

    async def set_pace(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        percent: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Fail, as these tests pace no runs."""
        raise NotImplementedError


class RestartingWorker(FakeWorker):
    """Worker client that simulates a restart after which an unseen run has ended.

    Attributes
    ----------
    started_ms : int
        Start of the worker's incarnation; 0 while it is down.
    ends : tuple of ReportedEnd
        The ends of runs that are not acknowledged.
    """

    def __init__(self) -> None:
        super().__init__()
        self.started_ms = 1
        self.ends: tuple[ReportedEnd, ...] = ()

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Forget the acknowledged ends and report the others, unless it is down."""
        started_ms = self.started_ms
        if started_ms:
            last = request.acknowledged_through
            self.ends = tuple(end for end in self.ends if end.sequence_number > last)
            await asyncio.sleep(request.wait_s + 0.001)
        if not started_ms or started_ms != self.started_ms:
            return Err(CallFailure.DISCONNECTED)
        return Ok(WorkerReport(started_ms, 1000, (), self.ends))


class LinkFixture:
    """Link to a worker with runs, and a record of what it reported to the owner."""

    def __init__(
        self, reply_losses: ReplyLossTracker, worker: FakeWorker | None = None
    ) -> None:
        self.worker = worker or FakeWorker()
        self.report_times_s: list[float] = []
        self.reports: list[WorkerReport] = []
        self.unresponsive_count = 0
        self.last_failure = ""
        self.was_closed = False
        self.lease_expiries_s: list[float] = []
        self.misdated_expiries_s: list[float] = []
        self.fenced_by: list[str] = []
        self.tokens = FencingTokens(1)
        callbacks = LinkCallbacks(
            self._keep_report,
            self._count_unresponsive,
            lambda worker_id: None,
            lambda worker_id, expiry_s: self.lease_expiries_s.append(expiry_s),
            lambda worker_id, expiry_s: self.misdated_expiries_s.append(expiry_s),
            self.fenced_by.append,
        )
        address = WorkerAddress("worker", "10.0.0.1:80")
        self.may_act = True
        self.lease_limit_s = math.inf
        self.link = WorkerLink(
            self.worker,
            address,
            self.tokens,
            6.0,
            callbacks,
            reply_losses,
            lambda: self.may_act,
            lambda: self.lease_limit_s,
        )
        self.link.is_busy = True
        self.task = asyncio.create_task(self.link.run())

    def _keep_report(self, worker_id: str, report: WorkerReport, sent_s: float) -> None:
        self.report_times_s.append(asyncio.get_running_loop().time())
        self.reports.append(report)

    def _count_unresponsive(
        self, worker_id: str, failure: str, is_closed: bool
    ) -> None:
        self.unresponsive_count += 1
        self.last_failure = failure
        self.was_closed = is_closed


class ClockedWorker(FakeWorker):
    """Worker client whose clock and start a test sets, and that checks tokens."""

    def __init__(self) -> None:
        super().__init__()
        self.started_ms = 1
        self.clock_ms = 3_600_000
        self.token = 0
        self.poll_tokens: list[int] = []
        self.start_answers = asyncio.Event()
        self.start_answers.set()

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Reply soon."""
        await asyncio.sleep(0.05)
        self.poll_tokens.append(request.fencing_token)
        if request.fencing_token < self.token:
            return Err(CallFailure.FENCED)
        self.token = request.fencing_token
        return Ok(WorkerReport(self.started_ms, self.clock_ms))

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Perform the start once the test lets it."""
        await self.start_answers.wait()
        if request.fencing_token < self.token:
            return StartAnswer(StartOutcome.FENCED)
        return await super().start(worker, request, timeout_s)

    def restart(self) -> None:
        """Start again without any knowledge of before."""
        self.started_ms, self.clock_ms, self.token = self.started_ms + 1, 100, 0


class SilentlyRestartingWorker(FakeWorker):
    """Worker client whose polls get no answer from an incarnation that has restarted.

    Attributes
    ----------
    started_ms : int
        Start of the worker's incarnation, which a test changes to restart it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.started_ms = 1

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Reply after the poll's wait, unless the worker has restarted meanwhile."""
        started_ms = self.started_ms
        if worker.started_ms not in (0, started_ms):
            return Err(CallFailure.RESTARTED)
        await asyncio.sleep(request.wait_s + 0.001)
        if started_ms == self.started_ms:
            return Ok(WorkerReport(started_ms, 1000))
        await asyncio.sleep(timeout_s - request.wait_s)
        return Err(CallFailure.NO_ANSWER)

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start a run, unless the order is for another incarnation."""
        if worker.started_ms not in (0, self.started_ms):
            return StartAnswer(StartOutcome.RESTARTED)
        return await super().start(worker, request, timeout_s)

    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Stop a run, unless the order is for another incarnation."""
        if worker.started_ms not in (0, self.started_ms):
            return Err(CallFailure.RESTARTED)
        return await super().stop(worker, task, run, fencing_token, timeout_s)
