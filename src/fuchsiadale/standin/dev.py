"""Complete system in one process on loopback, for the ``dev`` command."""

from __future__ import annotations

import hashlib
import secrets
import socket
from pathlib import Path

from aiohttp import web
from attrs import frozen

from fuchsiadale.config.documents import SourceFile
from fuchsiadale.config.folder import read_yaml_files
from fuchsiadale.config.settings import Address, Settings
from fuchsiadale.entry.daemon import EntryDaemon
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.standin.backend_server import BackendServerStandIn
from fuchsiadale.standin.fleet import WorkerSize, make_workers
from fuchsiadale.standin.platform import PlatformStandIn

LOOPBACK = "127.0.0.1"

DEFAULT_FILES = [
    SourceFile(
        "00-default.yaml",
        """\
teams:
  guild:
    share: 2
  harvest:
    share: 1
pools:
  general: {}
  imaging: {}
queues:
  proofs:
    pool: general
  imagery:
    pool: imaging
""",
    )
]


@frozen
class DevOptions:
    """Options of a `DevSystem`.

    Attributes
    ----------
    client_address : Address
        Address on which the entry listens for clients.
    folder : Path or None
        Folder of the configuration files to apply; `DEFAULT_FILES` are applied if None.
    """

    client_address: Address
    folder: Path | None = None


class DevSystem:
    """One entry, the stand-in of the platform and stand-in workers in one process.

    Parameters
    ----------
    options : DevOptions
        Options of the system.

    Attributes
    ----------
    admin_key : str
        Random key for the operators' interface of the entry.
    platform : PlatformStandIn
        Stand-in of the platform.
    daemon : EntryDaemon or None
        The entry; None before the start.
    """

    def __init__(self, options: DevOptions) -> None:
        self._options = options
        self._runners: list[web.AppRunner] = []
        self.admin_key = secrets.token_hex(16)
        self.platform = PlatformStandIn()
        self.daemon: EntryDaemon | None = None

    @property
    def url(self) -> str:
        """Loopback URL of the entry for clients; its port is 0 before the start."""
        port = self.daemon.clients_port if self.daemon is not None else 0
        return f"http://{LOOPBACK}:{port}"

    async def start(self) -> EntryDaemon:
        """Start the stand-ins and the entry, and return the entry."""
        platform_url = await self.serve(self.platform.make_app())
        workers = [
            *make_workers("general", 4, WorkerSize(16, 64)),
            *make_workers("imaging", 2, WorkerSize(64, 128, accelerators=8)),
        ]
        backend = BackendServerStandIn(workers, LoopClock())
        backend_url = await self.serve(backend.make_app())
        await backend.register(platform_url, backend_url)
        settings = Settings(
            host="dev",
            region="local",
            failure_domain="domain-0",
            callers=self._options.client_address,
            peers=Address(LOOPBACK, find_free_port()),
            platform_url=platform_url,
            admin_key_sha256=(hashlib.sha256(self.admin_key.encode()).hexdigest(),),
            drain_notice_s=0.0,
        )
        self.daemon = EntryDaemon(settings)
        await self.daemon.start()
        return self.daemon

    def list_configuration_files(self) -> list[SourceFile]:
        """Return the configuration files to apply."""
        if self._options.folder is not None:
            return read_yaml_files(self._options.folder)
        return DEFAULT_FILES

    async def serve(self, app: web.Application) -> str:
        """Serve an application on a free loopback port and return its base URL."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return f"http://{LOOPBACK}:{runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop the entry, then the stand-ins in reverse order of their start."""
        if self.daemon is not None:
            await self.daemon.stop()
        for runner in reversed(self._runners):
            await runner.cleanup()


def find_free_port() -> int:
    """Return a loopback port that no process listens on at present."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])
