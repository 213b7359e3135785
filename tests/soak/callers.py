"""Callers that submit, ask, cancel and try again, and what they are told."""

from __future__ import annotations

import asyncio
from random import Random

import aiohttp
import orjson
from attrs import define, field

from tests.soak.nodes import Node
from tests.soak.observer import Observer, TaskTerms

HOST, PREFIX, KEY = "jobs.example", "/jobs/", "key-1"
TRIES = 4
CALL_TIMEOUT_S = 3.0
PAUSE_S = 0.3
POLL_S = 0.7
CANCELLED_SHARE = 0.08
REFUSED = frozenset({429, 503})


@define(eq=False)
class Callers:
    """Submits jobs until told to stop.

    Attributes
    ----------
    accepted : dict of str to str
        What became of the jobs that were accepted.
    cut : list of str
        Calls whose connection was there and that got no answer.
    """

    nodes: list[Node]
    observer: Observer
    random: Random
    accepted: dict[str, str] = field(factory=dict)
    cut: list[str] = field(factory=list)

    async def submit_until(self, stop: asyncio.Event, per_s: float) -> None:
        """Submit jobs at a rate, each by a caller of its own."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            calls: set[asyncio.Task[None]] = set()
            while not stop.is_set():
                calls.add(asyncio.create_task(self._use(session)))
                await asyncio.sleep(self.random.expovariate(per_s))
            await asyncio.gather(*calls)

    async def ask(self, job: str) -> str | None:
        """Return a job's state, or None without an answer."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            status, body = await self._call(session, "GET", job, None)
        return str(body.get("state")) if status == 200 else None

    async def _use(self, session: aiohttp.ClientSession) -> None:
        job = f"{self.random.getrandbits(64):016x}"
        body = self._make_job(job)
        if not await self._submit(session, job, body):
            return
        self.accepted[job] = "accepted"
        if self.random.random() < CANCELLED_SHARE:
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await self._cancel(session, job)
        elif self.random.random() < 0.3:
            await asyncio.sleep(POLL_S)
            status, answer = await self._call(session, "GET", job, None)
            if status == 200:
                self.observer.note_state(job, str(answer.get("state")))

    async def _submit(
        self, session: aiohttp.ClientSession, job: str, body: dict[str, object]
    ) -> bool:
        statuses = []
        for _ in range(TRIES):
            status, _ = await self._call(session, "POST", job, body)
            statuses.append(status)
            if status == 200:
                return True
            await asyncio.sleep(PAUSE_S)
        if all(status in REFUSED for status in statuses):
            self.observer.refused_jobs.add(job)
        return False

    async def _cancel(self, session: aiohttp.ClientSession, job: str) -> None:
        status, _ = await self._call(session, "DELETE", job, None)
        if status == 200:
            now_s = asyncio.get_running_loop().time()
            self.observer.cancelled_s[job] = now_s
            self.accepted[job] = "cancelled"
        else:
            # The cancel may have been stored without the answer.
            self.accepted[job] = "perhaps cancelled"

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        job: str,
        body: dict[str, object] | None,
    ) -> tuple[int, dict[str, object]]:
        node = self.random.choice(self.nodes)
        headers = {"Host": HOST, "X-Fuchsiadale-Credential": KEY}
        data = None if body is None else orjson.dumps(body)
        try:
            async with session.request(
                method, node.url + PREFIX + job, data=data, headers=headers
            ) as response:
                text = await response.read()
                found = orjson.loads(text) if text else {}
                return response.status, found
        except aiohttp.ClientConnectorError:
            return 0, {}
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.cut.append(f"{method} {job} at {node.name}: {error!r}")
            return 0, {}

    def _make_job(self, job: str) -> dict[str, object]:
        steps = []
        before: tuple[str, ...] = ()
        for step in range(self.random.randint(1, 2)):
            count = self.random.randint(1, 4)
            cpu_millis = self.random.choice((500, 1000, 2000))
            names = tuple(f"{job}.0.{step}.{index}" for index in range(count))
            for name in names:
                self.observer.terms[name] = TaskTerms(cpu_millis, before)
            item: dict[str, object] = {
                "count": count,
                "cpu": cpu_millis,
                "mem_mb": 100,
                "estimated_ms": 400,
            }
            if step:
                item["after"] = [step - 1]
            steps.append(item)
            before = names
        seconds = round(self.random.uniform(0.1, 1.0), 2)
        return {"spec": orjson.dumps({"seconds": seconds}).decode(), "steps": steps}
