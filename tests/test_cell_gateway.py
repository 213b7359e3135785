"""Tests the gateway's replies while the store or the configuration is unavailable."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok, Result

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.gateway import CallerRequest, Gateway
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.peer_messages import ProcessIdentity
from fuchsiadale.cell.rows import (
    CANCEL_SUFFIX,
    JOB_TABLE,
    PROGRESS_TABLE,
    load_stored_cell,
)
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.decision.workflow.job_progress import JobProgress
from fuchsiadale.decision.workflow.jobs import (
    JobState,
)
from fuchsiadale.decision.workflow.specification import JobRecord
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import StoreFailure
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import (
    Cell,
    make_configuration,
    make_queue,
    make_record,
)

RECORD = make_record(1)
JOB_PATH = f"/queue/{RECORD.job_id}"


class FakeConfigurationSource(ConfigurationSource):
    """Configuration source with one configuration, which can be made unavailable."""

    def __init__(self, configuration: CellConfiguration) -> None:
        self.configuration = configuration
        self.is_unavailable = False

    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration, or fail if unavailable."""
        if self.is_unavailable:
            return Err(StoreFailure.UNAVAILABLE)
        return Ok(ConfigurationReading(self.configuration, 1))

    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration, or fail, after the wait."""
        await asyncio.sleep(wait_s)
        return await self.read()


class GatewayFixture:
    """A gateway with a configuration and a store, but without an owner of the cell."""

    def __init__(self, limit: Resources = NO_LIMIT) -> None:
        public = make_queue("public", is_public=True)
        configuration = make_configuration(make_queue(), public, limit=limit)
        self.source = FakeConfigurationSource(configuration)
        self.store = MemoryRowStore()
        self.watch = ConfigurationWatch(self.source, lambda configuration: None)
        ownership = Ownership(
            self.store,
            ProcessIdentity("node", "1:1"),
            _refuse_takeover,
            lambda epoch: None,
        )
        self.notified_keys: list[str] = []
        self.gateway = Gateway(
            self.watch,
            self.store,
            ownership,
            lambda: None,
            lambda job_id: None,
            lambda key, value: self.notified_keys.append(key),
            TimeBounds(),
        )

    async def start(self) -> None:
        """Start to watch the configuration and wait until it is received."""
        self.task = asyncio.create_task(self.watch.run())
        await asyncio.sleep(0.01)

    async def submit(self, path: str = JOB_PATH, key: str = "key") -> ErrorKind | None:
        """Submit a job; return the kind of the error, or None if it is accepted."""
        outcome = await self.gateway.submit(
            CallerRequest("host", path, key), Ok(RECORD.specification)
        )
        return error_kind(outcome)


async def _refuse_takeover(acquired: object) -> bool:
    return False


def error_kind(outcome: Result[object, Refusal]) -> ErrorKind | None:
    return outcome.err_value.kind if isinstance(outcome, Err) else None


def test_submitted_job_is_stored_once_and_its_resubmission_accepted():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        assert await fixture.submit() is None
        assert await fixture.submit() is None
        assert [write.key for write in fixture.store.applied_writes] == [RECORD.job_id]

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("path", "key", "kind"),
    [
        (JOB_PATH, "other", ErrorKind.UNAUTHENTICATED),
        ("/nowhere/" + RECORD.job_id, "key", ErrorKind.NOT_FOUND),
        ("/queue/not-an-id", "key", ErrorKind.MALFORMED),
        (f"/public/{RECORD.job_id}", "", None),
    ],
)
def test_submission_needs_valid_api_key_unless_public_and_valid_queue_and_job_id(
    path: str, key: str, kind: ErrorKind | None
):
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        assert await fixture.submit(path, key) is kind

    run_with_virtual_clock(main())


def test_accepted_job_is_not_lost_when_its_queue_is_removed_before_a_takeover():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        await fixture.submit()
        stored = fixture.store.applied_writes[0].value
        assert stored is not None
        newest = make_configuration(make_queue("other"), version=2)
        cell = Cell(1, newest, epoch=2)
        cell.adopt_workers()
        cell.scheduler.recover(decode(stored, JobRecord).unwrap(), None, 0.0)
        cell.plan_and_execute()
        assert len(cell.starts) == 1

    run_with_virtual_clock(main())


def test_workspace_that_the_owner_does_not_know_yet_is_not_without_a_limit():
    async def main() -> None:
        fixture = GatewayFixture(Resources(1000, 1 << 30, 1 << 30))
        await fixture.start()
        for number in range(3):
            await fixture.submit(f"/queue/{number:016x}")
        cell = Cell(1, CellConfiguration(1, (make_queue(),), ()))
        cell.adopt_workers()
        for write in fixture.store.applied_writes:
            assert write.value is not None
            cell.scheduler.accept(decode(write.value, JobRecord).unwrap(), 0.0)
        cell.plan_and_execute()
        assert len(cell.starts) == 1

    run_with_virtual_clock(main())


def test_submission_is_refused_before_a_configuration_is_received():
    async def main() -> None:
        fixture = GatewayFixture()
        assert await fixture.submit() is ErrorKind.CONFIG_STALE

    run_with_virtual_clock(main())


def test_api_keys_are_refused_when_the_configuration_is_stale():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        fixture.source.is_unavailable = True
        await asyncio.sleep(4.5)
        assert await fixture.submit() is ErrorKind.CONFIG_STALE

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("path", "key"), [(JOB_PATH, "other"), ("/nowhere/" + RECORD.job_id, "key")]
)
def test_what_may_have_been_added_meanwhile_is_not_denied_for_good(path: str, key: str):
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        fixture.source.is_unavailable = True
        await asyncio.sleep(TimeBounds().configuration_s + 0.2)
        assert await fixture.submit(path, key) is ErrorKind.CONFIG_STALE

    run_with_virtual_clock(main())


def test_write_is_repeated_after_the_store_loses_a_reply():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        fixture.store.lost_answers = 1
        assert await fixture.submit() is None

    run_with_virtual_clock(main())


def test_write_whose_outcome_stays_unknown_is_reported_as_unknown():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        fixture.store.lost_answers = 1

        async def lose(*args: object) -> Result[int, StoreFailure]:
            return Err(StoreFailure.UNKNOWN)

        fixture.store.transact = lose  # type: ignore[method-assign,assignment]
        assert await fixture.submit() is ErrorKind.OUTCOME_UNKNOWN

    run_with_virtual_clock(main())


def test_submission_is_not_sent_to_a_store_that_does_not_respond():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        fixture.source.is_unavailable = True
        await asyncio.sleep(1.2)
        assert await fixture.submit() is ErrorKind.STORE_UNAVAILABLE
        assert fixture.store.applied_writes == []

    run_with_virtual_clock(main())


def test_job_state_and_cancellation_use_the_store_without_an_owner():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        request = CallerRequest("host", JOB_PATH, "key")
        assert (
            error_kind(await fixture.gateway.get_job_state(request))
            is ErrorKind.NO_SUCH_JOB
        )
        await fixture.submit()
        assert (
            await fixture.gateway.get_job_state(request)
        ).unwrap() is JobState.QUEUED
        assert isinstance(await fixture.gateway.cancel(request), Ok)
        assert (
            await fixture.gateway.get_job_state(request)
        ).unwrap() is JobState.CANCELLED
        assert fixture.notified_keys == [RECORD.job_id, f"{RECORD.job_id}/cancel"]

    run_with_virtual_clock(main())


def test_cancelled_job_that_the_store_writes_late_does_not_start():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        request = CallerRequest("host", JOB_PATH, "key")
        cancelled = await fixture.gateway.cancel(request)
        assert error_kind(cancelled) is ErrorKind.NO_SUCH_JOB
        writes = list(fixture.store.applied_writes)
        fixture.store.put(JOB_TABLE, RECORD.job_id, encode(RECORD))
        cells = [Cell(1), Cell(1, epoch=2)]
        watching, successor = (cell.scheduler for cell in cells)
        for write in writes:
            assert write.key == RECORD.job_id + CANCEL_SUFFIX
            watching.cancel(write.key.removesuffix(CANCEL_SUFFIX))
        watching.accept(RECORD, 0.0)
        stored = (await load_stored_cell(fixture.store)).unwrap()
        successor.recover(stored.records[0], None, 0.0)
        for job_id in stored.cancelled:
            successor.cancel(job_id)
        for cell in cells:
            cell.adopt_workers()
            cell.plan_and_execute()
            assert cell.starts == []
            assert cell.scheduler.jobs[RECORD.job_id].state is JobState.CANCELLED
        shown = await fixture.gateway.get_job_state(request)
        assert shown.unwrap() is JobState.CANCELLED

    run_with_virtual_clock(main())


def test_cancellation_of_an_unknown_job_is_not_confirmed_before_it_is_stored():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()

        async def lose(*args: object) -> Result[int, StoreFailure]:
            return Err(StoreFailure.UNKNOWN)

        fixture.store.transact = lose  # type: ignore[method-assign,assignment]
        request = CallerRequest("host", JOB_PATH, "key")
        cancelled = await fixture.gateway.cancel(request)
        assert error_kind(cancelled) is ErrorKind.OUTCOME_UNKNOWN

    run_with_virtual_clock(main())


def test_recorded_final_state_is_returned_without_an_owner():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        fixture.store.put(JOB_TABLE, RECORD.job_id, encode(RECORD))
        progress = encode(JobProgress(JobState.COMPLETED))
        fixture.store.put(PROGRESS_TABLE, RECORD.job_id, progress)
        shown = await fixture.gateway.get_job_state(
            CallerRequest("host", JOB_PATH, "key")
        )
        assert shown.unwrap() is JobState.COMPLETED

    run_with_virtual_clock(main())


def test_pending_count_is_refused_without_an_owner():
    async def main() -> None:
        fixture = GatewayFixture()
        await fixture.start()
        request = CallerRequest("host", "/queue/", "key")
        assert fixture.gateway.is_queue_path(request)
        counted = await fixture.gateway.count_pending(request)
        assert error_kind(counted) is ErrorKind.NO_OWNER

    run_with_virtual_clock(main())
