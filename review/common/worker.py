"""Stand-in of a worker as PROTOCOL.md describes it, under `orders=invocation`.

The text `spec` of a task is JSON: `seconds` is how long it works (or `end_s`, the time
of the scenario at which it ends), `fails` whether it ends as `failed`.
"""

from __future__ import annotations

import asyncio
import time

import orjson
from aiohttp import web

from common.store import Store, cut, reply

HOLD_MAX_MS = 6000
STOP_S = 0.05
MAX_ENDS_PER_REPORT = 500
SILENCE_S = 15.0


class Worker:
    """One worker; `crash` and `boot` end and begin a life of it."""

    def __init__(self, name: str, service: str, capacity: dict, rack: str, log) -> None:
        self.worker_id, self.service, self.rack = name, service, rack
        self.capacity, self.log = capacity, log
        self.address = ""
        self.is_up = False
        self.is_dark = False
        self.asked = asyncio.Event()
        self.lives = 0

    def boot(self) -> None:
        """Begin a life, which knows nothing of the one before."""
        self.lives += 1
        self._boot_s = time.monotonic()
        self.born = int(1000 * time.time())
        self.fence, self.until_ms, self.last_end = 0, 0, 0
        self.runs: dict[str, dict] = {}
        self.closed: dict[str, int] = {}
        self.ends: list[list] = []
        self._ended = asyncio.Event()
        self.is_up = True

    def crash(self) -> None:
        """End the life: all that runs here is gone and nothing answers."""
        self.is_up = False
        for run in self.runs.values():
            run["timer"].cancel()
            self.log("lost", worker=self.worker_id, task=run["task"], run=run["run"])
        self.runs = {}

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int(1000 * (time.monotonic() - self._boot_s))

    def register(self, store: Store) -> None:
        """Write the worker's entry to the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms,
            "sequence": self.lives,
            "born": self.born,
        }
        store.write("servers", self.worker_id, orjson.dumps(entry))

    async def enforce_lease(self) -> None:
        """End all runs once their lease has lapsed."""
        while True:
            await asyncio.sleep(0.02)
            if self.is_up and self.runs and self.clock_ms > self.until_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        if self.is_dark:
            # A machine without power doesn't answer at all.
            await asyncio.sleep(SILENCE_S)
        if not self.is_up:
            cut(request)
            return reply({}, 503)
        body = orjson.loads(await request.read() or b"{}")
        expected = request.headers.get("X-Fuchsiadale-Expect-Instance")
        if expected not in (None, self.worker_id):
            return self._reply({}, 421)
        if body.get("fencing_token", 0) < self.fence:
            return self._reply({"reason": "fence"}, 409)
        self.fence = body.get("fencing_token", 0)
        life = self.lives
        if request.path == "/api/run-start":
            return self._start(body)
        if request.path == "/api/run-stop":
            answer = await self._stop(body)
        elif request.path == "/api/hold":
            answer = await self._hold(body)
        elif request.path == "/api/pace":
            answer = self._reply({})
        else:
            answer = self._reply({}, 404)
        if self.is_dark:
            await asyncio.sleep(SILENCE_S)
        if not self.is_up or self.lives != life:
            cut(request)
        return answer

    def _start(self, body: dict) -> web.Response:
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present and present["run"] == number:
            self._extend(body["until_ms"])
            return self._reply({})
        if number <= self.closed.get(task, 0):
            self._extend(body["until_ms"])
            return self._reply({"reason": "old"}, 409)
        if body["until_ms"] <= self.clock_ms:
            return self._reply({"reason": "late"}, 409)
        self._extend(body["until_ms"])
        spec = orjson.loads(body["spec"])
        now = self.log("start", worker=self.worker_id, task=task, run=number)
        delay_s = spec["end_s"] - now if "end_s" in spec else spec["seconds"]
        run = {"task": task, "run": number, "began": now, "takes": delay_s}
        how = "failed" if spec.get("fails") else "done"
        loop = asyncio.get_running_loop()
        run["timer"] = loop.call_later(max(0.05, delay_s), self._end, run, how)
        self.runs[task] = run
        return self._reply({})

    async def _stop(self, body: dict) -> web.Response:
        task, number = body["task"], body["run"]
        self.closed[task] = max(number, self.closed.get(task, 0))
        run = self.runs.get(task)
        if run and run["run"] <= number:
            await asyncio.sleep(STOP_S)
            if self.runs.get(task) is run:
                self._end(run, "stopped")
        return self._reply({})

    async def _hold(self, body: dict) -> web.Response:
        self.asked.set()
        if body.get("until_ms") is not None:
            self._extend(body["until_ms"])
        acked = body.get("acked_through", 0)
        for end in self.ends:
            if end[0] <= acked:
                self.log(
                    "acked", worker=self.worker_id, task=end[1], run=end[2], how=end[3]
                )
        self.ends = [end for end in self.ends if end[0] > acked]
        if not self.ends and body.get("wait_ms"):
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        now = self.log(None)
        running = [
            [
                run["task"],
                run["run"],
                "",
                int(100 * (now - run["began"]) / max(0.05, run["takes"])),
                100,
            ]
            for run in self.runs.values()
        ]
        finished = self.ends[:MAX_ENDS_PER_REPORT]
        return self._reply({"running": running, "finished": finished})

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + HOLD_MAX_MS)
        self.until_ms = max(self.until_ms, until_ms)

    def _end(self, run: dict, how: str) -> None:
        run["timer"].cancel()
        self.runs.pop(run["task"], None)
        self.closed[run["task"]] = max(run["run"], self.closed.get(run["task"], 0))
        self.last_end += 1
        self.ends.append([self.last_end, run["task"], run["run"], how, ""])
        self.log(
            "end", worker=self.worker_id, task=run["task"], run=run["run"], how=how
        )
        self._ended.set()

    def _reply(self, body: dict, status: int = 200) -> web.Response:
        return reply({**body, "clock_ms": self.clock_ms, "born": self.born}, status)
