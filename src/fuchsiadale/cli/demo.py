"""Demonstration that the command ``fuchsiadale dev`` runs."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import frozen

from fuchsiadale.cli.client import EntryClient, Reply
from fuchsiadale.standin.dev import DevSystem

POLL_INTERVAL_S = 0.05
"""Interval between checks of the entry's readiness or a job's state, in seconds."""

READY_TIMEOUT_S = 20.0
"""Longest wait for the entry to become ready, in seconds."""

JOB_TIMEOUT_S = 20.0
"""Longest wait for a job to end or for its tasks to run, in seconds."""


@frozen
class DemoResult:
    """Result of one piece of work of the demonstration.

    Attributes
    ----------
    kind : str
        Kind of the work.
    state : str
        Outcome of a request, or distinct states of a job's tasks; an error message if
        the work was not accepted.
    ran_on : str
        Names of the workers that the work ran on, separated by commas; ``-`` if there
        is none.
    waited_s : float
        Longest time from a task's acceptance to its first start, in seconds; 0 for a
        request, or if no task has started.
    """

    kind: str
    state: str
    ran_on: str
    waited_s: float


class Demo:
    """Runs one piece of work of each kind.

    Parameters
    ----------
    system : DevSystem
        System that runs the work.
    """

    def __init__(self, system: DevSystem) -> None:
        self._system = system
        self._admin_client = EntryClient(system.url, system.admin_key)
        self._caller_client = self._admin_client

    async def prepare(self) -> str | None:
        """Apply the configuration, create a team's key and wait for readiness.

        Later calls of the demonstration send the key.

        Returns
        -------
        str or None
            Error message, or None if every step succeeded.
        """
        files = {
            source.name: source.text
            for source in self._system.list_configuration_files()
        }
        apply_reply = await self._admin_client.call_async(
            "PUT", "/admin/v1/config", {"files": files}
        )
        if not apply_reply.is_ok:
            return str(apply_reply.body)
        config_reply = await self._admin_client.call_async("GET", "/admin/v1/config")
        team = next(iter(config_reply.body["configuration"]["teams"]), None)
        if team is None:
            return "the configuration has no team; at least one is required"
        key_reply = await self._admin_client.call_async(
            "POST", "/admin/v1/keys", {"team": team}
        )
        if not key_reply.is_ok:
            return str(key_reply.body)
        self._caller_client = EntryClient(self._system.url, key_reply.body["key"])
        return await self._wait_until_ready()

    async def run(self) -> list[DemoResult]:
        """Run a request, a batch, a gang and a service."""
        body: dict[str, Any] = {"program": "echo", "payload": "crest"}
        request_reply = await self._caller_client.call_async(
            "POST", "/v1/queues/proofs/requests", body
        )
        results = [_summarize_request(request_reply)]
        sleep_program = {
            "program": "sleep",
            "payload": '{"run_s": 0.1, "answer": "done"}',
        }
        results.append(
            await self._run_job({**sleep_program, "kind": "batch", "tasks": 6}, "final")
        )
        results.append(
            await self._run_job({**sleep_program, "kind": "gang", "tasks": 4}, "final")
        )
        service_job = {"program": "forever", "kind": "service", "tasks": 3}
        results.append(await self._run_job(service_job, "running"))
        return results

    async def _wait_until_ready(self) -> str | None:
        for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            ready_reply = await self._admin_client.call_async("GET", "/readyz")
            if ready_reply.is_ok:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)
        return "the entry did not become ready in time"

    async def _run_job(self, body: dict[str, Any], awaited_state: str) -> DemoResult:
        """Submit a job and wait until it reaches a state.

        The wait ends after ``JOB_TIMEOUT_S`` seconds in any case. A job that is awaited
        as running is cancelled afterwards.

        Parameters
        ----------
        body : dict
            Body of the submission.
        awaited_state : str
            "final", or the state that all tasks of the job must reach.

        Returns
        -------
        DemoResult
            Summary of the job as last seen, or of its refusal.
        """
        submit_reply = await self._caller_client.call_async(
            "POST", "/v1/queues/proofs/jobs", body
        )
        if not submit_reply.is_ok:
            return DemoResult(body["kind"], str(submit_reply.body), "-", 0.0)
        path = f"/v1/jobs/{submit_reply.body['work_id']}"
        job_reply = submit_reply
        for _ in range(int(JOB_TIMEOUT_S / POLL_INTERVAL_S)):
            job_reply = await self._caller_client.call_async("GET", path)
            states = {task["state"] for task in job_reply.body["tasks"]}
            if (awaited_state == "final" and job_reply.body["final"]) or states == {
                awaited_state
            }:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        if awaited_state == "running":
            await self._caller_client.call_async("POST", f"{path}/cancel")
        return _summarize_job(job_reply.body)


def _summarize_request(reply: Reply) -> DemoResult:
    if not reply.is_ok:
        return DemoResult("request", str(reply.body), "-", 0.0)
    return DemoResult("request", reply.body["outcome"], reply.body["worker"], 0.0)


def _summarize_job(body: dict[str, Any]) -> DemoResult:
    tasks = body["tasks"]
    states = sorted({task["state"] for task in tasks})
    workers = sorted({task.get("worker", "-") for task in tasks})
    waited_s = max(task.get("waited_s", 0.0) for task in tasks)
    return DemoResult(body["kind"], ", ".join(states), ", ".join(workers), waited_s)
