"""Connections to workers, each of which reaches one incarnation of its worker."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlsplit

from attrs import Factory, define, frozen

from fuchsiadale.connection_pools import KEEP_ALIVE_S
from fuchsiadale.platform.fields import read_whole_number
from fuchsiadale.platform.http import HttpConnection, NoReply, Reply


@frozen
class OtherIncarnation:
    """Reports that a call was not sent, as another incarnation of the worker answers.

    Attributes
    ----------
    started_ms : int
        Start of that incarnation, in Unix milliseconds.
    """

    started_ms: int


@frozen
class Identification:
    """A request whose reply names the worker's incarnation, and that changes nothing.

    Attributes
    ----------
    url : str
        URL to post to.
    body : dict
        JSON object to send.
    """

    url: str
    body: dict[str, Any]


@define(eq=False)
class _WorkerConnection:
    """A connection to a worker.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation that it reaches, in Unix milliseconds; 0 if unknown.
    idle_since_s : float
        When the last call was answered, on the event loop's clock.
    """

    started_ms: int = 0
    idle_since_s: float = 0.0
    http: HttpConnection = Factory(HttpConnection)


class WorkerConnections:
    """Keeps connections to workers open, and calls one incarnation of a worker.

    A connection ends with the process that has accepted it. What is sent over one on
    which an incarnation has named itself thus reaches this incarnation or none.
    """

    def __init__(self) -> None:
        # By address, in the order of their last calls.
        self._idle: dict[str, list[_WorkerConnection]] = {}
        self._swept_s = 0.0

    async def call(
        self,
        url: str,
        body: dict[str, Any],
        headers: Mapping[str, str],
        timeout_s: float,
        started_ms: int,
        identification: Identification,
    ) -> Reply | NoReply | OtherIncarnation:
        """Send a request to one incarnation of a worker and return the reply.

        Parameters
        ----------
        url : str
            URL to post to.
        body : dict
            JSON object to send.
        headers : mapping of str to str
            Headers to send besides the content type.
        timeout_s : float
            Time allowed for the whole call, in seconds.
        started_ms : int
            Start of the incarnation, in Unix milliseconds; 0 for any.
        identification : Identification
            Request that is sent first over a new connection to one incarnation.

        Returns
        -------
        reply : Reply, NoReply or OtherIncarnation
            The reply. If the identification fails, its outcome, as the call is not
            sent then.
        """
        address = urlsplit(url).netloc
        await self._close_expired()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s

        async def send(
            connection: _WorkerConnection, url: str, body: dict[str, Any]
        ) -> Reply | NoReply:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0.0:
                return NoReply(False, "no time is left for the call")
            try:
                return await connection.http.call(
                    "POST", url, body, headers, remaining_s
                )
            except asyncio.CancelledError:
                await connection.http.close()
                raise

        while (connection := self._take(address, started_ms)) is not None:
            reply = await send(connection, url, body)
            if not connection.http.was_lost:
                return await self._finish(address, connection, reply)
            await connection.http.close()
        connection = _WorkerConnection()
        if started_ms:
            reply = await send(connection, identification.url, identification.body)
            if isinstance(reply, NoReply) or reply.status != 200:
                return _as_unsent(await self._finish(address, connection, reply))
            if _read_started_ms(reply) != started_ms:
                await self._close_address(address)
                await self._finish(address, connection, reply)
                return OtherIncarnation(connection.started_ms)
            connection.started_ms = started_ms
        reply = await send(connection, url, body)
        return await self._finish(address, connection, reply)

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self._idle):
            await self._close_address(address)

    def _take(self, address: str, started_ms: int) -> _WorkerConnection | None:
        """Remove and return the idle connection that was used last, if there is one."""
        idle = self._idle.get(address, [])
        for connection in reversed(idle):
            if started_ms in (0, connection.started_ms):
                idle.remove(connection)
                return connection
        return None

    async def _finish(
        self, address: str, connection: _WorkerConnection, reply: Reply | NoReply
    ) -> Reply | NoReply:
        """Keep the connection of a call that was answered, and close any other."""
        if isinstance(reply, Reply):
            connection.started_ms = connection.started_ms or _read_started_ms(reply)
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.setdefault(address, []).append(connection)
            return reply
        await connection.http.close()
        if reply.was_sent and not reply.was_closed:
            # Connections usually go silent together with the others to their address.
            await self._close_address(address)
        return reply

    async def _close_address(self, address: str) -> None:
        for connection in self._idle.pop(address, []):
            await connection.http.close()

    async def _close_expired(self) -> None:
        """Close the connections that have been idle for too long, now and then."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._swept_s < KEEP_ALIVE_S:
            return
        self._swept_s = now_s
        expired = []
        for address, idle in list(self._idle.items()):
            kept = [item for item in idle if now_s - item.idle_since_s < KEEP_ALIVE_S]
            expired += idle[: len(idle) - len(kept)]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        for connection in expired:
            await connection.http.close()


def _as_unsent(reply: Reply | NoReply) -> Reply | NoReply:
    """Return the outcome of a call that was not sent, as its identification failed."""
    if isinstance(reply, Reply):
        return reply
    return NoReply(False, reply.reason, reply.was_closed)


def _read_started_ms(reply: Reply) -> int:
    """Return the start of the incarnation that replied, in Unix ms; 0 if not given."""
    try:
        return read_whole_number(reply.body, "born")
    except ValueError:
        return 0
