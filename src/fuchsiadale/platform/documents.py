"""Decoders of configurations, worker registrations and submitted jobs."""

from __future__ import annotations

import re
from typing import Any

import orjson
from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.decision.resources import UNLIMITED_AMOUNT, Resources
from fuchsiadale.decision.workflow.configuration import (
    AdviceTiming,
    CellConfiguration,
    Queue,
    Workspace,
)
from fuchsiadale.decision.workflow.domain_drains import DrainRow, DrainRowState
from fuchsiadale.decision.workflow.messages import WorkerEntry, WorkerState
from fuchsiadale.decision.workflow.specification import (
    JobSpecification,
    Schedule,
    StepSpecification,
)
from fuchsiadale.platform.fields import (
    DECODING_ERRORS,
    MAX_WHOLE_NUMBER,
    check_address,
    check_whole_number,
    read_number,
    read_text,
    read_whole_number,
)
from fuchsiadale.ports.rows import TableRow

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
DRAIN_PREFIX = "evacuate/"
DRAIN_END = "evacuate0"
"""First key, in the order of their bytes, after all that begin with `DRAIN_PREFIX`."""
WORKERS_TABLE = "servers"
MS_PER_S = 1000.0

MAX_TASKS_PER_JOB = 5_000
"""Maximum number of tasks of a job over all steps and occurrences.

Limits the work that a caller can request with one job.
"""

WORKER_ID_PATTERN = re.compile(r"[!-~]{1,200}")
"""Form of a worker's id, which is sent in a header."""

_WORKER_STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


def decode_configuration(value: bytes) -> Result[CellConfiguration, str]:
    """Return the configuration in a JSON document, or why it is invalid."""
    try:
        document = orjson.loads(value)
        return Ok(
            CellConfiguration(
                check_whole_number(document["version"]),
                tuple(_decode_queue(item) for item in document.get("routes", ())),
                tuple(_decode_workspace(item) for item in document.get("tenants", ())),
            )
        )
    except DECODING_ERRORS as error:
        return Err(
            f"the configuration is not JSON or a field is missing or invalid: {error!r}"
        )


def decode_drain(row: TableRow) -> DrainRow:
    """Return what a row whose key begins with `DRAIN_PREFIX` tells of a drain."""
    failure_domain = row.key.removeprefix(DRAIN_PREFIX)
    state = DrainRowState.REMOVED
    problem = "" if failure_domain else "the key names no zone"
    if not problem and not row.is_deleted:
        state = DrainRowState.REQUESTED
        try:
            if not isinstance(orjson.loads(row.value), dict):
                problem = "the value is not a JSON object"
        except orjson.JSONDecodeError as error:
            problem = repr(error)
    if problem:
        state = DrainRowState.UNREADABLE
        log_message("drain_unreadable", key=row.key, problem=problem)
    return DrainRow(failure_domain, row.version, state)


def decode_worker(worker_id: str, value: bytes) -> WorkerEntry | None:
    """Return the registration of a worker, or None if it is invalid.

    Others than workers may write registrations, so each field is checked, also those
    that are not used.
    """
    try:
        registration = orjson.loads(value)
        for name in ("slots", "sequence"):
            read_whole_number(registration, name)
        read_text(registration, "version", "")
        labels = registration.get("labels") or []
        if not isinstance(labels, list) or not _are_texts(labels):
            raise ValueError("the labels must be a list of text")
        if not WORKER_ID_PATTERN.fullmatch(worker_id):
            raise ValueError("the id cannot be sent in a header")
        # "remaining_ms" is the minimum time until a draining worker leaves.
        remaining_ms = read_number(registration, "remaining_ms", -1.0)
        return WorkerEntry(
            worker_id,
            read_text(registration, "service"),
            check_address(read_text(registration, "address")),
            read_text(registration, "zone"),
            _WORKER_STATES[registration["state"]],
            _decode_resources(registration["capacity"]),
            tuple(labels),
            read_whole_number(registration, "born"),
            None if remaining_ms < 0.0 else remaining_ms / MS_PER_S,
            read_number(registration, "cold_remaining_ms") / MS_PER_S,
        )
    except DECODING_ERRORS as error:
        log_message("registration_unreadable", worker=worker_id, problem=repr(error))
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
                read_number(body, "first_run_ms", most=MAX_WHOLE_NUMBER) / MS_PER_S,
                read_number(body, "interval_ms") / MS_PER_S,
                int(read_number(body, "repetitions")),
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
        name=read_text(item, "name"),
        host=read_text(item, "host"),
        path_prefix=read_text(item, "path_prefix"),
        pool=read_text(item, "service"),
        priority=int(read_number(item, "priority")),
        max_attempts=int(read_number(item, "max_attempts", 1)),
        stretch=read_number(item, "stretch", 1.0),
        slack_s=read_number(item, "target_latency_ms") / MS_PER_S,
        is_public=bool(item.get("public")),
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(item: dict[str, Any]) -> AdviceTiming:
    return AdviceTiming(
        read_number(item, "decide_ms") / MS_PER_S,
        read_number(item, "each_ms") / MS_PER_S,
        read_number(item, "valid_ms") / MS_PER_S,
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
    api_keys = item.get("api_keys") or []
    if not isinstance(api_keys, list) or not _are_texts(api_keys):
        raise ValueError("the keys of a workspace must be a list of text")
    return Workspace(
        read_text(item, "name"),
        tuple(api_keys),
        read_number(item, "weight") or 1.0,
        limit,
    )


def _are_texts(values: list[object]) -> bool:
    return all(isinstance(value, str) for value in values)


def _decode_resources(item: dict[str, Any]) -> Resources:
    return Resources(
        int(read_number(item, "cpu")),
        int(read_number(item, "mem_mb")),
        int(read_number(item, "gpu")),
    )


def _decode_step(item: dict[str, Any]) -> StepSpecification:
    may_miss = read_number(item, "may_miss", -1.0)
    return StepSpecification(
        count=int(read_number(item, "count", 1)),
        request=_decode_resources(item),
        estimated_s=read_number(item, "estimated_ms") / MS_PER_S,
        after=tuple(check_whole_number(index) for index in item.get("after") or ()),
        is_gang=bool(item.get("gang")),
        same_rack=bool(item.get("same_rack")),
        required_label=read_text(item, "requirements", ""),
        preferred_rack=read_text(item, "affinity", ""),
        max_per_worker=int(read_number(item, "anti_affinity")),
        allows_copies=bool(item.get("allow_duplicates")),
        is_checkpointing=bool(item.get("checkpointing")),
        is_lasting=bool(item.get("long_running")),
        image=read_text(item, "image", ""),
        target_s=read_number(item, "target_ms") / MS_PER_S,
        is_filler=bool(item.get("fills")),
        disruption_budget=None if may_miss < 0.0 else int(may_miss),
    )
