"""Takeovers of cells that hold the jobs of many minutes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from fuchsiadale.cell import rows
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.owner import Owner
from fuchsiadale.cell.owner_ports import OwnerPorts
from fuchsiadale.cell.progress_rows import make_progress_write
from fuchsiadale.cell.rows import (
    JOB_TABLE,
    PROGRESS_TABLE,
    ROWS_PER_SLICE,
    WORKER_TABLE,
    WorkerRow,
    load_stored_cell,
)
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.codec import encode
from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.workflow.job_progress import JobProgress
from fuchsiadale.decision.workflow.jobs import (
    JobState,
)
from fuchsiadale.decision.workflow.scheduler import Scheduler
from tests.committer_setup import OWNER
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import (
    Cell,
    make_configuration,
    make_entry,
    make_record,
    make_step,
)

JOBS = 12 * ROWS_PER_SLICE
RETENTION_S = 600.0


def store_jobs(store: MemoryRowStore, state: JobState) -> None:
    """Store jobs in a state, as an owner does."""
    for number in range(JOBS):
        record = make_record(number, make_step(13))
        store.put(JOB_TABLE, record.job_id, encode(record))
        store.put(PROGRESS_TABLE, record.job_id, encode(JobProgress(state)))


class TurnCounter:
    """Counts how often a function is called in one turn of the event loop."""

    def __init__(self, function: Callable[..., Any]) -> None:
        self._function = function
        self._calls = 0
        self.total_calls = 0
        self.most_calls_in_a_turn = 0

    def __call__(self, *args: object) -> object:
        """Call the function."""
        if not self._calls:
            asyncio.get_running_loop().call_soon(self._end_turn)
        self._calls += 1
        self.total_calls += 1
        self.most_calls_in_a_turn = max(self.most_calls_in_a_turn, self._calls)
        return self._function(*args)

    def _end_turn(self) -> None:
        self._calls = 0


@pytest.mark.parametrize("name", ["decode_progress", "_decode_ended_job"])
def test_reading_many_jobs_does_not_hold_up_the_renewal_of_the_ownership(
    monkeypatch: pytest.MonkeyPatch, name: str
):
    async def main() -> None:
        store = MemoryRowStore()
        store_jobs(store, JobState.COMPLETED)
        decoder = TurnCounter(getattr(rows, name))
        monkeypatch.setattr(rows, name, decoder)
        assert len((await load_stored_cell(store)).unwrap().records) == JOBS
        assert decoder.total_calls == JOBS
        assert decoder.most_calls_in_a_turn <= ROWS_PER_SLICE

    run_with_virtual_clock(main())


def test_recovering_many_jobs_does_not_hold_up_the_renewal_of_the_ownership(
    monkeypatch: pytest.MonkeyPatch,
):
    async def main() -> None:
        store = MemoryRowStore()
        store_jobs(store, JobState.QUEUED)
        stored = (await load_stored_cell(store)).unwrap()
        ports = OwnerPorts(store, None, None, None)  # type: ignore[arg-type]
        owner = Owner(
            ports,
            Tenure(OWNER, 0, 0.0),
            TimeBounds(),
            CellMetrics(),
            lambda reason: None,
        )
        recover = TurnCounter(owner._scheduler.recover)
        monkeypatch.setattr(owner._scheduler, "recover", recover)
        await owner.recover(stored, make_configuration())
        assert recover.total_calls == JOBS
        assert recover.most_calls_in_a_turn <= ROWS_PER_SLICE

    run_with_virtual_clock(main())


def test_ended_jobs_are_recovered_without_their_steps_unless_they_may_still_run():
    async def main() -> None:
        store = MemoryRowStore()
        store_jobs(store, JobState.CANCELLED)
        running = WorkerRow(make_entry(0), [f"{make_record(1).job_id}.0.0.2#7"])
        store.put(WORKER_TABLE, "worker-0", encode(running))
        stored = (await load_stored_cell(store)).unwrap()
        records = {record.job_id: record for record in stored.records}
        assert len(records) == JOBS
        assert records[make_record(1).job_id] == make_record(1, make_step(13))
        assert records[make_record(2).job_id].specification.steps == ()
        assert records[make_record(2).job_id].workspace == make_record().workspace

    run_with_virtual_clock(main())


def test_ended_jobs_are_not_kept_longer_by_each_takeover():
    cell = Cell(1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.plan_and_execute()
    cell.end_all_runs()
    job = cell.scheduler.jobs[make_record().job_id]
    assert job.state is JobState.COMPLETED
    written = make_progress_write(job)
    assert written.value is not None
    progress = JobProgress(JobState.COMPLETED, ended_unix_s=5.0)
    clock = ManualClock(50.0)
    for unix_s in (100.0, 500.0):
        clock.advance(100.0)
        scheduler = Scheduler(clock, 2)
        scheduler.recover(make_record(), progress, unix_s)
        scheduler.expire_jobs(RETENTION_S)
        assert scheduler.jobs
    scheduler.recover(make_record(1), progress, 606.0)
    scheduler.expire_jobs(RETENTION_S)
    assert make_record(1).job_id not in scheduler.jobs
    assert make_record(0).job_id in scheduler.jobs
