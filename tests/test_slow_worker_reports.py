"""Tests of reports of workers that take long to arrive, as over a slow link."""

from __future__ import annotations

import orjson
import pytest
from result import Err

from fuchsiadale.platform.worker_api import PlatformWorkerClient
from fuchsiadale.platform.worker_connections import WorkerConnections
from fuchsiadale.ports.task_workers import CallFailure, PollRequest, WorkerAddress
from tests.silent_server import SilentServer

RUNS = 500
TIMEOUT_S = 0.3
SHARE_BYTES_PER_S = 70_000
"""Share of a link of 5 Mbit/s that one of nine reports has."""

REPORT = orjson.dumps(
    {
        "clock_ms": 482_113,
        "born": 17,
        "running": [
            [f"{number:016x}.0.1.17", 10_002, "00000bb87a21d94b", 41, 500]
            for number in range(RUNS)
        ],
        "finished": [],
    }
)


async def answer_report(target: str) -> bytes:
    """Return the report of a worker with many runs."""
    return REPORT


@pytest.mark.parametrize("started_ms", [0, 17])
async def test_long_report_that_keeps_arriving_beyond_the_timeout_is_not_given_up(
    started_ms: int,
):
    server, connections = SilentServer(answer_report), WorkerConnections()
    client = PlatformWorkerClient(connections)
    server.bytes_per_s = SHARE_BYTES_PER_S
    assert len(REPORT) / SHARE_BYTES_PER_S > TIMEOUT_S
    async with server.listen():
        address = WorkerAddress("i-1", server.address, started_ms)
        polled = await client.poll(address, PollRequest(None, 7, 3, 0.0), TIMEOUT_S)
        await connections.close()
    assert len(polled.unwrap().running) == RUNS


async def test_report_that_goes_silent_midway_is_given_up_in_time():
    server, connections = SilentServer(answer_report), WorkerConnections()
    client = PlatformWorkerClient(connections)
    async with server.listen():
        address = WorkerAddress("i-1", server.address, 0)
        request = PollRequest(None, 7, 3, 0.0)
        await client.poll(address, request, TIMEOUT_S)
        server.silence_connections()
        assert await client.poll(address, request, TIMEOUT_S) == Err(
            CallFailure.NO_ANSWER
        )
        await connections.close()
