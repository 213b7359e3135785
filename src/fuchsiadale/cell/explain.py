"""Collects the log lines that explain a job from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable

import orjson
from attrs import frozen

CELL_EVENTS = frozenset(
    {
        "ownership_taken",
        "ownership_lost",
        "ownership_resigned",
        "dependency_lost",
        "dependency_regained",
        "domain_drain_requested",
        "domain_drain_lifted",
        "started",
        "stopping",
    }
)
"""Events of the cell that can explain a job although they do not name it."""

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
        "misdated_lease_assumed",
    }
)
"""Events of a worker that can explain what happened to the jobs that ran there."""


@frozen
class LogLine:
    """One line of a process's log.

    Attributes
    ----------
    time_s : float
        Time at which the line was written, in Unix seconds by its machine's clock.
    node : str
        Name of the machine that wrote the line.
    event : str
        Name of the event.
    fields : dict
        All other fields of the line, such as the inputs of a decision and its outcome.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, object]

    def __str__(self) -> str:
        """Return the line in readable form."""
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time_s:.3f} {self.node} {self.event} {details}".rstrip()


def parse_line(text: str) -> LogLine | None:
    """Parse one line of text; return None if it is not a structured log line.

    Text before the first brace, such as a timestamp of another program, is ignored.
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
    """Return the lines of a job and those of related events, in order of time.

    Related events are those in `CELL_EVENTS`, and those in `WORKER_EVENTS` of workers
    that the job's lines name, logged between the job's first and last line.
    """
    parsed_lines = [line for line in map(parse_line, lines) if line is not None]
    job_lines = [line for line in parsed_lines if line.fields.get("job") == job_id]
    if not job_lines:
        return []
    first_s = min(line.time_s for line in job_lines)
    last_s = max(line.time_s for line in job_lines)
    workers = {line.fields.get("worker") for line in job_lines} - {None}
    related_lines = [
        line
        for line in parsed_lines
        if first_s <= line.time_s <= last_s
        and (
            line.event in CELL_EVENTS
            or (line.event in WORKER_EVENTS and line.fields.get("worker") in workers)
        )
    ]
    return sorted(job_lines + related_lines, key=lambda line: line.time_s)
