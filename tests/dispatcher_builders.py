"""Builders of dispatchers with many workers, for tests on the virtual clock."""

from __future__ import annotations

import asyncio
from collections import Counter

from result import Err, Ok, Result

from fuchsiadale.cell.fencing_tokens import FencingTokens
from fuchsiadale.cell.link_callbacks import LinkCallbacks
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.order_dispatcher import OrderDispatcher
from fuchsiadale.cell.reply_loss_tracker import ReplyLossTracker
from fuchsiadale.cell.worker_link import WorkerLink
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.messages import (
    StartOutcome,
    StartRun,
    StopRun,
    WorkerReport,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartAnswer,
    StartRequest,
    WorkerAddress,
)
from tests.link_builders import FakeWorker
from tests.workflow_builders import (
    STARTED_MS,
    Cell,
    make_entry,
    make_record,
    make_step,
)

STAGES_PER_CALL = 3
"""Times that a call needs the processor: to connect, to send and for the answer."""

STAGE_S = 0.0003
"""Seconds for which it needs the processor each time."""

TASK_CPU_MILLIS = 500
WORKER_CPU_MILLIS = 64_000


class BusyWorkers(FakeWorker):
    """Client of workers whose calls share the processor of the calling process.

    Attributes
    ----------
    silent_ids : set of str
        Ids of the workers that answer no orders.
    started_tasks : Counter of TaskName
        Number of times that each task was started.
    stopped_tasks : Counter of TaskName
        Number of times that each task was stopped.
    """

    def __init__(self) -> None:
        super().__init__()
        self.silent_ids: set[str] = set()
        self.started_tasks: Counter[TaskName] = Counter()
        self.stopped_tasks: Counter[TaskName] = Counter()
        self._is_free_s = 0.0

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Reply after the poll's wait."""
        await asyncio.sleep(request.wait_s + 0.001)
        return Ok(WorkerReport(STARTED_MS, 1000))

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start a task once the processor has been free often enough."""
        if not await self._is_answered(worker, timeout_s):
            return StartAnswer(StartOutcome.UNKNOWN)
        self.started_tasks[request.task] += 1
        return StartAnswer(StartOutcome.STARTED)

    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Stop a task once the processor has been free often enough."""
        if not await self._is_answered(worker, timeout_s):
            return Err(CallFailure.NO_ANSWER)
        self.stopped_tasks[task] += 1
        return Ok(None)

    async def _is_answered(self, worker: WorkerAddress, timeout_s: float) -> bool:
        """Wait for the answer to a call; return whether there is one in time."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                if worker.worker_id in self.silent_ids:
                    await asyncio.sleep(2.0 * timeout_s)
                for _ in range(STAGES_PER_CALL):
                    self._is_free_s = max(self._is_free_s, loop.time()) + STAGE_S
                    await asyncio.sleep(self._is_free_s - loop.time())
        except TimeoutError:
            return False
        return True


class BusyDispatcher:
    """A dispatcher, and a cell in which the starts of many tasks are recorded.

    Attributes
    ----------
    starts : list of StartRun
        The start orders, which `send_starts` sends.
    """

    def __init__(self, workers: int, jobs: int, tasks: int) -> None:
        self.client = BusyWorkers()
        self.cell = Cell(workers)
        capacity = Resources(WORKER_CPU_MILLIS, 1 << 20, 0)
        self.cell.entries = [
            make_entry(index, capacity=capacity) for index in range(workers)
        ]
        self.cell.adopt_workers()
        for number in range(jobs):
            step = make_step(tasks, TASK_CPU_MILLIS)
            self.cell.scheduler.accept(make_record(number, step), 0.0)
        self.starts: list[StartRun] = []
        while planned := self.cell.plan():
            self.starts += [order for order in planned if isinstance(order, StartRun)]
            self.cell.clock.advance(0.05)
        assert len(self.starts) == jobs * tasks
        for worker in self.cell.scheduler.workers.values():
            worker.note_recorded(list(worker.runs))
        self._links = self._make_links()
        self.dispatcher = OrderDispatcher(
            self.cell.scheduler,
            self._links,
            None,  # type: ignore[arg-type]
            CellMetrics(),
            lambda: None,
            lambda: None,
        )

    def _make_links(self) -> dict[str, WorkerLink]:
        tokens, losses = FencingTokens(1), ReplyLossTracker()
        callbacks = LinkCallbacks(
            lambda worker_id, report, sent_s: None,
            lambda worker_id, failure, is_closed: None,
            lambda worker_id: None,
            lambda worker_id, expiry_s: None,
            lambda worker_id, expiry_s: None,
            lambda worker_id: None,
        )
        return {
            entry.worker_id: WorkerLink(
                self.client,
                WorkerAddress(entry.worker_id, entry.address),
                tokens,
                6.0,
                callbacks,
                losses,
                lambda: True,
                lambda: float("inf"),
            )
            for entry in self.cell.entries
        }

    async def poll_workers(self) -> None:
        """Poll the workers from now on, and wait until each has answered."""
        self._polls = [asyncio.create_task(link.run()) for link in self._links.values()]
        await asyncio.sleep(0.5)

    def send_starts(self) -> None:
        """Send the recorded start orders."""
        self.dispatcher.execute(list(self.starts))
        self.dispatcher.send_recorded_starts()

    def send_stops(self) -> None:
        """Send an order to stop each of the runs."""
        stops = [
            StopRun(order.worker_id, order.task, order.run, "test")
            for order in self.starts
        ]
        self.dispatcher.execute(list(stops))

    def stop(self) -> None:
        """Stop the dispatcher and the polls."""
        self.dispatcher.stop()
        for poll in self._polls:
            poll.cancel()
