"""Real processes on loopback: entries, the platform's stand-in and workers."""

from __future__ import annotations

import hashlib
import json
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, Signals
from typing import Any

from attrs import frozen

from fuchsiadale.standin.dev import find_free_port

ADMIN_KEY = "test-operator"
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
COMMAND = str(Path(sys.executable).parent / "fuchsiadale")


@frozen
class HttpReply:
    """An answer over HTTP; status 0 if there was none."""

    status: int
    body: Any


def call_http(
    method: str,
    url: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> HttpReply:
    """Make one HTTP call; text is sent as it stands, anything else as JSON."""
    data = None
    if body is not None:
        data = body.encode() if isinstance(body, str) else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return _reply(response.status, response.read())
    except urllib.error.HTTPError as error:
        return _reply(error.code, error.read())
    except OSError as error:
        return HttpReply(0, str(error))


def _reply(status: int, body: bytes) -> HttpReply:
    return HttpReply(status, json.loads(body) if body else None)


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition that is sure to come true."""
    give_up = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > give_up:
            raise AssertionError(f"{what} did not come about")
        time.sleep(POLL_INTERVAL_S)


class ProcessCluster:
    """A cluster of separate processes, each ended by its own id.

    Parameters
    ----------
    folder : Path
        Takes settings files and logs.
    entries : int, default=3
        Number of entry processes.
    workers : int, default=3
        Number of workers in each pool.
    """

    def __init__(self, folder: Path, entries: int = 3, workers: int = 3) -> None:
        self._folder = folder
        self._worker_count = workers
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._platform_port = find_free_port()
        self._worker_ports = {"general": find_free_port(), "imaging": find_free_port()}
        self._ports = {
            f"entry-{i}": (find_free_port(), find_free_port()) for i in range(entries)
        }

    @property
    def entries(self) -> list[str]:
        """The entries that run."""
        return [name for name in self._processes if name.startswith("entry-")]

    @property
    def process_ids(self) -> dict[str, int]:
        """The ids of the processes, by name."""
        return {name: process.pid for name, process in self._processes.items()}

    @property
    def platform_url(self) -> str:
        """Where the platform's stand-in listens."""
        return f"http://127.0.0.1:{self._platform_port}"

    def workers_url(self, pool: str) -> str:
        """Return where the stand-in workers of a pool listen."""
        return f"http://127.0.0.1:{self._worker_ports[pool]}"

    def url(self, entry: str) -> str:
        """Return where an entry listens for callers."""
        return f"http://127.0.0.1:{self._ports[entry][0]}"

    def start(self) -> None:
        """Start everything, and wait until the platform answers."""
        self._spawn("platform", "stand-in", "platform", "--port", self._platform_port)
        counts = f"{self.platform_url}/counts"
        wait_until(lambda: call_http("GET", counts).status == 200, "the platform")
        for pool, port in self._worker_ports.items():
            options = ["--pool", pool, "--port", port, "--platform", self.platform_url]
            self._spawn(
                pool,
                "stand-in",
                "backend-server",
                *options,
                "--count",
                self._worker_count,
            )
            url = f"{self.workers_url(pool)}/observations"
            wait_until(lambda url=url: call_http("GET", url).status == 200, pool)
        for name in self._ports:
            self.start_entry(name)

    def start_entry(self, name: str) -> None:
        """Start one entry and wait until it answers."""
        callers, peers = self._ports[name]
        path = self._folder / f"{name}.yaml"
        digest = hashlib.sha256(ADMIN_KEY.encode()).hexdigest()
        lines = [
            f"host: {name}",
            "failure_domain: domain-0",
            f"callers: 127.0.0.1:{callers}",
            f"peers: 127.0.0.1:{peers}",
            f"platform_url: {self.platform_url}",
            "drain_notice_s: 0.5",
            f"admin_key_sha256: [{digest}]",
        ]
        path.write_text("\n".join(lines) + "\n")
        self._spawn(name, "entry", path)
        url = f"{self.url(name)}/healthz"
        wait_until(lambda: call_http("GET", url).status == 200, name)

    def send_signal(self, name: str, number: Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def stop_process(self, name: str, number: Signals = SIGKILL) -> int:
        """End one process and return its exit code."""
        process = self._processes.pop(name)
        process.send_signal(number)
        return process.wait(WAIT_TIMEOUT_S)

    def stop(self) -> None:
        """End whatever still runs."""
        for name in reversed(list(self._processes)):
            self.send_signal(name, SIGCONT)
            self.stop_process(name)

    def call_admin(self, method: str, path: str, body: object = None) -> HttpReply:
        """Call the operators' interface of the first entry that answers."""
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        reply = HttpReply(0, None)
        for entry in self.entries:
            reply = call_http(
                method, f"{self.url(entry)}/admin/v1{path}", body, headers, 5.0
            )
            if reply.status:
                break
        return reply

    def find_owner(self, partition: str) -> str | None:
        """Return the entry that owns a partition and may act, if one does."""
        reply = self.call_admin("GET", "/partitions")
        for row in reply.body["partitions"] if reply.status == 200 else []:
            if row["partition"] == partition and row.get("may_act"):
                owner = str(row["owner"]).rpartition(".")[0]
                return owner if owner in self.entries else None
        return None

    def wait_for_owner(self, partition: str) -> str:
        """Wait until an entry that runs owns a partition and may act."""
        wait_until(
            lambda: self.find_owner(partition) is not None, f"{partition}'s owner"
        )
        return self.find_owner(partition) or ""

    def wait_until_ready(self) -> None:
        """Wait until every entry is ready for callers."""
        for entry in self.entries:
            url = f"{self.url(entry)}/readyz"
            wait_until(lambda url=url: call_http("GET", url).status == 200, entry)

    def wait_for_common_configuration(self) -> None:
        """Wait until every entry has the same configuration in force."""
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}

        def versions() -> set[Any]:
            urls = [f"{self.url(entry)}/admin/v1/config" for entry in self.entries]
            return {
                call_http("GET", url, None, headers).body["version"] for url in urls
            }

        wait_until(lambda: len(versions()) == 1, "one version everywhere")

    def fetch_observations(self, pool: str) -> Any:
        """Return what the workers of a pool saw."""
        return call_http("GET", f"{self.workers_url(pool)}/observations").body

    def _spawn(self, name: str, *arguments: object) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        command = [COMMAND, *(str(argument) for argument in arguments)]
        self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
