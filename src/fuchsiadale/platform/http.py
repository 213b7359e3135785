"""HTTP client that is shared by the clients of all platform services."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager
from typing import Any
from urllib.parse import urlsplit

import aiohttp
import orjson
from attrs import frozen
from eliot import log_message

from fuchsiadale.connection_pools import KEEP_ALIVE_S, ConnectionPools
from fuchsiadale.transfers import Progress, bound_head, read_body

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout in seconds.

It ends when TCP would resend a lost SYN packet, which is after one second.
"""

JSON_HEADERS = {"Content-Type": "application/json"}


@frozen
class Reply:
    """A reply that was received completely.

    Attributes
    ----------
    status : int
        Status code of the HTTP response.
    body : dict
        JSON object in the response body; empty if the body is anything else.
    """

    status: int
    body: dict[str, Any]


@frozen
class NoReply:
    """Reports that no complete reply was received.

    Attributes
    ----------
    was_sent : bool
        Whether the request may have been sent, and so may have taken effect.
    reason : str
        The error that ended the call.
    was_closed : bool
        Whether the connection was refused or closed, rather than the time run out.
    """

    was_sent: bool
    reason: str
    was_closed: bool = False


class HttpClient:
    """Sends calls with JSON bodies over connections that it keeps open.

    A call without a reply closes its connection, and one that times out gives up the
    other connections to its address, too.
    """

    def __init__(self) -> None:
        self._pools = ConnectionPools(auto_decompress=False, trust_env=False)

    async def call(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 1.0,
        waits_while_receiving: bool = False,
    ) -> Reply | NoReply:
        """Send a request and return the reply.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            URL to call.
        body : dict, optional
            JSON object to send.
        headers : mapping of str to str, optional
            Headers to send besides the content type.
        timeout_s : float
            Time allowed for the whole call, in seconds.
        waits_while_receiving : bool
            Whether the call goes on for longer while its reply keeps arriving, at
            `MIN_BODY_BYTES_PER_S` or more. Then `timeout_s` is the time allowed until
            the head has arrived, and after that without receiving any of the body.
        """
        return await _call(
            self._pools.request,
            method,
            url,
            body,
            headers,
            timeout_s,
            waits_while_receiving,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()


class HttpConnection:
    """A single connection to a server, over which one call is made at a time.

    The first call opens it. Once it is closed, later calls fail without being sent.

    Attributes
    ----------
    was_lost : bool
        Whether a call was not sent since the connection had been closed.
    """

    def __init__(self) -> None:
        self.was_lost = False
        self._was_opened = False
        connector = aiohttp.TCPConnector(
            limit=1, keepalive_timeout=KEEP_ALIVE_S, socket_factory=self._make_socket
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
        )

    async def call(
        self,
        method: str,
        url: str,
        body: dict[str, Any],
        headers: Mapping[str, str],
        timeout_s: float,
        waits_while_receiving: bool = False,
    ) -> Reply | NoReply:
        """Send a request and return the reply, as `HttpClient.call` does."""
        return await _call(
            self._request,
            method,
            url,
            body,
            headers,
            timeout_s,
            waits_while_receiving,
        )

    async def close(self) -> None:
        """Close the connection."""
        await self._session.close()

    def _request(
        self, method: str, url: str, head_timeout_s: float | None, **options: Any
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        request = self._session.request(method, url, **options)
        return bound_head(request, head_timeout_s)

    def _make_socket(self, address_info: aiohttp.AddrInfoType) -> socket.socket:
        """Return the socket of the connection, when it is opened.

        Raises
        ------
        ConnectionResetError
            If the connection was opened before, and so has been closed since.
        """
        if self._was_opened:
            self.was_lost = True
            raise ConnectionResetError("the connection has been closed")
        self._was_opened = True
        family, kind, protocol, _, _ = address_info
        return socket.socket(family, kind, protocol)


async def _call(
    request: Callable[..., AbstractAsyncContextManager[aiohttp.ClientResponse]],
    method: str,
    url: str,
    body: dict[str, Any] | None,
    headers: Mapping[str, str] | None,
    timeout_s: float,
    waits_while_receiving: bool = False,
) -> Reply | NoReply:
    """Send a request with a function of aiohttp's and return the reply."""
    problem = _find_url_problem(url)
    if problem:
        return NoReply(False, problem)
    data = None if body is None else orjson.dumps(body)
    all_headers = dict(JSON_HEADERS) if body is not None else {}
    if headers:
        all_headers.update(headers)
    timeout = aiohttp.ClientTimeout(
        total=None if waits_while_receiving else timeout_s,
        sock_connect=min(CONNECT_TIMEOUT_S, timeout_s),
    )
    progress = Progress()
    try:
        async with request(
            method,
            url,
            head_timeout_s=timeout_s if waits_while_receiving else None,
            data=data,
            headers=all_headers,
            timeout=timeout,
        ) as response:
            await read_body(response, progress, timeout_s)
            return Reply(response.status, _decode_json_object(progress.body))
    except aiohttp.ClientConnectorError as error:
        return NoReply(False, repr(error), was_closed=True)
    except aiohttp.ConnectionTimeoutError as error:
        return NoReply(False, repr(error))
    except TimeoutError as error:
        target = urlsplit(url)
        log_message(
            "request_timed_out",
            address=target.netloc,
            path=target.path,
            timeout_s=timeout_s,
            has_begun=progress.has_begun,
            received_bytes=len(progress.body),
            expected_bytes=progress.expected_bytes,
        )
        return NoReply(True, repr(error))
    except (aiohttp.ClientError, OSError) as error:
        return NoReply(True, repr(error), was_closed=True)


def _find_url_problem(url: str) -> str:
    """Return why no request can be sent to a URL; empty if one can."""
    try:
        target = urlsplit(url)
        if not target.hostname or not target.port:
            return "the URL has no host or no port"
        target.hostname.encode("idna")
    except ValueError as error:
        return f"the URL is invalid: {error}"
    return ""


def _decode_json_object(content: bytes | bytearray) -> dict[str, Any]:
    """Return the JSON object in a reply, or an empty one if it holds anything else."""
    if not content:
        return {}
    try:
        body = orjson.loads(content)
    except orjson.JSONDecodeError:
        return {}
    return body if isinstance(body, dict) else {}
