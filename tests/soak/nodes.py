"""The real processes of a cell, each signalled and ended by its own id."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from signal import SIGCONT, SIGKILL, Signals

from attrs import define, field

COMMAND = (sys.executable, "-m", "fuchsiadale.platform.main")
CLIENT_PORT, READINESS_PORT = 8686, 8689
EXIT_TIMEOUT_S = 20.0


@define(eq=False)
class Node:
    """One process and its settings.

    Attributes
    ----------
    name : str
        The machine's name.
    ip : str
        Its loopback address.
    store_address : str
        Where it finds the store: a proxy of its own.
    folder : Path
        Takes its settings and its log.
    """

    name: str
    ip: str
    store_address: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    start_count: int = 0
    should_run: bool = field(default=True)

    @property
    def url(self) -> str:
        """Where it answers callers."""
        return f"http://{self.ip}:{CLIENT_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        settings_file = self.folder / f"{self.name}.conf"
        settings_file.write_text(self._format_settings())
        self.start_count += 1
        log_file = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            COMMAND,
            stdout=log_file,
            stderr=subprocess.STDOUT,
            env={
                "FUCHSIADALE_BOOT": str(settings_file),
                "PATH": "/usr/bin:/bin",
                "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
            },
        )
        log_file.close()

    def send_signal(self, signal_number: Signals) -> None:
        """Signal the process if it runs."""
        if self.is_running and self.process is not None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """End the process for good."""
        self.should_run = False
        self.send_signal(SIGCONT)
        self.send_signal(SIGKILL)
        if self.process is not None:
            self.process.wait(EXIT_TIMEOUT_S)

    def _format_settings(self) -> str:
        lines = (
            f"node_name={self.name}",
            f"ip={self.ip}",
            f"listen.front={self.ip}:{CLIENT_PORT}",
            f"listen.ready={self.ip}:{READINESS_PORT}",
            "internal_port_range=7180,7195",
            f"platform.address={self.store_address}",
            "bounds.hold_max_ms=6000",
            "bounds.revoke_ms=5000",
            "bounds.grace_s=6",
        )
        return "\n".join(lines) + "\n"
