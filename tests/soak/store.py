"""A stand-in of the users' store: rows in tables, transactions and feeds."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import orjson
from aiohttp import web

from tests.soak.http import abort, json_answer

RowId = tuple[str, str]


class StoreStandIn:
    """Keeps rows in memory and misbehaves as it is told.

    Parameters
    ----------
    random : Random
        Decides which answers are lost.
    """

    def __init__(self, random: Random) -> None:
        self.is_down = False
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.late_s = 0.0
        self._random = random
        self._rows: dict[RowId, tuple[str, int]] = {}
        self._changes: list[tuple[int, RowId, str | None]] = []
        self._dropped_through = 0
        self._version = 0
        self._changed = asyncio.Condition()
        self._late: set[asyncio.Task[None]] = set()

    async def put(self, table: str, key: str, value: str | None) -> None:
        """Write a row on behalf of the operator or of a worker."""
        self._apply([(table, key, value)])
        async with self._changed:
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Forget all changes so far; feeds have to read again."""
        self._changes.clear()
        self._dropped_through = self._version

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_down:
            return json_answer({}, 503)
        if request.path == "/api/rows-tx":
            return await self._transact(request)
        if request.path == "/api/rows-get":
            return self._get(request)
        if request.path == "/api/rows-feed":
            return await self._feed(request)
        return json_answer({}, 404)

    async def _transact(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            body = orjson.loads(await request.read())
        except ConnectionError:
            return json_answer({}, 503)
        is_lost = self._random.random() < self.lost_share
        if is_lost and self.late_s:
            task = asyncio.create_task(self._transact_late(body, self.late_s))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
        elif (status := await self._commit(body)) != 200 and not is_lost:
            return json_answer({"rows": [], "row_version": self._version}, status)
        if is_lost:
            abort(request)
        return json_answer({"row_version": self._version}, 200)

    async def _transact_late(self, body: dict[str, Any], seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._commit(body)

    async def _commit(self, body: dict[str, Any]) -> int:
        for item in body.get("expected_revision", ()):
            row = self._rows.get((item["table"], item["key"]))
            if (row[1] if row else 0) != item["row_version"]:
                return 412
        writes = [
            (item["table"], item["key"], item["value"])
            for item in body.get("writes", ())
        ]
        writes += [
            (item["table"], item["key"], None) for item in body.get("remove", ())
        ]
        self._apply(writes)
        async with self._changed:
            self._changed.notify_all()
        return 200

    def _apply(self, writes: list[tuple[str, str, str | None]]) -> None:
        self._version += 1
        for table, key, value in writes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, self._version)
            self._changes.append((self._version, (table, key), value))

    def _get(self, request: web.BaseRequest) -> web.StreamResponse:
        table, start = request.query["table"], request.query.get("from", "")
        limit = int(request.query.get("limit", "500"))
        keys = sorted(
            key
            for of, key in self._rows
            if of == table and key.encode() >= start.encode()
        )
        rows = [self._row((table, key)) for key in keys[:limit]]
        body = {"rows": rows, "has_more": len(keys) > limit}
        return json_answer({**body, "row_version": self._version}, 200)

    def _row(self, row_id: RowId) -> dict[str, Any]:
        value, version = self._rows[row_id]
        return {
            "table": row_id[0],
            "part": "",
            "key": row_id[1],
            "value": value,
            "row_version": version,
        }

    async def _feed(self, request: web.BaseRequest) -> web.StreamResponse:
        table, after = request.query["table"], int(request.query["after"])
        until_s = asyncio.get_running_loop().time()
        until_s += int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._dropped_through:
                return json_answer({}, 410)
            rows = [
                {
                    "table": table,
                    "part": "",
                    "key": row_id[1],
                    "value": value or "",
                    "row_version": version,
                    "deleted": value is None,
                }
                for version, row_id, value in self._changes
                if version > after and row_id[0] == table
            ]
            left_s = until_s - asyncio.get_running_loop().time()
            if rows or left_s <= 0:
                return json_answer({"rows": rows, "row_version": self._version}, 200)
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    continue
