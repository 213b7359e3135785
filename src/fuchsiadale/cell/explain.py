"""Tells one job's story from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable

import orjson
from attrs import frozen

CONTEXT = frozenset(
    {
        "ownership_taken",
        "ownership_lost",
        "ownership_resigned",
        "dependency_lost",
        "dependency_regained",
        "started",
        "stopping",
    }
)
"""Events that explain a job although they do not name it."""

WORKER_EVENTS = frozenset(
    {
        "worker_silent",
        "worker_answers",
        "worker_state",
        "worker_restarted",
        "worker_replaced",
        "worker_quarantined",
        "worker_unlisted",
        "lease_lapsed",
    }
)
"""Events of a worker that explain the jobs that ran there."""


@frozen
class LogLine:
    """One line of a process's log.

    Attributes
    ----------
    time_s : float
        When it was written, in Unix seconds of its machine.
    node : str
        The machine.
    event : str
        What happened.
    fields : dict
        The inputs and the outcome.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, object]

    def __str__(self) -> str:
        """Return the line for a person."""
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time_s:.3f} {self.node} {self.event} {details}".rstrip()


def parse_line(text: str) -> LogLine | None:
    """Return a line of a log, or None for anything else.

    What stands before the first brace, such as another program's time, is left out.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
        return LogLine(
            float(fields.pop("time_s")),
            str(fields.pop("node")),
            str(fields.pop("message_type")),
            fields,
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None


def collect_job_events(job_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return what happened to a job, and around it, in order of time."""
    parsed = [line for line in map(parse_line, lines) if line is not None]
    own = [line for line in parsed if line.fields.get("job") == job_id]
    if not own:
        return []
    first_s = min(line.time_s for line in own)
    last_s = max(line.time_s for line in own)
    workers = {line.fields.get("worker") for line in own} - {None}
    around = [
        line
        for line in parsed
        if first_s <= line.time_s <= last_s
        and (
            line.event in CONTEXT
            or (line.event in WORKER_EVENTS and line.fields.get("worker") in workers)
        )
    ]
    return sorted(own + around, key=lambda line: line.time_s)
