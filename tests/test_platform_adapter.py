"""Decodes what the platform says, and keeps its names inside the adapter."""

from __future__ import annotations

import re
from pathlib import Path

import orjson
import pytest
from result import Err, Ok

from fuchsiadale.decision.resources import UNLIMITED_AMOUNT, Resources
from fuchsiadale.decision.workflow.messages import EndKind, StartOutcome, WorkerState
from fuchsiadale.decision.workflow.names import TaskName, parse_task_name
from fuchsiadale.platform.documents import (
    decode_configuration,
    decode_job,
    decode_worker,
)
from fuchsiadale.platform.http import NoReply, Reply
from fuchsiadale.platform.settings import read_cell_settings
from fuchsiadale.platform.store import PlatformRowStore
from fuchsiadale.platform.worker_api import PlatformWorkers
from fuchsiadale.ports.rows import RowCondition, RowWrite, StoreFailure
from fuchsiadale.ports.task_workers import (
    CallFailure,
    LookRequest,
    StartRequest,
    WorkerAddress,
)
from tests.virtual_loop import run_virtually

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
ENTRY = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
}


class Client:
    """Gives prepared answers and keeps what was sent."""

    def __init__(self, *replies: Reply | NoReply) -> None:
        self.replies = list(replies)
        self.sent: list[tuple[str, str, object, object]] = []

    async def call(
        self, method: str, url: str, body: object = None, **options: object
    ) -> Reply | NoReply:
        """Answer with the next prepared answer."""
        self.sent.append((method, url, body, options.get("headers")))
        return self.replies.pop(0)


def task() -> TaskName:
    name = parse_task_name("5c0e7a21d94b36f8.0.1.17")
    assert name is not None
    return name


def test_configuration_is_decoded_into_the_products_terms():
    found = decode_configuration(orjson.dumps(CONFIGURATION)).unwrap()
    queue = found.queues[0]
    assert (queue.pool, queue.slack_s, queue.priority) == ("s", 3.0, 2)
    assert queue.advice is not None
    assert queue.advice.call_duration_s(10) == pytest.approx(0.296)
    limit = found.workspaces[0].limit
    assert limit == Resources(1000, UNLIMITED_AMOUNT, 4)
    assert found.find_queue("a.example", "/x/1") is queue
    assert found.find_workspace_by_key("k") is found.workspaces[0]


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version":"x"}', b"\xff"])
def test_unreadable_configuration_is_an_error(value: bytes):
    assert isinstance(decode_configuration(value), Err)


def test_worker_is_decoded():
    entry = decode_worker("i-1", orjson.dumps({**ENTRY, "remaining_ms": 1500}))
    assert entry is not None
    assert entry.state is WorkerState.READY
    assert entry.remaining_s == 1.5
    assert entry.capacity == Resources(16000, 32768, 0)


@pytest.mark.parametrize(
    "change",
    [{"state": "odd"}, {"address": 5}, {"capacity": None}, {"capacity": {"cpu": "x"}}],
)
def test_entry_of_another_writer_names_no_worker(change: dict[str, object]):
    assert decode_worker("i-1", orjson.dumps({**ENTRY, **change})) is None
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
def test_bad_jobs_get_a_clear_error(body: bytes):
    outcome = decode_job(body)
    assert isinstance(outcome, Err)
    assert outcome.err_value


def test_job_is_decoded():
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
def test_answers_to_a_start(reply: Reply | NoReply, outcome: StartOutcome):
    async def main() -> None:
        client = Client(reply)
        request = StartRequest(task(), 2, "text", "", "t", 486000, 7)
        workers = PlatformWorkers(client)  # type: ignore[arg-type]
        answer = await workers.start(WORKER, request, 1.0)
        assert answer.outcome is outcome
        assert client.sent[0][3] == {"X-Fuchsiadale-Expect-Instance": "i-1"}

    run_virtually(main())


def test_look_is_decoded_and_odd_rows_are_left_out():
    body = {
        "clock_ms": 482113,
        "born": 17,
        "running": [[str(task()), 2, "saved", 41, 900], ["odd"], ["a.b.c.d", 1, "", 0]],
        "finished": [[58, str(task()), 1, "done", ""], [59, str(task()), 1, "odd", ""]],
    }

    async def main() -> None:
        workers = PlatformWorkers(Client(Reply(200, body)))  # type: ignore[arg-type]
        request = LookRequest(486000, 7, 57, 1.0)
        report = (await workers.look(WORKER, request, 2.0)).unwrap()
        assert report.started_ms == 17
        assert [(row.run, row.load) for row in report.running] == [(2, 900)]
        assert [end.kind for end in report.ended] == [EndKind.DONE]
        for reply, failure in (
            (Reply(409, {"reason": "fence"}), CallFailure.FENCED),
            (Reply(421, {}), CallFailure.OTHER_BOOT),
            (NoReply(True, "timeout"), CallFailure.NO_ANSWER),
        ):
            workers = PlatformWorkers(Client(reply))  # type: ignore[arg-type]
            assert await workers.look(WORKER, request, 2.0) == Err(failure)

    run_virtually(main())


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (Reply(200, {"row_version": 5}), Ok(5)),
        (Reply(412, {}), Err(StoreFailure.CONFLICT)),
        (Reply(410, {}), Err(StoreFailure.HISTORY_LOST)),
        (Reply(503, {}), Err(StoreFailure.UNAVAILABLE)),
        (Reply(429, {}), Err(StoreFailure.UNAVAILABLE)),
        (Reply(200, {}), Err(StoreFailure.UNKNOWN)),
        (NoReply(True, "reset"), Err(StoreFailure.UNKNOWN)),
        (NoReply(False, "refused"), Err(StoreFailure.UNAVAILABLE)),
    ],
)
def test_answers_of_the_store(reply: Reply | NoReply, outcome: object):
    async def main() -> None:
        store = PlatformRowStore(Client(reply), "10.0.0.1:80")  # type: ignore[arg-type]
        found = await store.transact(
            (RowWrite("t", "k", b"v"),), (RowCondition("t", "k", 0),)
        )
        assert found == outcome

    run_virtually(main())


def test_settings_name_what_is_missing(tmp_path: Path):
    path = tmp_path / "boot.conf"
    path.write_text("node_name=a\nip=10.0.0.5\n")
    outcome = read_cell_settings(path)
    assert isinstance(outcome, Err)
    assert "listen.front is missing" in outcome.err_value


def test_wire_names_stay_in_the_adapter():
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
