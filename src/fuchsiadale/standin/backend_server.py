"""Stand-in for backend servers that serves several workers on one HTTP port."""

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

HANG_DURATION_S = 3600.0
"""Seconds that a call without a reply stays open; longer than clients wait."""

MAX_ORDER_BYTES = 64 << 20
"""Size of the largest body of a call; orders hold payloads of up to a megabyte each."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class BackendServerStandIn:
    """Serves the backend server interface of stand-in workers over HTTP.

    Parameters
    ----------
    workers : iterable of WorkerInfo
        Descriptions of the workers to serve.
    clock : Clock
        Clock of all the workers.

    Attributes
    ----------
    workers : dict of str to StandInWorker
        The workers, by name.
    """

    def __init__(self, workers: Iterable[WorkerInfo], clock: Clock) -> None:
        self.workers = {info.name: StandInWorker(info, clock) for info in workers}
        self._lease_tasks: list[asyncio.Task[None]] = []
        self._worker_connections: WeakSet[asyncio.Transport] = WeakSet()
        self._silent_connections: WeakSet[asyncio.Transport] = WeakSet()

    def make_app(self) -> web.Application:
        """Return the HTTP application that serves the workers."""
        app = web.Application(
            middlewares=[self._hang_if_silent], client_max_size=MAX_ORDER_BYTES
        )
        app.router.add_post("/w/{name}/adopt", self._adopt)
        app.router.add_post("/w/{name}/heartbeat", self._heartbeat)
        app.router.add_post("/w/{name}/start", self._start)
        app.router.add_post("/w/{name}/stop", self._stop)
        app.router.add_put("/faults/{name}", self._set_faults)
        app.router.add_post("/silence", self._silence_connections)
        app.router.add_get("/observations", self._get_observations)
        app.on_startup.append(self._start_lease_tasks)
        app.on_cleanup.append(self._stop_workers)
        return app

    async def register(self, platform_url: str, own_url: str) -> None:
        """Register the workers in the platform's host list.

        Parameters
        ----------
        platform_url : str
            Base URL of the platform.
        own_url : str
            Base URL of this server; the URLs of the workers begin with it.

        Raises
        ------
        aiohttp.ClientResponseError
            If the platform replies with an error status.
        """
        infos = [
            evolve(worker.info, address=f"{own_url}/w/{name}")
            for name, worker in self.workers.items()
        ]
        url = platform_url.rstrip("/") + "/hosts"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=encode(infos)) as response,
        ):
            response.raise_for_status()

    async def _start_lease_tasks(self, app: web.Application) -> None:
        loop = asyncio.get_running_loop()
        for worker in self.workers.values():
            self._lease_tasks.append(loop.create_task(worker.enforce_leases()))

    async def _stop_workers(self, app: web.Application) -> None:
        for task in self._lease_tasks:
            task.cancel()
        for worker in self.workers.values():
            worker.close()

    @web.middleware
    async def _hang_if_silent(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Leave calls on connections that ``/silence`` has marked unanswered."""
        if request.path.startswith("/w/") and request.transport is not None:
            self._worker_connections.add(request.transport)
        if request.transport in self._silent_connections:
            await asyncio.sleep(HANG_DURATION_S)
        return await handler(request)

    async def _silence_connections(self, request: web.Request) -> web.Response:
        """Leave all further calls on the present worker connections unanswered.

        These are the open connections that have carried a call to a worker.
        """
        self._silent_connections.update(self._worker_connections)
        return web.Response(status=204)

    async def _adopt(self, request: web.Request) -> web.Response:
        order = await read_body(request, AdoptOrder)
        return _make_report_response(self._find_worker(request).adopt(order))

    async def _heartbeat(self, request: web.Request) -> web.Response:
        order = await read_body(request, HeartbeatOrder)
        return _make_report_response(await self._find_worker(request).heartbeat(order))

    async def _start(self, request: web.Request) -> web.Response:
        batch = await read_body(request, StartBatch)
        worker = self._find_worker(request)
        replies = worker.start(batch)
        if worker.faults.drops_start_answers > 0:
            worker.faults.drops_start_answers -= 1
            await asyncio.sleep(HANG_DURATION_S)
        return make_response(StartReplies(replies))

    async def _stop(self, request: web.Request) -> web.Response:
        batch = await read_body(request, StopBatch)
        self._find_worker(request).stop(batch)
        return make_response(StartReplies([]))

    async def _set_faults(self, request: web.Request) -> web.Response:
        worker = self._find_worker(request)
        faults = cattrs.structure(await request.json(), WorkerFaults)
        worker.faults = faults
        return web.json_response(cattrs.unstructure(worker.faults))

    async def _get_observations(self, request: web.Request) -> web.Response:
        all_observations = [
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
            for attempt_id in worker.running_ids
        ]
        return web.json_response(
            {
                "observations": cattrs.unstructure(all_observations),
                "overfilled": overfilled,
                "running": running,
            }
        )

    def _find_worker(self, request: web.Request) -> StandInWorker:
        worker = self.workers.get(request.match_info["name"])
        if worker is None:
            raise web.HTTPNotFound(text="the stand-in serves no worker of this name")
        return worker


def _make_report_response(
    result: Result[ReportMessage, SessionRefusal],
) -> web.Response:
    if isinstance(result, Err):
        return make_response(RefusalMessage(result.err_value), status=409)
    return make_response(result.ok_value)
