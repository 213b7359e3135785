"""Stand-ins of the users' workers: leases, fencing, ends that are listed again."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from contextlib import suppress
from random import Random
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field

from tests.soak.http import abort, json_answer
from tests.soak.observer import Observer
from tests.soak.store import StoreStandIn

MAX_LEASE_MS = 6000
CAPACITY_MILLIS = 4000
CAPACITY_MB = 8000
STOP_S = 0.05
LEASE_CHECK_S = 0.05
LATE_ORDER_S = (1.0, 6.0)


@define(eq=False)
class Run:
    """A run that is present."""

    task: str
    number: int
    cpu_millis: int
    ending: asyncio.Task[None] | None = None


@define(eq=False)
class Worker:
    """One worker; its life begins anew with each crash.

    Attributes
    ----------
    orders_lost : float
        Share of orders that get no answer and are carried out seconds later.
    """

    worker_id: str
    observer: Observer
    random: Random
    orders_lost: float = 0.0
    failing: float = 0.02
    is_up: bool = True
    born_ms: int = 0
    fence: int = 0
    lease_end_ms: int = 0
    runs: dict[str, Run] = field(factory=dict)
    closed: dict[str, int] = field(factory=dict)
    ends: list[list[Any]] = field(factory=list)
    last_end: int = 0
    _ended: asyncio.Event = field(factory=asyncio.Event)
    _late: set[asyncio.Task[web.StreamResponse]] = field(factory=set)
    _birth_s: float = 0.0

    @property
    def clock_ms(self) -> int:
        """The worker's own clock."""
        return 1000 + int(1000 * (asyncio.get_running_loop().time() - self._birth_s))

    def be_born(self) -> None:
        """Begin a life that knows nothing of the one before."""
        self._birth_s = asyncio.get_running_loop().time()
        self.born_ms += 1000
        self.fence = self.lease_end_ms = self.last_end = 0
        self.closed, self.ends = {}, []
        self.is_up = True

    def crash(self) -> None:
        """End everything at once; nothing is listed."""
        self.is_up = False
        for task in list(self._late):
            task.cancel()
        for run in list(self.runs.values()):
            self._drop(run)

    async def keep_leases(self) -> None:
        """Kill what runs once the lease has lapsed, until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.is_up and self.clock_ms > self.lease_end_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call, late or never if orders are being lost."""
        if not self.is_up:
            abort(request)
            return json_answer({}, 503)
        if request.headers.get("X-Fuchsiadale-Expect-Instance") != self.worker_id:
            return json_answer({}, 421)
        try:
            body = orjson.loads(await request.read())
        except ConnectionError:
            return json_answer({}, 503)
        if self.random.random() < self.orders_lost:
            task = asyncio.create_task(self._carry_out_late(request.path, body))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(LATE_ORDER_S[1])
            abort(request)
            return json_answer({}, 503)
        return await self._carry_out(request.path, body)

    async def _carry_out_late(
        self, path: str, body: dict[str, Any]
    ) -> web.StreamResponse:
        await asyncio.sleep(self.random.uniform(*LATE_ORDER_S))
        return await self._carry_out(path, body)

    async def _carry_out(self, path: str, body: dict[str, Any]) -> web.StreamResponse:
        if body.get("fencing_token", 0) < self.fence:
            return self._reply({"reason": "fence"}, 409)
        self.fence = body["fencing_token"]
        if path == "/api/run-start":
            return self._start(body)
        if path == "/api/run-stop":
            return await self._stop(body)
        if path == "/api/hold":
            return await self._hold(body)
        return self._reply({}, 200)

    def _start(self, body: dict[str, Any]) -> web.StreamResponse:
        task, number = body["task"], body["run"]
        self._renew(body["until_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self._reply({}, 200)
        if number <= self.closed.get(task, 0):
            return self._reply({"reason": "old"}, 409)
        if body["until_ms"] <= self.clock_ms:
            return self._reply({"reason": "late"}, 409)
        used = sum(run.cpu_millis for run in self.runs.values())
        terms = self.observer.terms.get(task)
        now_s = asyncio.get_running_loop().time()
        self.observer.note_start(task, self.worker_id, used, CAPACITY_MILLIS, now_s)
        run = Run(task, number, terms.cpu_millis if terms else 0)
        self.runs[task] = run
        seconds = orjson.loads(body["spec"])["seconds"]
        run.ending = asyncio.create_task(self._work(run, seconds))
        return self._reply({}, 200)

    async def _work(self, run: Run, seconds: float) -> None:
        await asyncio.sleep(seconds)
        run.ending = None
        is_failing = self.random.random() < self.failing
        self._end(run, "failed" if is_failing else "done")

    async def _stop(self, body: dict[str, Any]) -> web.StreamResponse:
        task, number = body["task"], body["run"]
        self.closed[task] = max(number, self.closed.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            await asyncio.sleep(STOP_S)
            if self.runs.get(task) is run:
                self._end(run, "stopped")
        return self._reply({}, 200)

    async def _hold(self, body: dict[str, Any]) -> web.StreamResponse:
        if "until_ms" in body:
            self._renew(body["until_ms"])
        for end in self.ends:
            if end[0] <= body["acked_through"] and end[3] == "done":
                self.observer.acknowledged.add(end[1])
        self.ends = [end for end in self.ends if end[0] > body["acked_through"]]
        if not self.ends and body.get("wait_ms"):
            self._ended.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), body["wait_ms"] / 1000)
        running = [[run.task, run.number, "", 50, 100] for run in self.runs.values()]
        return self._reply({"running": running, "finished": self.ends}, 200)

    def _renew(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + MAX_LEASE_MS)
        self.lease_end_ms = max(self.lease_end_ms, until_ms)

    def _end(self, run: Run, how: str) -> None:
        self._drop(run)
        self.observer.note_end(run.task, self.worker_id, how == "done")
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self._ended.set()

    def _drop(self, run: Run) -> None:
        if run.ending is not None:
            run.ending.cancel()
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
        self.observer.note_end(run.task, self.worker_id, False)

    def _reply(self, body: dict[str, Any], status: int) -> web.Response:
        body = {**body, "clock_ms": self.clock_ms, "born": self.born_ms}
        return json_answer(body, status)


async def register(store: StoreStandIn, worker: Worker, address: str) -> None:
    """Write a worker's registration, as it writes it itself."""
    entry = {
        "service": "pool",
        "address": address,
        "zone": "zone",
        "version": "1",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": CAPACITY_MILLIS, "mem_mb": CAPACITY_MB},
        "labels": ["a", "rack-1"],
        "born": worker.born_ms,
    }
    value = b64encode(orjson.dumps(entry)).decode()
    await store.put("servers", worker.worker_id, value)
