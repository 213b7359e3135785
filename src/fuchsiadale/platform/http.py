"""One HTTP client for every service of the platform."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import aiohttp
import orjson
from attrs import frozen

KEEP_ALIVE_S = 12.0
"""Seconds for which an idle connection is kept; below the platform's idle limit."""

CONNECT_TIMEOUT_S = 1.0
"""Seconds to connect; a lost opening packet is sent again after one."""

JSON_HEADERS = {"Content-Type": "application/json"}


@frozen
class Reply:
    """An answer that arrived whole."""

    status: int
    body: dict[str, Any]


@frozen
class NoReply:
    """No whole answer arrived.

    Attributes
    ----------
    was_sent : bool
        Whether the call may have been carried out.
    reason : str
        What was seen.
    """

    was_sent: bool
    reason: str


class HttpClient:
    """Sends calls with JSON bodies; a call without an answer ends its connection."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session, opened at its first use."""
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEP_ALIVE_S, force_close=False
            )
            self._session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False, trust_env=False
            )
        return self._session

    async def call(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> Reply | NoReply:
        """Send a call and return its answer."""
        data = None if body is None else orjson.dumps(body)
        merged = dict(JSON_HEADERS) if body is not None else {}
        if headers:
            merged.update(headers)
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(CONNECT_TIMEOUT_S, timeout_s)
        )
        try:
            async with self.session.request(
                method, url, data=data, headers=merged, timeout=timeout
            ) as response:
                text = await response.read()
                return Reply(response.status, _decode(text))
        except aiohttp.ClientConnectorError as error:
            return NoReply(False, repr(error))
        except (aiohttp.ConnectionTimeoutError, aiohttp.SocketTimeoutError) as error:
            was_sent = not isinstance(error, aiohttp.ConnectionTimeoutError)
            return NoReply(was_sent, repr(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return NoReply(True, repr(error))

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()


def _decode(text: bytes) -> dict[str, Any]:
    """Return a JSON object, empty for anything else."""
    if not text:
        return {}
    try:
        body = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    return body if isinstance(body, dict) else {}
