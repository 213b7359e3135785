"""The entry daemon, which listens for clients and peers."""

from __future__ import annotations

from aiohttp import web

from fuchsiadale.backend.http import HttpBackendConnector
from fuchsiadale.config.settings import Settings
from fuchsiadale.entry.admin_api import AdminApi
from fuchsiadale.entry.callers_api import MAX_BODY_BYTES, CallersApi
from fuchsiadale.entry.node import EntryNode, PlatformClients
from fuchsiadale.entry.responses import json_response
from fuchsiadale.peers.client import GrpcPeerConnector
from fuchsiadale.peers.service import PeerServer
from fuchsiadale.ports.http import (
    HttpHostList,
    HttpObjectStore,
    HttpTable,
    PlatformSession,
)


class EntryDaemon:
    """An entry process: an entry node and its listening sockets.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._session = PlatformSession(settings.platform_url)
        platform = PlatformClients(
            HttpTable(self._session),
            HttpObjectStore(self._session),
            HttpHostList(self._session),
        )
        self.node = EntryNode(
            settings, platform, HttpBackendConnector(), GrpcPeerConnector()
        )
        self._peer_server = PeerServer(self.node.peer_service, str(settings.peers))
        self._app_runner: web.AppRunner | None = None

    @property
    def clients_port(self) -> int:
        """Port on which the daemon listens for clients."""
        if self._app_runner is None or not self._app_runner.addresses:
            return self.settings.callers.port
        return int(self._app_runner.addresses[0][1])

    async def start(self) -> None:
        """Start the node and listen for peers and clients."""
        await self._peer_server.start()
        self.node.start()
        self._app_runner = web.AppRunner(build_app(self.node), access_log=None)
        await self._app_runner.setup()
        callers = self.settings.callers
        await web.TCPSite(self._app_runner, callers.ip, callers.port).start()

    async def drain(self) -> None:
        """Prepare a stop of the process without interrupting any request."""
        await self.node.drain()

    async def stop(self) -> None:
        """Close every socket and stop the node immediately."""
        if self._app_runner is not None:
            await self._app_runner.cleanup()
        await self._peer_server.stop()
        await self.node.stop()
        await self._session.close()


def build_app(node: EntryNode) -> web.Application:
    """Return the HTTP application that serves clients, operators and health checks."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    CallersApi(
        node.config,
        node.router,
        node.counters,
        node.ids,
        lambda: node.refuses_submissions,
    ).add_routes(app)
    AdminApi(
        node.config,
        node.router,
        node.directory,
        node.counters,
        node.settings.admin_key_sha256,
    ).add_routes(app)

    async def handle_health(request: web.Request) -> web.Response:
        return json_response({"member": node.member})

    async def handle_readiness(request: web.Request) -> web.Response:
        status = 200 if node.is_ready else 503
        return json_response({"ready": node.is_ready}, status)

    app.router.add_get("/healthz", handle_health)
    app.router.add_get("/readyz", handle_readiness)
    return app
