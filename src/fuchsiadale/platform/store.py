"""Client of the platform's row store."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import urlencode

from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.platform.http import HttpClient, NoReply, Reply
from fuchsiadale.ports.rows import (
    RowChanges,
    RowCondition,
    RowPage,
    RowStore,
    RowWrite,
    StoreFailure,
    TableRow,
)
from fuchsiadale.ports.store_clock import StoreClock

STORE_PART = ""
"""Name, here empty, of the store's part that holds all rows.

A transaction then never spans several parts.
"""

WATCH_MARGIN_S = 1.0
"""Seconds that the timeout of a watch exceeds its wait, since the store may be slow."""


class PlatformRowStore(RowStore):
    """Client of the row store over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the calls.
    address : str
        ``ip:port`` of the store.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}"
        self._clock: StoreClock | None = None

    @property
    def clock(self) -> StoreClock | None:
        """Last reading of the store's clock; None before the first."""
        return self._clock

    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply all writes if every condition holds; return the store's new version."""
        body = {
            "expected_revision": [
                {**_encode_row_id(item.table, item.key), "row_version": item.version}
                for item in conditions
            ],
            "writes": [
                {
                    **_encode_row_id(item.table, item.key),
                    "value": b64encode(item.value).decode(),
                }
                for item in writes
                if item.value is not None
            ],
            "remove": [
                _encode_row_id(item.table, item.key)
                for item in writes
                if item.value is None
            ],
        }
        sent_s = asyncio.get_running_loop().time()
        reply = await self._client.call(
            "POST", f"{self._url}/api/rows-tx", body, timeout_s=timeout_s
        )
        parsed = _parse_reply(reply)
        self._note_clock(parsed, sent_s)
        if isinstance(parsed, Err):
            return parsed
        version = parsed.ok_value.get("row_version")
        return Ok(version) if isinstance(version, int) else Err(StoreFailure.UNKNOWN)

    async def read(
        self, table: str, start: str = "", limit: int = 500, timeout_s: float = 1.0
    ) -> Result[RowPage, StoreFailure]:
        """Return at most `limit` rows of a table, sorted by key, from `start` on."""
        query = {"table": table, "part": STORE_PART, "limit": str(limit)}
        if start:
            query["from"] = start
        sent_s = asyncio.get_running_loop().time()
        reply = await self._client.call(
            "GET",
            f"{self._url}/api/rows-get?{urlencode(query)}",
            timeout_s=timeout_s,
            waits_while_receiving=True,
        )
        parsed = _parse_rows_reply(reply)
        self._note_clock(parsed, sent_s)
        return parsed.and_then(_decode_page)

    async def watch(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Return the changes of a table after a version.

        If there are none yet, the store waits at most `wait_s` seconds for one.
        """
        query = {
            "table": table,
            "after": str(after_version),
            "wait_ms": str(round(1000 * wait_s)),
        }
        reply = await self._client.call(
            "GET",
            f"{self._url}/api/rows-feed?{urlencode(query)}",
            timeout_s=wait_s + WATCH_MARGIN_S,
            waits_while_receiving=True,
        )
        return _parse_rows_reply(reply).map(
            lambda body: RowChanges(_decode_rows(body), body["row_version"])
        )

    def _note_clock(
        self, parsed: Result[dict[str, Any], StoreFailure], sent_s: float
    ) -> None:
        """Note the reading of the store's clock in a reply that has one."""
        if isinstance(parsed, Err):
            return
        reading_ms = parsed.ok_value.get("now_ms")
        if isinstance(reading_ms, int):
            received_s = asyncio.get_running_loop().time()
            self._clock = StoreClock(reading_ms, sent_s, received_s)


def _encode_row_id(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": STORE_PART, "key": key}


def _parse_reply(reply: Reply | NoReply) -> Result[dict[str, Any], StoreFailure]:
    if isinstance(reply, NoReply):
        failure = StoreFailure.UNKNOWN if reply.was_sent else StoreFailure.UNAVAILABLE
        return Err(failure)
    if reply.status == 200:
        return Ok(reply.body)
    if reply.status == 412:
        return Err(StoreFailure.CONFLICT)
    if reply.status == 410:
        return Err(StoreFailure.HISTORY_LOST)
    if reply.status >= 500 and reply.status != 503:
        # Only 503 says that nothing was done.
        return Err(StoreFailure.UNKNOWN)
    return Err(StoreFailure.UNAVAILABLE)


def _parse_rows_reply(
    reply: Reply | NoReply,
) -> Result[dict[str, Any], StoreFailure]:
    """Return the body of a reply about rows.

    A reply without rows or version is a failure: it does not tell that there are no
    rows.
    """
    parsed = _parse_reply(reply)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    if isinstance(body.get("row_version"), int) and isinstance(body.get("rows"), list):
        return parsed
    log_message("store_reply_unreadable", fields=sorted(body))
    return Err(StoreFailure.UNKNOWN)


def _decode_page(body: dict[str, Any]) -> Result[RowPage, StoreFailure]:
    """Return a page; it fails if rows follow and no row says from which key on."""
    next_start = None
    if body.get("has_more"):
        keys = [row.get("key") for row in body["rows"] if isinstance(row, dict)]
        last_key = keys[-1] if keys else None
        if not isinstance(last_key, str):
            log_message("store_page_without_key", rows=len(body["rows"]))
            return Err(StoreFailure.UNKNOWN)
        next_start = last_key + "\x00"
    rows = _decode_rows(body)
    is_complete = len(rows) == len(body["rows"])
    return Ok(RowPage(rows, next_start, body["row_version"], is_complete))


def _decode_rows(body: dict[str, Any]) -> tuple[TableRow, ...]:
    decoded = (_decode_row(row) for row in body["rows"] if isinstance(row, dict))
    return tuple(row for row in decoded if row is not None)


def _decode_row(row: dict[str, Any]) -> TableRow | None:
    """Return a row, or None if it has no table or key or its value is not base64."""
    table, key, text = row.get("table"), row.get("key"), row.get("value", "")
    version = row.get("row_version")
    if not isinstance(table, str) or not isinstance(key, str):
        return None
    try:
        value = b64decode(text or "", validate=True)
    except (ValueError, TypeError):
        return None
    is_deleted = bool(row.get("deleted"))
    return TableRow(
        table, key, value, version if isinstance(version, int) else 0, is_deleted
    )
