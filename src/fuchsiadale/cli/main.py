"""The ``fuchsiadale`` command."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click
from aiohttp import web
from result import Err

from fuchsiadale.cli.demo import Demo
from fuchsiadale.cli.exits import ExitCode
from fuchsiadale.cli.explain import explain
from fuchsiadale.cli.jobs import job
from fuchsiadale.cli.operators import config, domain, keys, partition, team, worker
from fuchsiadale.cli.output import exit_with_error, print_table
from fuchsiadale.cli.serving import create_stop_event, serve_until_stopped
from fuchsiadale.config.settings import Address, Settings, read_settings_file
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.entry.daemon import EntryDaemon
from fuchsiadale.logs import log_to_stderr
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.standin.backend_server import BackendServerStandIn
from fuchsiadale.standin.dev import DevOptions, DevSystem
from fuchsiadale.standin.fleet import WorkerSize, make_workers
from fuchsiadale.standin.platform import PlatformStandIn

LOOPBACK = "127.0.0.1"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="fuchsiadale")
def main() -> None:
    """Schedule requests, batch jobs, gangs and services on a cluster.

    Exit codes: 0 success; 1 refused; 2 wrong usage; 3 invalid settings or
    configuration; 4 no valid reply from the entry; 5 the work did not succeed; 6 the
    process cannot listen on an address.
    """


for _command in (config, domain, explain, keys, job, team, partition, worker):
    main.add_command(_command)


@main.command()
@click.argument(
    "settings_file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def entry(settings_file: Path) -> None:
    """Run an entry with the settings in SETTINGS_FILE."""
    settings = read_settings_file(settings_file)
    if isinstance(settings, Err):
        lines = [str(problem) for problem in settings.err_value]
        exit_with_error("\n".join(lines), ExitCode.INVALID)
    log_to_stderr()
    asyncio.run(_serve_entry(settings.ok_value))


@main.command()
@click.option(
    "--port",
    default=8800,
    show_default=True,
    help="Port for callers; 0 for any free port.",
)
@click.option(
    "--config",
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of configuration files to apply.",
)
@click.option("--serve", is_flag=True, help="Keep running after the demonstration.")
@click.option("--log", is_flag=True, help="Write the log to stderr.")
def dev(port: int, folder: Path | None, serve: bool, log: bool) -> None:
    """Run an entry with a stand-in platform and workers, and a demonstration.

    The demonstration runs one piece of work of each kind. The command then exits,
    unless --serve is given.
    """
    if log:
        log_to_stderr()
    options = DevOptions(Address(LOOPBACK, port), folder)
    sys.exit(asyncio.run(_run_dev(options, serve)))


@main.group("stand-in")
def stand_in() -> None:
    """Run stand-ins for the platform and for backend servers."""


@stand_in.command("platform")
@click.option("--port", default=8700, show_default=True)
def stand_in_platform(port: int) -> None:
    """Run a stand-in for the platform: table service, object store and host list."""
    asyncio.run(_serve_app(PlatformStandIn().make_app(), port))


@stand_in.command("backend-server")
@click.option("--port", default=8600, show_default=True)
@click.option("--platform", "platform_url", default="http://127.0.0.1:8700")
@click.option("--pool", required=True)
@click.option(
    "--prefix",
    default="",
    help="Prefix of the workers' names; by default the pool's name.",
)
@click.option("--count", default=4, show_default=True)
@click.option("--cores", default=16, show_default=True)
@click.option("--memory-gb", default=64, show_default=True)
@click.option("--accelerators", default=0, show_default=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--failure-domains", default=3, show_default=True)
def stand_in_backend_server(
    port: int,
    platform_url: str,
    pool: str,
    prefix: str,
    count: int,
    cores: int,
    memory_gb: int,
    accelerators: int,
    slots: int,
    failure_domains: int,
) -> None:
    """Run stand-in workers of one pool and add them to the host list."""
    size = WorkerSize(cores, memory_gb, accelerators, slots)
    workers = make_workers(pool, count, size, prefix, failure_domains)
    asyncio.run(_serve_workers(list(workers), port, platform_url))


async def _serve_entry(settings: Settings) -> None:
    try:
        daemon = EntryDaemon(settings)
    except RuntimeError as error:
        exit_with_error(
            f"cannot listen on {settings.peers}: {error}", ExitCode.CANNOT_LISTEN
        )
    try:
        await daemon.start()
    except OSError as error:
        await daemon.stop()
        exit_with_error(
            f"cannot listen on {settings.callers}: {error}", ExitCode.CANNOT_LISTEN
        )
    await serve_until_stopped(daemon)


async def _serve_app(app: web.Application, port: int) -> None:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port).start()
    await create_stop_event().wait()
    await runner.cleanup()


async def _serve_workers(
    workers: list[WorkerInfo], port: int, platform_url: str
) -> None:
    stand_in_server = BackendServerStandIn(workers, LoopClock())
    runner = web.AppRunner(
        stand_in_server.make_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port).start()
    await stand_in_server.register(platform_url, f"http://{LOOPBACK}:{port}")
    await create_stop_event().wait()
    await runner.cleanup()


async def _run_dev(options: DevOptions, serve: bool) -> ExitCode:
    system = DevSystem(options)
    await system.start()
    demo = Demo(system)
    try:
        problem = await demo.prepare()
        if problem is not None:
            click.echo(problem, err=True)
            return ExitCode.REFUSED
        results = await demo.run()
        print_table(
            ["kind", "state", "ran on", "waited_s"],
            [[row.kind, row.state, row.ran_on, row.waited_s] for row in results],
        )
        if serve:
            click.echo(f"the entry listens on {system.url}", err=True)
            click.echo(f"operator's key: {system.admin_key}", err=True)
            await create_stop_event().wait()
    finally:
        await system.stop()
    states = [row.state for row in results]
    is_successful = states == ["ran", "succeeded", "succeeded", "running"]
    return ExitCode.OK if is_successful else ExitCode.WORK_FAILED
