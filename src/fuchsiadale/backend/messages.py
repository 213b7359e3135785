"""Messages to and from backend servers."""

from __future__ import annotations

import hashlib

from attrs import field, frozen
from result import Err, Ok, Result

from fuchsiadale.decision.reports import (
    EndedAttempt,
    RunningAttempt,
    WorkerReport,
)
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.session import SessionRefusal
from fuchsiadale.decision.work import AttemptEnd


@frozen
class AdoptOrder:
    """Makes the sender the worker's owner if its epoch is the highest."""

    partition: str
    epoch: int


@frozen
class HeartbeatOrder:
    """Renews the session and the leases of the worker's tasks.

    Attributes
    ----------
    epoch : int
        The sender's epoch.
    echo_s : float
        The last reading of the worker's clock that the sender received.
    received_through : int
        Number of the last end that the sender received.
    acknowledged : list of str
        Ended attempts that the worker may forget.
    hold_s : float
        Seconds for which the worker may keep the call open while nothing ends.
    """

    epoch: int
    echo_s: float
    received_through: int
    acknowledged: list[str]
    hold_s: float


@frozen
class StartOrder:
    """Starts one attempt.

    Attributes
    ----------
    attempt_id : str
        The attempt; a repeated start of one attempt has no effect.
    team : str
        The team it runs for.
    resources : Resources
        What it takes.
    program : str
        Name of the program.
    payload : bytes
        Input of the program.
    valid_until_s : float
        Reading of the worker's clock after which the order has no effect.
    """

    attempt_id: str
    team: str
    resources: Resources
    program: str
    payload: bytes
    valid_until_s: float


@frozen
class StartBatch:
    """Starts several attempts on one worker."""

    epoch: int
    orders: list[StartOrder]


@frozen
class StartReply:
    """Tells of one start: None if the attempt runs or already ended."""

    attempt_id: str
    refusal: SessionRefusal | None


@frozen
class StartReplies:
    """Answers a batch of starts, one by one."""

    replies: list[StartReply]


@frozen
class StopOrderMessage:
    """Ends one attempt."""

    attempt_id: str
    checkpoint: bool


@frozen
class StopBatch:
    """Ends several attempts on one worker."""

    epoch: int
    orders: list[StopOrderMessage]


@frozen
class EndMessage:
    """An attempt's end, with the length and digest of its answer."""

    attempt_id: str
    end: AttemptEnd
    answer: bytes
    length: int
    sha256: str


@frozen
class ReportMessage:
    """A worker's answer to an adoption or a heartbeat."""

    clock_s: float
    boot_id: str
    leaving: bool
    ended_through: int
    usage: Resources = NO_RESOURCES
    running: list[RunningAttempt] = field(factory=list)
    ended: list[EndMessage] = field(factory=list)


@frozen
class RefusalMessage:
    """A worker's refusal of a whole call."""

    refusal: SessionRefusal


def make_end_message(attempt_id: str, end: AttemptEnd, answer: bytes) -> EndMessage:
    """Return the message of an end, with the answer's length and digest."""
    digest = hashlib.sha256(answer).hexdigest()
    return EndMessage(attempt_id, end, answer, len(answer), digest)


def validate_report(message: ReportMessage) -> Result[WorkerReport, str]:
    """Return a report whose answers are whole, or what is wrong with one."""
    ended: list[EndedAttempt] = []
    for end in message.ended:
        digest = hashlib.sha256(end.answer).hexdigest()
        if len(end.answer) != end.length or digest != end.sha256:
            return Err(f"answer of attempt {end.attempt_id} is not whole")
        ended.append(EndedAttempt(end.attempt_id, end.end, end.answer))
    report = WorkerReport(
        clock_s=message.clock_s,
        boot_id=message.boot_id,
        usage=message.usage,
        leaving=message.leaving,
        running=tuple(message.running),
        ended=tuple(ended),
        ended_through=message.ended_through,
    )
    return Ok(report)
