"""Messages between partition owners and backend servers."""

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
    """Order that makes the sender the worker's owner if its epoch is the highest."""

    partition: str
    epoch: int


@frozen
class HeartbeatOrder:
    """Order that renews the session and the leases of the worker's tasks.

    Attributes
    ----------
    epoch : int
        Epoch of the sender.
    echo_s : float
        The last reading of the worker's clock that the sender received, in seconds.
    received_through : int
        Sequence number of the last end that the sender has received.
    acknowledged : list of str
        Ids of ended attempts that the worker may forget.
    hold_s : float
        How long the worker may delay its reply while no attempt ends, in seconds.
    """

    epoch: int
    echo_s: float
    received_through: int
    acknowledged: list[str]
    hold_s: float


@frozen
class StartOrder:
    """Order to start one attempt.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt; starting the same attempt again has no effect.
    team : str
        Team that the attempt runs for.
    resources : Resources
        Resources that the attempt uses.
    program : str
        Name of the program to run.
    payload : bytes
        Input for the program.
    valid_until_s : float
        Reading of the worker's clock, in seconds, after which the order is refused.
    """

    attempt_id: str
    team: str
    resources: Resources
    program: str
    payload: bytes
    valid_until_s: float


@frozen
class StartBatch:
    """Orders to start several attempts on one worker."""

    epoch: int
    orders: list[StartOrder]


@frozen
class StartReply:
    """Reply to one start order.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt.
    refusal : SessionRefusal or None
        Why the start was refused; None if the attempt is running or has ended.
    """

    attempt_id: str
    refusal: SessionRefusal | None


@frozen
class StartReplies:
    """Replies to start orders, one for each; empty in reply to stop orders."""

    replies: list[StartReply]


@frozen
class StopOrderMessage:
    """Order to end one attempt.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt.
    checkpoint : bool
        Whether the worker first writes a checkpoint if the program supports it.
    """

    attempt_id: str
    checkpoint: bool


@frozen
class StopBatch:
    """Orders to end several attempts on one worker."""

    epoch: int
    orders: list[StopOrderMessage]


@frozen
class EndMessage:
    """Report that an attempt ended.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt.
    end : AttemptEnd
        How the attempt ended.
    answer : bytes
        What the program returned.
    length : int
        Length of the answer in bytes.
    sha256 : str
        SHA-256 digest of the answer, in hexadecimal.
    """

    attempt_id: str
    end: AttemptEnd
    answer: bytes
    length: int
    sha256: str


@frozen
class ReportMessage:
    """A worker's reply to an adoption or a heartbeat.

    Attributes
    ----------
    clock_s : float
        Reading of the worker's clock, in seconds.
    boot_id : str
        Id that changes whenever the worker loses its record of attempts.
    leaving : bool
        Whether the worker is about to leave.
    ended_through : int
        Sequence number of the last end that this report covers; the owner sends it
        back as ``received_through`` in its next heartbeat. Numbers may begin anew with
        each boot id.
    usage : Resources
        Measured resource usage of the worker's tasks, with a delay; `NO_RESOURCES` if
        it is not measured.
    running : list of RunningAttempt
        Attempts that are running.
    ended : list of EndMessage
        Ended attempts that are not acknowledged; in the reply to a heartbeat only
        those whose end has a number above its ``received_through``.
    """

    clock_s: float
    boot_id: str
    leaving: bool
    ended_through: int
    usage: Resources = NO_RESOURCES
    running: list[RunningAttempt] = field(factory=list)
    ended: list[EndMessage] = field(factory=list)


@frozen
class RefusalMessage:
    """A worker's refusal of a call with all its orders."""

    refusal: SessionRefusal


def make_end_message(attempt_id: str, end: AttemptEnd, answer: bytes) -> EndMessage:
    """Return the message that an attempt ended, with its answer's length and digest."""
    digest = hashlib.sha256(answer).hexdigest()
    return EndMessage(attempt_id, end, answer, len(answer), digest)


def validate_report(message: ReportMessage) -> Result[WorkerReport, str]:
    """Return the report, or an error if the length or digest of an answer is wrong."""
    ended: list[EndedAttempt] = []
    for end in message.ended:
        digest = hashlib.sha256(end.answer).hexdigest()
        if len(end.answer) != end.length or digest != end.sha256:
            return Err(
                f"the answer of attempt {end.attempt_id} does not match the length"
                " or digest sent with it"
            )
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
