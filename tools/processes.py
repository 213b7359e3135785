"""Cluster of real processes on loopback: entries, stand-in platform and workers."""

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
"""Key for the operators' interface of all entries."""

WAIT_TIMEOUT_S = 60.0
"""Seconds after which waiting for a condition or for the end of a process fails."""

POLL_INTERVAL_S = 0.05
"""Seconds between two checks of a condition."""

COMMAND = str(Path(sys.executable).parent / "fuchsiadale")
"""Path of the command that starts the processes."""


@frozen
class HttpReply:
    """Reply to an HTTP request.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the request failed without a reply.
    body : Any
        Decoded JSON body, None if it is empty; the error text if there is no reply.
    """

    status: int
    body: Any


def call_http(
    method: str,
    url: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> HttpReply:
    """Send one HTTP request; a text body is sent unchanged, any other as JSON."""
    data = None
    if body is not None:
        data = body.encode() if isinstance(body, str) else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return _make_reply(response.status, response.read())
    except urllib.error.HTTPError as error:
        return _make_reply(error.code, error.read())
    except OSError as error:
        return HttpReply(0, str(error))


def _make_reply(status: int, body: bytes) -> HttpReply:
    return HttpReply(status, json.loads(body) if body else None)


def wait_until(condition: Callable[[], bool], awaited: str) -> None:
    """Wait until a condition holds; `awaited` names it in the error message.

    Raises
    ------
    AssertionError
        If the condition does not hold within `WAIT_TIMEOUT_S` seconds.
    """
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"{awaited} did not appear before the timeout")
        time.sleep(POLL_INTERVAL_S)


class ProcessCluster:
    """A cluster of separate processes, each of which can be stopped on its own.

    Parameters
    ----------
    folder : Path
        Folder for settings files and logs.
    entries : int, default=3
        Number of entry processes.
    workers : int, default=3
        Number of workers in each pool.
    """

    def __init__(self, folder: Path, entries: int = 3, workers: int = 3) -> None:
        self._work_folder = folder
        self._worker_count = workers
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._platform_port = find_free_port()
        self._worker_ports = {"general": find_free_port(), "imaging": find_free_port()}
        self._entry_ports = {
            f"entry-{i}": (find_free_port(), find_free_port()) for i in range(entries)
        }

    @property
    def entries(self) -> list[str]:
        """Names of the running entries."""
        return [name for name in self._processes if name.startswith("entry-")]

    @property
    def process_ids(self) -> dict[str, int]:
        """Ids of the running processes, by name."""
        return {name: process.pid for name, process in self._processes.items()}

    @property
    def platform_url(self) -> str:
        """Base URL of the stand-in platform."""
        return f"http://127.0.0.1:{self._platform_port}"

    def workers_url(self, pool: str) -> str:
        """Return the base URL of the server that serves a pool's stand-in workers."""
        return f"http://127.0.0.1:{self._worker_ports[pool]}"

    def entry_url(self, entry: str) -> str:
        """Return the base URL of an entry for clients."""
        return f"http://127.0.0.1:{self._entry_ports[entry][0]}"

    def start(self) -> None:
        """Start platform, workers and entries, each once the previous one replies."""
        self._spawn("platform", "stand-in", "platform", "--port", self._platform_port)
        counts_url = f"{self.platform_url}/counts"
        wait_until(lambda: call_http("GET", counts_url).status == 200, "the platform")
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
        for name in self._entry_ports:
            self.start_entry(name)

    def start_entry(self, name: str) -> None:
        """Start one entry and wait until its health check succeeds."""
        client_port, peer_port = self._entry_ports[name]
        path = self._work_folder / f"{name}.yaml"
        key_digest = hashlib.sha256(ADMIN_KEY.encode()).hexdigest()
        lines = [
            f"host: {name}",
            "failure_domain: domain-0",
            f"callers: 127.0.0.1:{client_port}",
            f"peers: 127.0.0.1:{peer_port}",
            f"platform_url: {self.platform_url}",
            "drain_notice_s: 0.5",
            f"admin_key_sha256: [{key_digest}]",
        ]
        path.write_text("\n".join(lines) + "\n")
        self._spawn(name, "entry", path)
        url = f"{self.entry_url(name)}/healthz"
        wait_until(lambda: call_http("GET", url).status == 200, name)

    def send_signal(self, name: str, signal_number: Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(signal_number)

    def stop_process(self, name: str, signal_number: Signals = SIGKILL) -> int:
        """Send a signal to one process, wait for its end and return its exit code."""
        process = self._processes.pop(name)
        process.send_signal(signal_number)
        return process.wait(WAIT_TIMEOUT_S)

    def stop(self) -> None:
        """Resume and kill all processes that still run, the last started first."""
        for name in reversed(list(self._processes)):
            self.send_signal(name, SIGCONT)
            self.stop_process(name)

    def call_admin(self, method: str, path: str, body: object = None) -> HttpReply:
        """Call the operators' interface of the first running entry that replies.

        The reply has status 0 if no entry replies.
        """
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        reply = HttpReply(0, None)
        for entry in self.entries:
            reply = call_http(
                method, f"{self.entry_url(entry)}/admin/v1{path}", body, headers, 5.0
            )
            if reply.status:
                break
        return reply

    def find_owner(self, partition: str) -> str | None:
        """Return the running entry that owns a partition and may act, or None."""
        reply = self.call_admin("GET", "/partitions")
        for row in reply.body["partitions"] if reply.status == 200 else []:
            if row["partition"] == partition and row.get("may_act"):
                owner = str(row["owner"]).rpartition(".")[0]
                return owner if owner in self.entries else None
        return None

    def wait_for_owner(self, partition: str) -> str:
        """Wait until a running entry owns a partition and may act; return its name."""
        wait_until(
            lambda: self.find_owner(partition) is not None, f"{partition}'s owner"
        )
        return self.find_owner(partition) or ""

    def wait_until_ready(self) -> None:
        """Wait until every running entry is ready for clients."""
        for entry in self.entries:
            url = f"{self.entry_url(entry)}/readyz"
            wait_until(lambda url=url: call_http("GET", url).status == 200, entry)

    def wait_for_common_configuration(self) -> None:
        """Wait until all running entries have applied the same configuration."""
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}

        def fetch_versions() -> set[Any]:
            urls = [
                f"{self.entry_url(entry)}/admin/v1/config" for entry in self.entries
            ]
            return {
                call_http("GET", url, None, headers).body["version"] for url in urls
            }

        wait_until(lambda: len(fetch_versions()) == 1, "a common configuration")

    def fetch_observations(self, pool: str) -> Any:
        """Return what the stand-in workers of a pool recorded.

        These are the ended runs, the names of the workers that exceeded their capacity
        (``overfilled``) and the ids of the running attempts.
        """
        return call_http("GET", f"{self.workers_url(pool)}/observations").body

    def _spawn(self, name: str, *arguments: object) -> None:
        log_file = (self._work_folder / f"{name}.log").open("ab")
        command = [COMMAND, *(str(argument) for argument in arguments)]
        self._processes[name] = subprocess.Popen(
            command, stdout=log_file, stderr=log_file
        )
