"""Tests of how a stopping process closes the connections of its callers."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from fuchsiadale.cell.daemon_runner import (
    COMPLETION_SHARE,
    HttpListener,
    RunningServer,
    close_http_server,
    start_http_server,
)
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.open_calls import OpenCalls
from tests.callers_server import (
    BODY,
    GET_REQUEST,
    POST_HEAD,
    CallersServer,
    SlowGateway,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: example\r\n\r\n"
COMPLETION_S = 2.0


def make_open_calls() -> OpenCalls:
    """Return an instance without a call."""
    return OpenCalls(CellMetrics())


async def answer_and_close(request: web.BaseRequest) -> web.StreamResponse:
    """Answer like a process that is stopping: the connection ends with the answer."""
    response = web.Response(text="answer")
    response.force_close()
    return response


async def start_server() -> tuple[RunningServer, int]:
    """Return a running server and the port that it listens on."""
    listener = HttpListener("127.0.0.1:0", answer_and_close)
    server = await start_http_server(listener, COMPLETION_S)
    return server, server.runner.addresses[0][1]


def test_request_that_arrives_while_the_server_closes_is_answered():
    async def main() -> None:
        server, port = await start_server()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        # The server has accepted the connection once it serves another one.
        other_reader, other_writer = await asyncio.open_connection("127.0.0.1", port)
        other_writer.write(REQUEST)
        await other_reader.read()
        closing = asyncio.create_task(
            close_http_server(server, make_open_calls(), COMPLETION_S)
        )
        await asyncio.sleep(0.2)
        writer.write(REQUEST)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in answer
        await asyncio.wait_for(closing, COMPLETION_S)
        writer.close()
        other_writer.close()

    asyncio.run(main())


def test_server_closes_idle_connections_in_the_given_time():
    async def main() -> None:
        server, port = await start_server()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await close_http_server(server, make_open_calls(), 0.4)
        assert loop.time() - started_s < 1.0
        assert await reader.read() == b""
        writer.close()

    asyncio.run(main())


def test_server_without_connections_closes_at_once():
    async def main() -> None:
        server, _ = await start_server()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await close_http_server(server, make_open_calls(), 60.0)
        assert loop.time() - started_s < 10.0

    asyncio.run(main())


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return everything that the server sends until it closes the connection."""
    return await asyncio.wait_for(reader.read(), 2 * COMPLETION_S)


def test_call_that_outlasts_a_planned_stop_gets_an_answer():
    async def main() -> None:
        async with CallersServer(SlowGateway(delay_s=60.0), COMPLETION_S) as server:
            reader, writer = await server.connect()
            writer.write(POST_HEAD + BODY)
            await asyncio.sleep(0.1)
            await server.close()
            answer = await read_answer(reader)
            assert answer.startswith(b"HTTP/1.1 504")
            assert answer.endswith(b"}")
            assert not server.find_messages("call_unanswered")

    asyncio.run(main())


def test_call_that_arrives_late_in_a_planned_stop_gets_an_answer():
    async def main() -> None:
        async with CallersServer(SlowGateway(delay_s=60.0), COMPLETION_S) as server:
            reader, writer = await server.connect()
            await asyncio.sleep(0.1)
            closing = asyncio.create_task(server.close())
            await asyncio.sleep(0.7 * COMPLETION_S)
            writer.write(GET_REQUEST)
            assert (await read_answer(reader)).startswith(b"HTTP/1.1 504")
            await closing

    asyncio.run(main())


def test_call_whose_body_arrives_late_in_a_planned_stop_gets_an_answer():
    async def main() -> None:
        async with CallersServer(completion_s=COMPLETION_S) as server:
            reader, writer = await server.connect()
            writer.write(POST_HEAD)
            await asyncio.sleep(0.1)
            closing = asyncio.create_task(server.close())
            # Connections are already being closed.
            await asyncio.sleep((1.05 - COMPLETION_SHARE) * COMPLETION_S)
            writer.write(BODY)
            assert (await read_answer(reader)).startswith(b"HTTP/1.1 504")
            await closing

    asyncio.run(main())


def test_connection_established_just_before_listening_ends_gets_an_answer():
    async def main(iteration_count: int) -> bytes:
        with socket.socket() as caller:
            async with CallersServer(SlowGateway(delay_s=0.1)) as server:
                caller.connect(("127.0.0.1", server.port))
                caller.sendall(GET_REQUEST)
                for _ in range(iteration_count):
                    await asyncio.sleep(0)
                await server.close()
            caller.settimeout(0.1)
            return caller.recv(4096)

    for count in range(8):
        assert asyncio.run(main(count)).startswith(b"HTTP/1.1 200")
