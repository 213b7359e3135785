"""The real processes of a cell, each signalled and ended by its own id."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from signal import SIGCONT, SIGKILL, Signals

from attrs import define, field

COMMAND = (sys.executable, "-m", "fuchsiadale.platform.main")
CALLERS_PORT, READINESS_PORT = 8686, 8689
STOP_PATIENCE_S = 20.0


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
    starts: int = 0
    is_wanted: bool = field(default=True)

    @property
    def url(self) -> str:
        """Where it answers callers."""
        return f"http://{self.ip}:{CALLERS_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        settings = self.folder / f"{self.name}.conf"
        settings.write_text(self._settings())
        self.starts += 1
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            COMMAND,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                "FUCHSIADALE_BOOT": str(settings),
                "PATH": "/usr/bin:/bin",
                "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
            },
        )
        log.close()

    def signal(self, number: Signals) -> None:
        """Signal the process if it runs."""
        if self.is_running and self.process is not None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process for good."""
        self.is_wanted = False
        self.signal(SIGCONT)
        self.signal(SIGKILL)
        if self.process is not None:
            self.process.wait(STOP_PATIENCE_S)

    def _settings(self) -> str:
        lines = (
            f"node_name={self.name}",
            f"ip={self.ip}",
            f"listen.front={self.ip}:{CALLERS_PORT}",
            f"listen.ready={self.ip}:{READINESS_PORT}",
            "internal_port_range=7180,7195",
            f"platform.address={self.store_address}",
            "bounds.hold_max_ms=6000",
            "bounds.revoke_ms=5000",
            "bounds.grace_s=6",
        )
        return "\n".join(lines) + "\n"
