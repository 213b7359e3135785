"""Decoders of configurations, worker registrations and submitted jobs."""

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

MAX_TASKS_PER_JOB = 5_000
"""Maximum number of tasks of a job over all steps and occurrences.

Limits the work that a caller can request with one job.
"""

MAX_AMOUNT = 1 << 40
"""Largest amount, duration or count that a document may give, in its own unit."""

DECODING_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError)
"""Errors that fields of a wrong type or an invalid value raise while decoding."""

_WORKER_STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


def decode_configuration(value: bytes) -> Result[CellConfiguration, str]:
    """Return the configuration in a JSON document, or why it is invalid."""
    try:
        document = orjson.loads(value)
        return Ok(
            CellConfiguration(
                int(document["version"]),
                tuple(_decode_queue(item) for item in document.get("routes", ())),
                tuple(_decode_workspace(item) for item in document.get("tenants", ())),
            )
        )
    except DECODING_ERRORS as error:
        return Err(
            f"the configuration is not JSON or a field is missing or invalid: {error!r}"
        )


def decode_worker(worker_id: str, value: bytes) -> WorkerEntry | None:
    """Return the registration of a worker, or None if it is invalid."""
    try:
        registration = orjson.loads(value)
        state = _WORKER_STATES[registration["state"]]
        service, address, zone = (
            registration["service"],
            registration["address"],
            registration["zone"],
        )
        if not all(isinstance(text, str) for text in (service, address, zone)):
            return None
        # "remaining_ms" is the minimum time until a draining worker leaves.
        remaining_ms = registration.get("remaining_ms")
        labels = registration.get("labels") or ()
        return WorkerEntry(
            worker_id,
            service,
            address,
            zone,
            state,
            _decode_resources(registration["capacity"]),
            tuple(str(label) for label in labels),
            int(registration.get("born") or 0),
            None if remaining_ms is None else float(remaining_ms) / MS_PER_S,
        )
    except DECODING_ERRORS:
        return None


def decode_job(value: bytes) -> Result[JobSpecification, str]:
    """Return the specification of a submitted job, or why it is invalid."""
    try:
        body = orjson.loads(value)
        steps = tuple(_decode_step(item) for item in body["steps"])
        payload = body.get("spec", "")
        if not isinstance(payload, str):
            return Err("the field 'spec' of the job must be a string")
        schedule = None
        if body.get("repetitions"):
            schedule = Schedule(
                _read_number(body, "first_run_ms") / MS_PER_S,
                _read_number(body, "interval_ms") / MS_PER_S,
                int(_read_number(body, "repetitions")),
            )
    except DECODING_ERRORS as error:
        return Err(f"the job is not JSON or a field is missing or invalid: {error!r}")
    specification = JobSpecification(payload, steps, schedule)
    problem = _find_problem(specification)
    return Ok(specification) if problem is None else Err(problem)


def _find_problem(specification: JobSpecification) -> str | None:
    if not specification.steps:
        return "the job has no steps; at least one is required"
    if specification.schedule is not None and specification.schedule.interval_s < 0.0:
        return "the interval between repetitions must not be negative"
    for index, step in enumerate(specification.steps):
        if step.count < 1:
            return f"step {index} must have at least one task"
        if any(not 0 <= predecessor < index for predecessor in step.after):
            return f"step {index} may depend only on earlier steps"
    tasks = sum(step.count for step in specification.steps)
    if tasks * specification.occurrences > MAX_TASKS_PER_JOB:
        return f"the job exceeds the maximum of {MAX_TASKS_PER_JOB} tasks"
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
    # "maximum" limits the resources that a workspace uses at once; 0 means no limit.
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
        int(_read_number(item, "cpu")),
        int(_read_number(item, "mem_mb")),
        int(_read_number(item, "gpu")),
    )


def _read_number(item: dict[str, Any], name: str, default: float = 0.0) -> float:
    """Return a number that must be finite and not negative; `default` if absent.

    Raises
    ------
    ValueError
        If the field is not such a number.
    """
    value = item.get(name)
    if value is None:
        return default
    number = float(value)
    if not 0.0 <= number <= MAX_AMOUNT:
        raise ValueError(f"the field '{name}' must be from 0 to {MAX_AMOUNT}")
    return number


def _decode_step(item: dict[str, Any]) -> StepSpecification:
    may_miss = item.get("may_miss")
    return StepSpecification(
        count=int(_read_number(item, "count", 1)),
        request=_decode_resources(item),
        estimated_s=_read_number(item, "estimated_ms") / MS_PER_S,
        after=tuple(int(index) for index in item.get("after") or ()),
        is_gang=bool(item.get("gang")),
        same_rack=bool(item.get("same_rack")),
        required_label=str(item.get("requirements") or ""),
        preferred_rack=str(item.get("affinity") or ""),
        max_per_worker=int(_read_number(item, "anti_affinity")),
        allows_copies=bool(item.get("allow_duplicates")),
        is_checkpointing=bool(item.get("checkpointing")),
        is_lasting=bool(item.get("long_running")),
        image=str(item.get("image") or ""),
        target_s=_read_number(item, "target_ms") / MS_PER_S,
        is_filler=bool(item.get("fills")),
        disruption_budget=None if may_miss is None else int(may_miss),
    )
