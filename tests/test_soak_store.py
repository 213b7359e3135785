"""Tests of the soak's stand-in of the store."""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random

import orjson
from aiohttp.test_utils import RawTestServer, TestClient

from tests.soak.store import StoreStandIn

PAUSE_S = 0.05


async def test_no_reply_about_rows_lacks_the_steady_clock() -> None:
    store = StoreStandIn(Random(1))
    server = RawTestServer(partial(store.handle_request, "node-0"))
    conflict = {"table": "t", "key": "k", "row_version": 5}
    writes = [{"table": "t", "key": "k", "value": ""}]
    calls = (
        ("POST", "/api/rows-tx", {"writes": writes}),
        ("POST", "/api/rows-tx", {"expected_revision": [conflict]}),
        ("GET", "/api/rows-get?table=t", None),
        ("GET", "/api/rows-feed?table=t&after=0&wait_ms=1", None),
    )
    clock_ms = []
    async with TestClient(server) as client:
        for method, path, body in calls:
            data = None if body is None else orjson.dumps(body)
            async with client.request(method, path, data=data) as response:
                reply = orjson.loads(await response.read())
            assert reply["row_version"] == 1
            assert isinstance(reply["now_ms"], int)
            clock_ms.append(reply["now_ms"])
            await asyncio.sleep(PAUSE_S)
    steps_ms = [end - start for start, end in zip(clock_ms, clock_ms[1:], strict=False)]
    assert min(steps_ms) >= 1000 * PAUSE_S - 1


async def test_feed_of_the_newest_changes_leaves_out_what_they_replaced() -> None:
    store = StoreStandIn(Random(1))
    for key, value in (("a", "1"), ("b", "2"), ("a", "3")):
        await store.write_row("t", key, value)
    server = RawTestServer(partial(store.handle_request, "node-0"))
    values = []
    async with TestClient(server) as client:
        for store.feeds_newest_only in (False, True):
            async with client.get("/api/rows-feed?table=t&after=0") as response:
                rows = orjson.loads(await response.read())["rows"]
            values.append([row["value"] for row in rows])
    assert values == [["1", "2", "3"], ["2", "3"]]
