"""Connections to workers, each of which reaches one incarnation of its worker."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlsplit

from attrs import Factory, define, frozen

from fuchsiadale.connection_pools import KEEP_ALIVE_S
from fuchsiadale.platform.fields import read_whole_number
from fuchsiadale.platform.http import HttpConnection, NoReply, Reply

MAX_TIMEOUTS = 2
"""Number of calls in a row that time out before idle connections are given up, too.

Connections usually go silent together with the others to their address, while a worker
may leave a single call unanswered.
"""

IDENTIFICATION_TIMEOUT_S = 0.15
"""Timeout of an identification in seconds; half of that of the call that follows."""


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
class NoIdentification:
    """Reports that a call was not sent, as no incarnation has named itself in time."""


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


WorkerReply = Reply | NoReply | OtherIncarnation | NoIdentification


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
        # Calls that have timed out since the last one that was answered, by address.
        self._timeouts: Counter[str] = Counter()
        self._swept_s = 0.0

    async def call(
        self,
        url: str,
        body: dict[str, Any],
        headers: Mapping[str, str],
        timeout_s: float,
        started_ms: int,
        identification: Identification,
        waits_while_receiving: bool = False,
    ) -> WorkerReply:
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
        waits_while_receiving : bool
            Whether the call goes on for longer while its reply keeps arriving; see
            `HttpClient.call`.

        Returns
        -------
        reply : Reply, NoReply, OtherIncarnation or NoIdentification
            The reply, or that of the identification if it is a refusal.
        """
        address = urlsplit(url).netloc
        await self._close_expired()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        # A poll of any incarnation after a call without an answer may find another one.
        takes_idle = started_ms or not self._timeouts[address]
        while takes_idle and (connection := self._take(address, started_ms)):
            remaining_s = deadline_s - loop.time()
            reply = await _send(
                connection, url, body, headers, remaining_s, waits_while_receiving
            )
            if not connection.http.was_lost:
                return await self._finish(address, connection, reply)
            await connection.http.close()
        if started_ms:
            identified = await self._identify(
                address,
                started_ms,
                identification,
                headers,
                deadline_s,
                waits_while_receiving,
            )
            if not isinstance(identified, _WorkerConnection):
                return identified
            connection = identified
            if waits_while_receiving:
                # The identification, whose reply is as long, may have taken all of it.
                deadline_s = loop.time() + timeout_s
        else:
            connection = _WorkerConnection()
        remaining_s = deadline_s - loop.time()
        reply = await _send(
            connection, url, body, headers, remaining_s, waits_while_receiving
        )
        return await self._finish(address, connection, reply)

    async def _identify(
        self,
        address: str,
        started_ms: int,
        identification: Identification,
        headers: Mapping[str, str],
        deadline_s: float,
        waits_while_receiving: bool,
    ) -> _WorkerConnection | WorkerReply:
        """Open a connection to an incarnation; return why not if there is none."""
        loop = asyncio.get_running_loop()
        while (remaining_s := deadline_s - loop.time()) > 0.0:
            connection = _WorkerConnection()
            reply = await _send(
                connection,
                identification.url,
                identification.body,
                headers,
                min(remaining_s, IDENTIFICATION_TIMEOUT_S),
                waits_while_receiving,
            )
            if isinstance(reply, NoReply):
                await connection.http.close()
                if reply.was_sent and not reply.was_closed:
                    continue
                return NoReply(False, reply.reason, reply.was_closed)
            found_ms = _read_started_ms(reply)
            if reply.status == 200 and found_ms == started_ms:
                connection.started_ms = started_ms
                return connection
            if reply.status == 200:
                # The idle connections were to the former incarnation.
                await self._close_address(address)
            await self._finish(address, connection, reply)
            return OtherIncarnation(found_ms) if reply.status == 200 else reply
        return NoIdentification()

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
            self._timeouts.pop(address, None)
            return reply
        await connection.http.close()
        if reply.was_sent and not reply.was_closed:
            self._timeouts[address] += 1
            if self._timeouts[address] >= MAX_TIMEOUTS:
                await self._close_address(address)
        return reply

    async def _close_address(self, address: str) -> None:
        self._timeouts.pop(address, None)
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


async def _send(
    connection: _WorkerConnection,
    url: str,
    body: dict[str, Any],
    headers: Mapping[str, str],
    timeout_s: float,
    waits_while_receiving: bool,
) -> Reply | NoReply:
    """Send a request over a connection, which is closed if the call is cancelled."""
    if timeout_s <= 0.0:
        return NoReply(False, "no time is left for the call")
    try:
        return await connection.http.call(
            "POST", url, body, headers, timeout_s, waits_while_receiving
        )
    except asyncio.CancelledError:
        await connection.http.close()
        raise


def _read_started_ms(reply: Reply) -> int:
    """Return the start of the incarnation that replied, in Unix ms; 0 if not given."""
    try:
        return read_whole_number(reply.body, "born")
    except ValueError:
        return 0
