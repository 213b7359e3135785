"""Checks of answers of nodes whose links to the store are slow."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import aiohttp
from attrs import define, field, frozen

from tests.soak.clients import CALL_TIMEOUT_S, JobClients
from tests.soak.nodes import API_KEY, ROUTE_HOST, ROUTE_PREFIX, Node
from tests.soak.slow_links import SlowLinkFaults, make_marker_name

CHECK_INTERVAL_S = 0.1

FINISH_S = 14.0
"""Seconds after the end of the traffic within which each node knows each job."""

NO_OWNER_TEXT = "the cell's owner has not recently reported"
"""Part of the answer of a node that has found a queue and lacks the owner's counts."""


@frozen
class Answer:
    """Status of the answer to a call, 0 without one, and its body or the error."""

    status: int
    body: str

    @property
    def is_from_version(self) -> bool:
        """Whether the configuration in force had the queue that was called."""
        return self.status == 200 or NO_OWNER_TEXT in self.body

    def __str__(self) -> str:
        return f"{self.status} {self.body}"


@define(eq=False)
class SlowLinkChecker:
    """Calls each node over kept connections and checks its answers.

    A node that must have a version in force must answer a call to the queue that came
    with it, and must not answer a call about an accepted job with a status of 500 or
    more.

    Attributes
    ----------
    faults : SlowLinkFaults
        Know the versions, and since when no node has been disturbed.
    clients : JobClients
        Know the accepted jobs, and receive the violated guarantees.
    """

    faults: SlowLinkFaults
    clients: JobClients
    _answer_counts: Counter[str] = field(factory=Counter, init=False)
    _reported: set[tuple[str, str]] = field(factory=set, init=False)

    async def run(self, log: Callable[[str], None]) -> None:
        """Check until cancelled; log then how many answers were checked.

        Parameters
        ----------
        log : callable
            Called with a line on the counts.
        """
        nodes = self.clients.nodes
        try:
            async with _open_session() as session:
                await asyncio.gather(*(self._check_often(session, n) for n in nodes))
        finally:
            log(f"answers that were checked: {dict(self._answer_counts)}")

    async def check_known_jobs(self) -> None:
        """Ask each node for each accepted job; record those that stay unknown."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + FINISH_S
        pending = [
            (node, job_id)
            for node in self.clients.nodes
            for job_id in sorted(self.clients.accepted_jobs)
        ]
        answers: list[Answer] = []
        async with _open_session() as session:
            while pending and loop.time() < deadline_s:
                answers = await asyncio.gather(
                    *(_get(session, node, ROUTE_PREFIX + job) for node, job in pending)
                )
                pairs = zip(pending, answers, strict=True)
                pending = [item for item, answer in pairs if answer.status != 200]
                answers = [answer for answer in answers if answer.status != 200]
                await asyncio.sleep(CHECK_INTERVAL_S)
        for (node, job_id), answer in zip(pending, answers, strict=True):
            self.clients.observer.problems.append(
                f"{node.name} did not know {job_id} within {FINISH_S:.0f} s after the"
                f" traffic: {answer}"
            )

    async def _check_often(self, session: aiohttp.ClientSession, node: Node) -> None:
        while True:
            await self._check_version(session, node)
            await self._check_job(session, node)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_version(self, session: aiohttp.ClientSession, node: Node) -> None:
        sent_s = asyncio.get_running_loop().time()
        version = self._find_due_version(node, sent_s)
        if version < 2:
            return
        calm_from_s = self.faults.contact.get_calm_from_s(node)
        answer = await _get(session, node, f"/{make_marker_name(version)}/")
        self._answer_counts[f"{node.name}, version"] += 1
        if (
            answer.is_from_version
            or self.faults.contact.get_calm_from_s(node) != calm_from_s
        ):
            return
        late_s = sent_s - self.faults.compute_due_s(node, version)
        self._report(
            node,
            f"version {version}",
            f"{node.name} did not answer from version {version} at {sent_s:.3f},"
            f" {late_s:.2f} s after the bound: {answer}",
        )

    async def _check_job(self, session: aiohttp.ClientSession, node: Node) -> None:
        sent_s = asyncio.get_running_loop().time()
        calm_from_s = self.faults.contact.get_calm_from_s(node)
        if sent_s < self.faults.compute_contact_s(node):
            return
        if not self.clients.accepted_jobs:
            return
        job_id = self.clients.repeat_random.choice(list(self.clients.accepted_jobs))
        answer = await _get(session, node, ROUTE_PREFIX + job_id)
        self._answer_counts[f"{node.name}, job"] += 1
        if 200 <= answer.status < 500:
            return
        if self.faults.contact.get_calm_from_s(node) == calm_from_s:
            self._report(
                node,
                "call about a job",
                f"{node.name}, in touch, to a call about {job_id} at {sent_s:.3f}:"
                f" {answer}",
            )

    def _find_due_version(self, node: Node, now_s: float) -> int:
        """Return the newest version that must be in force at a node; 0 if none."""
        for version in range(len(self.faults.versions), 0, -1):
            if now_s >= self.faults.compute_due_s(node, version):
                return version
        return 0

    def _report(self, node: Node, subject: str, problem: str) -> None:
        """Record a problem, the first one only of a node with a subject."""
        if (node.name, subject) not in self._reported:
            self._reported.add((node.name, subject))
            self.clients.observer.problems.append(problem)


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        headers={"Host": ROUTE_HOST, "X-Fuchsiadale-Credential": API_KEY},
    )


async def _get(session: aiohttp.ClientSession, node: Node, path: str) -> Answer:
    """Return the answer to a call; status 0 without a complete one."""
    try:
        async with session.get(node.url + path) as response:
            return Answer(response.status, await response.text())
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return Answer(0, repr(error))
