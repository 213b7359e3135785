"""HTTP clients of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TypeVar

import aiohttp
from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.codec import CONTENT_TYPE, decode, encode
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
_HEADERS = {"Content-Type": CONTENT_TYPE}
_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@frozen
class ReadRequest:
    """Asks for one row."""

    key: str


@frozen
class ReadReply:
    """Holds the row, if it exists."""

    row: Row | None


@frozen
class ScanRequest:
    """Asks for the rows under a prefix."""

    prefix: str
    start: str


@frozen
class ScanReply:
    """Holds the rows in order of their keys."""

    rows: list[Row]


@frozen
class TransactReply:
    """Holds the version committed, or None for a conflict."""

    version: int | None


class PlatformSession:
    """The connections of one process to the platform.

    Parameters
    ----------
    base_url : str
        Where the platform listens.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    @property
    def http(self) -> aiohttp.ClientSession:
        """The HTTP session, opened at first use inside the loop."""
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=PLATFORM_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session

    def url(self, path: str) -> str:
        """Return the address of a path."""
        return self._base_url + path

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None


class HttpTable(TableService):
    """The table service over HTTP."""

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
        """Return the rows whose keys begin with `prefix`, from `start` on."""
        reply = await self._call("/table/scan", ScanRequest(prefix, start), ScanReply)
        if isinstance(reply, Err):
            return Err(TableFailure.UNAVAILABLE)
        return Ok(reply.ok_value.rows)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply a transaction."""
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
        url = self._session.url(path)
        try:
            async with self._session.http.post(
                url, data=encode(request), headers=_HEADERS
            ) as response:
                body = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            return Err(TableFailure.UNAVAILABLE)
        except _FAILURES:
            return Err(TableFailure.UNKNOWN)
        if status == 503:
            return Err(TableFailure.UNAVAILABLE)
        decoded = decode(body, reply_type) if status == 200 else Err("")
        if isinstance(decoded, Err):
            return Err(TableFailure.UNKNOWN)
        return decoded


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def put(self, name: str, body: bytes) -> Result[None, ObjectFailure]:
        """Write an object."""
        result = await self._call("PUT", name, body)
        return result.map(lambda _: None)

    async def get(self, name: str) -> Result[bytes, ObjectFailure]:
        """Read an object."""
        return await self._call("GET", name, b"")

    async def delete(self, name: str) -> Result[None, ObjectFailure]:
        """Remove an object; removing one that does not exist succeeds."""
        result = await self._call("DELETE", name, b"")
        return result.map(lambda _: None)

    async def _call(
        self, method: str, name: str, body: bytes
    ) -> Result[bytes, ObjectFailure]:
        url = self._session.url(f"/objects/{name}")
        try:
            async with self._session.http.request(method, url, data=body) as response:
                answer = await response.read()
                status = response.status
        except _FAILURES:
            return Err(ObjectFailure.UNAVAILABLE)
        if status == 404:
            return Err(ObjectFailure.NOT_FOUND)
        if status >= 300:
            return Err(ObjectFailure.UNAVAILABLE)
        return Ok(answer)


class HttpHostList(HostList):
    """The host list over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def fetch(self, known_version: int) -> Result[HostListing, str]:
        """Return the list, without workers if `known_version` is the present one."""
        url = self._session.url(f"/hosts?known_version={known_version}")
        try:
            async with self._session.http.get(url) as response:
                body = await response.read()
                status = response.status
        except _FAILURES as error:
            return Err(f"host list not reached: {error}")
        if status != 200:
            return Err(f"host list answered with status {status}")
        return decode(body, HostListing)
