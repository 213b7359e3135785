"""Feeds malformed documents and replies to everything that decodes them."""

from __future__ import annotations

import math

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fuchsiadale.cell.owner_row import CONTROL_TABLE, OWNER_KEY, read_owner
from fuchsiadale.decision.workflow.names import parse_task_name
from fuchsiadale.platform.documents import (
    MAX_TASKS_PER_JOB,
    decode_configuration,
    decode_job,
    decode_worker,
)
from fuchsiadale.platform.http import Reply
from fuchsiadale.platform.settings import read_cell_settings
from fuchsiadale.platform.worker_api import PlatformWorkerClient
from fuchsiadale.ports.rows import StoreFailure
from fuchsiadale.ports.task_workers import PollRequest, WorkerAddress
from tests.row_store import MemoryRowStore
from tests.test_platform_adapter import FakeWorkerConnections
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import Cell, make_record, make_step

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**53), 2**53)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "nan", "inf", "-1", "\u00b2", "a.0.0.0", "done", "ready"])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(["id", "cpu", "count"]), inner, max_size=3)
    ),
    max_leaves=8,
)


def documents(*fields: str) -> st.SearchStrategy[bytes]:
    """Return documents with some of the fields and values of any kind, or any bytes."""
    objects = st.dictionaries(st.sampled_from(fields), values)
    return st.binary(max_size=30) | objects.map(orjson.dumps)


steps = st.lists(
    st.dictionaries(
        st.sampled_from(
            ["count", "cpu", "mem_mb", "gpu", "after", "estimated_ms", "target_ms"]
        ),
        values,
    ),
    max_size=3,
)
jobs = st.fixed_dictionaries(
    {"steps": steps},
    optional={"spec": values, "repetitions": values, "interval_ms": values},
)


@given(documents("spec", "steps", "repetitions") | jobs.map(orjson.dumps))
def test_job_is_refused_or_has_only_amounts_that_make_sense(body: bytes):
    decoded = decode_job(body)
    if isinstance(decoded, Err):
        return
    job = decoded.ok_value
    assert sum(step.count for step in job.steps) * job.occurrences <= MAX_TASKS_PER_JOB
    assert job.occurrences >= 1
    for step in job.steps:
        request = step.request
        amounts = (request.cpu_millis, request.memory_mb, request.accelerators)
        assert step.count >= 1
        assert all(amount >= 0 for amount in amounts)
        assert math.isfinite(step.estimated_s)
        assert step.estimated_s >= 0.0


@pytest.mark.parametrize(
    "body",
    [
        {"steps": [{"count": 0}]},
        {"steps": [{"count": 1, "cpu": -1000}]},
        {"steps": [{"count": 1, "estimated_ms": "nan"}]},
        {"steps": [{"count": 1}], "repetitions": -3},
        {"steps": [{"count": 1}], "repetitions": 2, "interval_ms": -1},
    ],
)
def test_job_with_an_impossible_amount_is_refused(body: dict[str, object]):
    assert isinstance(decode_job(orjson.dumps(body)), Err)


@given(documents("version", "routes", "tenants"))
def test_configuration_is_decoded_or_refused(body: bytes):
    assert isinstance(decode_configuration(body), Ok | Err)


@given(documents("state", "service", "address", "zone", "capacity", "labels", "born"))
def test_registration_is_decoded_or_left_out(body: bytes):
    decode_worker("worker", body)


@given(
    st.dictionaries(
        st.sampled_from(["clock_ms", "born", "running", "finished"]),
        values | st.lists(st.lists(scalars, max_size=6), max_size=3),
    )
)
def test_report_of_a_worker_is_decoded_without_its_malformed_rows(
    body: dict[str, object],
):
    async def main() -> None:
        workers = PlatformWorkerClient(FakeWorkerConnections(Reply(200, body)))  # type: ignore[arg-type]
        address = WorkerAddress("worker", "10.0.0.1:80")
        polled = await workers.poll(address, PollRequest(1, 1, 0, 0.0), 1.0)
        assert isinstance(polled, Ok)

    run_with_virtual_clock(main())


def test_malformed_row_is_left_out_and_makes_the_report_incomplete():
    async def main() -> None:
        name = str(make_record().job_id) + ".0.0.0"
        body = {"running": [[name, 1, "", 5], [name, None]], "finished": [[1]]}
        workers = PlatformWorkerClient(FakeWorkerConnections(Reply(200, body)))  # type: ignore[arg-type]
        address = WorkerAddress("worker", "10.0.0.1:80")
        polled = await workers.poll(address, PollRequest(1, 1, 0, 0.0), 1.0)
        report = polled.unwrap()
        assert len(report.running) == 1
        assert not report.is_complete

    run_with_virtual_clock(main())


def test_run_that_is_missing_from_an_incomplete_report_is_not_started_again():
    cell = Cell(2)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(1)), 0.0)
    cell.plan_and_execute()
    (start,) = cell.starts
    worker = cell.scheduler.workers[start.worker_id]
    run = worker.runs[start.task, start.run]
    cell.clock.advance(1.0)
    report = cell.make_report(start.worker_id, is_complete=False)
    cell.execute(
        cell.scheduler.process_report(start.worker_id, report, cell.clock.now())
    )
    cell.plan_and_execute()
    assert list(worker.runs.values()) == [run]
    assert cell.starts == [start]


@pytest.mark.parametrize("text", ["a.0.0.\u00b2", "a.0.0", "a.0.0.-1", "a.0.0.x"])
def test_malformed_task_name_is_no_task(text: str):
    assert parse_task_name(text) is None


def test_owner_row_that_is_unreadable_does_not_make_the_cell_ownerless():
    async def main() -> None:
        store = MemoryRowStore()
        store.put(CONTROL_TABLE, OWNER_KEY, b"\xc1")
        assert await read_owner(store) == Err(StoreFailure.UNAVAILABLE)

    run_with_virtual_clock(main())


def test_settings_that_are_not_text_are_refused(tmp_path):  # type: ignore[no-untyped-def]
    path = tmp_path / "boot.conf"
    path.write_bytes(b"node_name=\xff\xfe")
    assert isinstance(read_cell_settings(path), Err)
