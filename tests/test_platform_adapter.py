"""Tests that the adapter decodes the platform's messages and keeps its wire names."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import orjson
import pytest
from result import Err, Ok

from fuchsiadale.cell.rows import read_table
from fuchsiadale.decision.resources import UNLIMITED_AMOUNT, Resources
from fuchsiadale.decision.workflow.hold_back import PastUseSettings
from fuchsiadale.decision.workflow.messages import EndKind, StartOutcome, WorkerState
from fuchsiadale.decision.workflow.names import TaskName, parse_task_name
from fuchsiadale.platform.documents import (
    decode_configuration,
    decode_job,
    decode_worker,
)
from fuchsiadale.platform.http import HttpClient, NoReply, Reply
from fuchsiadale.platform.settings import (
    HALF_LIFE_VARIABLE,
    MAX_HOLD_VARIABLE,
    read_cell_settings,
)
from fuchsiadale.platform.store import PlatformRowStore
from fuchsiadale.platform.worker_api import PlatformWorkerClient
from fuchsiadale.ports.rows import RowCondition, RowWrite, StoreFailure
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartRequest,
    WorkerAddress,
)
from tests.virtual_loop import run_with_virtual_clock

SOURCES = Path(__file__).parent.parent / "src" / "fuchsiadale"
WORKER = WorkerAddress("i-1", "10.0.0.9:80")

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/x/",
            "service": "s",
            "priority": 2,
            "max_attempts": 3,
            "stretch": 4.0,
            "target_latency_ms": 3000,
            "advice": {"decide_ms": 272.0, "each_ms": 2.4, "valid_ms": 2000},
            "unknown": 1,
        }
    ],
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "weight": 6,
            "maximum": {"cpu": 1000, "mem_mb": 0, "gpu": 4},
        }
    ],
}
REGISTRATION = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
}


class FakeHttpClient:
    """Returns prepared replies and records the calls."""

    def __init__(self, *replies: Reply | NoReply) -> None:
        self.replies = list(replies)
        self.sent_calls: list[tuple[str, str, object, object]] = []

    async def call(
        self, method: str, url: str, body: object = None, **options: object
    ) -> Reply | NoReply:
        """Return the next prepared reply."""
        self.sent_calls.append((method, url, body, options.get("headers")))
        return self.replies.pop(0)


class FakeWorkerConnections(FakeHttpClient):
    """Returns prepared replies of workers and records the calls."""

    async def call(  # type: ignore[override]
        self, url: str, body: object, headers: object, *options: object
    ) -> Reply | NoReply:
        """Return the next prepared reply."""
        return await super().call("POST", url, body, headers=headers)


def make_task_name() -> TaskName:
    name = parse_task_name("5c0e7a21d94b36f8.0.1.17")
    assert name is not None
    return name


def test_configuration_document_is_decoded_into_queues_and_workspaces():
    configuration = decode_configuration(orjson.dumps(CONFIGURATION)).unwrap()
    queue = configuration.queues[0]
    assert (queue.pool, queue.slack_s, queue.priority) == ("s", 3.0, 2)
    assert queue.advice is not None
    assert queue.advice.call_duration_s(10) == pytest.approx(0.296)
    limit = configuration.workspaces[0].limit
    assert limit == Resources(1000, UNLIMITED_AMOUNT, 4)
    assert configuration.find_queue("a.example", "/x/1") is queue
    assert configuration.find_workspace_by_key("k") is configuration.workspaces[0]


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version":"x"}', b"\xff"])
def test_invalid_configuration_returns_error(value: bytes):
    assert isinstance(decode_configuration(value), Err)


def test_valid_registration_is_decoded():
    entry = decode_worker("i-1", orjson.dumps({**REGISTRATION, "remaining_ms": 1500}))
    assert entry is not None
    assert entry.state is WorkerState.READY
    assert entry.remaining_s == 1.5
    assert entry.capacity == Resources(16000, 32768, 0)


@pytest.mark.parametrize(
    "change",
    [{"state": "odd"}, {"address": 5}, {"capacity": None}, {"capacity": {"cpu": "x"}}],
)
def test_invalid_registration_decodes_to_none(change: dict[str, object]):
    assert decode_worker("i-1", orjson.dumps({**REGISTRATION, **change})) is None
    assert decode_worker("i-1", b"\xff") is None


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"steps":[]}',
        b'{"steps":[{"count":1,"after":[0]}]}',
        b'{"steps":[{"count":99999}]}',
        b'{"steps":[{"count":-1}]}',
        b'{"spec":5,"steps":[{"count":1}]}',
    ],
)
def test_invalid_job_returns_error_message(body: bytes):
    outcome = decode_job(body)
    assert isinstance(outcome, Err)
    assert outcome.err_value


def test_valid_job_is_decoded():
    body = {
        "spec": "text",
        "steps": [
            {"count": 2, "cpu": 500, "estimated_ms": 900},
            {"count": 1, "gang": True, "after": [0], "checkpointing": True},
        ],
        "repetitions": 3,
        "first_run_ms": 5000,
        "interval_ms": 1000,
    }
    job = decode_job(orjson.dumps(body)).unwrap()
    assert job.occurrences == 3
    assert job.schedule is not None
    assert job.schedule.due_s(2) == 7.0
    assert job.steps[1].is_gang
    assert job.steps[1].after == (0,)


def test_job_whose_first_run_is_due_today_is_not_refused():
    due_ms = 1_796_460_000_000
    body = {"steps": [{"count": 1}], "repetitions": 2, "first_run_ms": due_ms}
    job = decode_job(orjson.dumps(body)).unwrap()
    assert job.schedule is not None
    assert job.schedule.due_s(0) == due_ms / 1000.0


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (Reply(200, {"clock_ms": 5}), StartOutcome.STARTED),
        (Reply(409, {"reason": "fence"}), StartOutcome.FENCED),
        (Reply(409, {"reason": "old"}), StartOutcome.STALE_RUN),
        (Reply(409, {"reason": "late"}), StartOutcome.EXPIRED),
        (Reply(409, {"reason": "room"}), StartOutcome.NO_ROOM),
        (Reply(409, {"reason": "ticket"}), StartOutcome.TICKET_REFUSED),
        (Reply(421, {}), StartOutcome.OTHER_BOOT),
        (Reply(503, {}), StartOutcome.UNHEALTHY),
        (Reply(500, {}), StartOutcome.UNKNOWN),
        (NoReply(True, "timeout"), StartOutcome.UNKNOWN),
        (NoReply(False, "refused"), StartOutcome.UNHEALTHY),
    ],
)
def test_start_reply_is_mapped_to_outcome(
    reply: Reply | NoReply, outcome: StartOutcome
):
    async def main() -> None:
        client = FakeWorkerConnections(reply)
        request = StartRequest(make_task_name(), 2, "text", "", "t", 486000, 7)
        workers = PlatformWorkerClient(client)  # type: ignore[arg-type]
        answer = await workers.start(WORKER, request, 1.0)
        assert answer.outcome is outcome
        assert client.sent_calls[0][3] == {"X-Fuchsiadale-Expect-Instance": "i-1"}

    run_with_virtual_clock(main())


def test_poll_reply_is_decoded_without_invalid_rows():
    body = {
        "clock_ms": 482113,
        "born": 17,
        "running": [
            [str(make_task_name()), 2, "saved", 41, 900],
            ["odd"],
            ["a.b.c.d", 1, "", 0],
        ],
        "finished": [
            [58, str(make_task_name()), 1, "done", ""],
            [59, str(make_task_name()), 1, "odd", ""],
        ],
    }

    async def main() -> None:
        workers = PlatformWorkerClient(FakeWorkerConnections(Reply(200, body)))  # type: ignore[arg-type]
        request = PollRequest(486000, 7, 57, 1.0)
        report = (await workers.poll(WORKER, request, 2.0)).unwrap()
        assert report.started_ms == 17
        assert [(row.run, row.load) for row in report.running] == [(2, 900)]
        assert [end.kind for end in report.ended] == [EndKind.DONE]
        for reply, failure in (
            (Reply(409, {"reason": "fence"}), CallFailure.FENCED),
            (Reply(421, {}), CallFailure.OTHER_BOOT),
            (NoReply(True, "timeout"), CallFailure.NO_ANSWER),
            (NoReply(True, "reset", was_closed=True), CallFailure.DISCONNECTED),
        ):
            workers = PlatformWorkerClient(FakeWorkerConnections(reply))  # type: ignore[arg-type]
            assert await workers.poll(WORKER, request, 2.0) == Err(failure)

    run_with_virtual_clock(main())


@pytest.mark.parametrize("was_closed", [True, False])
def test_http_client_tells_a_closed_connection_from_a_silent_server(was_closed):
    async def main() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if not was_closed:
                await reader.read()
            writer.close()
            has_closed.set()

        has_closed = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient()
        reply = await client.call("POST", f"http://127.0.0.1:{port}/", timeout_s=0.2)
        await client.close()
        await has_closed.wait()
        server.close()
        assert isinstance(reply, NoReply)
        assert reply.was_sent
        assert reply.was_closed is was_closed

    asyncio.run(main())


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (Reply(200, {"row_version": 5}), Ok(5)),
        (Reply(412, {}), Err(StoreFailure.CONFLICT)),
        (Reply(410, {}), Err(StoreFailure.HISTORY_LOST)),
        (Reply(503, {}), Err(StoreFailure.UNAVAILABLE)),
        (Reply(429, {}), Err(StoreFailure.UNAVAILABLE)),
        (Reply(500, {}), Err(StoreFailure.UNKNOWN)),
        (Reply(200, {}), Err(StoreFailure.UNKNOWN)),
        (NoReply(True, "reset"), Err(StoreFailure.UNKNOWN)),
        (NoReply(False, "refused"), Err(StoreFailure.UNAVAILABLE)),
    ],
)
def test_transact_reply_is_mapped_to_result(reply: Reply | NoReply, outcome: object):
    async def main() -> None:
        store = PlatformRowStore(FakeHttpClient(reply), "10.0.0.1:80")  # type: ignore[arg-type]
        result = await store.transact(
            (RowWrite("t", "k", b"v"),), (RowCondition("t", "k", 0),)
        )
        assert result == outcome

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    "body", [{}, {"row_version": 5}, {"rows": [], "row_version": "5"}, {"rows": 5}]
)
def test_reply_that_tells_no_rows_is_not_taken_for_an_empty_table(
    body: dict[str, object],
):
    async def main() -> None:
        client = FakeHttpClient(Reply(200, body), Reply(200, body))
        store = PlatformRowStore(client, "10.0.0.1:80")  # type: ignore[arg-type]
        assert await store.read("jobs") == Err(StoreFailure.UNKNOWN)
        assert await store.watch("jobs", 3, 1.0) == Err(StoreFailure.UNKNOWN)

    run_with_virtual_clock(main())


def test_list_goes_on_behind_a_page_without_a_readable_row():
    async def main() -> None:
        unreadable = {"table": "job", "key": "k1", "value": "?", "row_version": 4}
        readable = {"table": "job", "key": "k2", "value": "dg==", "row_version": 5}
        client = FakeHttpClient(
            Reply(200, {"rows": [unreadable], "has_more": True, "row_version": 9}),
            Reply(200, {"rows": [readable], "has_more": False, "row_version": 9}),
        )
        store = PlatformRowStore(client, "10.0.0.1:80")  # type: ignore[arg-type]
        rows, version = (await read_table(store, "job")).unwrap()
        assert [row.key for row in rows] == ["k2"]
        assert version == 9
        assert "from=k1%00" in client.sent_calls[1][1]

    run_with_virtual_clock(main())


def test_page_that_says_more_and_names_no_key_is_not_the_end_of_a_list():
    async def main() -> None:
        body = {"rows": [], "has_more": True, "row_version": 9}
        store = PlatformRowStore(FakeHttpClient(Reply(200, body)), "10.0.0.1:80")  # type: ignore[arg-type]
        assert await read_table(store, "job") == Err(StoreFailure.UNKNOWN)

    run_with_virtual_clock(main())


def test_reply_that_is_no_report_is_not_taken_for_an_idle_worker():
    async def main() -> None:
        workers = PlatformWorkerClient(FakeWorkerConnections(Reply(200, {})))  # type: ignore[arg-type]
        polled = await workers.poll(WORKER, PollRequest(486000, 7, 57, 1.0), 2.0)
        assert not polled.unwrap().is_complete

    run_with_virtual_clock(main())


def test_missing_setting_is_named_in_error(tmp_path: Path):
    path = tmp_path / "boot.conf"
    path.write_text("node_name=a\nip=10.0.0.5\n")
    outcome = read_cell_settings(path)
    assert isinstance(outcome, Err)
    assert "listen.front is missing" in outcome.err_value


SETTINGS_TEXT = """node_name=a
ip=10.0.0.5
listen.front=10.0.0.5:1
listen.ready=10.0.0.5:2
internal_port_range=7180,7195
platform.address=10.0.0.9:1
"""


def test_past_use_counts_where_the_deploy_file_says_so(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS_TEXT)
    assert read_cell_settings(path).unwrap().bounds.past_use == PastUseSettings()
    monkeypatch.setenv(HALF_LIFE_VARIABLE, "1800")
    monkeypatch.setenv(MAX_HOLD_VARIABLE, "20")
    settings = read_cell_settings(path).unwrap()
    assert settings.bounds.past_use == PastUseSettings(1800.0, 20.0)
    monkeypatch.setenv(HALF_LIFE_VARIABLE, "-1")
    assert HALF_LIFE_VARIABLE in read_cell_settings(path).unwrap_err()


@pytest.mark.parametrize("bound", ["0", "-5", "nan"])
def test_bound_on_drained_domains_that_cannot_be_kept_is_refused(
    tmp_path: Path, bound: str
) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(f"{SETTINGS_TEXT}bounds.evacuation_ms={bound}\n")
    assert "bounds.evacuation_ms" in read_cell_settings(path).unwrap_err()


def test_wire_names_occur_only_in_the_adapter():
    wire = re.compile(
        'acked_through|until_ms"|rows-tx|rows-feed|rows-get|run-start|run-stop'
        "|expected_revision|cold_remaining_ms|enforces_capacity|X-Fuchsiadale-[A-Z]"
        '|api_keys|path_prefix"|long_running|allow_duplicates|estimated_ms'
    )
    outside = [
        f"{path.name}: {match.group()}"
        for path in SOURCES.rglob("*.py")
        if "platform" not in path.parts
        for match in wire.finditer(path.read_text())
    ]
    assert outside == []
