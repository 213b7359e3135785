"""What is known of the end of a run, and what that says about its task.

All that decides whether an end counts against a task is kept in `RunEnd`; its cause
follows from these facts alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from attrs import frozen

from fuchsiadale.decision.workflow.attempts import CRASH_AT_START_S
from fuchsiadale.decision.workflow.jobs import Run
from fuchsiadale.decision.workflow.messages import EndKind


class RunEndCause(Enum):
    """What the end of a run says about its task.

    Attributes
    ----------
    OWN_FAULT
        The worker lists the run as failed.
    PROVEN_CRASH
        The worker has crashed when the run had just started there, and while its lease
        held.
    POSSIBLE_CRASH
        The worker has crashed. The run may have just started, or not at all, or may
        have ended with its lease before.
    NO_CRASH
        The worker did not crash under the run, or for a reason outside.
    """

    OWN_FAULT = "own_fault"
    PROVEN_CRASH = "proven_crash"
    POSSIBLE_CRASH = "possible_crash"
    NO_CRASH = "no_crash"


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
class RunEnd:
    """What is known of a run that has ended, or may have with its worker.

    Times in seconds are on the event loop's clock.

    Attributes
    ----------
    run : Run
        The run.
    timing : CrashTiming
        When the worker was lost, seen from the run.
    age_s : float or None
        Time from when the run began to work to the loss of the worker, in seconds; None
        if it is not known to have begun.
    is_fresh : bool
        Whether the run had just begun, or its start had just been left unanswered, so
        that it may well be the cause.
    listed : EndKind or None
        How a worker lists the end; None if it does not.
    lease_ended_s : float or None
        When the run's lease had certainly ended; None if it had not when the worker was
        found to have restarted.
    closed_s : float or None
        When a connection to the worker was closed or refused while it did not answer,
        so that its process had ended; None if none was.
    next_start_s : float or None
        When the next incarnation of the worker started, by its own time of day; None if
        it is not known.
    has_unexplained_losses : bool
        Whether another worker was lost at the same moment, though no run can be the
        cause there.
    """

    run: Run
    timing: CrashTiming = CrashTiming.UNCERTAIN
    age_s: float | None = None
    is_fresh: bool = False
    listed: EndKind | None = None
    lease_ended_s: float | None = None
    closed_s: float | None = None
    next_start_s: float | None = None
    has_unexplained_losses: bool = False

    @property
    def has_lapsed(self) -> bool:
        """Whether the run's lease has lapsed since the worker was lost."""
        return self.lease_ended_s is not None

    @property
    def is_at_start(self) -> bool:
        """Whether the run had certainly just started when the worker was lost."""
        return self.timing is CrashTiming.AT_START and not self.has_unexplained_losses

    @property
    def cause(self) -> RunEndCause:
        """What the end says about the run's task, if the worker has restarted."""
        if self.listed is not None:
            is_failed = self.listed is EndKind.FAILED
            return RunEndCause.OWN_FAULT if is_failed else RunEndCause.NO_CRASH
        if self.has_ended_before_restart:
            return RunEndCause.NO_CRASH
        if self.has_unexplained_losses:
            # Many crashes of another cause must not hide a task that crashes workers.
            is_suspect = self.is_fresh and self.run.task.is_suspect
            return RunEndCause.POSSIBLE_CRASH if is_suspect else RunEndCause.NO_CRASH
        if self.is_at_start and not self.has_lapsed:
            return RunEndCause.PROVEN_CRASH
        if self.timing is CrashTiming.LATE and self._is_late_crash_excluded:
            return RunEndCause.NO_CRASH
        return RunEndCause.POSSIBLE_CRASH

    @property
    def has_ended_before_restart(self) -> bool:
        """Whether the lease has certainly ended the run before the worker restarted."""
        if self.lease_ended_s is None or self.next_start_s is None:
            return False
        # A process that ended within the lease may have needed long to start again.
        was_closed = self.closed_s is not None and self.closed_s < self.lease_ended_s
        return self.next_start_s >= self.lease_ended_s and not was_closed

    @property
    def _is_late_crash_excluded(self) -> bool:
        """Whether the run had outlived its start, so that no crash is put down to it.

        Runs that last have no end of their own, and would be suspected of each crash.
        """
        return self.age_s is None or self.run.task.step.specification.is_lasting


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
    ends : tuple of RunEnd
        Ends of the runs that may have been present.
    """

    worker_id: str
    address: str
    lost_s: float | None
    ends: tuple[RunEnd, ...]


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


def collect_run_ends(
    runs: Iterable[Run], lost_s: float, last_contact_s: float, earliest_loss_s: float
) -> tuple[RunEnd, ...]:
    """Return what is known of the runs of a worker that was lost.

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
    return tuple(
        _make_run_end(run, lost_s, last_contact_s, earliest_loss_s)
        for run in runs
        if run.sent_s is not None or run.is_inherited
    )


def _make_run_end(
    run: Run, lost_s: float, last_contact_s: float, earliest_loss_s: float
) -> RunEnd:
    began_s = run.began_s if run.has_started else None
    if run.has_outlived_start:
        age_s = None if began_s is None else lost_s - began_s
        return RunEnd(run, CrashTiming.LATE, age_s)
    if run.is_inherited:
        return RunEnd(run, is_fresh=True)
    if began_s is None:
        unanswered_s = run.unanswered_s
        is_fresh = (
            unanswered_s is None or earliest_loss_s - unanswered_s <= CRASH_AT_START_S
        )
        return RunEnd(run, is_fresh=is_fresh)
    age_s = lost_s - began_s
    if 0.0 <= age_s <= CRASH_AT_START_S:
        return RunEnd(run, CrashTiming.AT_START, age_s, True)
    if age_s < 0.0 or last_contact_s - began_s < CRASH_AT_START_S:
        is_fresh = earliest_loss_s - began_s <= CRASH_AT_START_S
        return RunEnd(run, CrashTiming.UNCERTAIN, age_s, is_fresh)
    return RunEnd(run, CrashTiming.LATE, age_s)
