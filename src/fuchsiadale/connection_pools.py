"""Pools of HTTP connections that give up those which have gone silent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import urlsplit

import aiohttp
from attrs import define

from fuchsiadale.transfers import bound_head

KEEP_ALIVE_S = 12.0
"""Seconds after which an idle connection is closed; below the platform's idle limit."""


@define
class _Pool:
    """A session with its pool of connections.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Opens the connections and keeps them.
    made_s : float
        When the pool was made, on the event loop's clock.
    open_calls : int
        Number of calls in progress.
    is_retired : bool
        Whether the session is closed once no call is in progress.
    """

    session: aiohttp.ClientSession
    made_s: float
    open_calls: int = 0
    is_retired: bool = False


class ConnectionPools:
    """Keeps HTTP connections open and avoids those that may have gone silent.

    A connection can go silent without being closed, and usually does so together with
    the others to the same address. A call that times out therefore sets aside all idle
    connections to its address: later calls open new ones.

    Parameters
    ----------
    **session_options
        Options of the `aiohttp.ClientSession` that makes the calls.
    """

    def __init__(self, **session_options: Any) -> None:
        self._session_options = session_options
        self._shared: _Pool | None = None
        # Pools of the addresses to which a call has timed out lately.
        self._separate: dict[str, _Pool] = {}

    @asynccontextmanager
    async def request(
        self,
        method: str,
        url: str,
        head_timeout_s: float | None = None,
        **options: Any,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and provide the response, whose body may still be on its way.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            URL to call.
        head_timeout_s : float, optional
            Seconds until the head of the response must have arrived.
        **options
            Further options of `aiohttp.ClientSession.request`.

        Raises
        ------
        TimeoutError
            If the call takes longer than its timeout allows.
        aiohttp.ClientError or OSError
            If the connection fails.
        """
        address = urlsplit(url).netloc
        if self._separate:
            await self._rejoin_addresses()
        if self._shared is None:
            self._shared = self._make_pool()
        pool = self._separate.get(address, self._shared)
        pool.open_calls += 1
        try:
            request = pool.session.request(method, url, **options)
            async with bound_head(request, head_timeout_s) as response:
                yield response
        except aiohttp.ConnectionTimeoutError:
            # This tells nothing of the connections that are open.
            raise
        except TimeoutError:
            self._set_aside(address, pool)
            raise
        finally:
            pool.open_calls -= 1
            await _close_if_unused(pool)

    async def close(self) -> None:
        """Close all connections."""
        pools = [*self._separate.values()]
        if self._shared is not None:
            pools.append(self._shared)
        self._separate.clear()
        self._shared = None
        for pool in pools:
            await pool.session.close()

    def _make_pool(self) -> _Pool:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
        session = aiohttp.ClientSession(connector=connector, **self._session_options)
        return _Pool(session, asyncio.get_running_loop().time())

    def _set_aside(self, address: str, pool: _Pool) -> None:
        """Use new connections to an address from now on instead of those in a pool."""
        if self._separate.get(address, self._shared) is not pool:
            # Another call over the same pool has timed out before.
            return
        self._separate[address] = self._make_pool()
        pool.is_retired = pool is not self._shared

    async def _rejoin_addresses(self) -> None:
        """Use the shared pool again once its old idle connections have been closed."""
        now_s = asyncio.get_running_loop().time()
        expired = [
            (address, pool)
            for address, pool in self._separate.items()
            if now_s - pool.made_s > KEEP_ALIVE_S
        ]
        for address, pool in expired:
            del self._separate[address]
            pool.is_retired = True
        for _, pool in expired:
            await _close_if_unused(pool)


async def _close_if_unused(pool: _Pool) -> None:
    if pool.is_retired and not pool.open_calls:
        await pool.session.close()
