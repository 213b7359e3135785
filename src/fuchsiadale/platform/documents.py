"""Decodes the documents that the operator and the workers keep in the store."""

from __future__ import annotations

from typing import Any

import orjson
from result import Err, Ok, Result

from fuchsiadale.decision.resources import UNLIMITED_AMOUNT, Resources
from fuchsiadale.decision.workflow.configuration import (
    AdviceTiming,
    CellConfiguration,
    Queue,
    Workspace,
)
from fuchsiadale.decision.workflow.messages import WorkerEntry, WorkerState
from fuchsiadale.decision.workflow.specification import (
    JobSpecification,
    Schedule,
    StepSpecification,
)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WORKERS_TABLE = "servers"
MS_PER_S = 1000.0

MAX_TASKS = 5_000
"""Tasks of one job over all steps and occurrences; bounds what a caller can ask."""

_STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


def decode_configuration(value: bytes) -> Result[CellConfiguration, str]:
    """Return a configuration, or what is wrong with it."""
    try:
        document = orjson.loads(value)
        return Ok(
            CellConfiguration(
                int(document["version"]),
                tuple(_decode_queue(item) for item in document.get("routes", ())),
                tuple(_decode_workspace(item) for item in document.get("tenants", ())),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"invalid configuration: {error!r}")


def decode_worker(worker_id: str, value: bytes) -> WorkerEntry | None:
    """Return a worker's registration, or None if it names no worker to use."""
    try:
        entry = orjson.loads(value)
        state = _STATES[entry["state"]]
        service, address, zone = entry["service"], entry["address"], entry["zone"]
        if not all(isinstance(text, str) for text in (service, address, zone)):
            return None
        # "remaining_ms" is the least time until a draining worker leaves.
        remaining_ms = entry.get("remaining_ms")
        labels = entry.get("labels") or ()
        return WorkerEntry(
            worker_id,
            service,
            address,
            zone,
            state,
            _decode_resources(entry["capacity"]),
            tuple(str(label) for label in labels),
            int(entry.get("born") or 0),
            None if remaining_ms is None else float(remaining_ms) / MS_PER_S,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def decode_job(value: bytes) -> Result[JobSpecification, str]:
    """Return what a caller submitted, or what is wrong with it."""
    try:
        body = orjson.loads(value)
        steps = tuple(_decode_step(item) for item in body["steps"])
        payload = body.get("spec", "")
        if not isinstance(payload, str):
            return Err("the job's text is not a string")
        schedule = None
        if body.get("repetitions"):
            schedule = Schedule(
                float(body.get("first_run_ms", 0)) / MS_PER_S,
                float(body.get("interval_ms", 0)) / MS_PER_S,
                int(body["repetitions"]),
            )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"not a job: {error!r}")
    specification = JobSpecification(payload, steps, schedule)
    problem = _problem_of(specification)
    return Ok(specification) if problem is None else Err(problem)


def _problem_of(specification: JobSpecification) -> str | None:
    if not specification.steps:
        return "the job has no steps"
    for index, step in enumerate(specification.steps):
        if step.count < 1:
            return f"step {index} has no tasks"
        if any(not 0 <= before < index for before in step.after):
            return f"step {index} waits for a step that is not earlier"
    tasks = sum(step.count for step in specification.steps)
    if tasks * specification.occurrences > MAX_TASKS:
        return f"the job has more than {MAX_TASKS} tasks"
    return None


def _decode_queue(item: dict[str, Any]) -> Queue:
    advice = item.get("advice")
    return Queue(
        name=item["name"],
        host=item["host"],
        path_prefix=item["path_prefix"],
        pool=item["service"],
        priority=int(item.get("priority", 0)),
        max_attempts=int(item.get("max_attempts", 1)),
        stretch=float(item.get("stretch", 1.0)),
        slack_s=float(item.get("target_latency_ms", 0.0)) / MS_PER_S,
        is_public=bool(item.get("public")),
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(item: dict[str, Any]) -> AdviceTiming:
    return AdviceTiming(
        float(item.get("decide_ms", 0.0)) / MS_PER_S,
        float(item.get("each_ms", 0.0)) / MS_PER_S,
        float(item.get("valid_ms", 0.0)) / MS_PER_S,
    )


def _decode_workspace(item: dict[str, Any]) -> Workspace:
    # "maximum" is what a workspace may run at once; 0 means no limit.
    maximum = item.get("maximum") or {}
    amounts = _decode_resources(maximum)
    limit = Resources(
        amounts.cpu_millis or UNLIMITED_AMOUNT,
        amounts.memory_mb or UNLIMITED_AMOUNT,
        amounts.accelerators or UNLIMITED_AMOUNT,
    )
    return Workspace(
        item["name"],
        tuple(item.get("api_keys") or ()),
        float(item.get("weight") or 1.0),
        limit,
    )


def _decode_resources(item: dict[str, Any]) -> Resources:
    return Resources(
        int(item.get("cpu") or 0),
        int(item.get("mem_mb") or 0),
        int(item.get("gpu") or 0),
    )


def _decode_step(item: dict[str, Any]) -> StepSpecification:
    may_miss = item.get("may_miss")
    return StepSpecification(
        count=int(item.get("count") or 1),
        request=_decode_resources(item),
        estimated_s=float(item.get("estimated_ms") or 0.0) / MS_PER_S,
        after=tuple(int(index) for index in item.get("after") or ()),
        is_gang=bool(item.get("gang")),
        same_rack=bool(item.get("same_rack")),
        required_label=str(item.get("requirements") or ""),
        preferred_rack=str(item.get("affinity") or ""),
        max_per_worker=int(item.get("anti_affinity") or 0),
        allows_copies=bool(item.get("allow_duplicates")),
        is_checkpointing=bool(item.get("checkpointing")),
        is_lasting=bool(item.get("long_running")),
        image=str(item.get("image") or ""),
        target_s=float(item.get("target_ms") or 0.0) / MS_PER_S,
        is_filler=bool(item.get("fills")),
        disruption_budget=None if may_miss is None else int(may_miss),
    )
