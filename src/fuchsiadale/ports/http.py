"""HTTP clients of the platform's table service, object store and host list."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Sequence
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
from fuchsiadale.transfers import Progress, extend_timeout, read_body

T = TypeVar("T")

PLATFORM_TIMEOUT_S = 2.0
"""Seconds allowed for a call to the platform, besides the transfer of long bodies."""

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


@frozen
class PlatformReply:
    """A complete reply of the platform.

    Attributes
    ----------
    status : int
        Status code of the HTTP response.
    body : bytes
        Body of the response.
    """

    status: int
    body: bytes


class PlatformSession:
    """Pool of HTTP connections from this process to the platform.

    Parameters
    ----------
    base_url : str
        Base URL of the platform.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._pools = ConnectionPools()

    async def read(self, method: str, path: str, **options: Any) -> PlatformReply:
        """Send a short request and return the reply, which may be long.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path on the platform.
        **options
            Further options of `aiohttp.ClientSession.request`.

        Raises
        ------
        TimeoutError
            If nothing arrives for `PLATFORM_TIMEOUT_S` seconds, or too little.
        aiohttp.ClientError or OSError
            If the connection fails.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=PLATFORM_TIMEOUT_S)
        bounded = {**options, "head_timeout_s": PLATFORM_TIMEOUT_S}
        return await self._call(method, path, timeout, bounded)

    async def write(
        self, method: str, path: str, body: bytes, **options: Any
    ) -> PlatformReply:
        """Send a request, which may be long, and return the short reply.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path on the platform.
        body : bytes
            Body of the request.
        **options
            Further options of `aiohttp.ClientSession.request`.

        Raises
        ------
        TimeoutError
            If the call takes longer than its timeout, which grows with the body.
        aiohttp.ClientError or OSError
            If the connection fails.
        """
        timeout = aiohttp.ClientTimeout(
            total=extend_timeout(PLATFORM_TIMEOUT_S, len(body)),
            sock_connect=PLATFORM_TIMEOUT_S,
        )
        return await self._call(method, path, timeout, {**options, "data": body})

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()

    async def _call(
        self,
        method: str,
        path: str,
        timeout: aiohttp.ClientTimeout,
        options: dict[str, Any],
    ) -> PlatformReply:
        progress = Progress()
        async with self._pools.request(
            method, self._base_url + path, timeout=timeout, **options
        ) as response:
            await read_body(response, progress, PLATFORM_TIMEOUT_S)
            return PlatformReply(response.status, bytes(progress.body))


class HttpTable(TableService):
    """Client of the table service over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def read(self, key: str) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""
        reply = await self._read("/table/read", ReadRequest(key), ReadReply)
        if isinstance(reply, Err):
            return Err(TableFailure.UNAVAILABLE)
        return Ok(reply.ok_value.row)

    async def scan(
        self, prefix: str, start: str = ""
    ) -> Result[Sequence[Row], TableFailure]:
        """Return the rows whose keys begin with `prefix`, from key `start` on."""
        reply = await self._read("/table/scan", ScanRequest(prefix, start), ScanReply)
        if isinstance(reply, Err):
            return Err(TableFailure.UNAVAILABLE)
        return Ok(reply.ok_value.rows)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, TableFailure]:
        """Apply all writes of a transaction if every condition holds."""
        call = self._session.write(
            "POST", "/table/transact", encode(transaction), headers=_HEADERS
        )
        reply = await _decode_reply(call, TransactReply)
        if isinstance(reply, Err):
            return reply
        version = reply.ok_value.version
        if version is None:
            return Err(TableFailure.CONFLICT)
        return Ok(Committed(version))

    async def _read(
        self, path: str, request: object, reply_type: type[T]
    ) -> Result[T, TableFailure]:
        call = self._session.read("POST", path, data=encode(request), headers=_HEADERS)
        return await _decode_reply(call, reply_type)


async def _decode_reply(
    call: Awaitable[PlatformReply], reply_type: type[T]
) -> Result[T, TableFailure]:
    """Await a call to the table service and return its decoded reply."""
    try:
        reply = await call
    except aiohttp.ClientConnectorError:
        return Err(TableFailure.UNAVAILABLE)
    except _CONNECTION_ERRORS:
        return Err(TableFailure.UNKNOWN)
    if reply.status == 503:
        return Err(TableFailure.UNAVAILABLE)
    decoded = decode(reply.body, reply_type) if reply.status == 200 else Err("")
    if isinstance(decoded, Err):
        return Err(TableFailure.UNKNOWN)
    return decoded


class HttpObjectStore(ObjectStore):
    """Client of the object store over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def put(self, name: str, body: bytes) -> Result[None, ObjectFailure]:
        """Write an object under a name."""
        result = await _check_reply(
            self._session.write("PUT", _object_path(name), body)
        )
        return result.map(lambda _: None)

    async def get(self, name: str) -> Result[bytes, ObjectFailure]:
        """Return the content of an object."""
        return await _check_reply(self._session.read("GET", _object_path(name)))

    async def delete(self, name: str) -> Result[None, ObjectFailure]:
        """Delete an object; deleting one that does not exist succeeds."""
        result = await _check_reply(self._session.read("DELETE", _object_path(name)))
        return result.map(lambda _: None)


def _object_path(name: str) -> str:
    return f"/objects/{name}"


async def _check_reply(
    call: Awaitable[PlatformReply],
) -> Result[bytes, ObjectFailure]:
    """Await a call to the object store and return the body of its reply."""
    try:
        reply = await call
    except _CONNECTION_ERRORS:
        return Err(ObjectFailure.UNAVAILABLE)
    if reply.status == 404:
        return Err(ObjectFailure.NOT_FOUND)
    if reply.status >= 300:
        return Err(ObjectFailure.UNAVAILABLE)
    return Ok(reply.body)


class HttpHostList(HostList):
    """Client of the host list over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def fetch(self, known_version: int) -> Result[HostListing, str]:
        """Return the list, without workers if its version is `known_version`."""
        path = f"/hosts?known_version={known_version}"
        try:
            reply = await self._session.read("GET", path)
        except _CONNECTION_ERRORS as error:
            return Err(f"the request for the host list failed: {error}")
        if reply.status != 200:
            message = "the host list replied with a status other than 200"
            return Err(f"{message}: {reply.status}")
        return decode(reply.body, HostListing)
