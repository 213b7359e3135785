"""Tells which runs may have crashed a worker, from when it was lost."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from attrs import frozen

from fuchsiadale.decision.workflow.attempts import CRASH_AT_START_S
from fuchsiadale.decision.workflow.jobs import Run


class CrashTiming(Enum):
    """When a worker crashed, seen from one of its runs.

    Attributes
    ----------
    AT_START
        The run had just started.
    UNCERTAIN
        The run may have just started, or not at all.
    LATE
        The run had outlived its start.
    """

    AT_START = "at_start"
    UNCERTAIN = "uncertain"
    LATE = "late"


@frozen
class CrashSuspect:
    """A run that may have crashed its worker.

    Attributes
    ----------
    run : Run
        The run.
    timing : CrashTiming
        When the worker crashed, seen from the run.
    age_s : float or None
        Time from when the run began to work to the loss of the worker, in seconds; None
        if it is not known to have begun.
    is_fresh : bool
        Whether the run had just begun, or its start had just been left unanswered, so
        that it may well be the cause.
    lease_ended_s : float or None
        When the run's lease had certainly ended, on the event loop's clock; None if it
        had not when the worker was found to have restarted.
    closed_s : float or None
        When a connection to the worker was closed or refused while it did not answer,
        on the event loop's clock, so that its process had ended; None if none was.
    """

    run: Run
    timing: CrashTiming
    age_s: float | None
    is_fresh: bool
    lease_ended_s: float | None = None
    closed_s: float | None = None

    @property
    def has_lapsed(self) -> bool:
        """Whether the run's lease has lapsed since the worker was lost."""
        return self.lease_ended_s is not None

    def has_ended_before(self, started_s: float | None) -> bool:
        """Return whether the run's lease has certainly ended it before a restart.

        Parameters
        ----------
        started_s : float or None
            When the worker's next incarnation started, on the event loop's clock; None
            if it is not known.
        """
        if self.lease_ended_s is None or started_s is None:
            return False
        # A process that ended within the lease may have needed long to start again.
        was_closed = self.closed_s is not None and self.closed_s < self.lease_ended_s
        return started_s >= self.lease_ended_s and not was_closed


@frozen
class WorkerCrash:
    """A certain crash of a worker.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    address : str
        Address of the worker.
    lost_s : float or None
        When the worker was lost, on the event loop's clock; None if it is not known.
    suspects : tuple of CrashSuspect
        Runs that may have caused the crash.
    """

    worker_id: str
    address: str
    lost_s: float | None
    suspects: tuple[CrashSuspect, ...]


def estimate_loss_s(runs: Iterable[Run], now_s: float, last_contact_s: float) -> float:
    """Return when a worker was lost that is found to be lost now.

    Parameters
    ----------
    runs : iterable of Run
        Runs that may have been present on the worker.
    now_s : float
        The time on the event loop's clock.
    last_contact_s : float
        When it last answered, on the event loop's clock.
    """
    unanswered_s = (run.unanswered_s for run in runs if run.unanswered_s is not None)
    return min((s for s in unanswered_s if s > last_contact_s), default=now_s)


def find_crash_suspects(
    runs: Iterable[Run], lost_s: float, last_contact_s: float, earliest_loss_s: float
) -> tuple[CrashSuspect, ...]:
    """Return the runs that may have crashed a worker.

    Runs that last are no suspects once they have outlived their start: they have no
    end of their own, and would be suspected of each crash.

    Parameters
    ----------
    runs : iterable of Run
        Runs that may have been present on the worker.
    lost_s : float
        When the worker was lost, on the event loop's clock.
    last_contact_s : float
        When it last answered, on the event loop's clock.
    earliest_loss_s : float
        From when it may have been lost without being noticed.
    """
    suspects = []
    for run in runs:
        if run.sent_s is None and not run.is_inherited:
            continue
        suspect = _make_suspect(run, lost_s, last_contact_s, earliest_loss_s)
        is_lasting = run.task.step.specification.is_lasting
        if not (is_lasting and suspect.timing is CrashTiming.LATE):
            suspects.append(suspect)
    return tuple(suspects)


def _make_suspect(
    run: Run, lost_s: float, last_contact_s: float, earliest_loss_s: float
) -> CrashSuspect:
    began_s = run.began_s if run.has_started else None
    if run.has_outlived_start:
        age_s = None if began_s is None else lost_s - began_s
        return CrashSuspect(run, CrashTiming.LATE, age_s, False)
    if run.is_inherited:
        return CrashSuspect(run, CrashTiming.UNCERTAIN, None, True)
    if began_s is None:
        unanswered_s = run.unanswered_s
        is_fresh = (
            unanswered_s is None or earliest_loss_s - unanswered_s <= CRASH_AT_START_S
        )
        return CrashSuspect(run, CrashTiming.UNCERTAIN, None, is_fresh)
    age_s = lost_s - began_s
    if 0.0 <= age_s <= CRASH_AT_START_S:
        return CrashSuspect(run, CrashTiming.AT_START, age_s, True)
    if age_s < 0.0 or last_contact_s - began_s < CRASH_AT_START_S:
        is_fresh = earliest_loss_s - began_s <= CRASH_AT_START_S
        return CrashSuspect(run, CrashTiming.UNCERTAIN, age_s, is_fresh)
    return CrashSuspect(run, CrashTiming.LATE, age_s, False)
