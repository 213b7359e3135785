"""Stored rows that a new owner cannot read."""

from __future__ import annotations

import pytest

from fuchsiadale.cell.rows import (
    CANCEL_SUFFIX,
    JOB_TABLE,
    PROGRESS_TABLE,
    WORKER_TABLE,
    WorkerRow,
    load_stored_cell,
)
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.job_progress import JobProgress
from fuchsiadale.decision.workflow.jobs import (
    JobState,
)
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_entry, make_record


def test_job_with_unreadable_progress_is_not_run_from_its_start_again():
    async def main() -> None:
        store = MemoryRowStore()
        for number in (1, 2):
            record = make_record(number)
            store.put(JOB_TABLE, record.job_id, encode(record))
        store.put(PROGRESS_TABLE, make_record(1).job_id, b"\xc1")
        progress = JobProgress(JobState.RUNNING)
        store.put(PROGRESS_TABLE, make_record(2).job_id, encode(progress))
        stored = (await load_stored_cell(store)).unwrap()
        assert stored.records == (make_record(2),)
        assert stored.progress == {make_record(2).job_id: progress}

    run_with_virtual_clock(main())


def test_cancellation_of_an_unreadable_job_is_not_taken_for_one_without_a_job():
    async def main() -> None:
        store = MemoryRowStore()
        for number in (1, 2):
            store.put(JOB_TABLE, make_record(number).job_id + CANCEL_SUFFIX, b"1")
        store.put(JOB_TABLE, make_record(1).job_id, b"\xc1")
        stored = (await load_stored_cell(store)).unwrap()
        assert stored.cancelled == {make_record(2).job_id}

    run_with_virtual_clock(main())


@pytest.mark.parametrize("text", ["", "#1", "a.0.0.0", "a.0.0.0#", "a.0.0.0#x"])
def test_unreadable_run_of_a_worker_does_not_keep_the_cell_without_an_owner(text: str):
    async def main() -> None:
        store = MemoryRowStore()
        row = WorkerRow(make_entry(0), [text, "a.0.0.1#7"])
        store.put(WORKER_TABLE, "worker-0", encode(row))
        stored = (await load_stored_cell(store)).unwrap()
        assert [run for _, run in stored.workers[0].runs] == [7]

    run_with_virtual_clock(main())
