"""Cell of several processes whose workers keep fences and leases, for tests."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from fuchsiadale.decision.workflow.messages import (
    ReportedRun,
    StartOutcome,
    WorkerEntry,
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
from tests.memory_cell import CALL_S, MemoryCell
from tests.workflow_builders import STARTED_MS, make_entry

MS_PER_S = 1000.0


@define
class RunSpan:
    """Time for which a run was present on a worker; `end_s` is None while it is."""

    task: TaskName
    run: int
    worker_id: str
    start_s: float
    end_s: float | None = None


@define(eq=False)
class LeasedWorker:
    """A worker that obeys no lower fencing token and ends its runs with their lease.

    Attributes
    ----------
    entry : WorkerEntry
        Its registration.
    clock_rate : float
        Seconds that its clock counts in a second.
    max_lease_s : float
        Longest lease that it grants, in seconds of its clock.
    started_ms : int
        Start of its incarnation, in Unix milliseconds.
    """

    entry: WorkerEntry
    clock_rate: float
    max_lease_s: float = math.inf
    started_ms: int = STARTED_MS
    spans: list[RunSpan] = field(factory=list)
    is_up: bool = True
    _clock_started_s: float = 0.0
    _token: int = 0
    _lease_end_ms: int = 0

    def read_clock_ms(self, now_s: float) -> int:
        """Return the reading of the worker's clock."""
        return round(MS_PER_S * self.clock_rate * (now_s - self._clock_started_s))

    def list_runs(self, now_s: float) -> list[RunSpan]:
        """Return the present runs, after those whose lease has lapsed were ended."""
        lease_s = self._lease_end_ms / MS_PER_S / self.clock_rate
        lapse_s = self._clock_started_s + lease_s
        present = [span for span in self.spans if span.end_s is None]
        if now_s < lapse_s:
            return present
        for span in present:
            span.end_s = max(span.start_s, lapse_s)
        return []

    def crash(self, now_s: float) -> None:
        """End all runs and answer nothing more."""
        for span in self.list_runs(now_s):
            span.end_s = now_s
        self.is_up = False

    def restart(self, now_s: float) -> None:
        """Start again under the same id; the worker knows nothing of before."""
        self.is_up = True
        self.started_ms += round(MS_PER_S * (now_s - self._clock_started_s))
        self.entry = evolve(self.entry, started_ms=self.started_ms)
        self._clock_started_s = now_s
        self._token = 0
        self._lease_end_ms = 0

    def accept_token(self, token: int) -> bool:
        """Return whether an order with a fencing token is obeyed."""
        if token < self._token:
            return False
        self._token = token
        return True

    def renew_leases(self, lease_end_ms: int | None, now_s: float) -> None:
        """Extend the leases of all runs; they never become shorter."""
        longest_ms = self.read_clock_ms(now_s) + MS_PER_S * self.max_lease_s
        granted_ms = min(lease_end_ms or 0, longest_ms)
        self._lease_end_ms = max(self._lease_end_ms, int(granted_ms))


@define(eq=False)
class LeasedWorkers:
    """The workers of a cell, and which of them each process reaches.

    Attributes
    ----------
    workers : dict of str to LeasedWorker
        The workers, by id.
    reached : dict of str to set of str
        Ids of the only workers that a process reaches, by its address; a process that
        is not listed reaches all.
    loses_start_answers : bool
        Whether no start is answered.
    poll_delay_s : float
        Seconds after which polls are performed, without an answer; 0 for at once.
    """

    workers: dict[str, LeasedWorker] = field(factory=dict)
    reached: dict[str, set[str]] = field(factory=dict)
    loses_start_answers: bool = False
    poll_delay_s: float = 0.0

    def list_spans(self) -> list[RunSpan]:
        """Return all runs that there have been, with ends up to now."""
        now_s = asyncio.get_running_loop().time()
        spans: list[RunSpan] = []
        for worker in self.workers.values():
            worker.list_runs(now_s)
            spans += worker.spans
        return spans

    def find_overlaps(self) -> list[tuple[RunSpan, RunSpan]]:
        """Return pairs of runs of one task that were present at the same time."""
        spans = sorted(self.list_spans(), key=lambda span: span.start_s)
        return [
            (first, second)
            for index, first in enumerate(spans)
            for second in spans[index + 1 :]
            if first.task == second.task
            and (first.end_s is None or first.end_s > second.start_s)
        ]


@frozen
class LeasedWorkerClient(WorkerClient):
    """Client with which one process calls the workers that it reaches."""

    fleet: LeasedWorkers
    process: str

    async def _call(self, address: WorkerAddress, wait_s: float) -> LeasedWorker | None:
        """Wait for the answer to a call; return the worker if there is one."""
        started_ms = self.fleet.workers[address.worker_id].started_ms
        await asyncio.sleep(wait_s + CALL_S)
        worker = self._find(address)
        # A connection to an earlier incarnation of the worker is broken.
        return None if worker is None or worker.started_ms != started_ms else worker

    def _has_restarted(self, address: WorkerAddress) -> bool:
        """Return whether a call is for another incarnation than the present one."""
        present_ms = self.fleet.workers[address.worker_id].started_ms
        return address.started_ms not in (0, present_ms)

    def _find(self, address: WorkerAddress) -> LeasedWorker | None:
        worker = self.fleet.workers[address.worker_id]
        reached = self.fleet.reached.get(self.process)
        is_reached = reached is None or address.worker_id in reached
        return worker if worker.is_up and is_reached else None

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Renew the leases at once, and report the runs after the poll's wait."""
        now_s = asyncio.get_running_loop().time()
        called = self._find(worker)
        if called is None or self.fleet.poll_delay_s:
            loop = asyncio.get_running_loop()
            if self.fleet.poll_delay_s:
                loop.call_later(
                    self.fleet.poll_delay_s, self._poll_late, worker, request
                )
            await asyncio.sleep(timeout_s)
            return Err(CallFailure.NO_ANSWER)
        if self._has_restarted(worker):
            return Err(CallFailure.RESTARTED)
        if not called.accept_token(request.fencing_token):
            return Err(CallFailure.FENCED)
        if called.list_runs(now_s):
            called.renew_leases(request.lease_end_ms, now_s)
        if await self._call(worker, request.wait_s) is None:
            await asyncio.sleep(max(0.0, timeout_s - request.wait_s - CALL_S))
            return Err(CallFailure.NO_ANSWER)
        now_s = asyncio.get_running_loop().time()
        runs = tuple(
            ReportedRun(span.task, span.run, "", 100, 1.0)
            for span in called.list_runs(now_s)
        )
        return Ok(WorkerReport(called.started_ms, called.read_clock_ms(now_s), runs))

    def _poll_late(self, address: WorkerAddress, request: PollRequest) -> None:
        """Perform a poll that was delayed, whoever has the worker's id by now."""
        worker = self.fleet.workers[address.worker_id]
        now_s = asyncio.get_running_loop().time()
        if worker.is_up and worker.accept_token(request.fencing_token):
            worker.renew_leases(request.lease_end_ms, now_s)

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start a run unless its lease is over."""
        called = await self._call(worker, 0.0)
        if called is None:
            await asyncio.sleep(timeout_s)
            return StartAnswer(StartOutcome.UNKNOWN)
        if self._has_restarted(worker):
            return StartAnswer(StartOutcome.RESTARTED)
        now_s = asyncio.get_running_loop().time()
        if not called.accept_token(request.fencing_token):
            return StartAnswer(StartOutcome.FENCED)
        if request.lease_end_ms <= called.read_clock_ms(now_s):
            return StartAnswer(StartOutcome.EXPIRED)
        if not any(
            (span.task, span.run) == (request.task, request.run)
            for span in called.list_runs(now_s)
        ):
            called.renew_leases(request.lease_end_ms, now_s)
            called.spans.append(
                RunSpan(request.task, request.run, called.entry.worker_id, now_s)
            )
        if self.fleet.loses_start_answers:
            await asyncio.sleep(timeout_s)
            return StartAnswer(StartOutcome.UNKNOWN)
        return StartAnswer(StartOutcome.STARTED, called.read_clock_ms(now_s))

    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Stop a run."""
        called = await self._call(worker, 0.0)
        if called is None:
            await asyncio.sleep(timeout_s)
            return Err(CallFailure.NO_ANSWER)
        if self._has_restarted(worker):
            return Err(CallFailure.RESTARTED)
        if not called.accept_token(fencing_token):
            return Err(CallFailure.FENCED)
        now_s = asyncio.get_running_loop().time()
        for span in called.list_runs(now_s):
            if (span.task, span.run) == (task, run):
                span.end_s = now_s
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
        """Accept the pace and ignore it."""
        return Ok(None)


class LeasedCell(MemoryCell):
    """Processes of a cell whose workers keep fences and leases.

    Parameters
    ----------
    worker_count : int
        Number of workers; every other one has a clock that is 2% slow.

    Attributes
    ----------
    fleet : LeasedWorkers
        The workers.
    """

    def __init__(self, worker_count: int) -> None:
        super().__init__()
        entries = tuple(make_entry(index) for index in range(worker_count))
        self.worker_list.entries = entries
        self.fleet = LeasedWorkers(
            {
                entry.worker_id: LeasedWorker(entry, 0.98 if index % 2 else 1.0)
                for index, entry in enumerate(entries)
            }
        )

    def get_worker_client(self, address: str) -> WorkerClient:
        """Return the client with which the process at `address` calls workers."""
        return LeasedWorkerClient(self.fleet, address)

    def restart_worker(self, worker_id: str, is_registered: bool = True) -> None:
        """Let a crashed worker start again under its id; it may register itself."""
        worker = self.fleet.workers[worker_id]
        worker.restart(asyncio.get_running_loop().time())
        if is_registered:
            self.register_workers([worker_id])

    def register_workers(self, worker_ids: Iterable[str]) -> None:
        """Let workers that were listed before register as they are now."""
        workers = {worker_id: self.fleet.workers[worker_id] for worker_id in worker_ids}
        self.worker_list.entries = tuple(
            workers[entry.worker_id].entry if entry.worker_id in workers else entry
            for entry in self.worker_list.entries
        )

    def crash_worker(self, worker_id: str) -> None:
        """Lose a worker for good, and its registration with it."""
        self.fleet.workers[worker_id].crash(asyncio.get_running_loop().time())
        self.worker_list.entries = tuple(
            entry for entry in self.worker_list.entries if entry.worker_id != worker_id
        )
