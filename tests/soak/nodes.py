"""Starts the processes of a cell; signals each one only by its own process id."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGTERM, Signals

from attrs import define, field

REPOSITORY = Path(__file__).parents[2]
BUILT_FOLDER = "target/deps"
SOURCE_FOLDER = str(REPOSITORY / "src")
CLIENT_PORT, READINESS_PORT = 8686, 8689
ROUTE_HOST, ROUTE_PREFIX, API_KEY = "jobs.example", "/jobs/", "key-1"
EXIT_TIMEOUT_S = 20.0
"""Seconds within which a killed process must exit."""


def make_command() -> tuple[str, ...]:
    """Return the command of the deploy file, with the sources instead of the build."""
    deploy_file = REPOSITORY / "deploy" / "system.toml"
    run = tomllib.loads(deploy_file.read_text())["roles"]["scheduler"]["run"]
    words = run.replace(BUILT_FOLDER, SOURCE_FOLDER).split()
    return (sys.executable, *words[1:])


def make_python_path() -> str:
    """Return the folders of the program and of the installed packages."""
    return os.pathsep.join((SOURCE_FOLDER, *filter(None, sys.path)))


def make_network_prefix() -> str:
    """Return the first three bytes of loopback addresses for this test process.

    The ports of nodes are fixed, so test processes that run concurrently need
    different addresses.
    """
    process_id = os.getpid()
    return f"127.{1 + process_id % 250}.{1 + process_id // 250 % 250}"


@define(eq=False)
class Node:
    """A scheduler process, and the settings with which it is started.

    Attributes
    ----------
    name : str
        Name of the node, also of its settings file and log file.
    ip : str
        Loopback address on which the process listens.
    store_address : str
        Host and port of the store, or of a proxy in front of it.
    folder : Path
        Folder that holds the settings file and the log file.
    peer_proxy_address : str
        Host and port of the HTTP proxy for calls to peers; empty to call them directly.
    max_lease_ms : int
        Longest lease that workers grant, in milliseconds.
    drain_bound_ms : int or None
        Bound on draining a failure domain, in milliseconds; None if it has none.
    link_mbps : float or None
        Rate of the node's link, in Mbit/s; None if it has none to tell.
    configuration_bound_ms : int or None
        Bound on applying a configuration, in milliseconds; None if it has none to tell.
    process : Popen or None
        The process that was started last; None before the first start.
    start_count : int
        Number of times that the process was started.
    unexpected_exit_codes : list of int
        Exit codes of the processes that ended although nobody had told them to.
    """

    name: str
    ip: str
    store_address: str
    folder: Path
    peer_proxy_address: str = ""
    max_lease_ms: int = 6000
    drain_bound_ms: int | None = None
    link_mbps: float | None = None
    configuration_bound_ms: int | None = None
    process: subprocess.Popen[bytes] | None = None
    start_count: int = 0
    unexpected_exit_codes: list[int] = field(factory=list)
    _was_told_to_end: bool = False

    @property
    def url(self) -> str:
        """URL at which the process serves clients."""
        return f"http://{self.ip}:{CLIENT_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Write the settings file and start the process."""
        settings_file = self.folder / f"{self.name}.conf"
        settings_file.write_text(self._format_settings())
        self.start_count += 1
        self._was_told_to_end = False
        environment = {
            "FUCHSIADALE_BOOT": str(settings_file),
            "PATH": "/usr/bin:/bin",
            "PYTHONPATH": make_python_path(),
        }
        if self.peer_proxy_address:
            environment["grpc_proxy"] = f"http://{self.peer_proxy_address}"
        log_file = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            make_command(),
            stdout=log_file,
            stderr=subprocess.STDOUT,
            env=environment,
        )
        log_file.close()

    def signal_process(self, signal_number: Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is None:
            return
        exit_code = self.process.poll()
        if exit_code is None:
            self.process.send_signal(signal_number)
            self._was_told_to_end |= signal_number in (SIGTERM, SIGKILL)
        elif not self._was_told_to_end:
            self.unexpected_exit_codes.append(exit_code)
            self._was_told_to_end = True

    def kill(self) -> None:
        """Kill the process at the end of the test and wait until it has exited.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process has not exited after `EXIT_TIMEOUT_S`.
        """
        self.signal_process(SIGCONT)
        self.signal_process(SIGKILL)
        if self.process is not None:
            self.process.wait(EXIT_TIMEOUT_S)

    def _format_settings(self) -> str:
        lines: tuple[str, ...] = (
            f"node_name={self.name}",
            f"ip={self.ip}",
            f"listen.front={self.ip}:{CLIENT_PORT}",
            f"listen.ready={self.ip}:{READINESS_PORT}",
            "internal_port_range=7180,7195",
            f"platform.address={self.store_address}",
            f"bounds.hold_max_ms={self.max_lease_ms}",
            "bounds.revoke_ms=5000",
            "bounds.grace_s=6",
        )
        if self.drain_bound_ms is not None:
            lines += (f"bounds.evacuation_ms={self.drain_bound_ms}",)
        if self.link_mbps is not None:
            lines += (f"limits.link_mbps={self.link_mbps}",)
        if self.configuration_bound_ms is not None:
            lines += (f"bounds.config_apply_ms={self.configuration_bound_ms}",)
        return "\n".join(lines) + "\n"
