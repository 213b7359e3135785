"""Stand-ins of the platform for the scripts of this review.

They follow the users' pages: a row store, workers with leases and fencing, and a
requester. They run in the process of the script; the nodes are separate processes,
which are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import tempfile
import time
import tomllib
from base64 import b64encode
from bisect import bisect_right
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGTERM

import aiohttp
from aiohttp import web

REPOSITORY = Path(__file__).resolve().parents[2]
HOST, PREFIX, KEY, TENANT = "jobs.example", "/jobs/", "key-1", "team"
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
STOP_S = 0.1


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def add(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


def reply(body: dict, status: int = 200) -> web.Response:
    return web.Response(
        body=json.dumps(body).encode(), status=status, content_type="application/json"
    )


async def serve(handler, ip: str, port: int = 0):
    """Serve a handler; return the runner and the port."""
    runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.0)
    await runner.setup()
    site = web.TCPSite(runner, ip, port, reuse_address=True)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]


class Store:
    """The platform's row store."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        # By table, in order of versions.
        self.changes: dict[str, list[tuple[int, tuple[str, str], str | None]]] = {}
        self.version = 0
        self.changed = asyncio.Condition()
        # Called with node, path and body before a call is carried out; may raise
        # Refused, or return a coroutine to await after it was carried out.
        self.before = None

    def handler_for(self, node: str):
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            body = await request.read()
            if self.before is not None:
                verdict = self.before(node, request.path, body)
                if verdict == "busy":
                    return reply({}, 503)
                if verdict == "reset":
                    request.transport.abort()
                    return reply({}, 503)
                if verdict == "silent":
                    await asyncio.sleep(30)
                    request.transport.abort()
                    return reply({}, 503)
                if isinstance(verdict, tuple) and verdict[0] == "late":
                    task = asyncio.ensure_future(self._late(verdict[1], json.loads(body)))
                    self._tasks = [*getattr(self, "_tasks", []), task]
                    await asyncio.sleep(30)
                    request.transport.abort()
                    return reply({}, 503)
            await asyncio.sleep(STORE_ANSWER_S)
            if request.path == "/api/rows-tx":
                return await self.transact(json.loads(body))
            if request.path == "/api/rows-get":
                return self.get(request.query)
            if request.path == "/api/rows-feed":
                return await self.feed(request.query)
            return reply({}, 404)

        return handle

    async def _late(self, delay_s: float, body: dict) -> None:
        await asyncio.sleep(delay_s)
        answer = await self.transact(body)
        self.record.add(f"store: late transaction performed, status {answer.status}")

    async def put(self, table: str, key: str, value: dict | bytes | None) -> None:
        """Write a row, as the operator or a worker."""
        raw = value if isinstance(value, bytes) or value is None else json.dumps(value).encode()
        await self._apply([((table, key), None if raw is None else b64encode(raw).decode())])

    async def _apply(self, writes) -> None:
        async with self.changed:
            self.version += 1
            for row, value in writes:
                if value is None:
                    self.rows.pop(row, None)
                else:
                    self.rows[row] = (value, self.version)
                self.changes.setdefault(row[0], []).append((self.version, row, value))
            self.changed.notify_all()

    def _answer(self, body: dict, status: int = 200) -> web.Response:
        now_ms = int(1000 * time.monotonic())
        return reply({**body, "row_version": self.version, "now_ms": now_ms}, status)

    def _format(self, row, value, version) -> dict:
        return {"table": row[0], "part": "", "key": row[1], "value": value or "",
                "row_version": version, **({"deleted": True} if value is None else {})}

    async def transact(self, body: dict) -> web.Response:
        entries = body.get("expected_revision", []), body.get("writes", []), body.get("remove", [])
        if sum(map(len, entries)) > 100:
            return reply({}, 400)
        if any(item["table"] in ("op", "servers") for item in [*entries[1], *entries[2]]):
            return reply({}, 403)
        if any(len(item["value"]) * 3 // 4 > 65_538 for item in entries[1]):
            return reply({}, 400)
        for item in entries[0]:
            row = item["table"], item["key"]
            if self.rows.get(row, ("", 0))[1] != item["row_version"]:
                found = [self._format(row, *self.rows[row])] if row in self.rows else []
                return self._answer({"rows": found}, 412)
        await self._apply(
            [((item["table"], item["key"]), item["value"]) for item in entries[1]]
            + [((item["table"], item["key"]), None) for item in entries[2]]
        )
        return self._answer({})

    def get(self, query) -> web.Response:
        limit = min(500, int(query.get("limit", "500")))
        keys = sorted(
            (row for row in self.rows if row[0] == query["table"]
             and row[1].encode() >= query.get("from", "").encode()),
            key=lambda row: row[1].encode(),
        )
        rows = [self._format(row, *self.rows[row]) for row in keys[:limit]]
        return self._answer({"rows": rows, "has_more": len(keys) > limit})

    async def feed(self, query) -> web.Response:
        after = int(query["after"])
        ends_s = time.monotonic() + min(30.0, int(query.get("wait_ms", "0")) / 1000)
        while True:
            changes = self.changes.get(query["table"], [])
            first = bisect_right(changes, after, key=lambda change: change[0])
            rows = [self._format(row, value, version) for version, row, value in changes[first:]]
            remaining_s = ends_s - time.monotonic()
            if rows or remaining_s <= 0:
                return self._answer({"rows": rows})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining_s)
                except TimeoutError:
                    pass


class Worker:
    """A worker with leases, fencing and numbered ends.

    The payload of a task says how long it works: `{"ms": 5000}`.
    """

    def __init__(self, store: Store, record: Record, worker_id: str, ip: str, service="pool",
                 zone="zone-a", labels=("a", "r1"), cpu=16000, mem_mb=65536, hold_max_ms=10000):
        self.store, self.record, self.id, self.ip = store, record, worker_id, ip
        self.service, self.zone, self.labels = service, zone, list(labels)
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.hold_max_ms = hold_max_ms
        self.port = 0
        self.state = "ready"
        self.up = False
        self.starts: list[tuple[float, str, int]] = []
        self.on_start = None
        self._runner = None
        self._tasks: set[asyncio.Task] = set()
        self._registrar: asyncio.Task | None = None
        self._last_beat_s = 0.0
        self._cleanups: list[asyncio.Future] = []

    @property
    def clock_ms(self) -> int:
        return 1000 + int(1000 * (time.monotonic() - self._born_s))

    async def begin(self) -> None:
        """Start an incarnation: it knows nothing of the ones before."""
        self._born_s = time.monotonic()
        self.born = int(1000 * time.time())
        self.fence = self.lease_ms = self.last_end = self.sequence = 0
        self.runs: dict[str, dict] = {}
        self.closed: dict[str, int] = {}
        self.ends: list[list] = []
        self.ended = asyncio.Event()
        self._runner, self.port = await serve(self._handle, self.ip, self.port)
        self.up = True
        self.record.add(f"{self.id}: starts, born {self.born}")
        self._spawn(self._enforce_lease())
        self._spawn(self._beat())

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def crash(self) -> None:
        """End the process of the worker, with all that it runs."""
        self.record.add(f"{self.id}: crashes, running {sorted(self.runs)}")
        self.up = False
        self.runs = {}
        for task in list(self._tasks):
            task.cancel()
        runner, self._runner = self._runner, None
        for site in list(runner.sites):
            site._server.close()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._cleanups.append(asyncio.ensure_future(runner.cleanup()))
        if self._registrar is None:
            self._registrar = asyncio.ensure_future(self._expire_registration())

    async def _expire_registration(self) -> None:
        while not self.up:
            if time.monotonic() - self._last_beat_s > 3 * HEARTBEAT_S:
                await self.store.put("servers", self.id, None)
                break
            await asyncio.sleep(0.1)
        self._registrar = None

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            self._last_beat_s = time.monotonic()
            await self.store.put("servers", self.id, {
                "service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "1", "slots": 8, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                "capacity": self.capacity, "labels": self.labels,
            })
            await asyncio.sleep(HEARTBEAT_S)

    async def _enforce_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms > self.lease_ms:
                for name in list(self.runs):
                    self._end(name, "lapsed")

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get("X-Fuchsiadale-Expect-Instance") != self.id:
            return reply({"clock_ms": self.clock_ms, "born": self.born}, 421)
        body = json.loads(await request.read())
        if body.get("fencing_token", 0) < self.fence:
            return self._reply({"reason": "fence"}, 409)
        self.fence = body.get("fencing_token", 0)
        if request.path == "/api/run-start":
            return self._start(body)
        if request.path == "/api/run-stop":
            self.closed[body["task"]] = max(body["run"], self.closed.get(body["task"], 0))
            run = self.runs.get(body["task"])
            if run and run["run"] <= body["run"]:
                self._spawn(self._stop(body["task"], run))
            return self._reply({})
        if request.path == "/api/hold":
            return await self._hold(body)
        return self._reply({}, 400)

    def _reply(self, body: dict, status: int = 200) -> web.Response:
        return reply({**body, "clock_ms": self.clock_ms, "born": self.born}, status)

    def _renew(self, until_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(until_ms, self.clock_ms + self.hold_max_ms))

    def _start(self, body: dict) -> web.Response:
        name, number = body["task"], body["run"]
        self._renew(body["until_ms"])
        run = self.runs.get(name)
        if run and run["run"] == number:
            return self._reply({})
        if number <= self.closed.get(name, 0) or (run and number < run["run"]):
            return self._reply({"reason": "old"}, 409)
        if body["until_ms"] <= self.clock_ms:
            return self._reply({"reason": "late"}, 409)
        if run:
            self._end(name, "stopped")
        self.record.add(f"{self.id}: starts {name} run {number}")
        self.starts.append((time.monotonic(), name, number))
        spec = json.loads(body["spec"])
        run = self.runs[name] = {"run": number, "began_s": time.monotonic(), "ms": spec["ms"],
                                 "cpu": spec.get("cpu", 1000)}
        run["task"] = self._spawn(self._work(name, run))
        if self.on_start is not None:
            self.on_start(self, name, number)
        return self._reply({})

    async def _work(self, name: str, run: dict) -> None:
        await asyncio.sleep(run["ms"] / 1000)
        if self.runs.get(name) is run:
            self._end(name, "done")

    async def _stop(self, name: str, run: dict) -> None:
        await asyncio.sleep(STOP_S)
        if self.runs.get(name) is run:
            self._end(name, "stopped")

    def _end(self, name: str, how: str) -> None:
        run = self.runs.pop(name)
        if how != "done":
            run["task"].cancel()
        self.closed[name] = max(run["run"], self.closed.get(name, 0))
        self.last_end += 1
        self.ends.append([self.last_end, name, run["run"], how, ""])
        self.ended.set()
        self.record.add(f"{self.id}: {name} run {run['run']} ends {how}")

    async def _hold(self, body: dict) -> web.Response:
        if "until_ms" in body:
            self._renew(body["until_ms"])
        self.ends = [end for end in self.ends if end[0] > body["acked_through"]]
        if not self.ends and body.get("wait_ms"):
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), min(2000, body["wait_ms"]) / 1000)
            except TimeoutError:
                pass
        running = []
        for name, run in self.runs.items():
            passed_ms = 1000 * (time.monotonic() - run["began_s"])
            running.append([name, run["run"], "", min(99, int(100 * passed_ms / run["ms"])), run["cpu"]])
        return self._reply({"running": running, "finished": self.ends[:500]})


class Node:
    """A process of the system."""

    def __init__(self, name: str, ip: str, store_address: str, folder: Path, **settings: str):
        self.name, self.ip, self.folder = name, ip, folder
        self.process: subprocess.Popen | None = None
        bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
            "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
            "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
            "revoke_when_partitioned": "true", "revoke_ms": 5000, "recovery_s": 12,
            "hold_max_ms": 10000, "stop_ms": 200, "gang_wait_ms": 3000, "cancel_ms": 3000,
            "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
            "lease_ms": 3000,
        }
        self.lines = {
            "node_name": name, "role": "scheduler", "machine_class": "frontend",
            "serves": "frontend", "ip": ip, "zone": "zone-a", "region": "region",
            "listen.front": f"{ip}:8686", "listen.ready": f"{ip}:8689",
            "internal_port_range": "7180,7195", "is_first_start": "true",
            "limits.cpu_share": "1.0", "limits.cores": "1", "limits.memory_mb": "300",
            "limits.file_descriptors": "4100", "limits.link_mbps": "1000.0",
            "discovery": "platform", "heartbeat_ms": "1500", "orders": "invocation",
            "platform.address": store_address, "platform.form": "table",
            "platform.writes_per_s": "800", "platform.reads_per_s": "2000",
            **{f"bounds.{key}": str(value) for key, value in bounds.items()}, **settings,
        }

    @property
    def url(self) -> str:
        return f"http://{self.ip}:8686{PREFIX}"

    def start(self) -> None:
        settings = self.folder / f"{self.name}.conf"
        settings.write_text("".join(f"{key}={value}\n" for key, value in self.lines.items()))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FUCHSIADALE_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["scheduler"]["run"].split(), cwd=REPOSITORY, env=environment,
                stdout=log, stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(SIGCONT)
            self.process.send_signal(SIGKILL)
            self.process.wait()

    def signal(self, number) -> None:
        self.process.send_signal(number)


class Cell:
    """A small deployment: the store, workers and nodes, and its folder of logs."""

    def __init__(self, record_path: Path, prefix: str | None = None) -> None:
        pid = os.getpid()
        self.prefix = prefix or f"127.{1 + pid % 250}.{1 + pid // 250 % 250}"
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store(self.record)
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self._runners = []
        self.session: aiohttp.ClientSession | None = None

    async def configure(self, version: int = 1, routes=None) -> None:
        route = {"name": "jobs", "host": HOST, "path_prefix": PREFIX, "service": "pool",
                 "priority": 1, "max_attempts": 3, "stretch": 4.0, "target_latency_ms": 3000}
        await self.store.put("op", "config", {
            "version": version, "routes": routes or [route],
            "services": [{"name": "pool", "enforces_capacity": False}], "limits": {},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "weight": 10.0, "maximum": {}}],
        })

    async def add_worker(self, worker_id: str, **options) -> Worker:
        worker = Worker(self.store, self.record, worker_id,
                        f"{self.prefix}.{100 + len(self.workers)}", **options)
        await worker.begin()
        self.workers.append(worker)
        return worker

    async def add_node(self, **settings: str) -> Node:
        name = f"node-{len(self.nodes) + 1}"
        runner, port = await serve(self.store.handler_for(name), f"{self.prefix}.1")
        self._runners.append(runner)
        node = Node(name, f"{self.prefix}.{10 + len(self.nodes)}", f"{self.prefix}.1:{port}",
                    self.folder, **settings)
        node.start()
        self.nodes.append(node)
        return node

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        self.session = self.session or aiohttp.ClientSession()
        ends_s = time.monotonic() + timeout_s
        for node in self.nodes:
            while True:
                try:
                    async with self.session.get(f"http://{node.ip}:8689/api/readiness") as answer:
                        if answer.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                if time.monotonic() > ends_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def call(self, node: Node, method: str, path: str, body=None, timeout_s=3.0):
        """Call a node as a requester; return status and body, status 0 without an answer."""
        self.session = self.session or aiohttp.ClientSession()
        headers = {"Host": HOST, "X-Fuchsiadale-Credential": KEY}
        data = None if body is None else json.dumps(body)
        try:
            async with self.session.request(
                method, node.url + path, data=data, headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                status, content = answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            status, content = 0, b""
        if method != "GET" or status != 200:
            self.record.add(f"requester: {method} {path} at {node.name}: {status or 'no answer'}")
        return status, json.loads(content) if content else {}

    async def submit(self, job_id: str, steps: list[dict], ms: int, cpu: int = 1000, node=None) -> bool:
        """Hand a job in until it is accepted."""
        spec = json.dumps({"ms": ms, "cpu": cpu})
        for attempt in range(20):
            at = node or self.nodes[attempt % len(self.nodes)]
            status, _ = await self.call(at, "POST", job_id, {"spec": spec, "steps": steps})
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job_id: str, node=None) -> str:
        for attempt in range(5):
            at = node or self.nodes[attempt % len(self.nodes)]
            status, body = await self.call(at, "GET", job_id)
            if status == 200:
                return body["state"]
            if status == 410:
                return "unknown"
        return "no answer"

    async def stop(self) -> None:
        for node in self.nodes:
            node.kill()
        for worker in self.workers:
            for task in list(worker._tasks):
                task.cancel()
            if worker._registrar is not None:
                worker._registrar.cancel()
            if worker._runner is not None:
                await worker._runner.cleanup()
        for runner in self._runners:
            await runner.cleanup()
        if self.session is not None:
            await self.session.close()
