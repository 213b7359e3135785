"""Client of the HTTP API of the platform's workers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from fuchsiadale.decision.workflow.messages import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    StartOutcome,
    WorkerReport,
)
from fuchsiadale.decision.workflow.names import TaskName, parse_task_name
from fuchsiadale.platform.fields import (
    DECODING_ERRORS,
    MAX_AMOUNT,
    MAX_WHOLE_NUMBER,
    check_whole_number,
    is_number,
    read_whole_number,
)
from fuchsiadale.platform.http import NoReply, Reply
from fuchsiadale.platform.worker_connections import (
    Identification,
    NoIdentification,
    OtherIncarnation,
    WorkerConnections,
    WorkerReply,
)
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartAnswer,
    StartRequest,
    WorkerAddress,
    WorkerClient,
)

T = TypeVar("T")

EXPECTED_INSTANCE_HEADER = "X-Fuchsiadale-Expect-Instance"

MAX_LISTED_ENDS = 500
"""Ends of runs that a worker lists at a time, of those that are not acknowledged."""

_REFUSAL_OUTCOMES = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.STALE_RUN,
    "late": StartOutcome.EXPIRED,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.TICKET_REFUSED,
}

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_LAPSED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_INCOMPLETE,
}


class PlatformWorkerClient(WorkerClient):
    """Client of workers over HTTP.

    Parameters
    ----------
    connections : WorkerConnections
        Connections over which the calls are sent.
    """

    def __init__(self, connections: WorkerConnections) -> None:
        self._connections = connections

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Order a worker to start a run."""
        body: dict[str, Any] = {
            "task": str(request.task),
            "run": request.run,
            "spec": request.payload,
            "until_ms": request.lease_end_ms,
            "fencing_token": request.fencing_token,
        }
        if request.checkpoint:
            body["checkpoint"] = request.checkpoint
        if request.ticket:
            body["ticket"] = request.ticket
        reply = await self._call(worker, "run-start", body, timeout_s)
        if isinstance(reply, OtherIncarnation):
            return StartAnswer(StartOutcome.RESTARTED)
        if isinstance(reply, NoIdentification):
            return StartAnswer(StartOutcome.NOT_SENT)
        if isinstance(reply, NoReply):
            if reply.was_sent:
                return StartAnswer(StartOutcome.UNKNOWN)
            return StartAnswer(StartOutcome.UNHEALTHY)
        return StartAnswer(_decode_start_outcome(reply), _decode_clock_ms(reply.body))

    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Order a worker to stop a run; a later poll reports that it ended."""
        body = {"task": str(task), "run": run, "fencing_token": fencing_token}
        return _discard_body(await self._call(worker, "run-stop", body, timeout_s))

    async def set_pace(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        percent: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Order a worker to limit a run to a percentage of its full speed."""
        body = {
            "task": str(task),
            "run": run,
            "percent": percent,
            "fencing_token": fencing_token,
        }
        return _discard_body(await self._call(worker, "pace", body, timeout_s))

    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Return the runs of a worker; renew all their leases if an end is given."""
        body: dict[str, Any] = {
            "fencing_token": request.fencing_token,
            "acked_through": request.acknowledged_through,
            "wait_ms": round(1000 * request.wait_s),
        }
        if request.lease_end_ms is not None:
            body["until_ms"] = request.lease_end_ms
        # A report grows with the runs, and the reports of all workers share a link.
        reply = await self._call(worker, "hold", body, timeout_s, True)
        parsed = _parse_reply(reply)
        return parsed.map(_decode_report)

    async def _call(
        self,
        worker: WorkerAddress,
        endpoint: str,
        body: dict[str, Any],
        timeout_s: float,
        waits_while_receiving: bool = False,
    ) -> WorkerReply:
        identification = {
            "fencing_token": body["fencing_token"],
            "acked_through": 0,
            "wait_ms": 0,
        }
        return await self._connections.call(
            _make_url(worker, endpoint),
            body,
            {EXPECTED_INSTANCE_HEADER: worker.worker_id},
            timeout_s,
            worker.started_ms,
            Identification(_make_url(worker, "hold"), identification),
            waits_while_receiving,
        )


def _make_url(worker: WorkerAddress, endpoint: str) -> str:
    return f"http://{worker.address}/api/{endpoint}"


def _decode_start_outcome(reply: Reply) -> StartOutcome:
    if reply.status == 200:
        return StartOutcome.STARTED
    if reply.status == 409:
        reason = reply.body.get("reason")
        return _REFUSAL_OUTCOMES.get(str(reason), StartOutcome.INVALID)
    if reply.status == 421:
        return StartOutcome.OTHER_BOOT
    if reply.status in (429, 503):
        return StartOutcome.UNHEALTHY
    if reply.status == 400:
        return StartOutcome.INVALID
    return StartOutcome.UNKNOWN


def _parse_reply(reply: WorkerReply) -> Result[dict[str, Any], CallFailure]:
    if isinstance(reply, OtherIncarnation):
        return Err(CallFailure.RESTARTED)
    if isinstance(reply, NoIdentification):
        return Err(CallFailure.NO_ANSWER)
    if isinstance(reply, NoReply):
        return Err(
            CallFailure.DISCONNECTED if reply.was_closed else CallFailure.NO_ANSWER
        )
    if reply.status == 200:
        return Ok(reply.body)
    if reply.status == 421:
        return Err(CallFailure.OTHER_BOOT)
    if reply.status == 409 and reply.body.get("reason") == "fence":
        return Err(CallFailure.FENCED)
    return Err(CallFailure.REFUSED)


def _discard_body(reply: WorkerReply) -> Result[None, CallFailure]:
    return _parse_reply(reply).map(lambda body: None)


def _decode_clock_ms(body: dict[str, Any]) -> int | None:
    clock_ms = body.get("clock_ms")
    if not is_number(clock_ms) or not 0 <= clock_ms <= MAX_WHOLE_NUMBER:
        return None
    return int(clock_ms)


def _decode_report(body: dict[str, Any]) -> WorkerReport:
    # "born" is the time at which the worker's present incarnation started.
    clock_ms = _decode_clock_ms(body)
    # A body without the clock may be no report, and does not tell that nothing runs.
    is_report = clock_ms is not None
    try:
        started_ms = read_whole_number(body, "born")
    except ValueError:
        started_ms, is_report = 0, False
    running, has_all_running = _decode_rows(body.get("running"), _decode_running)
    ended, has_all_ended = _decode_rows(body.get("finished"), _decode_ended)
    # The rest of a full list of ends follows once its ends are acknowledged.
    is_complete = (
        is_report and has_all_running and has_all_ended and len(ended) < MAX_LISTED_ENDS
    )
    return WorkerReport(
        started_ms,
        clock_ms or 0,
        running,
        ended,
        is_complete,
    )


def _decode_rows(
    rows: object, decode_row: Callable[[list[Any]], T]
) -> tuple[tuple[T, ...], bool]:
    """Return the valid rows of a list, and whether all rows are valid."""
    if not rows:
        return (), True
    if not isinstance(rows, list):
        return (), False
    decoded = []
    for row in rows:
        try:
            decoded.append(decode_row(row))
        except DECODING_ERRORS:
            continue
    return tuple(decoded), len(decoded) == len(rows)


def _decode_task(text: object) -> TaskName:
    task = parse_task_name(text) if isinstance(text, str) else None
    if task is None:
        raise ValueError("the name of the task is invalid")
    return task


def _decode_running(row: list[Any]) -> ReportedRun:
    load = row[4] if len(row) > 4 and is_number(row[4]) else None
    progress_percent = row[3] or 0
    if not is_number(progress_percent) or abs(progress_percent) > MAX_AMOUNT:
        raise ValueError("the progress is no number, or too large")
    return ReportedRun(
        _decode_task(row[0]),
        check_whole_number(row[1]),
        _decode_checkpoint(row[2]),
        int(progress_percent),
        load,
    )


def _decode_ended(row: list[Any]) -> ReportedEnd:
    return ReportedEnd(
        check_whole_number(row[0]),
        _decode_task(row[1]),
        check_whole_number(row[2]),
        _END_KINDS[row[3]],
        _decode_checkpoint(row[4]),
    )


def _decode_checkpoint(value: object) -> str:
    if value is not None and not isinstance(value, str):
        raise ValueError("the checkpoint must be text")
    return value or ""
