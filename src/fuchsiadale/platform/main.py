"""Runs one process of a cell on the users' platform."""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path

from eliot import log_message
from result import Err

from fuchsiadale.cell.boot_clock import BootClockLoop
from fuchsiadale.cell.daemon import CellDaemon
from fuchsiadale.cell.daemon_runner import (
    METRICS_PORT,
    DaemonRunner,
    HttpListener,
    handle_metrics_request,
)
from fuchsiadale.cell.dependencies import CellDependencies
from fuchsiadale.cell.event_log import EventLog
from fuchsiadale.cell.open_calls import OpenCalls
from fuchsiadale.cell.peer_messages import ProcessIdentity
from fuchsiadale.platform.advice import PlatformAdviceClient
from fuchsiadale.platform.http import HttpClient
from fuchsiadale.platform.ingress import Ingress, make_readiness_handler
from fuchsiadale.platform.registry import (
    PlatformConfigurationSource,
    PlatformWorkerList,
)
from fuchsiadale.platform.settings import (
    CellSettings,
    get_settings_path,
    read_cell_settings,
)
from fuchsiadale.platform.store import PlatformRowStore
from fuchsiadale.platform.worker_api import PlatformWorkerClient
from fuchsiadale.platform.worker_connections import WorkerConnections

INVALID_SETTINGS_EXIT_CODE = 3
"""Exit code for missing or invalid settings, as documented for the command."""


class PlatformClients:
    """HTTP clients of a process.

    Attributes
    ----------
    shared : HttpClient
        Client of all services but the workers.
    workers : WorkerConnections
        Connections to workers.
    configuration : HttpClient
        Client that only watches the configuration. It uses one connection all the
        time, so that one which has gone silent is noticed at once.
    """

    def __init__(self) -> None:
        self.shared = HttpClient()
        self.workers = WorkerConnections()
        self.configuration = HttpClient()

    async def close(self) -> None:
        """Close all connections."""
        await self.shared.close()
        await self.workers.close()
        await self.configuration.close()


def make_dependencies(
    settings: CellSettings, clients: PlatformClients
) -> CellDependencies:
    """Return the clients of the platform's services."""
    store = PlatformRowStore(clients.shared, settings.store_address)
    return CellDependencies(
        store,
        PlatformWorkerClient(clients.workers),
        PlatformWorkerList(store),
        PlatformConfigurationSource(
            PlatformRowStore(clients.configuration, settings.store_address),
            reads_drains=settings.bounds.drain_s is not None,
        ),
        PlatformAdviceClient(clients.shared, settings.advice_address),
    )


def main(path: Path | None = None) -> None:
    """Read the settings and run the process until SIGTERM or SIGINT arrives."""
    settings = read_cell_settings(path or get_settings_path())
    if isinstance(settings, Err):
        print(settings.err_value, file=sys.stderr)
        sys.exit(INVALID_SETTINGS_EXIT_CODE)
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        runner.run(serve(settings.ok_value))


async def serve(settings: CellSettings) -> None:
    """Serve callers, peers, readiness checks and metrics until SIGTERM or SIGINT."""
    log = EventLog(settings.node)
    log.install()
    log_message(
        "starting",
        ip=settings.ip,
        is_first_start=settings.is_first_start,
        fitness=round(settings.fitness, 3),
    )
    clients = PlatformClients()
    daemon = CellDaemon(
        ProcessIdentity(
            settings.node, f"{settings.ip}:{settings.peer_port}", settings.fitness
        ),
        make_dependencies(settings, clients),
        settings.bounds,
    )
    open_calls = OpenCalls(daemon.metrics)
    ingress = Ingress(
        daemon.gateway, daemon.metrics, open_calls, lambda: daemon.is_leaving
    )
    listeners = [
        HttpListener(settings.callers_address, ingress.handle_request),
        HttpListener(
            settings.readiness_address,
            make_readiness_handler(lambda: daemon.is_ready),
        ),
        HttpListener(
            f"{settings.ip}:{METRICS_PORT}",
            partial(handle_metrics_request, daemon.metrics),
        ),
    ]
    await DaemonRunner(daemon, listeners, open_calls, log).run()
    await clients.close()


if __name__ == "__main__":
    main()
