"""HTTP clients of the platform's table service, object store and host list."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar

import aiohttp
from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.codec import CONTENT_TYPE, decode, encode
from fuchsiadale.connection_pools import ConnectionPools
from fuchsiadale.ports.hosts import HostList, HostListing
from fuchsiadale.ports.objects import ObjectFailure, ObjectStore
from fuchsiadale.ports.table import (
    Committed,
    Row,
    TableFailure,
    TableService,
    Transaction,
)

T = TypeVar("T")

PLATFORM_TIMEOUT_S = 2.0
"""Seconds allowed for a whole call to the platform."""

_HEADERS = {"Content-Type": CONTENT_TYPE}
_CONNECTION_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@frozen
class ReadRequest:
    """Request for the row with a key."""

    key: str


@frozen
class ReadReply:
    """Reply to a `ReadRequest`: the row, or None if it does not exist."""

    row: Row | None


@frozen
class ScanRequest:
    """Request for the rows whose keys begin with a prefix, from `start` on."""

    prefix: str
    start: str


@frozen
class ScanReply:
    """Reply to a `ScanRequest`: the rows, sorted by key."""

    rows: list[Row]


@frozen
class TransactReply:
    """Reply to a transaction: the committed version, or None for a conflict."""

    version: int | None


class PlatformSession:
    """Pool of HTTP connections from this process to the platform.

    Parameters
    ----------
    base_url : str
        Base URL of the platform.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        timeout = aiohttp.ClientTimeout(total=PLATFORM_TIMEOUT_S)
        self._pools = ConnectionPools(timeout=timeout)

    def request(
        self, method: str, path: str, **options: Any
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Send a request to a path on the platform and provide the response."""
        return self._pools.request(method, self._base_url + path, **options)

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()


class HttpTable(TableService):
    """Client of the table service over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def read(self, key: str) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""
        reply = await self._call("/table/read", ReadRequest(key), ReadReply)
        if isinstance(reply, Err):
            return Err(TableFailure.UNAVAILABLE)
        return Ok(reply.ok_value.row)

    async def scan(
        self, prefix: str, start: str = ""
    ) -> Result[Sequence[Row], TableFailure]:
        """Return the rows whose keys begin with `prefix`, from key `start` on."""
        reply = await self._call("/table/scan", ScanRequest(prefix, start), ScanReply)
        if isinstance(reply, Err):
            return Err(TableFailure.UNAVAILABLE)
        return Ok(reply.ok_value.rows)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply all writes of a transaction if every condition holds."""
        reply = await self._call("/table/transact", transaction, TransactReply)
        if isinstance(reply, Err):
            return reply
        version = reply.ok_value.version
        if version is None:
            return Err(TableFailure.CONFLICT)
        return Ok(Committed(version))

    async def _call(
        self, path: str, request: object, reply_type: type[T]
    ) -> Result[T, TableFailure]:
        try:
            async with self._session.request(
                "POST", path, data=encode(request), headers=_HEADERS
            ) as response:
                body = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            return Err(TableFailure.UNAVAILABLE)
        except _CONNECTION_ERRORS:
            return Err(TableFailure.UNKNOWN)
        if status == 503:
            return Err(TableFailure.UNAVAILABLE)
        decoded = decode(body, reply_type) if status == 200 else Err("")
        if isinstance(decoded, Err):
            return Err(TableFailure.UNKNOWN)
        return decoded


class HttpObjectStore(ObjectStore):
    """Client of the object store over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def put(self, name: str, body: bytes) -> Result[None, ObjectFailure]:
        """Write an object under a name."""
        result = await self._call("PUT", name, body)
        return result.map(lambda _: None)

    async def get(self, name: str) -> Result[bytes, ObjectFailure]:
        """Return the content of an object."""
        return await self._call("GET", name, b"")

    async def delete(self, name: str) -> Result[None, ObjectFailure]:
        """Delete an object; deleting one that does not exist succeeds."""
        result = await self._call("DELETE", name, b"")
        return result.map(lambda _: None)

    async def _call(
        self, method: str, name: str, body: bytes
    ) -> Result[bytes, ObjectFailure]:
        path = f"/objects/{name}"
        try:
            async with self._session.request(method, path, data=body) as response:
                content = await response.read()
                status = response.status
        except _CONNECTION_ERRORS:
            return Err(ObjectFailure.UNAVAILABLE)
        if status == 404:
            return Err(ObjectFailure.NOT_FOUND)
        if status >= 300:
            return Err(ObjectFailure.UNAVAILABLE)
        return Ok(content)


class HttpHostList(HostList):
    """Client of the host list over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def fetch(self, known_version: int) -> Result[HostListing, str]:
        """Return the list, without workers if its version is `known_version`."""
        path = f"/hosts?known_version={known_version}"
        try:
            async with self._session.request("GET", path) as response:
                body = await response.read()
                status = response.status
        except _CONNECTION_ERRORS as error:
            return Err(f"the request for the host list failed: {error}")
        if status != 200:
            return Err(f"the host list replied with a status other than 200: {status}")
        return decode(body, HostListing)
