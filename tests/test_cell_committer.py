"""Tests of what the owner commits and of when it loses the ownership."""

from __future__ import annotations

import asyncio

import pytest
from result import Ok

from fuchsiadale.cell.committer import RENEWAL_INTERVAL_S
from fuchsiadale.cell.lease_terms import MAX_RENEWAL_AGE_S
from fuchsiadale.cell.owner_row import (
    CONTROL_TABLE,
    OWNER_KEY,
    OwnerRow,
    read_owner,
    write_owner,
)
from fuchsiadale.cell.rows import CANCEL_SUFFIX, JOB_TABLE, load_stored_cell
from fuchsiadale.cell.tenure import MAX_COMMIT_S
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.job_tracker import EARLY_CANCELLATION_S
from fuchsiadale.decision.workflow.jobs import JobState
from tests.committer_setup import OWNER, CommitterSetup
from tests.gated_store import GatedStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import STARTED_MS, make_record

SUCCESSOR = OwnerRow("other", "2:2", "that", 2)


def test_stored_cell_contains_started_run_and_then_final_job_state():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        cell.scheduler.accept(make_record(), 0.0)
        start = cell.plan()[0]
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert stored.workers[0].runs == [(start.task, start.run)]
        assert cell.scheduler.is_start_recorded(start)
        cell.execute([start])
        cell.end_all_runs()
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert stored.progress[make_record().job_id].state is JobState.COMPLETED
        assert setup.processed_ends[-1]["worker-0"].sequence_number == 1

    run_with_virtual_clock(main())


def test_cancellation_without_a_job_is_removed_from_the_store_after_some_time():
    async def main() -> None:
        setup = CommitterSetup()
        scheduler, job_id = setup.cell.scheduler, make_record().job_id
        setup.store.put(JOB_TABLE, job_id + CANCEL_SUFFIX, b"1")
        scheduler.cancel(job_id)
        for wait_s, is_stored in ((EARLY_CANCELLATION_S, True), (1.0, False)):
            setup.cell.clock.advance(wait_s)
            scheduler.expire_cancellations()
            setup.committer.request_commit()
            await asyncio.sleep(0.1)
            stored = (await load_stored_cell(setup.store)).unwrap()
            assert (job_id in stored.cancelled) is is_stored
        assert not scheduler.early_cancellations
        assert not scheduler.expired_cancellations

    run_with_virtual_clock(main())


def test_cancellation_that_is_repeated_before_its_removal_stays_stored():
    async def main() -> None:
        setup = CommitterSetup()
        scheduler, job_id = setup.cell.scheduler, make_record().job_id
        setup.store.put(JOB_TABLE, job_id + CANCEL_SUFFIX, b"1")
        scheduler.cancel(job_id)
        setup.store.is_down = True
        setup.cell.clock.advance(EARLY_CANCELLATION_S + 1.0)
        scheduler.expire_cancellations()
        scheduler.cancel(job_id)
        setup.store.is_down = False
        setup.committer.request_commit()
        await asyncio.sleep(1.0)
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert job_id in stored.cancelled
        setup.task.cancel()

    run_with_virtual_clock(main())


@pytest.mark.parametrize("is_in_flight", [False, True])
def test_job_that_expires_before_its_last_end_is_recorded_does_not_stop_the_commits(
    is_in_flight: bool,
):
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        for number in (0, 1):
            cell.scheduler.accept(make_record(number), 0.0)
        cell.plan_and_execute()
        job = cell.scheduler.jobs[make_record(0).job_id]
        cell.scheduler.cancel(job.record.job_id)
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        assert job.recorded_state is JobState.CANCELLED
        setup.store.is_down = is_in_flight
        cell.end_all_runs()
        cell.clock.advance(1.0)
        setup.committer.request_commit()
        await asyncio.sleep(0.008 if is_in_flight else 0.0)
        cell.scheduler.expire_jobs(0.5)
        await asyncio.sleep(1.0)
        setup.store.is_down = False
        await asyncio.sleep(1.0)
        assert not setup.task.done()
        other = cell.scheduler.jobs[make_record(1).job_id]
        assert other.recorded_state is JobState.COMPLETED
        setup.task.cancel()

    run_with_virtual_clock(main())


def test_worker_that_was_removed_and_is_back_stays_in_the_store_with_its_runs():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        setup.store.is_down = True
        first, *others = cell.entries
        cell.scheduler.mark_worker_unresponsive(first.worker_id)
        cell.scheduler.update_registrations(others)
        assert cell.scheduler.remove_gone_workers() == [first.worker_id]
        cell.scheduler.update_registrations(cell.entries)
        cell.poll(first.worker_id)
        setup.store.is_down = False
        await asyncio.sleep(1.0)
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert {row.entry for row in stored.workers} == set(cell.entries)
        setup.task.cancel()

    run_with_virtual_clock(main())


def test_row_of_a_worker_that_has_restarted_gives_its_new_start():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        cell.scheduler.accept(make_record(0), 0.0)
        cell.plan_and_execute()
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        cell.poll("worker-0", STARTED_MS + 1)
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        stored = (await load_stored_cell(setup.store)).unwrap()
        (row,) = stored.workers
        assert row.runs
        assert row.started_ms == STARTED_MS + 1
        setup.task.cancel()

    run_with_virtual_clock(main())


def test_ownership_is_renewed_until_another_owner_is_stored():
    async def main() -> None:
        setup = CommitterSetup()
        await asyncio.sleep(3.0)
        assert setup.tenure.renewed_age_s < 1.0
        found = (await read_owner(setup.store)).unwrap()
        assert isinstance(await write_owner(setup.store, SUCCESSOR, found.version), Ok)
        await asyncio.sleep(1.0)
        assert setup.loss_reasons == ["superseded"]

    run_with_virtual_clock(main())


def test_resignation_is_stored_although_a_commit_was_in_progress():
    async def main() -> None:
        setup = CommitterSetup()
        await asyncio.sleep(1.0)
        setup.task.cancel()
        # The commit takes effect, but its answer does not arrive any more.
        setup.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
        await setup.committer.resign()
        found = (await read_owner(setup.store)).unwrap()
        assert found.row is not None
        assert found.row.has_resigned

    run_with_virtual_clock(main())


@pytest.mark.parametrize("tick_count", range(6))
def test_owner_stops_to_renew_although_a_commit_is_requested_at_that_moment(
    tick_count: int,
):
    async def main() -> None:
        setup = CommitterSetup()
        await asyncio.sleep(1.0)
        setup.committer.request_commit()
        for _ in range(tick_count):
            await asyncio.sleep(0.0)
        setup.task.cancel()
        await asyncio.sleep(0.1)
        is_stopped = setup.task.done()
        setup.task.cancel()
        assert is_stopped

    run_with_virtual_clock(main())


def test_resignation_does_not_replace_a_successor():
    async def main() -> None:
        setup = CommitterSetup()
        await asyncio.sleep(1.0)
        setup.task.cancel()
        setup.store.put(CONTROL_TABLE, OWNER_KEY, encode(SUCCESSOR))
        await setup.committer.resign()
        assert (await read_owner(setup.store)).unwrap().row == SUCCESSOR

    run_with_virtual_clock(main())


def test_ownership_survives_transactions_with_lost_answers():
    async def main() -> None:
        setup = CommitterSetup()
        setup.store.lost_answers = 2
        await asyncio.sleep(3.0)
        assert setup.loss_reasons == []
        assert setup.tenure.renewed_age_s < 1.0

    run_with_virtual_clock(main())


def test_ownership_is_lost_when_store_outage_exceeds_max_renewal_age():
    async def main() -> None:
        setup = CommitterSetup()
        await asyncio.sleep(1.0)
        setup.store.is_down = True
        await asyncio.sleep(MAX_RENEWAL_AGE_S - 1.0)
        assert setup.loss_reasons == []
        await asyncio.sleep(2.0)
        assert setup.loss_reasons == ["not_renewed"]

    run_with_virtual_clock(main())


def test_resignation_is_stored_in_the_owner_row():
    async def main() -> None:
        setup = CommitterSetup()
        await asyncio.sleep(0.5)
        setup.task.cancel()
        await setup.committer.resign()
        found = (await read_owner(setup.store)).unwrap()
        assert found.row is not None
        assert found.row.has_resigned

    run_with_virtual_clock(main())


def test_ended_job_is_removed_from_the_store_only_after_its_retention():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        for number in range(2):
            record = make_record(number)
            cell.scheduler.accept(record, 0.0)
            setup.store.put(JOB_TABLE, record.job_id, encode(record))
        cell.scheduler.cancel(make_record(0).job_id)
        setup.store.put(JOB_TABLE, make_record(0).job_id + CANCEL_SUFFIX, b"1")
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        cell.clock.advance(99.0)
        cell.scheduler.expire_jobs(100.0)
        assert len(cell.scheduler.jobs) == 2
        cell.clock.advance(2.0)
        cell.scheduler.expire_jobs(100.0)
        await asyncio.sleep(1.0)
        stored = (await load_stored_cell(setup.store)).unwrap()
        assert [record.job_id for record in stored.records] == [make_record(1).job_id]
        assert stored.cancelled == frozenset()
        assert list(cell.scheduler.jobs) == [make_record(1).job_id]
        assert not cell.scheduler.expired_jobs

    run_with_virtual_clock(main())


def test_expired_job_is_remembered_until_the_store_has_removed_its_rows():
    async def main() -> None:
        setup = CommitterSetup()
        cell = setup.cell
        cell.adopt_workers()
        cell.scheduler.accept(make_record(), 0.0)
        cell.scheduler.cancel(make_record().job_id)
        setup.committer.request_commit()
        await asyncio.sleep(0.1)
        setup.store.is_down = True
        cell.clock.advance(200.0)
        cell.scheduler.expire_jobs(100.0)
        await asyncio.sleep(1.0)
        assert cell.scheduler.expired_jobs
        setup.store.is_down = False
        await asyncio.sleep(1.0)
        assert not cell.scheduler.expired_jobs

    run_with_virtual_clock(main())


def test_owner_reports_that_it_cannot_renew_only_after_repeated_failures():
    async def main() -> None:
        setup = CommitterSetup()
        await asyncio.sleep(1.0)
        setup.store.is_down = True
        await asyncio.sleep(0.5)
        assert not setup.tenure.cannot_renew
        await asyncio.sleep(0.5)
        assert setup.tenure.cannot_renew
        setup.store.is_down = False
        await asyncio.sleep(0.5)
        assert not setup.tenure.cannot_renew

    run_with_virtual_clock(main())


def test_owner_counts_as_cut_from_a_silent_store_until_the_store_answers():
    async def main() -> None:
        setup = CommitterSetup()
        store = setup.committer._store = GatedStore(setup.store)
        store.is_silent = True
        await asyncio.sleep(RENEWAL_INTERVAL_S + MAX_COMMIT_S + 0.01)
        for _ in range(300):
            due_s = setup.tenure.unreachable_from_s
            assert due_s is not None
            assert due_s < asyncio.get_running_loop().time()
            await asyncio.sleep(0.01)
        store.is_silent = False
        await asyncio.sleep(2.0)
        assert setup.tenure.unreachable_from_s is None
        assert setup.loss_reasons == []

    run_with_virtual_clock(main())
