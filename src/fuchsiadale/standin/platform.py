"""Stand-in for the platform: table service, object store and host list over HTTP."""

from __future__ import annotations

import asyncio

import cattrs
from aiohttp import web
from result import Err

from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.ports.http import (
    ReadReply,
    ReadRequest,
    ScanReply,
    ScanRequest,
    TransactReply,
)
from fuchsiadale.ports.table import TableFailure, Transaction
from fuchsiadale.standin.http import make_response, read_body
from fuchsiadale.standin.table import (
    MemoryObjectStore,
    MemoryTable,
    PlatformFaults,
    PlatformState,
)

LOST_REPLY_DELAY_S = 60.0
"""Seconds before the server replies to a transaction whose reply is to be lost.

The delay is longer than clients wait.
"""
MAX_OBJECT_BYTES = 64 << 20
"""Size limit of request bodies, thus also of objects, in bytes."""


class PlatformStandIn:
    """Serves one `PlatformState` over HTTP.

    Parameters
    ----------
    state : PlatformState, optional
        State of the platform and the faults to inject; a new, empty state by default.
    """

    def __init__(self, state: PlatformState | None = None) -> None:
        self.state = state or PlatformState()
        self._table = MemoryTable(self.state)
        self._objects = MemoryObjectStore(self.state)

    def make_app(self) -> web.Application:
        """Return the HTTP application that serves the platform's services."""
        app = web.Application(client_max_size=MAX_OBJECT_BYTES)
        app.router.add_post("/table/read", self._read)
        app.router.add_post("/table/scan", self._scan)
        app.router.add_post("/table/transact", self._transact)
        app.router.add_put("/objects/{name:.+}", self._put_object)
        app.router.add_get("/objects/{name:.+}", self._get_object)
        app.router.add_delete("/objects/{name:.+}", self._delete_object)
        app.router.add_get("/hosts", self._get_host_list)
        app.router.add_post("/hosts", self._put_workers)
        app.router.add_delete("/hosts/{name}", self._remove_worker)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_get("/counts", self._get_counts)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        read_request = await read_body(request, ReadRequest)
        row = await self._table.read(read_request.key)
        if isinstance(row, Err):
            return web.Response(status=503)
        return make_response(ReadReply(row.ok_value))

    async def _scan(self, request: web.Request) -> web.Response:
        scan_request = await read_body(request, ScanRequest)
        rows = await self._table.scan(scan_request.prefix, scan_request.start)
        if isinstance(rows, Err):
            return web.Response(status=503)
        return make_response(ScanReply(list(rows.ok_value)))

    async def _transact(self, request: web.Request) -> web.Response:
        transaction = await read_body(request, Transaction)
        outcome = await self._table.transact(transaction)
        if not isinstance(outcome, Err):
            return make_response(TransactReply(outcome.ok_value.version))
        if outcome.err_value is TableFailure.CONFLICT:
            return make_response(TransactReply(None))
        if outcome.err_value is TableFailure.UNKNOWN:
            await asyncio.sleep(LOST_REPLY_DELAY_S)
        return web.Response(status=503)

    async def _put_object(self, request: web.Request) -> web.Response:
        body = await request.read()
        result = await self._objects.put(request.match_info["name"], body)
        return web.Response(status=503 if isinstance(result, Err) else 204)

    async def _get_object(self, request: web.Request) -> web.Response:
        if self.state.faults.objects_down:
            return web.Response(status=503)
        result = await self._objects.get(request.match_info["name"])
        if isinstance(result, Err):
            return web.Response(status=404)
        return web.Response(body=result.ok_value)

    async def _delete_object(self, request: web.Request) -> web.Response:
        result = await self._objects.delete(request.match_info["name"])
        return web.Response(status=503 if isinstance(result, Err) else 204)

    async def _get_host_list(self, request: web.Request) -> web.Response:
        self.state.counts.host_fetches += 1
        known_version = int(request.query.get("known_version", "0"))
        return make_response(self.state.list_hosts(known_version))

    async def _put_workers(self, request: web.Request) -> web.Response:
        for info in await read_body(request, list[WorkerInfo]):
            self.state.put_worker(info)
        return web.Response(status=204)

    async def _remove_worker(self, request: web.Request) -> web.Response:
        self.state.remove_worker(request.match_info["name"])
        return web.Response(status=204)

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = cattrs.structure(await request.json(), PlatformFaults)
        self.state.faults = faults
        return web.json_response(cattrs.unstructure(self.state.faults))

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(cattrs.unstructure(self.state.counts))
