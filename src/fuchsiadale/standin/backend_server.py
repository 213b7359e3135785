"""The backend server's stand-in: several workers behind one HTTP port."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from weakref import WeakSet

import aiohttp
import cattrs
from aiohttp import web
from attrs import evolve
from result import Err, Result

from fuchsiadale.backend.messages import (
    AdoptOrder,
    HeartbeatOrder,
    RefusalMessage,
    ReportMessage,
    StartBatch,
    StartReplies,
    StopBatch,
)
from fuchsiadale.codec import encode
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.session import SessionRefusal
from fuchsiadale.standin.http import make_response, read_body
from fuchsiadale.standin.worker import StandInWorker, WorkerFaults

SILENCE_S = 3600.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class BackendServerStandIn:
    """Serves stand-in workers over HTTP.

    Parameters
    ----------
    workers : iterable of WorkerInfo
        The workers to serve.
    clock : Clock
        Their clock.
    """

    def __init__(self, workers: Iterable[WorkerInfo], clock: Clock) -> None:
        self.workers = {info.name: StandInWorker(info, clock) for info in workers}
        self._watchers: list[asyncio.Task[None]] = []
        self._open_connections: WeakSet[asyncio.Transport] = WeakSet()
        self._silent_connections: WeakSet[asyncio.Transport] = WeakSet()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._apply_silence])
        app.router.add_post("/w/{name}/adopt", self._adopt)
        app.router.add_post("/w/{name}/heartbeat", self._heartbeat)
        app.router.add_post("/w/{name}/start", self._start)
        app.router.add_post("/w/{name}/stop", self._stop)
        app.router.add_put("/faults/{name}", self._set_faults)
        app.router.add_post("/silence", self._silence)
        app.router.add_get("/observations", self._observe)
        app.on_startup.append(self._open)
        app.on_cleanup.append(self._close)
        return app

    async def register(self, platform_url: str, own_url: str) -> None:
        """Enter the workers in the platform's host list."""
        listed = [
            evolve(worker.info, address=f"{own_url}/w/{name}")
            for name, worker in self.workers.items()
        ]
        url = platform_url.rstrip("/") + "/hosts"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=encode(listed)) as response,
        ):
            response.raise_for_status()

    async def _open(self, app: web.Application) -> None:
        loop = asyncio.get_running_loop()
        for worker in self.workers.values():
            self._watchers.append(loop.create_task(worker.enforce_leases()))

    async def _close(self, app: web.Application) -> None:
        for watcher in self._watchers:
            watcher.cancel()
        for worker in self.workers.values():
            worker.close()

    @web.middleware
    async def _apply_silence(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Leave calls unanswered on connections that have gone silent."""
        if request.path.startswith("/w/") and request.transport is not None:
            self._open_connections.add(request.transport)
        if request.transport in self._silent_connections:
            await asyncio.sleep(SILENCE_S)
        return await handler(request)

    async def _silence(self, request: web.Request) -> web.Response:
        """Make every connection that is open now silent for good."""
        self._silent_connections.update(self._open_connections)
        return web.Response(status=204)

    async def _adopt(self, request: web.Request) -> web.Response:
        order = await read_body(request, AdoptOrder)
        return _report_answer(self._worker(request).adopt(order))

    async def _heartbeat(self, request: web.Request) -> web.Response:
        order = await read_body(request, HeartbeatOrder)
        return _report_answer(await self._worker(request).heartbeat(order))

    async def _start(self, request: web.Request) -> web.Response:
        batch = await read_body(request, StartBatch)
        worker = self._worker(request)
        replies = worker.start(batch)
        if worker.faults.drops_start_answers > 0:
            worker.faults.drops_start_answers -= 1
            await asyncio.sleep(SILENCE_S)
        return make_response(StartReplies(replies))

    async def _stop(self, request: web.Request) -> web.Response:
        batch = await read_body(request, StopBatch)
        self._worker(request).stop(batch)
        return make_response(StartReplies([]))

    async def _set_faults(self, request: web.Request) -> web.Response:
        worker = self._worker(request)
        faults = cattrs.structure(await request.json(), WorkerFaults)
        worker.faults = faults
        return web.json_response(cattrs.unstructure(worker.faults))

    async def _observe(self, request: web.Request) -> web.Response:
        seen = [
            observation
            for worker in self.workers.values()
            for observation in worker.observations
        ]
        overfilled = [
            name
            for name, worker in self.workers.items()
            if worker.has_exceeded_capacity
        ]
        running = [
            attempt_id
            for worker in self.workers.values()
            for attempt_id in worker.running_attempt_ids
        ]
        return web.json_response(
            {
                "observations": cattrs.unstructure(seen),
                "overfilled": overfilled,
                "running": running,
            }
        )

    def _worker(self, request: web.Request) -> StandInWorker:
        worker = self.workers.get(request.match_info["name"])
        if worker is None:
            raise web.HTTPNotFound(text="no such worker")
        return worker


def _report_answer(
    result: Result[ReportMessage, SessionRefusal],
) -> web.Response:
    if isinstance(result, Err):
        return make_response(RefusalMessage(result.err_value), status=409)
    return make_response(result.ok_value)
