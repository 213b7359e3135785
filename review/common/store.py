"""Stand-in of the platform's store: tables of rows, transactions and change feeds.

It keeps the limits of PROTOCOL.md: 100 entries and 1 MB a call, `row_bytes` a value.
"""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from bisect import bisect_left
from random import Random

import orjson
from aiohttp import web

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
TRANSACTION_S = 0.004
SILENCE_S = 15.0


def reply(body: dict, status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=orjson.dumps(body), status=status, content_type="application/json"
    )


def cut(request: web.BaseRequest) -> None:
    """End the channel of a call without an answer, unless the caller has."""
    if request.transport is not None:
        request.transport.abort()


class Store:
    """Serves the rows.

    `is_down` makes it answer 503, with which nothing is done. `lost_share` is the share
    of the writing calls that are done `late_s` seconds later, if their condition still
    holds then, and not answered; their channels deliver nothing further.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lost_share, self.late_s = 0.0, 0.0
        self.random = Random(29)
        self.rejected: list[str] = []
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[int, str, str, bytes | None]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._sorted: dict[str, list[bytes]] = {}

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row on behalf of the operator or of a worker; None removes it."""
        self._apply([(table, key, value)])

    def read_rows(self, table: str) -> dict[str, bytes]:
        """Return the values of a table by key."""
        return {key: row[0] for (name, key), row in self._rows.items() if name == table}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        content = await request.read()
        if self.is_down:
            return reply({}, 503)
        if request.path == "/api/rows-tx":
            if self.random.random() < self.lost_share:
                loop = asyncio.get_running_loop()
                loop.call_later(self.late_s, self._transact, content)
                await asyncio.sleep(SILENCE_S)
                cut(request)
                return reply({}, 503)
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(content)
        if request.path == "/api/rows-get":
            return self._get(request)
        if request.path == "/api/rows-feed":
            return await self._feed(request)
        return reply({}, 404)

    def _transact(self, content: bytes) -> web.Response:
        body = orjson.loads(content)
        conditions = body.get("expected_revision") or []
        writes = body.get("writes") or []
        removed = body.get("remove") or []
        if len(content) > MAX_CALL_BYTES:
            return self._reject(f"a call of {len(content)} bytes")
        if len(conditions) + len(writes) + len(removed) > MAX_ENTRIES:
            return self._reject("a call of more than 100 entries")
        changes = [(w["table"], w["key"], b64decode(w["value"])) for w in writes]
        for table, key, value in changes:
            if len(value) > ROW_BYTES:
                return self._reject(f"row {table}/{key} of {len(value)} bytes")
        for item in conditions:
            row = self._rows.get((item["table"], item["key"]))
            if (row[1] if row else 0) != item["row_version"]:
                return reply({"rows": [], **self._stamp()}, 412)
        self._apply(changes + [(r["table"], r["key"], None) for r in removed])
        return reply(self._stamp())

    def _reject(self, problem: str) -> web.Response:
        self.rejected.append(problem)
        return reply({"error": problem}, 400)

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        self._version += 1
        for table, key, value in changes:
            if (value is None) == ((table, key) in self._rows):
                keys = self._sorted.setdefault(table, [])
                place = bisect_left(keys, key.encode())
                keys[place : place + (value is None)] = (
                    [] if value is None else [key.encode()]
                )
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, self._version)
            self._changes.append((self._version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _stamp(self) -> dict:
        now_ms = int(1000 * asyncio.get_running_loop().time())
        return {"row_version": self._version, "now_ms": now_ms}

    def _get(self, request: web.BaseRequest) -> web.Response:
        table, start = request.query["table"], request.query.get("from", "").encode()
        end = request.query.get("target")
        limit = min(500, int(request.query.get("limit", "500")))
        keys = self._sorted.get(table, [])
        last = len(keys) if end is None else bisect_left(keys, end.encode())
        first = bisect_left(keys, start)
        rows, size = [], 0
        for key in map(bytes.decode, keys[first : min(last, first + limit)]):
            value, version = self._rows[table, key]
            size += len(value) * 4 // 3 + 200
            if rows and size > MAX_CALL_BYTES:
                break
            rows.append(_row(table, key, value, version))
        body = {"rows": rows, "has_more": first + len(rows) < last, **self._stamp()}
        return reply(body)

    async def _feed(self, request: web.BaseRequest) -> web.Response:
        loop = asyncio.get_running_loop()
        table, after = request.query["table"], int(request.query["after"])
        ends_s = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if self.is_down:
                return reply({}, 503)
            newer = bisect_left(self._changes, after + 1, key=lambda item: item[0])
            rows = [
                _row(name, key, value, version)
                for version, name, key, value in self._changes[newer:]
                if name == table
            ]
            remaining_s = ends_s - loop.time()
            if rows or remaining_s <= 0:
                return reply({"rows": rows, **self._stamp()})
            try:
                await asyncio.wait_for(self._changed.wait(), min(remaining_s, 0.5))
            except TimeoutError:
                continue


def _row(table: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": "", "key": key, "row_version": version}
    if value is None:
        return {**row, "value": "", "deleted": True}
    return {**row, "value": b64encode(value).decode()}
