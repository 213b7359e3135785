"""Stand-in of the platform's store: tables of rows, transactions and change feeds."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import orjson
from aiohttp import web

from tests.soak.http import abort_connection, make_json_response

RowId = tuple[str, str]


class StoreStandIn:
    """Serves the store's HTTP API from memory, with faults on demand.

    Parameters
    ----------
    random : Random
        Decides which answers to transactions are lost.

    Attributes
    ----------
    is_unavailable : bool
        Whether every request is answered with status 503.
    request_delay_s : float
        Delay of the processing of each request, in seconds.
    answer_loss_probability : float
        Probability that the connection of a transaction is aborted instead of an
        answer; the transaction is committed if its expected versions match.
    feeds_newest_only : bool
        Whether a feed returns only the newest change of each row; otherwise it returns
        all changes, in order. The platform's pages permit both.
    refused_nodes : set of str
        Names of the nodes whose requests are all answered with status 503.
    late_commit_delay_s : float
        Seconds by which the commit of a transaction whose answer is lost is delayed;
        0 to commit at once.
    """

    def __init__(self, random: Random) -> None:
        self.is_unavailable = False
        self.request_delay_s = 0.0
        self.answer_loss_probability = 0.0
        self.late_commit_delay_s = 0.0
        self.feeds_newest_only = False
        self.refused_nodes: set[str] = set()
        self._random = random
        self._rows: dict[RowId, tuple[str, int]] = {}
        self._changes: list[tuple[int, RowId, str | None]] = []
        self._dropped_through_version = 0
        self._version = 0
        self._rows_changed = asyncio.Condition()
        self._late_commits: set[asyncio.Task[None]] = set()

    async def write_row(self, table: str, key: str, value: str | None) -> None:
        """Write a row for the operator or a worker; delete it if `value` is None."""
        self._apply_writes([(table, key, value)])
        async with self._rows_changed:
            self._rows_changed.notify_all()

    def read_value(self, table: str, key: str) -> str:
        """Return the content of a row in base64; empty if there is no such row."""
        return self._rows.get((table, key), ("", 0))[0]

    def drop_history(self) -> None:
        """Discard all changes so far.

        A request for the changes since an older version then gets status 410.
        """
        self._changes.clear()
        self._dropped_through_version = self._version

    async def handle_request(
        self, node_name: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer one HTTP request of a node."""
        if self.request_delay_s:
            await asyncio.sleep(self.request_delay_s)
        if self.is_unavailable or node_name in self.refused_nodes:
            return make_json_response({}, 503)
        if request.path == "/api/rows-tx":
            return await self._transact(request)
        if request.path == "/api/rows-get":
            return self._read_rows(request)
        if request.path == "/api/rows-feed":
            return await self._wait_for_changes(request)
        return make_json_response({}, 404)

    async def _transact(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            body = orjson.loads(await request.read())
        except ConnectionError:
            return make_json_response({}, 503)
        is_answer_lost = self._random.random() < self.answer_loss_probability
        if is_answer_lost and self.late_commit_delay_s:
            task = asyncio.create_task(
                self._commit_late(body, self.late_commit_delay_s)
            )
            self._late_commits.add(task)
            task.add_done_callback(self._late_commits.discard)
        elif (status := await self._commit(body)) != 200 and not is_answer_lost:
            return self._make_row_response({"rows": []}, status)
        if is_answer_lost:
            abort_connection(request)
        return self._make_row_response({})

    async def _commit_late(self, body: dict[str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
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
        self._apply_writes(writes)
        async with self._rows_changed:
            self._rows_changed.notify_all()
        return 200

    def _apply_writes(self, writes: list[tuple[str, str, str | None]]) -> None:
        self._version += 1
        for table, key, value in writes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, self._version)
            self._changes.append((self._version, (table, key), value))

    def _read_rows(self, request: web.BaseRequest) -> web.StreamResponse:
        table, first_key = request.query["table"], request.query.get("from", "")
        limit = int(request.query.get("limit", "500"))
        keys = sorted(
            key
            for row_table, key in self._rows
            if row_table == table and key.encode() >= first_key.encode()
        )
        rows = [self._format_row((table, key)) for key in keys[:limit]]
        return self._make_row_response({"rows": rows, "has_more": len(keys) > limit})

    def _format_row(self, row_id: RowId) -> dict[str, Any]:
        value, version = self._rows[row_id]
        return {
            "table": row_id[0],
            "part": "",
            "key": row_id[1],
            "value": value,
            "row_version": version,
        }

    async def _wait_for_changes(self, request: web.BaseRequest) -> web.StreamResponse:
        table, after_version = request.query["table"], int(request.query["after"])
        deadline_s = asyncio.get_running_loop().time()
        deadline_s += int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if after_version < self._dropped_through_version:
                return make_json_response({}, 410)
            changes = [
                (version, row_id, value)
                for version, row_id, value in self._changes
                if version > after_version and row_id[0] == table
            ]
            if self.feeds_newest_only:
                newest = {row_id: version for version, row_id, _ in changes}
                changes = [item for item in changes if item[0] == newest[item[1]]]
            rows = [
                {
                    "table": table,
                    "part": "",
                    "key": row_id[1],
                    "value": value or "",
                    "row_version": version,
                    "deleted": value is None,
                }
                for version, row_id, value in changes
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                return self._make_row_response({"rows": rows})
            async with self._rows_changed:
                try:
                    await asyncio.wait_for(self._rows_changed.wait(), remaining_s)
                except TimeoutError:
                    continue

    def _make_row_response(
        self, body: dict[str, Any], status: int = 200
    ) -> web.Response:
        """Return a response about rows with the newest version and the store's clock.

        The clock is the event loop's, in whole milliseconds.
        """
        now_ms = int(1000 * asyncio.get_running_loop().time())
        return make_json_response(
            {**body, "row_version": self._version, "now_ms": now_ms}, status
        )
