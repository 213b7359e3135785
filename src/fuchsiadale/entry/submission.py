"""Parses the bodies of callers' requests into submissions."""

from __future__ import annotations

import base64
import binascii

from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.config.documents import Problem
from fuchsiadale.config.json_body import parse_json_object
from fuchsiadale.config.model import Configuration, QueueConfig
from fuchsiadale.config.reader import MappingReader
from fuchsiadale.decision.constants import MAX_JOB_TASKS, MAX_PAYLOAD_BYTES
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.resources import (
    MB_PER_GB,
    MILLIS_PER_CORE,
    Resources,
)
from fuchsiadale.decision.work import (
    Priority,
    Program,
    Submission,
    WorkKind,
)
from fuchsiadale.entry.router import new_work_id

# Bounds and defaults of the fields of a submission; names in ``_S`` are in seconds.
MAX_CORES = 1024.0
MAX_MEMORY_GB = 65536.0
MAX_ACCELERATORS = 64
MAX_CONNECTIONS = 1024
MAX_DEADLINE_S = 3600.0
DEFAULT_DEADLINE_S = 30.0
MAX_DECLARED_RUN_S = 30 * 86400.0
MAX_IDEMPOTENCY_KEY_LENGTH = 128


@frozen
class Caller:
    """A caller and the queue to which it submits work.

    Attributes
    ----------
    team : str
        The team of the caller's API key; empty if the queue is open and no key was
        given.
    queue : str
        Name of the queue.
    idempotency_key : str
        Value of the header ``Idempotency-Key``; empty for none.
    """

    team: str
    queue: str
    idempotency_key: str = ""


def parse_submission(
    body: bytes,
    kind: WorkKind | None,
    caller: Caller,
    configuration: Configuration,
    unique_id: str,
) -> Result[Submission, Refusal]:
    """Return the submission that the body of a request holds.

    Parameters
    ----------
    body : bytes
        The JSON body.
    kind : WorkKind or None
        The kind of work; None if the body names it, by default a batch.
    caller : Caller
        The caller and its queue.
    configuration : Configuration
        The configuration in force.
    unique_id : str
        An identifier that no other work has; it becomes the last part of the work's id.

    Returns
    -------
    Result
        The submission, or a refusal; it names every invalid field of the body.
    """
    if len(caller.idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        message = (
            f"Idempotency-Key is longer than {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
        )
        return Err(Refusal(ErrorKind.MALFORMED, message))
    parsed = parse_json_object(body)
    if isinstance(parsed, Err):
        return Err(_malformed_refusal(parsed.err_value))
    problems: list[Problem] = []
    reader = MappingReader(parsed.ok_value, problems)
    queue = configuration.queues[caller.queue]
    slices = configuration.pools[queue.pool].slices
    kind = kind or _read_kind(reader)
    submission = Submission(
        work_id=new_work_id(
            queue.pool, slices, caller.team, caller.idempotency_key, unique_id
        ),
        kind=kind,
        team=caller.team,
        queue=caller.queue,
        program=Program(reader.read_text("program"), _read_payload(reader)),
        resources=_read_resources(reader),
        tasks=_read_task_count(reader, kind),
        priority=_read_priority(reader, queue),
        idempotent=reader.read_boolean("idempotent", kind is not WorkKind.REQUEST),
        key=caller.idempotency_key,
        deadline_s=reader.read_number(
            "timeout_s", DEFAULT_DEADLINE_S, 0.05, MAX_DEADLINE_S
        ),
        declared_run_s=reader.read_number("run_s", 0.0, 0.0, MAX_DECLARED_RUN_S),
    )
    reader.report_unknown_fields()
    if problems:
        return Err(_malformed_refusal(problems))
    if kind not in queue.kinds:
        message = f"queue {caller.queue!r} takes no {kind.value} work"
        return Err(Refusal(ErrorKind.FORBIDDEN, message))
    if len(submission.program.payload) > MAX_PAYLOAD_BYTES:
        message = f"the payload is larger than {MAX_PAYLOAD_BYTES} bytes"
        return Err(Refusal(ErrorKind.TOO_LARGE, message))
    return _check_team_limit(submission, configuration)


def _check_team_limit(
    submission: Submission, configuration: Configuration
) -> Result[Submission, Refusal]:
    """Refuse work that exceeds the team's limit even while nothing else runs."""
    team = configuration.teams.get(submission.team)
    if team is None:
        return Ok(submission)
    concurrent_tasks = submission.tasks if submission.kind is WorkKind.GANG else 1
    if not submission.resources.times(concurrent_tasks).fits_in(team.limit):
        message = f"the work exceeds the upper limit of team {submission.team!r}"
        return Err(Refusal(ErrorKind.INFEASIBLE, message))
    return Ok(submission)


def _read_kind(reader: MappingReader) -> WorkKind:
    text = reader.read_text("kind", WorkKind.BATCH.value)
    job_kinds = [kind for kind in WorkKind if kind is not WorkKind.REQUEST]
    for kind in job_kinds:
        if kind.value == text:
            return kind
    names = ", ".join(kind.value for kind in job_kinds)
    reader.add_problem(f"{text!r} is not a kind of job; known are {names}", "kind")
    return WorkKind.BATCH


def _read_task_count(reader: MappingReader, kind: WorkKind) -> int:
    if kind is WorkKind.REQUEST:
        return 1
    return reader.read_integer("tasks", 1, 1, MAX_JOB_TASKS)


def _read_priority(reader: MappingReader, queue: QueueConfig) -> Priority:
    text = reader.read_text("priority", "normal")
    if text == "normal":
        return Priority.NORMAL
    if text != "urgent":
        reader.add_problem("must be normal or urgent", "priority")
    elif not queue.urgent:
        reader.add_problem("the queue does not accept urgent work", "priority")
    return Priority.URGENT


def _read_payload(reader: MappingReader) -> bytes:
    encoded = reader.read_text("payload_base64", "")
    plain = reader.read_text("payload", "")
    if encoded and plain:
        reader.add_problem("cannot be given together with payload", "payload_base64")
    if not encoded:
        return plain.encode()
    try:
        return base64.b64decode(encoded, validate=True)
    except binascii.Error as error:
        reader.add_problem(f"is not valid base64: {error}", "payload_base64")
        return b""


def _read_resources(reader: MappingReader) -> Resources:
    resources_reader = reader.read_mapping("resources")
    if resources_reader is None:
        return Resources(MILLIS_PER_CORE, MB_PER_GB, 0, 1, 1)
    resources = Resources(
        cpu_millis=int(
            resources_reader.read_number("cores", 1.0, 0.0, MAX_CORES) * MILLIS_PER_CORE
        ),
        memory_mb=int(
            resources_reader.read_number("memory_gb", 1.0, 0.0, MAX_MEMORY_GB)
            * MB_PER_GB
        ),
        accelerators=resources_reader.read_integer(
            "accelerators", 0, 0, MAX_ACCELERATORS
        ),
        slots=1,
        connections=resources_reader.read_integer("connections", 1, 0, MAX_CONNECTIONS),
    )
    resources_reader.report_unknown_fields()
    return resources


def _malformed_refusal(problems: list[Problem]) -> Refusal:
    lines = [f"{problem.field or 'body'}: {problem.message}" for problem in problems]
    return Refusal(ErrorKind.MALFORMED, "; ".join(lines))
