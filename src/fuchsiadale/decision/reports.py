"""The report of a worker about its attempts."""

from __future__ import annotations

from attrs import field, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.work import AttemptEnd


@frozen
class RunningAttempt:
    """An attempt that is running on the worker.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt.
    team : str
        Name of the team that the attempt belongs to.
    resources : Resources
        The resources that are allocated to the attempt.
    """

    attempt_id: str
    team: str
    resources: Resources


@frozen
class EndedAttempt:
    """An attempt that has ended and whose end the owner has not acknowledged yet.

    Attributes
    ----------
    attempt_id : str
        Id of the attempt.
    end : AttemptEnd
        How the attempt ended.
    answer : bytes
        What the attempt returned. The receiver has checked it against the length and
        the digest that were sent with it.
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
        Identifies the boot of the worker; it changes whenever the worker loses its
        record of attempts.
    clock_s : float
        Reading of the worker's clock at the time of the answer, in seconds.
    usage : Resources
        Measured resource usage of the tasks, which may be out of date; `NO_RESOURCES`
        if the worker does not measure it.
    leaving : bool
        Whether the worker is about to leave.
    running : tuple of RunningAttempt
        The attempts that are running.
    ended : tuple of EndedAttempt
        The attempts that have ended and are not acknowledged yet.
    ended_through : int
        Number of the last end in this report. The next heartbeat sends it back, so that
        an end is reported again only if its report was lost.
    """

    clock_s: float
    boot_id: str = ""
    usage: Resources = NO_RESOURCES
    leaving: bool = False
    running: tuple[RunningAttempt, ...] = field(default=())
    ended: tuple[EndedAttempt, ...] = field(default=())
    ended_through: int = 0
