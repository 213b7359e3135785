"""Starts and stops a cluster of separate processes on loopback.

The package itself starts no process; this script is for developers and tests.
"""

from __future__ import annotations

import hashlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STATE = ROOT / "var" / "cluster"
COMMAND = str(Path(sys.executable).parent / "fuchsiadale")
PLATFORM_PORT = 8700
ADMIN_KEY = "cluster-admin"
ENTRIES = 3


def settings_of(index: int) -> str:
    """Return the settings file of one entry."""
    digest = hashlib.sha256(ADMIN_KEY.encode()).hexdigest()
    return "\n".join(
        [
            f"host: entry-{index}",
            f"failure_domain: domain-{index}",
            f"callers: 127.0.0.1:{8800 + index}",
            f"peers: 127.0.0.1:{8900 + index}",
            f"platform_url: http://127.0.0.1:{PLATFORM_PORT}",
            "drain_notice_s: 0.5",
            f"admin_key_sha256: [{digest}]",
            "",
        ]
    )


def spawn(name: str, *arguments: str) -> None:
    """Start one process and note its id."""
    log = (STATE / f"{name}.log").open("ab")
    process = subprocess.Popen([COMMAND, *arguments], stderr=log, stdout=log)
    (STATE / f"{name}.pid").write_text(str(process.pid))


def start() -> None:
    """Start the stand-ins and the entries."""
    STATE.mkdir(parents=True, exist_ok=True)
    spawn("platform", "stand-in", "platform", "--port", str(PLATFORM_PORT))
    time.sleep(1.0)
    workers = ("stand-in", "backend-server")
    spawn("general", *workers, "--pool", "general", "--port", "8600", "--count", "4")
    spawn("imaging", *workers, "--pool", "imaging", "--port", "8601", "--count", "2")
    for index in range(ENTRIES):
        path = STATE / f"entry-{index}.yaml"
        path.write_text(settings_of(index))
        spawn(f"entry-{index}", "entry", str(path))
    print(f"entries on ports 8800 to {8800 + ENTRIES - 1}; operator's key: {ADMIN_KEY}")


def stop() -> None:
    """Stop what `start` started, the entries first."""
    for pid_file in sorted(STATE.glob("*.pid")):
        try:
            os.kill(int(pid_file.read_text()), signal.SIGTERM)
        except ProcessLookupError:
            print(f"{pid_file.stem} has ended already")
        pid_file.unlink()


if __name__ == "__main__":
    if sys.argv[1:] not in (["start"], ["stop"]):
        sys.exit("usage: cluster.py start|stop")
    start() if sys.argv[1] == "start" else stop()
