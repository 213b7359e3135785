"""Entries and messages of other writers, of which one must cost no more than itself."""

from __future__ import annotations

import asyncio

import msgpack
import orjson
import pytest
from result import Err, Ok

from fuchsiadale.cell.rows import JOB_TABLE, WorkerRow
from fuchsiadale.codec import decode, encode
from fuchsiadale.platform.documents import (
    WORKERS_TABLE,
    decode_configuration,
    decode_job,
    decode_worker,
)
from fuchsiadale.platform.http import HttpClient, NoReply
from fuchsiadale.platform.registry import PlatformWorkerList
from fuchsiadale.supervisor import RESTART_DELAY_S
from tests.memory_cell import MemoryCell
from tests.row_store import MemoryRowStore
from tests.test_platform_adapter import CONFIGURATION, REGISTRATION
from tests.test_worker_reports import make_report_body, poll_report
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import STARTED_MS, Cell, make_entry, make_record, make_step

NESTED = "@nested@"
"""Stands for a list that is nested 1,000 deep, which no encoder takes."""


def dump(document: object) -> bytes:
    """Return a document as JSON, with deeply nested lists in the place of `NESTED`."""
    text = orjson.dumps(document).decode()
    return text.replace(f'"{NESTED}"', "[" * 1000 + "]" * 1000).encode()


ODD_FIELDS = [
    {"labels": [[["a"]]]},
    {"labels": NESTED},
    {"labels": "ab"},
    {"labels": ["a", 1]},
    {"address": "10.0.0.9:65536"},
    {"address": "10.0.0.9:0"},
    {"address": "10.0.0.9:-1"},
    {"address": "10.0.0.9:\u0661"},
    {"address": ":80"},
    {"address": "[::1"},
    {"address": "10.0.0.9"},
    {"address": "a" * 64 + ".example:80"},
    {"address": "a..example:80"},
    {"address": "10.0.0.9:80/x?y"},
    {"address": 5},
    {"born": 1e308},
    {"born": 2**64 - 1},
    {"born": -1},
    {"born": "17"},
    {"born": True},
    {"slots": 1e308},
    {"slots": "8"},
    {"sequence": -1},
    {"sequence": 2**63},
    {"remaining_ms": 1e308},
    {"remaining_ms": "soon"},
    {"cold_remaining_ms": -5},
    {"version": NESTED},
    {"capacity": {"cpu": 1e308}},
    {"capacity": {"cpu": "16000"}},
    {"capacity": NESTED},
    {"state": "gone"},
    {"state": []},
    {"service": None},
    {"zone": {}},
]


@pytest.mark.parametrize("fields", ODD_FIELDS)
def test_odd_entry_names_no_worker_and_the_others_hold(fields: dict[str, object]):
    async def main() -> None:
        store = MemoryRowStore()
        store.put(WORKERS_TABLE, "i-1", orjson.dumps(REGISTRATION))
        store.put(WORKERS_TABLE, "i-2", dump({**REGISTRATION, **fields}))
        store.put(WORKERS_TABLE, "i-3", orjson.dumps(REGISTRATION))
        entries = (await PlatformWorkerList(store).read()).unwrap()
        assert [entry.worker_id for entry in entries] == ["i-1", "i-3"]

    run_with_virtual_clock(main())


@pytest.mark.parametrize("worker_id", ["", "i\r\nx", "i-\u00b2", "a b"])
def test_entry_whose_id_cannot_be_sent_names_no_worker(worker_id: str):
    assert decode_worker(worker_id, orjson.dumps(REGISTRATION)) is None


def test_entry_without_the_fields_that_are_not_used_names_a_worker():
    assert decode_worker("i-1", orjson.dumps(REGISTRATION)) is not None
    used = {**REGISTRATION, "slots": 8, "sequence": 2**40, "version": "v1"}
    assert decode_worker("i-1", orjson.dumps(used)) is not None


@pytest.mark.parametrize(
    "url",
    [
        "http://10.0.0.9:65536/",
        "http://10.0.0.9:0/",
        "http://:80/",
        "http://[::1/",
        "http://" + "a" * 64 + ".example:80/",
        "http://a..example:80/",
    ],
)
def test_call_to_an_impossible_address_is_known_not_to_be_sent(url: str):
    async def main() -> None:
        client = HttpClient()
        reply = await client.call("POST", url, {}, timeout_s=0.2)
        await client.close()
        assert isinstance(reply, NoReply)
        assert not reply.was_sent

    asyncio.run(main())


@pytest.mark.parametrize("number", [1e308, 2**64 - 1, -1, "1", True, [[1]]])
@pytest.mark.parametrize("place", [0, 2])
def test_end_with_an_odd_number_is_left_out_of_a_report(place: int, number: object):
    body = make_report_body(2)
    finished = body["finished"]
    assert isinstance(finished, list)
    finished[0][place] = number
    report = poll_report(body)
    assert [end.sequence_number for end in report.ended] == [2]
    assert not report.is_complete


@pytest.mark.parametrize("field", ["born", "clock_ms"])
@pytest.mark.parametrize("number", [1e308, 2**64 - 1, -1, "1", True])
def test_report_with_an_odd_number_is_incomplete(field: str, number: object):
    report = poll_report({**make_report_body(0), field: number})
    assert not report.is_complete
    assert decode(encode(WorkerRow(make_entry(0), [], report.started_ms)), WorkerRow)


def test_report_that_does_not_give_the_start_is_no_restart():
    cell = Cell(1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    cell.poll("worker-0", 0)
    worker = cell.scheduler.workers["worker-0"]
    assert worker.started_ms == STARTED_MS
    cell.poll("worker-0")
    decisions, _ = cell.scheduler.decisions.pop_all()
    assert "worker_restarted" not in {decision.kind for decision in decisions}


@pytest.mark.parametrize("field", ["requirements", "affinity", "image"])
def test_job_with_a_deeply_nested_field_is_refused(field: str):
    body = {"steps": [{"count": 1, field: NESTED}]}
    assert isinstance(decode_job(dump(body)), Err)


@pytest.mark.parametrize(
    "fields",
    [
        {"version": 1e308},
        {"version": -1},
        {"tenants": [{"name": NESTED}]},
        {"tenants": [{"name": "t", "api_keys": [5]}]},
        {"tenants": [{"name": "t", "weight": 1e308}]},
        {"routes": [{**CONFIGURATION["routes"][0], "host": 5}]},  # type: ignore[index]
    ],
)
def test_configuration_with_an_odd_field_is_refused(fields: dict[str, object]):
    body = dump({**CONFIGURATION, **fields})
    assert isinstance(decode_configuration(body), Err)


@pytest.mark.parametrize("depth", [400, 3000])
def test_deeply_nested_row_is_an_error(depth: int):
    body = b"\x91" * depth + b"\x90"
    assert isinstance(decode(body, WorkerRow), Err)
    assert isinstance(decode(msgpack.packb({"entry": [[[]]]}), WorkerRow), Err)


def test_job_row_of_another_writer_does_not_end_the_watch_of_jobs():
    async def main() -> None:
        cell = MemoryCell()
        cell.worker_list.entries = (make_entry(0),)
        await cell.start_process("1:1", 10.0)
        await asyncio.sleep(3.0)
        odd = make_record(1, make_step(1, after=(5,)))
        cell.store.put(JOB_TABLE, odd.job_id, encode(odd))
        good = make_record(2)
        cell.store.put(JOB_TABLE, good.job_id, encode(good))
        await asyncio.sleep(RESTART_DELAY_S)
        started = {task.step.job_id for task, _ in cell.workers.running}
        assert good.job_id in started
        await cell.kill_process("1:1")

    run_with_virtual_clock(main())


def test_configuration_and_entry_of_the_platform_are_valid():
    assert isinstance(decode_configuration(orjson.dumps(CONFIGURATION)), Ok)
