"""Clients that submit jobs, retry, request job states and cancel jobs."""

from __future__ import annotations

import asyncio
from random import Random

import aiohttp
import orjson
from attrs import define, field, frozen

from tests.soak.kept_connections import LOSS_SLACK_S, DelayedCall
from tests.soak.nodes import API_KEY, ROUTE_HOST, ROUTE_PREFIX, Node
from tests.soak.observer import Observer, TaskSpecification

SUBMIT_ATTEMPTS = 4
LASTING_JOB_ATTEMPTS = 5
"""Lasting jobs that a client submits one after the other, until one is accepted."""

CALL_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.3
STATE_CHECK_DELAY_S = 0.7
DELAYED_CALL_PROBABILITY = 0.1
MAX_IDLE_S, MAX_BODY_DELAY_S = 6.0, 0.5
CANCEL_PROBABILITY = 0.08
MAX_LASTING_SUBMIT_DELAY_S = 5.0
MAX_LASTING_TASKS = 3
LASTING_CPU_MILLIS = 1300
CALLS_AT_ONCE = 20
REFUSAL_STATUSES = frozenset({429, 503})
"""HTTP statuses with which a node refuses a submission without storing the job."""


@frozen
class Workload:
    """What the clients submit and ask for.

    Attributes
    ----------
    jobs_per_s, repeated_calls_per_s : float
        Mean numbers of jobs that are submitted and of calls that are repeated, per
        second.
    duration_range_s : tuple of float
        Shortest and longest duration of a run, in seconds.
    estimated_ms : int
        Duration that the jobs give for their tasks, in milliseconds.
    lasting_job_count : int
        Number of jobs with lasting tasks, which are cancelled only at the end.
    """

    jobs_per_s: float = 3.0
    repeated_calls_per_s: float = 40.0
    duration_range_s: tuple[float, float] = (0.1, 1.0)
    estimated_ms: int = 400
    lasting_job_count: int = 0


@define(eq=False)
class JobClients:
    """Submits random jobs to random nodes on behalf of many clients.

    Attributes
    ----------
    nodes : list of Node
        Processes that the clients call.
    observer : Observer
        Receives the tasks of each job, the refused jobs and the acknowledged cancels,
        and checks the job states that the clients receive.
    random : Random
        Source of the jobs, of the clients' actions and of the times between them.
    repeat_random : Random
        Source of the calls' targets and of the times between them.
    workload : Workload
        What the clients submit and ask for.
    accepted_jobs : dict of str to str
        What the client of each accepted job knows of it, by job id: "accepted",
        "cancelled" once a cancel was acknowledged, or "perhaps cancelled" if a cancel
        was sent without an acknowledgement.
    interrupted_calls : list of str
        Calls that timed out, or whose connection failed after it was established and
        before the whole answer arrived, with the error of each. Connections that
        could not be established are not listed.
    lasting_jobs : set of str
        Ids of the accepted jobs with lasting tasks that no client has cancelled.
    """

    nodes: list[Node]
    observer: Observer
    random: Random
    repeat_random: Random
    workload: Workload = field(factory=Workload)
    accepted_jobs: dict[str, str] = field(factory=dict)
    interrupted_calls: list[str] = field(factory=list)
    lasting_jobs: set[str] = field(factory=set)
    _job_bodies: dict[str, dict[str, object]] = field(factory=dict)

    async def submit_until(self, stop_event: asyncio.Event) -> None:
        """Start clients at random times; each submits one job.

        Returns once `stop_event` is set and all clients have finished.

        Parameters
        ----------
        stop_event : asyncio.Event
            Ends the start of new clients.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            client_tasks = {
                asyncio.create_task(self._run_lasting_client(session))
                for _ in range(self.workload.lasting_job_count)
            }
            while not stop_event.is_set():
                client_tasks.add(asyncio.create_task(self._run_client(session)))
                await asyncio.sleep(self.random.expovariate(self.workload.jobs_per_s))
            await asyncio.gather(*client_tasks)

    async def repeat_calls_until(self, stop_event: asyncio.Event) -> None:
        """Repeat calls on kept connections until `stop_event` is set.

        Parameters
        ----------
        stop_event : asyncio.Event
            Ends the start of new calls.
        """
        calls_per_s = self.workload.repeated_calls_per_s
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            calls: set[asyncio.Task[None]] = set()
            while not stop_event.is_set():
                await asyncio.sleep(self.repeat_random.expovariate(calls_per_s))
                if self.accepted_jobs:
                    call = asyncio.create_task(self._repeat_call(session))
                    calls.add(call)
                    call.add_done_callback(calls.discard)
            await asyncio.gather(*calls)

    async def call_at_once(self) -> None:
        """Submit accepted jobs again, to all nodes and at the same time."""
        jobs = list(self.accepted_jobs)[:CALLS_AT_ONCE]
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await asyncio.gather(
                *(
                    self._call(session, "POST", job, self._job_bodies[job], node)
                    for job in jobs
                    for node in self.nodes
                )
            )

    async def cancel_lasting_jobs(self) -> None:
        """Cancel each lasting job, again and again until this is acknowledged."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for job_id in sorted(self.lasting_jobs):
                while self.accepted_jobs[job_id] != "cancelled":
                    await self._cancel(session, job_id)
                    await asyncio.sleep(RETRY_DELAY_S)
        self.lasting_jobs.clear()

    async def fetch_state(self, job_id: str) -> str | None:
        """Return the state of a job, or None if the call does not succeed."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            status, body = await self._call(session, "GET", job_id, None)
        return str(body.get("state")) if status == 200 else None

    async def _run_client(self, session: aiohttp.ClientSession) -> None:
        job_id = f"{self.random.getrandbits(64):016x}"
        body = self._make_job_body(job_id)
        if not await self._submit(session, job_id, body):
            return
        self.accepted_jobs[job_id] = "accepted"
        self._job_bodies[job_id] = body
        if self.random.random() < CANCEL_PROBABILITY:
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await self._cancel(session, job_id)
        elif self.random.random() < 0.3:
            await asyncio.sleep(STATE_CHECK_DELAY_S)
            status, reply_body = await self._call(session, "GET", job_id, None)
            if status == 200:
                self.observer.check_reported_state(job_id, str(reply_body.get("state")))

    async def _run_lasting_client(self, session: aiohttp.ClientSession) -> None:
        await asyncio.sleep(self.random.uniform(0.0, MAX_LASTING_SUBMIT_DELAY_S))
        for _ in range(LASTING_JOB_ATTEMPTS):
            job_id = f"{self.random.getrandbits(64):016x}"
            body = self._make_lasting_job_body(job_id)
            if await self._submit(session, job_id, body):
                self.accepted_jobs[job_id] = "accepted"
                self._job_bodies[job_id] = body
                self.lasting_jobs.add(job_id)
                return

    async def _repeat_call(self, session: aiohttp.ClientSession) -> None:
        """Request the state of an accepted job, or submit it again.

        Sessions repeat GET requests by themselves if a kept connection ends, so that
        only submissions show interruptions.
        """
        job_id = self.repeat_random.choice(list(self.accepted_jobs))
        node = self.repeat_random.choice(self.nodes)
        if self.repeat_random.random() < DELAYED_CALL_PROBABILITY:
            await self._submit_late(job_id, node)
            return
        if self.repeat_random.random() < 0.5:
            await self._call(session, "POST", job_id, self._job_bodies[job_id], node)
            return
        status, body = await self._call(session, "GET", job_id, None, node)
        if status == 200:
            self.observer.check_reported_state(job_id, str(body.get("state")))

    async def _submit_late(self, job_id: str, node: Node) -> None:
        """Submit an accepted job again over a connection that was idle for a while."""
        call = DelayedCall(
            job_id,
            orjson.dumps(self._job_bodies[job_id]),
            self.repeat_random.uniform(0.0, MAX_IDLE_S),
            self.repeat_random.uniform(0.0, MAX_BODY_DELAY_S),
        )
        timeout_s = call.idle_s + call.pause_s + CALL_TIMEOUT_S
        try:
            age_s = await asyncio.wait_for(call.send(node.ip), timeout_s)
        except TimeoutError:
            age_s = CALL_TIMEOUT_S
        except OSError:
            return
        if age_s is not None and age_s > LOSS_SLACK_S:
            self.interrupted_calls.append(
                f"POST {job_id} at {node.name}: no answer {age_s:.2f} s after its end"
            )

    async def _submit(
        self, session: aiohttp.ClientSession, job_id: str, body: dict[str, object]
    ) -> bool:
        statuses = []
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = await self._call(session, "POST", job_id, body)
            statuses.append(status)
            if status == 200:
                return True
            await asyncio.sleep(RETRY_DELAY_S)
        if all(status in REFUSAL_STATUSES for status in statuses):
            self.observer.refused_jobs.add(job_id)
        return False

    async def _cancel(self, session: aiohttp.ClientSession, job_id: str) -> None:
        status, _ = await self._call(session, "DELETE", job_id, None)
        if status == 200:
            now_s = asyncio.get_running_loop().time()
            self.observer.cancel_times_s[job_id] = now_s
            self.accepted_jobs[job_id] = "cancelled"
        else:
            # The cancel may be stored although no acknowledgement arrived.
            self.accepted_jobs[job_id] = "perhaps cancelled"

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        job_id: str,
        body: dict[str, object] | None,
        node: Node | None = None,
    ) -> tuple[int, dict[str, object]]:
        """Return the HTTP status and the JSON body of the answer to a call.

        The call goes to a random node unless one is given.

        Without a complete answer, the status is 0, which does not count as a refusal,
        and the body is empty.
        """
        node = node or self.random.choice(self.nodes)
        headers = {"Host": ROUTE_HOST, "X-Fuchsiadale-Credential": API_KEY}
        data = None if body is None else orjson.dumps(body)
        try:
            async with session.request(
                method, node.url + ROUTE_PREFIX + job_id, data=data, headers=headers
            ) as response:
                content = await response.read()
                reply_body = orjson.loads(content) if content else {}
                return response.status, reply_body
        except aiohttp.ClientConnectorError:
            return 0, {}
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.interrupted_calls.append(
                f"{method} {job_id} at {node.name}: {error!r}"
            )
            return 0, {}

    def _make_job_body(self, job_id: str) -> dict[str, object]:
        steps = []
        predecessors: tuple[str, ...] = ()
        for step_index in range(self.random.randint(1, 2)):
            count = self.random.randint(1, 4)
            cpu_millis = self.random.choice((500, 1000, 2000))
            task_names = tuple(
                f"{job_id}.0.{step_index}.{index}" for index in range(count)
            )
            for task_name in task_names:
                self.observer.specifications[task_name] = TaskSpecification(
                    cpu_millis, predecessors
                )
            step_body: dict[str, object] = {
                "count": count,
                "cpu": cpu_millis,
                "mem_mb": 100,
                "estimated_ms": self.workload.estimated_ms,
            }
            if step_index:
                step_body["after"] = [step_index - 1]
            steps.append(step_body)
            predecessors = task_names
        duration_s = round(self.random.uniform(*self.workload.duration_range_s), 2)
        return {"spec": orjson.dumps({"seconds": duration_s}).decode(), "steps": steps}

    def _make_lasting_job_body(self, job_id: str) -> dict[str, object]:
        count = self.random.randint(1, MAX_LASTING_TASKS)
        for index in range(count):
            self.observer.specifications[f"{job_id}.0.0.{index}"] = TaskSpecification(
                LASTING_CPU_MILLIS, (), is_lasting=True
            )
        step_body = {
            "count": count,
            "cpu": LASTING_CPU_MILLIS,
            "mem_mb": 100,
            "long_running": True,
        }
        return {"spec": "{}", "steps": [step_body]}
