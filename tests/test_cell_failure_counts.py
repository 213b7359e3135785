"""Counts of failures in the store, after hand-overs and in replies to callers."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import pytest
from attrs import evolve
from result import Err, Ok, Result

from fuchsiadale.cell.gateway import CallerRequest
from fuchsiadale.cell.owner_row import write_owner
from fuchsiadale.cell.progress_rows import PROGRESS_TABLE
from fuchsiadale.cell.rows import JOB_TABLE, load_stored_cell
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.jobs import Job, JobState
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    ReportedEnd,
    ReportedRun,
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
)
from tests.committer_setup import OWNER, CommitterSetup
from tests.memory_cell import CALL_S, MemoryCell, MemoryWorkers
from tests.test_cell_gateway import JOB_PATH, RECORD, GatewayFixture
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import (
    STARTED_MS,
    Cell,
    make_entry,
    make_queue,
    make_record,
    make_step,
)

FAILED_SHARE = 0.8
"""Share of the runs that end as failed."""

FORGETTING_DELAY_S = 3.0
"""Seconds for which an end is listed even if it has been acknowledged."""

STOP_INTERVAL_S = 0.65
"""Seconds between two planned stops of owners."""

STOP_COUNT = 12
"""Number of planned stops of owners."""

JOB_COUNT = 8
"""Number of jobs of a cell whose owners are stopped."""


class FailingWorkers(MemoryWorkers):
    """Client of a worker most of whose runs fail, and which lists their ends.

    Attributes
    ----------
    failures : Counter of TaskName
        Failed runs of each task.
    """

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.failures: Counter[TaskName] = Counter()
        self._random = random
        self._ends: list[ReportedEnd] = []
        self._ended_count = 0
        self._acknowledged = 0
        self._highest_token = 0

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Report the runs and the ends that are not forgotten."""
        await asyncio.sleep(CALL_S)
        if request.fencing_token < self._highest_token:
            return Err(CallFailure.FENCED)
        self._highest_token = request.fencing_token
        self._acknowledged = request.acknowledged_through
        ended_count = self._ended_count
        for _ in range(round(request.wait_s / CALL_S)):
            if self._ended_count > ended_count:
                break
            await asyncio.sleep(CALL_S)
        runs = tuple(ReportedRun(task, run, "", 10, 1.0) for task, run in self.running)
        report = WorkerReport(STARTED_MS, 1000, runs, tuple(self._ends))
        await asyncio.sleep(CALL_S)
        return Ok(report)

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start a run that ends soon."""
        await asyncio.sleep(CALL_S)
        if request.fencing_token < self._highest_token:
            return StartAnswer(StartOutcome.FENCED)
        key = (request.task, request.run)
        if key not in self.running:
            self.running.append(key)
            loop = asyncio.get_running_loop()
            loop.call_later(self._random.uniform(0.05, 0.6), self._end_run, key)
        return StartAnswer(StartOutcome.STARTED)

    def _end_run(self, key: tuple[TaskName, int]) -> None:
        if key not in self.running:
            return
        self.running.remove(key)
        kind = EndKind.DONE
        if self._random.random() < FAILED_SHARE:
            kind = EndKind.FAILED
            self.failures[key[0]] += 1
        self._ended_count += 1
        self._ends.append(ReportedEnd(self._ended_count, *key, kind, ""))
        loop = asyncio.get_running_loop()
        loop.call_later(FORGETTING_DELAY_S, self._forget_ends, self._ended_count)

    def _forget_ends(self, sequence_number: int) -> None:
        last = min(sequence_number, self._acknowledged)
        self._ends = [end for end in self._ends if end.sequence_number > last]


def start_job(cell: Cell) -> Job:
    """Accept a job and start its task."""
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    (job,) = cell.scheduler.jobs.values()
    return job


def test_job_is_not_shown_as_failed_before_that_is_recorded():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        job = start_job(cell)
        setup.store.is_down = True
        for _ in range(3):
            cell.end_all_runs(EndKind.FAILED)
            setup.committer.request_commit()
            await asyncio.sleep(0.5)
            cell.plan_and_execute()
        assert job.state is JobState.FAILED
        assert job.reported_state is JobState.RUNNING
        setup.store.is_down = False
        setup.store.lost_answers = 1
        await asyncio.sleep(1.0)
        assert job.reported_state is JobState.FAILED
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert stored.progress[job.record.job_id].state is JobState.FAILED

    run_with_virtual_clock(main())


def test_failed_state_of_a_replaced_owner_is_neither_stored_nor_shown():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        job = start_job(cell)
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        setup.store.is_down = True
        for _ in range(3):
            cell.end_all_runs(EndKind.FAILED)
            cell.plan_and_execute()
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        setup.store.is_down = False
        successor = evolve(OWNER, epoch=2, incarnation="that")
        version = setup.tenure.version
        assert isinstance(await write_owner(setup.store, successor, version), Ok)
        await asyncio.sleep(1.0)
        assert setup.loss_reasons == ["superseded"]
        assert job.state is JobState.FAILED
        assert job.reported_state is JobState.RUNNING
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert job.record.job_id not in stored.progress

    run_with_virtual_clock(main())


def test_end_is_not_acknowledged_before_its_failure_is_recorded():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        job = start_job(cell)
        setup.store.is_down = True
        cell.end_all_runs(EndKind.FAILED)
        setup.committer.request_commit()
        await asyncio.sleep(0.5)
        assert not any(ends.get("worker-0") for ends in setup.processed_ends)
        setup.store.is_down = False
        await asyncio.sleep(0.5)
        assert setup.processed_ends[-1]["worker-0"].sequence_number == 1
        stored = (await load_stored_cell(setup.store)).unwrap()
        (failures,) = stored.progress[job.record.job_id].failures.values()
        assert failures.count == 1

    run_with_virtual_clock(main())


@pytest.mark.parametrize("value", [None, b"", b"\xc1", encode("failed")])
def test_job_whose_progress_cannot_be_read_is_not_shown_as_failed(value: bytes | None):
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        fixture.store.put(JOB_TABLE, RECORD.job_id, encode(RECORD))
        if value is not None:
            fixture.store.put(PROGRESS_TABLE, RECORD.job_id, value)
        shown = await fixture.gateway.get_job_state(
            CallerRequest("host", JOB_PATH, "key")
        )
        assert not shown.unwrap().is_final

    run_with_virtual_clock(main())


def check_shown_states(cell: MemoryCell, workers: FailingWorkers) -> None:
    """Check that each job that a process shows as failed has failed often enough."""
    for daemon in cell.daemons.values():
        for number in range(JOB_COUNT):
            job_id = make_record(number).job_id
            view = daemon._find_owned_job(job_id)
            if view is not None and view.state is JobState.FAILED:
                counts = [
                    count
                    for task, count in workers.failures.items()
                    if task.step.job_id == job_id
                ]
                assert max(counts, default=0) == make_queue().max_attempts


async def stop_owners(cell: MemoryCell, random: Random) -> None:
    """Stop the owner again and again, at times while the store refuses it."""
    for _ in range(STOP_COUNT):
        await asyncio.sleep(STOP_INTERVAL_S)
        for address in cell.owners:
            store = cell.stores[address]
            store.is_refused = random.random() < 0.5
            store.loses_answers = random.random() < 0.3
            await asyncio.sleep(random.uniform(0.0, 0.4))
            await cell.stop_process(address)
            store.is_refused = store.loses_answers = False
            await cell.start_process(address, 1.0)


@pytest.mark.parametrize("seed", range(4))
def test_planned_stops_of_owners_in_series_add_no_failure(seed: int):
    async def main() -> None:
        random = Random(seed)
        cell = MemoryCell()
        cell.workers = workers = FailingWorkers(random)
        cell.worker_list.entries = (make_entry(0),)
        for number in range(4):
            await cell.start_process(f"{number}:1", 1.0)
        for number in range(JOB_COUNT):
            record = make_record(number, make_step(2))
            cell.store.put(JOB_TABLE, record.job_id, encode(record))
        stops = asyncio.create_task(stop_owners(cell, random))
        while not stops.done():
            await asyncio.sleep(0.01)
            check_shown_states(cell, workers)
        await stops
        await asyncio.sleep(20.0)
        check_shown_states(cell, workers)
        stored = (await load_stored_cell(cell.store)).unwrap()
        states = {progress.state for progress in stored.progress.values()}
        assert len(stored.progress) == JOB_COUNT
        assert JobState.FAILED in states
        assert all(state.is_final for state in states)
        assert await cell.read_epoch() > STOP_COUNT / 2

    run_with_virtual_clock(main())
