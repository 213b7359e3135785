"""Stand-ins of the platform's store, of workers and of requesters for review scripts.

The stand-ins run in the process of the script. The nodes under review are separate
processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path

import aiohttp
import orjson
from aiohttp import web

REPOSITORY = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
ROUTE_HOST, ROUTE_PREFIX, API_KEY = "jobs.example", "/jobs/", "key-1"
HEADERS = {"Host": ROUTE_HOST, "X-Fuchsiadale-Credential": API_KEY}
HOLD_MAX_MS = 6000
HEARTBEAT_S = 1.5
STOP_S = 0.05
CLOCK_START_MS = 1000


def now_s() -> float:
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = now_s()

    def add(self, text: str) -> None:
        self._file.write(f"{now_s() - self._start_s:8.3f} {text}\n")
        self._file.flush()


def json_response(body: dict, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(body), status=status, content_type="application/json"
    )


class Store:
    """Tables of rows with atomic transactions and a change feed.

    Each node has a listener of its own, so that it can be treated by itself.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.changes: list[tuple[int, tuple[str, str], str | None]] = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.modes: dict[str, str] = {}  # by node: "ok", "busy" (503) or "silent"
        self.lock = asyncio.Lock()
        self.runners: list[web.ServerRunner] = []

    async def listen(self, node: str) -> str:
        self.modes[node] = "ok"

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self.handle(node, request)

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, 0).start()
        self.runners.append(runner)
        return f"{LOOPBACK}:{runner.addresses[0][1]}"

    async def write(self, table: str, key: str, document: dict | None) -> None:
        """Write a row as the operator or as a worker; None removes it."""
        value = None
        if document is not None:
            value = b64encode(orjson.dumps(document)).decode()
        self._apply([(table, key, value)])
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, node: str, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if self.modes[node] == "silent":
            while self.modes[node] == "silent":
                await asyncio.sleep(0.05)
            request.transport and request.transport.abort()
            return json_response({}, 503)
        if self.modes[node] == "busy":
            return json_response({}, 503)
        if request.path == "/api/rows-tx":
            return await self._transact(orjson.loads(body))
        await asyncio.sleep(0.004)
        if request.path == "/api/rows-get":
            return self._get(request.query)
        if request.path == "/api/rows-feed":
            return await self._feed(request.query)
        return json_response({}, 404)

    async def _transact(self, body: dict) -> web.StreamResponse:
        async with self.lock:
            await asyncio.sleep(0.004)
            expected = body.get("expected_revision") or []
            for row in expected:
                found = self.rows.get((row["table"], row["key"]))
                if (found[1] if found else 0) != row["row_version"]:
                    ids = [(item["table"], item["key"]) for item in expected]
                    rows = [self._format(i) for i in ids if i in self.rows]
                    return self._respond({"rows": rows}, 412)
            writes = [
                (row["table"], row["key"], row["value"])
                for row in body.get("writes") or []
            ]
            writes += [
                (row["table"], row["key"], None) for row in body.get("remove") or []
            ]
            if any(len(b64decode(value or "")) > 65536 for _, _, value in writes):
                return self._respond({}, 400)
            self._apply(writes)
        async with self.changed:
            self.changed.notify_all()
        return self._respond({})

    def _apply(self, writes: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in writes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.changes.append((self.version, (table, key), value))

    def _format(self, row_id: tuple[str, str]) -> dict:
        value, version = self.rows[row_id]
        return {
            "table": row_id[0],
            "part": "",
            "key": row_id[1],
            "value": value,
            "row_version": version,
        }

    def _get(self, query: dict) -> web.StreamResponse:
        table, first, limit = query["table"], query.get("from", ""), 500
        limit = min(limit, int(query.get("limit") or limit))
        keys = sorted(
            (key for row_table, key in self.rows if row_table == table and key >= first),
            key=str.encode,
        )
        rows = [self._format((table, key)) for key in keys[:limit]]
        return self._respond({"rows": rows, "has_more": len(keys) > limit})

    async def _feed(self, query: dict) -> web.StreamResponse:
        table, after = query["table"], int(query["after"])
        ends_s = now_s() + int(query.get("wait_ms") or 0) / 1000
        while True:
            rows = [
                {
                    "table": table,
                    "part": "",
                    "key": row_id[1],
                    "value": value or "",
                    "row_version": version,
                    "deleted": value is None,
                }
                for version, row_id, value in self.changes
                if version > after and row_id[0] == table
            ]
            remaining_s = ends_s - now_s()
            if rows or remaining_s <= 0:
                return self._respond({"rows": rows})
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), remaining_s)

    def _respond(self, body: dict, status: int = 200) -> web.StreamResponse:
        now_ms = int(1000 * now_s())
        return json_response(
            {**body, "row_version": self.version, "now_ms": now_ms}, status
        )


class Worker:
    """A worker: runs tasks under leases, guards fence and run numbers, lists ends.

    The spec of a job is the JSON text {"seconds": S}; a run takes S seconds of work.
    `fails(task, run)` tells whether a run fails at its end.
    """

    def __init__(self, worker_id, store, record, capacity, service="pool", rack="r1"):
        self.worker_id, self.store, self.record = worker_id, store, record
        self.capacity, self.service, self.rack = capacity, service, rack
        self.kind = "a"
        self.port = 0
        self.runner: web.ServerRunner | None = None
        self.on_start = None  # called with (worker, task, run) after each start
        self.fails = lambda task, run: False
        self.is_cut = False  # whether nothing passes between it and the nodes
        self.is_refusing = False  # whether starts are refused as by an unhealthy worker
        self.refused_starts = 0
        self.state = "ready"
        self.ever_started: list[tuple[str, int]] = []
        self._beat: asyncio.Task | None = None
        self.is_up = False

    async def start(self) -> None:
        """Start a new life of the worker under its id, and register it."""
        self.born_ms = int(1000 * time.time())
        self._born_s = now_s()
        self.fence, self.lease_end_ms = 0, 0
        self.runs: dict[str, dict] = {}
        self.closed: dict[str, int] = {}
        self.ends: list[list] = []
        self.last_end, self.sequence = 0, 0
        self.ended = asyncio.Event()
        self.server = web.Server(self._handle, access_log=None)
        self.runner = web.ServerRunner(self.server, shutdown_timeout=0.01)
        await self.runner.setup()
        if self.port:
            # A later life is registered before it answers its first call.
            await self.register()
        site = web.TCPSite(self.runner, LOOPBACK, self.port, reuse_address=True)
        await site.start()
        self.port = self.runner.addresses[0][1]
        self.is_up = True
        await self.register()
        self._beat = asyncio.create_task(self._run_clock())
        self.record.add(f"{self.worker_id} is up, born {self.born_ms}")

    async def crash(self) -> None:
        """End the worker's life at once; its runs and all it knows are gone."""
        self.is_up = False
        self._beat.cancel()
        for run in self.runs.values():
            run["timer"].cancel()
        lost = [f"{task}#{run['run']}" for task, run in self.runs.items()]
        self.runs = {}
        for connection in list(self.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self.runner.cleanup()
        self.record.add(f"{self.worker_id} crashed with the runs {lost}")

    async def register(self) -> None:
        self.sequence += 1
        await self.store.write(
            "servers",
            self.worker_id,
            {
                "service": self.service,
                "address": f"{LOOPBACK}:{self.port}",
                "zone": "zone-1",
                "version": "1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "capacity": self.capacity,
                "labels": [self.kind, self.rack],
                "born": self.born_ms,
            },
        )

    @property
    def clock_ms(self) -> int:
        return CLOCK_START_MS + int(1000 * (now_s() - self._born_s))

    async def _run_clock(self) -> None:
        beat_s = now_s()
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms >= self.lease_end_ms:
                for task in list(self.runs):
                    self._end(task, "lapsed")
            if now_s() - beat_s > HEARTBEAT_S:
                beat_s = now_s()
                await self.register()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.is_cut:
            return await self._drop(request)
        response = await self._answer(request)
        return await self._drop(request) if self.is_cut else response

    async def _drop(self, request: web.BaseRequest) -> web.StreamResponse:
        """Leave a call without an answer as long as the worker is cut off."""
        while self.is_cut:
            await asyncio.sleep(0.02)
        if request.transport is not None:
            request.transport.abort()
        return json_response({}, 503)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            body = orjson.loads(await request.read())
        except (ConnectionError, orjson.JSONDecodeError):
            return json_response({}, 400)
        expected = request.headers.get("X-Fuchsiadale-Expect-Instance")
        if expected not in (None, self.worker_id):
            return self._respond({}, 421)
        if body.get("fencing_token", 0) < self.fence:
            return self._respond({"reason": "fence"}, 409)
        self.fence = body.get("fencing_token", 0)
        if request.path == "/api/run-start" and self.is_refusing:
            self.refused_starts += 1
            self.record.add(f"{self.worker_id} refuses {body['task']}#{body['run']}")
            return self._respond({}, 503)
        if request.path == "/api/run-start":
            return self._start_run(body)
        if request.path == "/api/run-stop":
            return self._stop_run(body)
        if request.path == "/api/hold":
            return await self._hold(body)
        return self._respond({})

    def _extend(self, body: dict) -> None:
        if body.get("until_ms") is not None:
            until_ms = min(body["until_ms"], self.clock_ms + HOLD_MAX_MS)
            self.lease_end_ms = max(self.lease_end_ms, until_ms)

    def _start_run(self, body: dict) -> web.StreamResponse:
        task, run = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present["run"] == run:
            self._extend(body)
            return self._respond({})
        if run <= self.closed.get(task, 0):
            self._extend(body)
            return self._respond({"reason": "old"}, 409)
        if body["until_ms"] <= self.clock_ms:
            return self._respond({"reason": "late"}, 409)
        self._extend(body)
        seconds = orjson.loads(body["spec"])["seconds"]
        how = "failed" if self.fails(task, run) else "done"
        timer = asyncio.get_running_loop().call_later(seconds, self._end, task, how)
        self.runs[task] = {
            "run": run,
            "timer": timer,
            "began_s": now_s(),
            "seconds": seconds,
        }
        self.ever_started.append((task, run))
        self.record.add(f"{self.worker_id} starts {task}#{run}")
        if self.on_start is not None:
            self.on_start(self, task, run)
        return self._respond({})

    def _stop_run(self, body: dict) -> web.StreamResponse:
        task, run = body["task"], body["run"]
        self.closed[task] = max(run, self.closed.get(task, 0))
        present = self.runs.get(task)
        if present is not None and present["run"] <= run:
            present["timer"].cancel()
            loop = asyncio.get_running_loop()
            present["timer"] = loop.call_later(STOP_S, self._end, task, "stopped")
        return self._respond({})

    async def _hold(self, body: dict) -> web.StreamResponse:
        self._extend(body)
        through = body.get("acked_through", 0)
        for end in self.ends:
            if end[0] <= through:
                self.record.add(f"{self.worker_id} end {end} is taken note of")
        self.ends = [end for end in self.ends if end[0] > through]
        if not self.ends and body.get("wait_ms"):
            self.ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), body["wait_ms"] / 1000)
        running = []
        for task, run in self.runs.items():
            share = min(1.0, (now_s() - run["began_s"]) / max(run["seconds"], 0.001))
            running.append([task, run["run"], "", int(100 * share), 900])
        return self._respond({"running": running, "finished": self.ends[:500]})

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.closed[task] = max(run["run"], self.closed.get(task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.ended.set()
        self.record.add(f"{self.worker_id} ends {task}#{run['run']}: {how}")

    def _respond(self, body: dict, status: int = 200) -> web.StreamResponse:
        body = {**body, "clock_ms": self.clock_ms, "born": self.born_ms}
        return json_response(body, status)


class Node:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, name: str, ip: str, store_address: str, folder: Path) -> None:
        self.name, self.ip, self.folder = name, ip, folder
        self.store_address = store_address
        self.process: subprocess.Popen | None = None

    @property
    def url(self) -> str:
        return f"http://{self.ip}:8686"

    def start(self) -> None:
        settings = self.folder / f"{self.name}.conf"
        settings.write_text(
            f"node_name={self.name}\nrole=scheduler\nmachine_class=frontend\n"
            f"serves=frontend\nip={self.ip}\nzone=zone-1\nregion=region-1\n"
            f"zones.zone-1=region-1\nlisten.front={self.ip}:8686\n"
            f"listen.ready={self.ip}:8689\ninternal_port_range=7180,7195\n"
            "is_first_start=true\nlimits.cpu_share=0.537\nlimits.cores=2\n"
            "limits.memory_mb=300\nlimits.link_mbps=1000.0\n"
            "discovery=platform\nheartbeat_ms=1500\n"
            "contracts=base,drain,config,cost,recover,sched,tenants,quota,platform\n"
            "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\n"
            "bounds.grace_s=6\nbounds.config_apply_ms=2000\n"
            "bounds.revoke_when_partitioned=true\nbounds.revoke_ms=5000\n"
            f"bounds.hold_max_ms={HOLD_MAX_MS}\nbounds.stop_ms=200\n"
            "bounds.gang_wait_ms=3000\nbounds.cancel_ms=3000\n"
            "bounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\n"
            "orders=invocation\nadvice=\n"
            f"platform.address={self.store_address}\nplatform.form=table\n"
            "platform.writes_per_s=800\nplatform.reads_per_s=2000\n"
            "platform.row_bytes=65536\n"
        )
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        words = deploy["roles"]["scheduler"]["run"].split()
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, *words[1:]],
            cwd=REPOSITORY,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                "FUCHSIADALE_BOOT": str(settings),
                "PATH": "/usr/bin:/bin",
                "PYTHONPATH": str(REPOSITORY / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
        )
        log.close()

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)


def free_prefix() -> str:
    """Return a loopback network on which the nodes' ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError):
            for host in (1, 2, 3):
                for port in (8686, 8689, 7180, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
    raise OSError("no loopback network with free ports was found")


class World:
    """A store, workers and nodes, and what a requester needs to call the nodes."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self.session: aiohttp.ClientSession | None = None

    async def start(self, nodes: int, workers: int, capacity: dict, **manifest) -> None:
        await self.write_manifest(1, **manifest)
        for number in range(workers):
            worker = Worker(
                f"worker-{number}", self.store, self.record, capacity,
                rack=f"r{number // 4}",
            )
            self.workers.append(worker)
            await worker.start()
        prefix = free_prefix()
        for number in range(nodes):
            name = f"node-{number}"
            address = await self.store.listen(name)
            node = Node(name, f"{prefix}.{number + 1}", address, self.temporary)
            self.nodes.append(node)
            node.start()
        timeout = aiohttp.ClientTimeout(total=3.0)
        self.session = aiohttp.ClientSession(headers=HEADERS, timeout=timeout)
        ends_s = now_s() + 25.0
        for node in self.nodes:
            while not await self.is_ready(node):
                if now_s() > ends_s:
                    raise RuntimeError(f"{node.name} did not become ready")
                await asyncio.sleep(0.1)

    async def write_manifest(self, version: int, routes=None, **changes) -> None:
        """Write a manifest with the given routes; by default one for all jobs."""
        routes = routes or [{"name": "jobs", "path_prefix": ROUTE_PREFIX}]
        await self.store.write(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "host": ROUTE_HOST,
                        "service": "pool",
                        "priority": 0,
                        "max_attempts": 3,
                        "stretch": 2.0,
                        "target_latency_ms": 500,
                        **route,
                    }
                    for route in routes
                ],
                "services": [{"name": "pool", "enforces_capacity": False}],
                "limits": {},
                "tenants": [
                    {
                        "name": "tenant-1",
                        "api_keys": [API_KEY],
                        "weight": 100,
                        "maximum": {"cpu": 0, "mem_mb": 0, "gpu": 0},
                        **changes,
                    }
                ],
            },
        )

    async def is_ready(self, node: Node) -> bool:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            url = f"http://{node.ip}:8689/api/readiness"
            async with self.session.get(url) as response:
                return response.status == 200
        return False

    async def call(
        self, method: str, node: Node, job_id: str, body=None, prefix=ROUTE_PREFIX
    ):
        """Make one call of a requester; return its status and body, or None."""
        data = None if body is None else orjson.dumps(body)
        url = f"{node.url}{prefix}{job_id}"
        try:
            async with self.session.request(method, url, data=data) as response:
                content = await response.read()
                answer = orjson.loads(content) if content else {}
                self.record.add(
                    f"{method} {job_id} at {node.name}: {response.status} {answer}"
                )
                return response.status, answer
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.add(f"{method} {job_id} at {node.name}: {error!r}")
            return None

    async def submit(self, job_id: str, body: dict, prefix=ROUTE_PREFIX) -> bool:
        """Hand a job in, at each node in turn, until one accepts it."""
        for attempt in range(4):
            node = self.nodes[attempt % len(self.nodes)]
            answer = await self.call("POST", node, job_id, body, prefix)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def stop(self) -> None:
        for node in self.nodes:
            node.end()
        if self.session is not None:
            await self.session.close()
        for worker in self.workers:
            if worker.is_up:
                worker.record = _Silent()
                await worker.crash()
        for runner in self.store.runners:
            await runner.cleanup()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class _Silent:
    def add(self, text: str) -> None:
        pass


def job(seconds: float, count: int = 1, cpu: int = 1000, **step) -> dict:
    return {
        "spec": f'{{"seconds": {seconds}}}',
        "steps": [
            {
                "count": count,
                "cpu": cpu,
                "mem_mb": 100,
                "estimated_ms": int(1000 * seconds),
                **step,
            }
        ],
    }


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, play, limit_s: float = 110.0) -> None:
    """Play a case: `play(world)` returns a list of what broke the rule."""

    async def run() -> int:
        world = World(folder)
        try:
            async with asyncio.timeout(limit_s):
                problems = await play(world)
        except Exception as error:  # The case could not run.
            world.record.add(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            await world.stop()
        for problem in problems:
            world.record.add(f"BROKEN: {problem}")
            print(problem)
        world.record.add("the rule was broken" if problems else "the rule held")
        return 1 if problems else 0

    sys.exit(asyncio.run(run()))
