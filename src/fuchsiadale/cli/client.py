"""Client of an entry's HTTP interfaces for the command line."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from attrs import frozen

CLIENT_TIMEOUT_S = 90.0
"""Seconds allowed for a whole call."""


@frozen
class Reply:
    """Reply of an entry to one call.

    Attributes
    ----------
    status : int
        HTTP status code; 0 if no valid reply arrived.
    body : Any
        Decoded JSON body, or an error message if no valid reply arrived.
    """

    status: int
    body: Any

    @property
    def is_ok(self) -> bool:
        """Whether the call succeeded."""
        return 200 <= self.status < 300


@frozen
class EntryClient:
    """Client of one entry.

    Attributes
    ----------
    url : str
        Base URL of the entry.
    key : str
        Key sent with each call; empty to send none.
    """

    url: str
    key: str

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        idempotency_key: str = "",
    ) -> Reply:
        """Send a request and return the reply, outside an event loop."""
        return asyncio.run(self.call_async(method, path, body, idempotency_key))

    async def call_async(
        self,
        method: str,
        path: str,
        body: object = None,
        idempotency_key: str = "",
    ) -> Reply:
        """Send a request and return the reply, inside a running event loop."""
        headers: dict[str, str] = {}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, self.url.rstrip("/") + path, json=body, headers=headers
                ) as response,
            ):
                return Reply(response.status, await response.json(content_type=None))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Reply(0, f"{self.url} did not return a valid reply: {error}")
