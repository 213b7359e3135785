"""Client of the platform's metadata store."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import urlencode

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

PART = ""
"""The one part that every row is kept in; a transaction then needs no crossing."""

WATCH_MARGIN_S = 1.0
"""Seconds that the answer to a watch may take beyond its wait; a slow store's."""


class PlatformRowStore(RowStore):
    """Reads, writes and watches rows.

    Parameters
    ----------
    client : HttpClient
        Sends the calls.
    address : str
        ``ip:port`` of the store.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}"

    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply all writes if every condition holds; return the new version."""
        body = {
            "expected_revision": [
                {**_row_id(item.table, item.key), "row_version": item.version}
                for item in conditions
            ],
            "writes": [
                {
                    **_row_id(item.table, item.key),
                    "value": b64encode(item.value).decode(),
                }
                for item in writes
                if item.value is not None
            ],
            "remove": [
                _row_id(item.table, item.key) for item in writes if item.value is None
            ],
        }
        reply = await self._client.call(
            "POST", f"{self._url}/api/rows-tx", body, timeout_s=timeout_s
        )
        checked = _check(reply)
        if isinstance(checked, Err):
            return checked
        version = checked.ok_value.get("row_version")
        return Ok(version) if isinstance(version, int) else Err(StoreFailure.UNKNOWN)

    async def read(
        self, table: str, start: str = "", limit: int = 500, timeout_s: float = 1.0
    ) -> Result[RowPage, StoreFailure]:
        """Return rows of a table, in the order of their keys from `start` on."""
        query = {"table": table, "part": PART, "limit": str(limit)}
        if start:
            query["from"] = start
        reply = await self._client.call(
            "GET", f"{self._url}/api/rows-get?{urlencode(query)}", timeout_s=timeout_s
        )
        checked = _check(reply)
        if isinstance(checked, Err):
            return checked
        body = checked.ok_value
        rows = _decode_rows(body)
        return Ok(RowPage(rows, bool(body.get("has_more")), _version(body)))

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Wait for changes of a table after a version."""
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(round(1000 * wait_s)),
        }
        reply = await self._client.call(
            "GET",
            f"{self._url}/api/rows-feed?{urlencode(query)}",
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        checked = _check(reply)
        if isinstance(checked, Err):
            return checked
        body = checked.ok_value
        return Ok(RowChanges(_decode_rows(body), max(_version(body), after)))


def _row_id(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": PART, "key": key}


def _check(reply: Reply | NoReply) -> Result[dict[str, Any], StoreFailure]:
    if isinstance(reply, NoReply):
        failure = StoreFailure.UNKNOWN if reply.was_sent else StoreFailure.UNAVAILABLE
        return Err(failure)
    if reply.status == 200:
        return Ok(reply.body)
    if reply.status == 412:
        return Err(StoreFailure.CONFLICT)
    if reply.status == 410:
        return Err(StoreFailure.HISTORY_LOST)
    return Err(StoreFailure.UNAVAILABLE)


def _version(body: dict[str, Any]) -> int:
    version = body.get("row_version")
    return version if isinstance(version, int) else 0


def _decode_rows(body: dict[str, Any]) -> tuple[TableRow, ...]:
    rows = body.get("rows")
    if not isinstance(rows, list):
        return ()
    decoded = (_decode_row(row) for row in rows if isinstance(row, dict))
    return tuple(row for row in decoded if row is not None)


def _decode_row(row: dict[str, Any]) -> TableRow | None:
    """Return a row, or None if it has no key or its content is no base64."""
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
