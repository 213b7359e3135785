"""Tests that each process learns in time which failure domains are kept free."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit

import orjson
import pytest
from result import Err, Result

from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.codec import encode
from fuchsiadale.decision.workflow.domain_drains import DrainRow, DrainRowState
from fuchsiadale.decision.workflow.messages import StartOutcome, StartRun
from fuchsiadale.platform.documents import OPERATOR_TABLE
from fuchsiadale.platform.http import Reply
from fuchsiadale.platform.registry import PlatformConfigurationSource
from fuchsiadale.platform.store import PlatformRowStore
from fuchsiadale.ports.rows import RowChanges, RowWrite, StoreFailure
from tests.gated_store import GatedStore
from tests.leased_cell import LeasedCell
from tests.link_builders import LinkFixture
from tests.test_cell_worker_link import TASK, ReplyLossTracker, UnansweredStarts
from tests.test_platform_adapter import CONFIGURATION, FakeHttpClient
from tests.virtual_loop import pause, run_with_virtual_clock
from tests.workflow_builders import POOL, QUEUE, make_entry, make_record, make_step

DRAIN_S = 5.0
WORKERS = 4


class OperatorStore(GatedStore):
    """The store as the watch of the configuration sees it.

    Attributes
    ----------
    is_history_lost : bool
        Whether the next watch fails because the history is lost; the watch resets it.
    """

    is_history_lost = False

    async def watch(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Watch a table unless its history is lost."""
        if self.is_history_lost and not self.is_refused:
            self.is_history_lost = False
            return Err(StoreFailure.HISTORY_LOST)
        return await super().watch(table, after_version, wait_s)


class DrainedCell(LeasedCell):
    """Cell of workers in the failure domains ``a`` and ``b``, by turns.

    Attributes
    ----------
    operator_store : OperatorStore
        The store as the watch of each process sees it.
    """

    def __init__(self) -> None:
        super().__init__(WORKERS)
        self.worker_list.entries = tuple(
            make_entry(index, zone="ab"[index % 2]) for index in range(WORKERS)
        )
        self.bounds = TimeBounds(drain_s=DRAIN_S)
        route = {**CONFIGURATION["routes"][0], "name": QUEUE, "service": POOL}  # type: ignore[index]
        del route["advice"]
        document = {"version": 1, "routes": [route], "tenants": []}
        self.store.put(OPERATOR_TABLE, "config", orjson.dumps(document))
        self.operator_store = OperatorStore(self.store)
        self.configuration_source = PlatformConfigurationSource(  # type: ignore[assignment]
            self.operator_store, reads_drains=True
        )

    def request(self, domain: str, value: bytes = b"{}") -> None:
        """Write the operator's request to drain a failure domain."""
        self.store.put(OPERATOR_TABLE, f"evacuate/{domain}", value)

    async def lift(self, domain: str) -> None:
        """Remove the request."""
        removed = ((OPERATOR_TABLE, f"evacuate/{domain}", None),)
        writes = tuple(RowWrite(*row) for row in removed)
        assert (await self.store.transact(writes)).is_ok()

    def submit(self, number: int) -> None:
        """Store a job with one task for each worker."""
        step = make_step(WORKERS, max_per_worker=1, estimated_s=60.0)
        record = make_record(number, step)
        self.store.put(JOB_TABLE, record.job_id, encode(record))

    def list_domains(self, number: int) -> str:
        """Return the failure domains in which runs of a job have started, in order."""
        zones = {entry.worker_id: entry.zone for entry in self.worker_list.entries}
        job_id = make_record(number).job_id
        return "".join(
            sorted(
                zones[span.worker_id]
                for span in self.fleet.list_spans()
                if span.task.step.job_id == job_id
            )
        )

    def count_drain_requests(self, outcome: str) -> float:
        """Return how often the only process has counted an outcome."""
        (daemon,) = self.daemons.values()
        return daemon.metrics.drain_requests.labels(outcome)._value.get()


async def start_drained_cell(*addresses: str) -> DrainedCell:
    cell = DrainedCell()
    for address in addresses or ("1:1",):
        await cell.start_process(address, 1.0)
    await asyncio.sleep(5.0)
    assert cell.owners
    return cell


def test_request_is_known_to_the_owner_at_once_and_so_is_its_removal():
    async def main() -> None:
        cell = await start_drained_cell()
        cell.request("a")
        await asyncio.sleep(0.1)
        cell.submit(0)
        await asyncio.sleep(8.0)
        assert cell.list_domains(0) == "bb"
        await cell.lift("a")
        await asyncio.sleep(1.0)
        assert cell.list_domains(0) == "aabb"
        cell.request("a")
        await asyncio.sleep(0.1)
        cell.submit(1)
        await asyncio.sleep(2.0)
        assert cell.list_domains(1) == "bb"
        assert cell.count_drain_requests("requested") == 2
        assert cell.count_drain_requests("lifted") == 1

    run_with_virtual_clock(main())


def test_start_that_is_being_recorded_when_its_domain_is_drained_is_not_sent():
    async def main() -> None:
        cell = await start_drained_cell()
        cell.stores["1:1"].answer_delay_s = 0.4
        cell.submit(0)
        await asyncio.sleep(0.3)
        cell.request("a")
        await asyncio.sleep(5.0)
        assert cell.list_domains(0) == "bb"

    run_with_virtual_clock(main())


def test_next_owner_starts_nothing_in_a_domain_that_was_drained_before():
    async def main() -> None:
        cell = await start_drained_cell("1:1", "2:1")
        cell.request("a")
        (owner,) = cell.owners
        await cell.kill_process(owner)
        cell.submit(0)
        await asyncio.sleep(10.0)
        assert cell.owners
        assert cell.list_domains(0) == "bb"

    run_with_virtual_clock(main())


def test_process_that_starts_reads_the_requests_before_its_first_start():
    async def main() -> None:
        cell = DrainedCell()
        cell.request("a")
        cell.request("b")
        cell.submit(0)
        await cell.start_process("1:1", 1.0)
        await asyncio.sleep(8.0)
        assert cell.list_domains(0) == ""
        await cell.lift("b")
        await asyncio.sleep(1.0)
        assert cell.list_domains(0) == "bb"

    run_with_virtual_clock(main())


def test_owner_that_reads_no_requests_starts_nothing_once_one_may_be_in_force():
    async def main() -> None:
        cell = await start_drained_cell()
        cell.operator_store.is_silent = True
        await asyncio.sleep(1.0)
        cell.submit(0)
        await asyncio.sleep(0.5)
        assert cell.list_domains(0) == "aabb"
        cell.request("a")
        await asyncio.sleep(DRAIN_S)
        cell.submit(1)
        await asyncio.sleep(2.0)
        assert cell.list_domains(1) == ""
        cell.operator_store.is_silent = False
        await asyncio.sleep(2.0)
        assert cell.list_domains(1) == "bb"

    run_with_virtual_clock(main())


def test_owner_that_was_paused_starts_nothing_by_what_it_knew_before():
    async def main() -> None:
        cell = await start_drained_cell()
        (daemon,) = cell.daemons.values()
        cell.submit(0)
        cell.request("a")
        pause(DRAIN_S + 1.0)
        owner = daemon._owner
        assert owner is not None
        assert daemon._drains.drains.is_outdated
        await asyncio.sleep(10.0)
        assert cell.list_domains(0) == "bb"

    run_with_virtual_clock(main())


@pytest.mark.parametrize("is_lifted", [False, True])
def test_change_in_lost_history_is_read(is_lifted: bool):
    async def main() -> None:
        cell = await start_drained_cell()
        cell.request("a")
        await asyncio.sleep(1.0)
        cell.operator_store.is_refused = True
        await asyncio.sleep(1.0)
        if is_lifted:
            await cell.lift("a")
        else:
            cell.request("b")
        cell.store._history.clear()
        cell.operator_store.is_history_lost = True
        cell.operator_store.is_refused = False
        await asyncio.sleep(1.0)
        cell.submit(0)
        await asyncio.sleep(2.0)
        assert cell.list_domains(0) == ("aabb" if is_lifted else "")

    run_with_virtual_clock(main())


def test_odd_rows_change_nothing_and_are_counted():
    async def main() -> None:
        cell = await start_drained_cell()
        cell.request("b")
        cell.request("a", b"[]")
        cell.request("", b"{}")
        cell.request("nowhere")
        await asyncio.sleep(1.0)
        cell.request("b", b"\xff")
        cell.submit(0)
        await asyncio.sleep(2.0)
        assert cell.list_domains(0) == "aa"
        assert cell.count_drain_requests("unreadable") == 3
        assert cell.count_drain_requests("unknown_domain") == 1

    run_with_virtual_clock(main())


def test_start_without_an_answer_is_not_repeated_into_a_drained_domain():
    async def main() -> None:
        worker = UnansweredStarts()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(2.0)
        order = StartRun("worker", TASK, 1, "", "", "")
        outcome = await fixture.link.start(order, lambda: not worker.lease_ends_ms)
        assert outcome is StartOutcome.UNKNOWN
        assert len(worker.lease_ends_ms) == 1
        outcome = await fixture.link.start(order, lambda: False)
        assert outcome is StartOutcome.EXPIRED
        assert len(worker.lease_ends_ms) == 1

    run_with_virtual_clock(main())


def make_row(key: str, value: object = "e30=", version: int = 5) -> dict[str, object]:
    return {
        "table": OPERATOR_TABLE,
        "key": key,
        "value": value,
        "row_version": version,
    }


def make_source(reads_drains: bool, *replies: Reply) -> PlatformConfigurationSource:
    client = FakeHttpClient(*replies)
    store = PlatformRowStore(client, "10.0.0.1:80")  # type: ignore[arg-type]
    source = PlatformConfigurationSource(store, reads_drains)
    source.calls = client.sent_calls  # type: ignore[attr-defined]
    return source


def test_reading_follows_pages_and_keeps_the_position_of_the_first():
    async def main() -> None:
        first = {"rows": [make_row("evacuate/a")], "has_more": True, "row_version": 8}
        second = {"rows": [make_row("evacuate/b"), make_row("wave/1")]}
        second |= {"has_more": True, "row_version": 9}
        source = make_source(True, Reply(200, first), Reply(200, second))
        reading = (await source.read()).unwrap()
        assert reading.drains is not None
        assert [row.failure_domain for row in reading.drains.rows] == ["a", "b"]
        assert reading.position == reading.drains.position == 8
        assert reading.drains.is_whole

    run_with_virtual_clock(main())


def test_reading_with_a_row_that_has_no_bytes_does_not_tell_what_was_removed():
    async def main() -> None:
        body = {"rows": [make_row("evacuate/a", "%")], "row_version": 8}
        reading = (await make_source(True, Reply(200, body)).read()).unwrap()
        assert reading.drains is not None
        assert not reading.drains.is_whole

    run_with_virtual_clock(main())


def test_watch_tells_of_removed_rows():
    async def main() -> None:
        row = make_row("evacuate/a", "", 7) | {"deleted": True}
        body = {"rows": [row], "row_version": 8}
        reading = (await make_source(True, Reply(200, body)).watch(5, 0.5)).unwrap()
        assert reading.drains is not None
        assert reading.drains.rows == (DrainRow("a", 7, DrainRowState.REMOVED),)
        assert not reading.drains.is_whole

    run_with_virtual_clock(main())


def test_deployment_without_the_bound_reads_no_more_than_the_configuration():
    async def main() -> None:
        body = {"rows": [make_row("evacuate/a")], "row_version": 8}
        source = make_source(False, Reply(200, body), Reply(200, body))
        assert (await source.read()).unwrap().drains is None
        assert (await source.watch(8, 0.5)).unwrap().drains is None
        url = source.calls[0][1]  # type: ignore[attr-defined]
        assert parse_qs(urlsplit(url).query)["limit"] == ["1"]

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("drain_s", "expected_s"), [(None, None), (5.0, 4.0), (1.0, 0.5)]
)
def test_known_requests_may_be_a_margin_younger_than_the_bound(
    drain_s: float | None, expected_s: float | None
):
    assert TimeBounds(drain_s=drain_s).max_drain_staleness_s == expected_s
