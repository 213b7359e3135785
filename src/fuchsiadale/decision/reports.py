"""What a worker reports about its attempts."""

from __future__ import annotations

from attrs import field, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.work import AttemptEnd


@frozen
class RunningAttempt:
    """An attempt that runs on the worker."""

    attempt_id: str
    team: str
    resources: Resources


@frozen
class EndedAttempt:
    """An attempt that ended and is not yet acknowledged.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    end : AttemptEnd
        How it ended.
    answer : bytes
        What it returned, checked against the length and digest sent with it.
    """

    attempt_id: str
    end: AttemptEnd
    answer: bytes = b""


@frozen
class WorkerReport:
    """A worker's answer to an adoption or a heartbeat.

    Attributes
    ----------
    boot_id : str
        Changes whenever the worker lost its memory of attempts.
    clock_s : float
        Reading of the worker's clock when it answered.
    usage : Resources
        What its tasks really take, measured with a lag; nothing if not measured.
    leaving : bool
        Whether the worker is about to leave.
    running : tuple of RunningAttempt
        What runs there.
    ended : tuple of EndedAttempt
        What ended and is not yet acknowledged.
    ended_through : int
        Number of the last end that is reported; sent back with the next heartbeat, so
        that an end is reported again only if its report was lost.
    """

    clock_s: float
    boot_id: str = ""
    usage: Resources = NO_RESOURCES
    leaving: bool = False
    running: tuple[RunningAttempt, ...] = field(default=())
    ended: tuple[EndedAttempt, ...] = field(default=())
    ended_through: int = 0
