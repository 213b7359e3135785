"""HTTP clients of backend servers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import aiohttp
from result import Err, Ok, Result

from fuchsiadale.backend.messages import (
    AdoptOrder,
    HeartbeatOrder,
    ReportMessage,
    StartBatch,
    StartReplies,
    StartReply,
    StopBatch,
    validate_report,
)
from fuchsiadale.backend.server import (
    BackendConnector,
    BackendServer,
    CallFailure,
)
from fuchsiadale.codec import CONTENT_TYPE, decode, encode
from fuchsiadale.connection_pools import ConnectionPools
from fuchsiadale.decision.reports import WorkerReport
from fuchsiadale.transfers import Progress, extend_timeout, read_body

T = TypeVar("T")

CALL_TIMEOUT_S = 1.5
"""Seconds allowed for a call, besides the transfer of long bodies and the time for
which the worker holds its reply."""

_HEADERS = {"Content-Type": CONTENT_TYPE}
_STALE_EPOCH_STATUS = 409


class HttpBackendServer(BackendServer):
    """Client of a worker's backend server over HTTP.

    A call that gets no reply in time gives up the open connections, so that the next
    call opens a new one.

    Parameters
    ----------
    pools : ConnectionPools
        Connections of the clients of all backend servers.
    address : str
        Base URL of this backend server.
    """

    def __init__(self, pools: ConnectionPools, address: str) -> None:
        self._pools = pools
        self._address = address.rstrip("/")

    async def adopt(self, order: AdoptOrder) -> Result[WorkerReport, CallFailure]:
        """Make the sender the worker's owner and return the worker's report."""
        return await self._request_report("/adopt", order, 0.0)

    async def heartbeat(
        self, order: HeartbeatOrder
    ) -> Result[WorkerReport, CallFailure]:
        """Renew the session and the task leases; return the worker's report."""
        return await self._request_report("/heartbeat", order, order.hold_s)

    async def start(
        self, batch: StartBatch
    ) -> Result[Sequence[StartReply], CallFailure]:
        """Order the worker to start attempts; return one reply for each."""
        replies = await self._order("/start", batch)
        return replies.map(lambda message: message.replies)

    async def stop(self, batch: StopBatch) -> Result[None, CallFailure]:
        """Order the worker to end attempts; later heartbeats report their ends."""
        replies = await self._order("/stop", batch)
        return replies.map(lambda _: None)

    async def _request_report(
        self, path: str, order: object, hold_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Send a short order and return the report, which may be long."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        message = await self._call(
            path, encode(order), ReportMessage, timeout, CALL_TIMEOUT_S + hold_s
        )
        if isinstance(message, Err):
            return message
        report = validate_report(message.ok_value)
        return report.map_err(lambda _: CallFailure.INVALID_ANSWER)

    async def _order(
        self, path: str, batch: object
    ) -> Result[StartReplies, CallFailure]:
        """Send orders, which may be long, and return the short replies."""
        body = encode(batch)
        timeout = aiohttp.ClientTimeout(
            total=extend_timeout(CALL_TIMEOUT_S, len(body)),
            sock_connect=CALL_TIMEOUT_S,
        )
        return await self._call(path, body, StartReplies, timeout)

    async def _call(
        self,
        path: str,
        order: bytes,
        reply_type: type[T],
        timeout: aiohttp.ClientTimeout,
        head_timeout_s: float | None = None,
    ) -> Result[T, CallFailure]:
        progress = Progress()
        try:
            async with self._pools.request(
                "POST",
                self._address + path,
                head_timeout_s=head_timeout_s,
                data=order,
                headers=_HEADERS,
                timeout=timeout,
            ) as response:
                await read_body(response, progress, CALL_TIMEOUT_S)
                status = response.status
        except aiohttp.ClientConnectorError:
            return Err(CallFailure.NOT_SENT)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Err(CallFailure.UNKNOWN)
        if status == _STALE_EPOCH_STATUS:
            return Err(CallFailure.STALE_EPOCH)
        if status != 200:
            return Err(CallFailure.UNKNOWN)
        decoded = decode(bytes(progress.body), reply_type)
        if isinstance(decoded, Err):
            return Err(CallFailure.INVALID_ANSWER)
        return Ok(decoded.ok_value)


class HttpBackendConnector(BackendConnector):
    """Creates HTTP clients that share one pool of connections."""

    def __init__(self) -> None:
        self._pools = ConnectionPools()

    def connect(self, address: str) -> BackendServer:
        """Return a client of the backend server whose base URL is `address`."""
        return HttpBackendServer(self._pools, address)

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()
