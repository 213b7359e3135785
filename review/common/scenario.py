"""Starts the programs and the stand-ins of a case, and records what happens."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
import orjson
from aiohttp import web

from common.store import Store
from common.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST, PREFIX, KEY = "jobs.example", "/jobs/", "key-1"
LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought about, so it says nothing of the rule."""


def free_port(ip: str) -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Node:
    """One process of the deploy file's only role."""

    def __init__(self, name: str, ip: str, store: str, folder: Path, log) -> None:
        self.name, self.ip, self._log = name, ip, log
        self._folder = folder
        self.front, ready, peer = (free_port(ip) for _ in range(3))
        self.settings = {
            "node_name": name,
            "role": "scheduler",
            "machine_class": "frontend",
            "serves": "frontend",
            "ip": ip,
            "zone": "z1",
            "listen.front": f"{ip}:{self.front}",
            "listen.ready": f"{ip}:{ready}",
            "internal_port_range": f"{peer},{peer}",
            "is_first_start": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.link_mbps": "1000.0",
            "orders": "invocation",
            "platform.address": store,
            "platform.row_bytes": "65536",
            "bounds.hold_max_ms": "6000",
            "bounds.revoke_ms": "5000",
            "bounds.grace_s": "6",
            "bounds.status_s": "120",
            "bounds.config_apply_ms": "2000",
        }
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in self.settings.items()))
        with (ROOT / "deploy/system.toml").open("rb") as file:
            words = tomllib.load(file)["roles"]["scheduler"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "FUCHSIADALE_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._log("node_start", node=self.name)

    def read_log(self) -> str:
        """Return all that the processes of the machine have logged."""
        return (self._folder / f"{self.name}.log").read_text()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._log("signal", node=self.name, signal=number.name)
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)


class Scenario:
    """A small deployment: a store, workers and three frontend machines on loopback."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.events: list[dict] = []
        self._record = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self._servers: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task] = []
        self._session: aiohttp.ClientSession | None = None

    @property
    def now(self) -> float:
        """Seconds since the scenario began."""
        return time.monotonic() - self._started_s

    def log(self, kind: str | None, **fields) -> float:
        """Record an event; return the time."""
        now = self.now
        if kind is not None:
            self.events.append({"at": now, "kind": kind, **fields})
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            self._record.write(f"{now:9.3f} {kind} {text}\n")
            self._record.flush()
        return now

    async def serve(self, handler) -> str:
        """Serve a stand-in on a free port; return its address."""
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0, backlog=1024)
        await site.start()
        self._servers.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def add_worker(
        self, name: str, cpu: int, mem_mb: int, rack: str = "r1"
    ) -> Worker:
        """Start a worker and let it register."""
        capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        worker = Worker(name, "pool", capacity, rack, self.log)
        worker.boot()
        worker.address = await self.serve(worker.handle)
        worker.register(self.store)
        self._tasks.append(asyncio.create_task(worker.enforce_lease()))
        self.workers.append(worker)
        return worker

    async def start(self, nodes: int = 3, max_attempts: int = 3) -> None:
        """Write the manifest, start the machines and wait until all are ready."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=3.0),
        )
        route = {
            "name": "jobs",
            "host": HOST,
            "path_prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 0,
            "service": "pool",
            "max_attempts": max_attempts,
            "stretch": 2.0,
            "public": False,
        }
        manifest = {
            "version": 1,
            "routes": [route],
            "services": [{"name": "pool", "enforces_capacity": False}],
            "tenants": [
                {
                    "name": "t1",
                    "api_keys": [KEY],
                    "weight": 100,
                    "maximum": {"cpu": 1_000_000, "mem_mb": 10_000_000, "gpu": 0},
                }
            ],
        }
        self.store.write("op", "config", orjson.dumps(manifest))
        self._store_address = await self.serve(self.store.handle)
        for node in self.add_nodes(nodes):
            node.start()
        for node in self.nodes:
            await self.wait_ready(node)
        await self.until(lambda: self.owner is not None, 20, "no owner")
        await asyncio.sleep(3.0)

    def add_nodes(self, count: int) -> list[Node]:
        """Add machines, each with a loopback address of its own; start none."""
        added = []
        process_id = os.getpid()
        for _ in range(count):
            number = len(self.nodes) + 1
            ip = f"127.{1 + process_id % 250}.{1 + process_id // 250 % 250}.{number}"
            node = Node(
                f"frontend-{number}", ip, self._store_address, self.temporary, self.log
            )
            self.nodes.append(node)
            added.append(node)
        return added

    async def wait_ready(self, node: Node, within_s: float = 30.0) -> None:
        """Wait until a machine reports itself ready."""
        url = f"http://{node.settings['listen.ready']}/api/readiness"
        ends_s = self.now + within_s
        while self.now < ends_s:
            try:
                async with self._session.get(url) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{node.name} is not ready")

    async def until(self, condition, within_s: float, problem: str) -> None:
        """Wait until a condition holds."""
        ends_s = self.now + within_s
        while not condition():
            if self.now > ends_s:
                raise CannotRun(problem)
            await asyncio.sleep(0.05)

    @property
    def owner(self) -> Node | None:
        """The machine that last wrote to the store under a condition as its owner."""
        value = self.store.read_rows("control").get("owner", b"")
        named = [node for node in self.nodes if node.name.encode() in value]
        return named[0] if named else None

    async def call(
        self, method: str, job: str, body: dict | None = None, node: Node | None = None
    ) -> tuple[int, dict]:
        """Send one requester's call; return status (0 without an answer) and body."""
        node = node or self.nodes[0]
        url = f"http://{node.ip}:{node.front}{PREFIX}{job}"
        headers = {"Host": HOST, "X-Fuchsiadale-Credential": KEY}
        headers["X-Fuchsiadale-Deadline-Ms"] = "3000"
        data = None if body is None else orjson.dumps(body)
        if data is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with self._session.request(
                method, url, data=data, headers=headers
            ) as response:
                content = await response.read()
                status = response.status
                answer = orjson.loads(content) if content else {}
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status, answer = 0, {"error": repr(error)}
        shown = {"state": answer.get("state")} if "state" in answer else {}
        self.log("call", method=method, job=job, node=node.name, status=status, **shown)
        return status, answer

    async def submit(self, job: str, steps: list[dict], spec: dict) -> bool:
        """Hand a job in, again at another machine while it gets no final answer."""
        body = {"spec": orjson.dumps(spec).decode(), "steps": steps}
        for attempt in range(8):
            node = self.nodes[attempt % len(self.nodes)]
            status, _ = await self.call("POST", job, body, node)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job: str) -> str | None:
        """Return the state of a job as a requester learns it."""
        for node in self.nodes:
            status, answer = await self.call("GET", job, None, node)
            if status == 200:
                return answer.get("state")
        return None

    async def close(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            node.kill()
        for task in self._tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()
        for runner in self._servers:
            for site in list(runner.sites):
                await site.stop()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.temporary, logs, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    def verdict(self, problems: list[str]) -> int:
        """Record the problems; return the exit code."""
        for problem in problems[:20]:
            self.log("BROKEN", problem=problem)
        self.log("result", broken=len(problems))
        return BROKEN if problems else HELD


def check_twice(events: list[dict]) -> list[str]:
    """Return how rule TWICE was broken, by what the workers saw.

    An end counts as taken note of when a worker saw it acknowledged. Its lease must not
    have lapsed between the end and that; the workers here end all runs of a lease that
    lapses as `lapsed`, so a lapse shows in the events.
    """
    problems = []
    running: dict[str, dict] = {}
    done: dict[str, dict] = {}
    acked = {
        (e["worker"], e["task"], e["run"])
        for e in events
        if e["kind"] == "acked" and e["how"] == "done"
    }
    for event in events:
        if event["kind"] == "start":
            task = event["task"]
            if task in running:
                other = running[task]
                problems.append(
                    f"{task}: run {event['run']} starts on {event['worker']} at"
                    f" {event['at']:.3f} while run {other['run']} runs on"
                    f" {other['worker']} since {other['at']:.3f}"
                )
            if task in done:
                end = done[task]
                problems.append(
                    f"{task}: run {event['run']} starts on {event['worker']} at"
                    f" {event['at']:.3f} after run {end['run']} ended done at"
                    f" {end['at']:.3f}, an end that was taken note of"
                )
            running[task] = event
        elif event["kind"] in ("end", "lost"):
            task = event["task"]
            present = running.get(task)
            if present and present["run"] == event["run"]:
                del running[task]
            key = (event["worker"], task, event["run"])
            if event.get("how") == "done" and key in acked:
                done[task] = event
    return problems


def run(case, folder: Path) -> None:
    """Run a case, an asynchronous function of the scenario, and exit with its code."""

    async def main() -> int:
        scenario = Scenario(folder)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(scenario)
        except (CannotRun, TimeoutError) as problem:
            scenario.log("could_not_run", problem=repr(problem))
            return COULD_NOT_RUN
        finally:
            await scenario.close()

    code = asyncio.run(main())
    print(f"exit {code}")
    sys.exit(code)
