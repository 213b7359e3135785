"""Commands for callers."""

from __future__ import annotations

from typing import Any

import click

from fuchsiadale.cli.client import EntryClient
from fuchsiadale.cli.exits import ExitCode
from fuchsiadale.cli.operators import ENTRY_OPTION
from fuchsiadale.cli.output import (
    OUTPUT_OPTION,
    exit_with_error,
    get_body_or_exit,
    print_json,
    print_table,
)

MAX_WAIT_PER_CALL_S = 30.0
"""Longest time that one call waits for a job to end, in seconds."""

KEY_OPTION = click.option(
    "--key", envvar="FUCHSIADALE_KEY", default="", help="Key of the team."
)


@click.group()
def job() -> None:
    """Submit, show, wait for, cancel and list jobs."""


@job.command("submit")
@click.argument("queue")
@click.argument("program")
@click.option("--kind", default="batch", show_default=True)
@click.option("--tasks", default=1, show_default=True)
@click.option("--payload", default="")
@click.option("--cores", default=1.0, show_default=True)
@click.option("--memory-gb", default=1.0, show_default=True)
@click.option("--accelerators", default=0, show_default=True)
@click.option("--run-s", default=0.0, help="Expected run time of a task, in seconds.")
@click.option("--urgent", is_flag=True)
@click.option("--idempotent/--not-idempotent", default=True, show_default=True)
@click.option("--idempotency-key", default="")
@ENTRY_OPTION
@KEY_OPTION
@OUTPUT_OPTION
def submit_job(
    queue: str,
    program: str,
    kind: str,
    tasks: int,
    payload: str,
    cores: float,
    memory_gb: float,
    accelerators: int,
    run_s: float,
    urgent: bool,
    idempotent: bool,
    idempotency_key: str,
    url: str,
    key: str,
    output: str,
) -> None:
    """Submit to QUEUE a job that runs PROGRAM, and print the job's id."""
    body = {
        "kind": kind,
        "program": program,
        "payload": payload,
        "tasks": tasks,
        "priority": "urgent" if urgent else "normal",
        "idempotent": idempotent,
        "run_s": run_s,
        "resources": {
            "cores": cores,
            "memory_gb": memory_gb,
            "accelerators": accelerators,
        },
    }
    reply = EntryClient(url, key).call(
        "POST", f"/v1/queues/{queue}/jobs", body, idempotency_key
    )
    accepted_job = get_body_or_exit(reply)
    if output == "json":
        print_json(accepted_job)
    else:
        click.echo(accepted_job["work_id"])


@job.command("show")
@click.argument("work_id")
@ENTRY_OPTION
@KEY_OPTION
@OUTPUT_OPTION
def show_job(work_id: str, url: str, key: str, output: str) -> None:
    """Show a job and its tasks."""
    _print_job(
        get_body_or_exit(EntryClient(url, key).call("GET", f"/v1/jobs/{work_id}")),
        output,
    )


@job.command("wait")
@click.argument("work_id")
@click.option("--timeout-s", default=600.0, show_default=True)
@ENTRY_OPTION
@KEY_OPTION
@OUTPUT_OPTION
def wait_for_job(
    work_id: str, timeout_s: float, url: str, key: str, output: str
) -> None:
    """Wait until a job has ended; fail unless every task succeeds in time."""
    client = EntryClient(url, key)
    remaining_s = timeout_s
    while True:
        wait_s = min(remaining_s, MAX_WAIT_PER_CALL_S)
        path = f"/v1/jobs/{work_id}?wait_s={wait_s:g}"
        body = get_body_or_exit(client.call("GET", path))
        remaining_s -= wait_s
        if body["final"] or remaining_s <= 0:
            break
    _print_job(body, output)
    if not body["final"]:
        exit_with_error(
            f"job {work_id} did not end before the timeout", ExitCode.WORK_FAILED
        )
    if any(task["state"] != "succeeded" for task in body["tasks"]):
        exit_with_error(
            f"at least one task of job {work_id} did not succeed", ExitCode.WORK_FAILED
        )


@job.command("cancel")
@click.argument("work_id")
@ENTRY_OPTION
@KEY_OPTION
@OUTPUT_OPTION
def cancel_job(work_id: str, url: str, key: str, output: str) -> None:
    """Cancel a job; tasks that have not started never run."""
    reply = EntryClient(url, key).call("POST", f"/v1/jobs/{work_id}/cancel")
    _print_job(get_body_or_exit(reply), output)


@job.command("list")
@ENTRY_OPTION
@KEY_OPTION
@OUTPUT_OPTION
def list_jobs(url: str, key: str, output: str) -> None:
    """List the team's jobs."""
    body = get_body_or_exit(EntryClient(url, key).call("GET", "/v1/jobs"))
    if output == "json":
        print_json(body)
        return
    rows = [
        [
            listed_job["work_id"],
            listed_job["kind"],
            listed_job["queue"],
            _summarize_states(listed_job["tasks"]),
        ]
        for listed_job in body["jobs"]
    ]
    print_table(["job", "kind", "queue", "tasks"], rows)


def _print_job(body: dict[str, Any], output: str) -> None:
    if output == "json":
        print_json(body)
        return
    click.echo(f"{body['kind']} {body['work_id']} of team {body['team']}")
    if "error" in body:
        click.echo(f"{body['error']}: {body['message']}")
    rows = [
        [task["index"], task["state"], task.get("worker"), task.get("waited_s")]
        for task in body["tasks"]
    ]
    print_table(["task", "state", "worker", "waited_s"], rows)


def _summarize_states(tasks: list[dict[str, Any]]) -> str:
    states = [task["state"] for task in tasks]
    return ", ".join(f"{states.count(state)} {state}" for state in sorted(set(states)))
