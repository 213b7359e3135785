"""Tests of what is logged and counted of calls that end without an answer."""

from __future__ import annotations

import asyncio

import pytest

from tests.callers_server import (
    GET_REQUEST,
    JOB_ID,
    POST_HEAD,
    CallersServer,
    SlowGateway,
)


@pytest.mark.parametrize("request_bytes", [GET_REQUEST, POST_HEAD])
def test_caller_that_leaves_before_the_answer_is_logged_with_its_job(
    request_bytes: bytes,
):
    async def main() -> None:
        async with CallersServer(SlowGateway(delay_s=0.2)) as server:
            _, writer = await server.connect()
            writer.write(request_bytes)
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.3)
            (message,) = server.find_messages("call_unanswered")
            assert message["cause"] == "caller_left"
            assert message["job"] == JOB_ID
            assert b'calls_total{cause="caller_left"} 1.0' in server.metrics.render()

    asyncio.run(main())


def test_call_that_the_process_breaks_off_is_logged_with_its_job():
    async def main() -> None:
        async with CallersServer(SlowGateway(delay_s=60.0)) as server:
            _, writer = await server.connect()
            writer.write(GET_REQUEST)
            await asyncio.sleep(0.1)
            assert b"fuchsiadale_open_calls 1.0" in server.metrics.render()
            (handler_task,) = [
                task
                for task in asyncio.all_tasks()
                if "_handle_request" in repr(task.get_coro())
            ]
            handler_task.cancel()
            await asyncio.sleep(0.1)
            (message,) = server.find_messages("call_unanswered")
            assert message["cause"] == "cancelled"
            assert message["job"] == JOB_ID
            assert b"fuchsiadale_open_calls 0.0" in server.metrics.render()

    asyncio.run(main())


def test_closing_server_logs_open_connections_and_calls():
    async def main() -> None:
        async with CallersServer(SlowGateway(delay_s=0.2), 2.0) as server:
            await server.connect()
            reader, writer = await server.connect()
            writer.write(GET_REQUEST)
            await asyncio.sleep(0.1)
            await server.close()
            (closing,) = server.find_messages("callers_server_closing")
            assert (closing["connections"], closing["open_calls"]) == (2, 1)
            (closed,) = server.find_messages("callers_server_closed")
            assert (closed["closed_connections"], closed["open_calls"]) == (1, 0)
            assert closed["cancelled_calls"] == 0
            assert (await reader.read()).startswith(b"HTTP/1.1 200")

    asyncio.run(main())
