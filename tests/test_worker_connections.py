"""Tests that calls for one incarnation of a worker do not reach another one."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable

import pytest
from result import Err, Ok

from fuchsiadale.decision.workflow.messages import StartOutcome
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.platform.worker_api import PlatformWorkerClient
from fuchsiadale.platform.worker_connections import (
    IDENTIFICATION_TIMEOUT_S,
    MAX_TIMEOUTS,
    WorkerConnections,
)
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartRequest,
    WorkerAddress,
)
from tests.restarting_server import RestartingServer

TASK = TaskName(StepName("0" * 16, 0, 0), 0)
START = StartRequest(TASK, 1, "text", "", "", 486_000, 7)
RENEWAL = PollRequest(486_000, 7, 3, 0.0)
TIMEOUT_S = 0.3
START_PATH, POLL_PATH = "/api/run-start", "/api/hold"


def run_client(
    test: Callable[[RestartingServer, PlatformWorkerClient], Awaitable[None]],
) -> None:
    """Run a test with a server and a client of it that leaves nothing open."""

    async def main() -> None:
        problems: list[str] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda loop, context: problems.append(context["message"])
        )
        server, connections = RestartingServer(), WorkerConnections()
        async with server.listen():
            await test(server, PlatformWorkerClient(connections))
            await connections.close()
        gc.collect()
        assert problems == []

    asyncio.run(main())


def make_address(server: RestartingServer, started_ms: int = 1000) -> WorkerAddress:
    return WorkerAddress("i-1", server.address, started_ms)


@pytest.mark.parametrize("calls_before", [0, 1, 5])
def test_start_for_a_former_incarnation_is_performed_by_the_next_one(
    calls_before: int,
):
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        calls = [
            client.start(make_address(server), START, TIMEOUT_S)
            for _ in range(calls_before)
        ]
        answers = await asyncio.gather(*calls)
        assert [answer.outcome for answer in answers] == [
            StartOutcome.STARTED
        ] * calls_before
        server.restart()
        await asyncio.sleep(0.01)
        answer = await client.start(make_address(server), START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.RESTARTED
        assert server.received[2000, START_PATH] == 0
        answer = await client.start(make_address(server, 2000), START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.STARTED

    run_client(test)


def test_poll_or_stop_for_a_former_incarnation_takes_effect_on_the_next_one():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        server.restart()
        address = make_address(server)
        assert await client.poll(address, RENEWAL, TIMEOUT_S) == Err(
            CallFailure.RESTARTED
        )
        assert await client.stop(address, TASK, 1, 7, TIMEOUT_S) == Err(
            CallFailure.RESTARTED
        )
        assert server.received.keys() == {(2000, POLL_PATH)}

    run_client(test)


def test_calls_reuse_connections_on_which_the_incarnation_has_named_itself():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        poll = PollRequest(None, 7, 0, 0.0)
        report = await client.poll(make_address(server, 0), poll, TIMEOUT_S)
        assert isinstance(report, Ok)
        for _ in range(4):
            await client.start(make_address(server), START, TIMEOUT_S)
            await client.poll(make_address(server), RENEWAL, TIMEOUT_S)
            await client.poll(make_address(server, 0), poll, TIMEOUT_S)
        assert server.opened_connections == 1
        assert server.received[1000, POLL_PATH] == 9

    run_client(test)


def test_unanswered_identification_leaves_the_outcome_of_a_start_unknown():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        server.answer_delay_s = 1.0
        answer = await client.start(make_address(server), START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.NOT_SENT
        assert server.received[1000, START_PATH] == 0

    run_client(test)


def test_start_is_not_sent_though_a_second_identification_would_be_answered():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        server.answer_delay_s = 1.0
        start = client.start(make_address(server), START, TIMEOUT_S)
        call = asyncio.create_task(start)
        await asyncio.sleep(IDENTIFICATION_TIMEOUT_S / 2)
        server.answer_delay_s = 0.0
        assert (await call).outcome is StartOutcome.STARTED
        assert server.opened_connections == 2

    run_client(test)


def test_calls_over_connections_that_have_gone_silent_are_followed_by_further_ones():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        address = make_address(server)
        calls = [client.start(address, START, TIMEOUT_S) for _ in range(5)]
        await asyncio.gather(*calls)
        server.silence_connections()
        for _ in range(MAX_TIMEOUTS):
            answer = await client.start(address, START, TIMEOUT_S)
            assert answer.outcome is StartOutcome.UNKNOWN
        answer = await client.start(address, START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.STARTED

    run_client(test)


def test_restart_is_looked_for_over_a_connection_that_has_gone_silent():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        address = make_address(server)
        calls = [client.start(address, START, TIMEOUT_S) for _ in range(5)]
        await asyncio.gather(*calls)
        server.silence_connections()
        assert await client.poll(address, RENEWAL, TIMEOUT_S) == Err(
            CallFailure.NO_ANSWER
        )
        poll = PollRequest(None, 7, 0, 0.0)
        report = await client.poll(make_address(server, 0), poll, TIMEOUT_S)
        assert isinstance(report, Ok)

    run_client(test)


def test_unanswered_start_gives_up_the_other_connections_to_its_worker():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        address = make_address(server)
        calls = [client.start(address, START, TIMEOUT_S) for _ in range(5)]
        await asyncio.gather(*calls)
        server.answer_delay_s = 1.0
        answer = await client.start(address, START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.UNKNOWN
        server.answer_delay_s = 0.0
        polls = server.received[1000, POLL_PATH]
        answer = await client.start(address, START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.STARTED
        assert server.received[1000, POLL_PATH] == polls

    run_client(test)


def test_connection_of_a_cancelled_call_answers_the_next_one():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        address = make_address(server)
        await client.poll(address, RENEWAL, TIMEOUT_S)
        call = asyncio.create_task(client.poll(address, RENEWAL, TIMEOUT_S))
        await asyncio.sleep(0.005)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        answer = await client.start(address, START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.STARTED
        assert server.opened_connections == 2

    run_client(test)


def test_worker_that_does_not_name_its_incarnation_is_taken_for_a_known_one():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        server.started_ms = 0
        answer = await client.start(make_address(server), START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.RESTARTED
        answer = await client.start(make_address(server, 0), START, TIMEOUT_S)
        assert answer.outcome is StartOutcome.STARTED

    run_client(test)


def test_call_for_which_no_time_is_left_waits_without_end():
    async def test(server: RestartingServer, client: PlatformWorkerClient) -> None:
        for started_ms in (0, 1000):
            async with asyncio.timeout(TIMEOUT_S):
                answer = await client.start(make_address(server, started_ms), START, 0)
            assert answer.outcome in (StartOutcome.UNHEALTHY, StartOutcome.NOT_SENT)
        assert not server.received

    run_client(test)
