"""The demonstration that `fuchsiadale dev` runs."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import frozen

from fuchsiadale.cli.client import EntryClient, Reply
from fuchsiadale.standin.dev import DevSystem

READY_POLL_S = 0.05
READY_LIMIT_S = 20.0
JOB_LIMIT_S = 20.0


@frozen
class DemoRow:
    """What one piece of work of the demonstration did."""

    kind: str
    state: str
    ran_on: str
    waited_s: float


class Demo:
    """Runs one piece of work of each kind.

    Parameters
    ----------
    system : DevSystem
        The system to run it on.
    """

    def __init__(self, system: DevSystem) -> None:
        self._system = system
        self._admin = EntryClient(system.url, system.admin_key)
        self._caller = self._admin

    async def prepare(self) -> str | None:
        """Apply the configuration and make a key; return what went wrong, if anything.

        The caller's key is kept for the runs that follow.
        """
        files = {
            source.name: source.text
            for source in self._system.list_configuration_files()
        }
        applied = await self._admin.acall("PUT", "/admin/v1/config", {"files": files})
        if not applied.is_ok:
            return str(applied.body)
        shown = await self._admin.acall("GET", "/admin/v1/config")
        team = next(iter(shown.body["configuration"]["teams"]), None)
        if team is None:
            return "the configuration has no team"
        key = await self._admin.acall("POST", "/admin/v1/keys", {"team": team})
        if not key.is_ok:
            return str(key.body)
        self._caller = EntryClient(self._system.url, key.body["key"])
        return await self._wait_until_ready()

    async def run(self) -> list[DemoRow]:
        """Run a request, a batch, a gang and a service."""
        body: dict[str, Any] = {"program": "echo", "payload": "crest"}
        answer = await self._caller.acall("POST", "/v1/queues/proofs/requests", body)
        rows = [_request_row(answer)]
        sleep = {"program": "sleep", "payload": '{"run_s": 0.1, "answer": "done"}'}
        rows.append(
            await self._run_job({**sleep, "kind": "batch", "tasks": 6}, "final")
        )
        rows.append(await self._run_job({**sleep, "kind": "gang", "tasks": 4}, "final"))
        service = {"program": "forever", "kind": "service", "tasks": 3}
        rows.append(await self._run_job(service, "running"))
        return rows

    async def _wait_until_ready(self) -> str | None:
        for _ in range(int(READY_LIMIT_S / READY_POLL_S)):
            ready = await self._admin.acall("GET", "/readyz")
            if ready.is_ok:
                return None
            await asyncio.sleep(READY_POLL_S)
        return "the entry did not become ready"

    async def _run_job(self, body: dict[str, Any], until: str) -> DemoRow:
        """Submit a job and wait until it is final, or until all its tasks run."""
        submitted = await self._caller.acall("POST", "/v1/queues/proofs/jobs", body)
        if not submitted.is_ok:
            return DemoRow(body["kind"], str(submitted.body), "-", 0.0)
        path = f"/v1/jobs/{submitted.body['work_id']}"
        shown = submitted
        for _ in range(int(JOB_LIMIT_S / READY_POLL_S)):
            shown = await self._caller.acall("GET", path)
            states = {task["state"] for task in shown.body["tasks"]}
            if (until == "final" and shown.body["final"]) or states == {until}:
                break
            await asyncio.sleep(READY_POLL_S)
        if until == "running":
            await self._caller.acall("POST", f"{path}/cancel")
        return _job_row(shown.body)


def _request_row(answer: Reply) -> DemoRow:
    if not answer.is_ok:
        return DemoRow("request", str(answer.body), "-", 0.0)
    return DemoRow("request", answer.body["outcome"], answer.body["worker"], 0.0)


def _job_row(body: dict[str, Any]) -> DemoRow:
    tasks = body["tasks"]
    states = sorted({task["state"] for task in tasks})
    workers = sorted({task.get("worker", "-") for task in tasks})
    waited_s = max(task.get("waited_s", 0.0) for task in tasks)
    return DemoRow(body["kind"], ", ".join(states), ", ".join(workers), waited_s)
