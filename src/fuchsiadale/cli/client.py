"""Calls the HTTP interfaces of an entry for the command line."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from attrs import frozen

CLIENT_TIMEOUT_S = 90.0


@frozen
class Reply:
    """An entry's answer.

    Attributes
    ----------
    status : int
        Status code; 0 if the entry was not reached.
    body : Any
        The JSON body, or a sentence about why there is none.
    """

    status: int
    body: Any

    @property
    def is_ok(self) -> bool:
        """Whether the call was granted."""
        return 200 <= self.status < 300


@frozen
class EntryClient:
    """Calls one entry.

    Attributes
    ----------
    url : str
        Where it listens for callers.
    key : str
        The key to show; empty for none.
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
        """Make one call and wait for its answer."""
        return asyncio.run(self.call_async(method, path, body, idempotency_key))

    async def call_async(
        self,
        method: str,
        path: str,
        body: object = None,
        idempotency_key: str = "",
    ) -> Reply:
        """Make one call inside a running loop."""
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
            return Reply(0, f"{self.url} was not reached: {error}")
