"""What earlier runs of a task tell: failures, and crashes of their workers."""

from __future__ import annotations

from collections.abc import Collection

from attrs import evolve, frozen

RECENT_START_S = 0.5
"""Seconds from the start of a run for which its worker is watched for a crash.

Meanwhile no task of another job starts beside a task that may crash workers.
"""

CRASH_AT_START_S = 0.2
"""Seconds from the start of a run within which a crash of its worker is put down to it.

A slow owner needs a tenth of a second to learn of the crash.
"""

LATE_CRASH_TOLERANCE_S = 0.2
"""Seconds by which the ages of a task's runs at crashes that it causes may differ."""

MAX_LATE_CRASHES = 4
"""Number of late crashes that are kept of a task."""


MIN_CRASHED_WORKERS = 2
"""Workers that crashed when they had started a task, from which its job is given up if
only its tasks can be the cause, and none of the workers was found to have crashed only
after the lease of its runs had lapsed.
"""

MAX_CRASHED_WORKERS = 3
"""Workers that crashed so from which the job is given up in any case.

Also the number of workers that crashed under a task at the same age of its runs.
"""

MAX_CRASHES = 4
"""Crashes from which it is given up even if the same worker crashed each time, or if no
run of the task is known to have started: one that crashes its worker at once never is.

One of them at least must be of a run that the owner has started itself: crashes while
there is no owner cannot be compared with others at the same moment.
"""

MAX_AMBIGUOUS_CRASHES = 5
"""Crashes from which it is given up even if the last worker may as well have crashed
by a run of another job, and its own run was confirmed before. Also with those that
were not counted, if two were, one of them with proof.

One more start would break the platform's bound for tasks that crash workers.
"""


@frozen
class FailureCount:
    """Number of failed runs, and the number of the last run counted.

    A worker may report an end again after it was recorded; the number of the last
    run counted keeps that end from being counted twice.
    """

    count: int = 0
    last_run: int = 0

    def with_failure(self, run_number: int) -> FailureCount:
        """Return the count with a failed run added, unless it was already counted."""
        return (
            FailureCount(self.count + 1, run_number)
            if run_number > self.last_run
            else self
        )


@frozen
class LateCrash:
    """A crash of the worker of a run that had been at work for some time.

    Attributes
    ----------
    run : int
        Number of the run.
    address : str
        Address of the worker.
    age_s : float
        Time from the run's confirmation to the loss of the worker, in seconds.
    """

    run: int
    address: str
    age_s: float


@frozen
class CrashHistory:
    """Crashes of workers that a task may have caused.

    Attributes
    ----------
    addresses : tuple of str
        Address of the worker, for each crash under a run that is not known to have
        outlived its start.
    runs : tuple of int
        Number of the run, for each such crash. A crash may be confirmed after that of
        a later run, and is not counted twice.
    at_start : tuple of int
        Numbers of those runs that had certainly just started before the crash. The
        worker may have crashed before the order for another reached it, or long after.
    inherited : tuple of int
        Numbers of those runs that an earlier owner had started, and that this one has
        not seen at work.
    lapsed : tuple of int
        Numbers of those runs whose lease had lapsed before the crash was found, so that
        the worker may have restarted after their end.
    late : tuple of LateCrash
        Last crashes under runs that had outlived their start.
    excused : tuple of int
        Numbers of the last runs whose crash was not counted, as another worker was lost
        at the same moment, though nothing had just started there.
    """

    addresses: tuple[str, ...] = ()
    runs: tuple[int, ...] = ()
    at_start: tuple[int, ...] = ()
    inherited: tuple[int, ...] = ()
    lapsed: tuple[int, ...] = ()
    late: tuple[LateCrash, ...] = ()
    excused: tuple[int, ...] = ()

    @property
    def workers_at_start(self) -> frozenset[str]:
        """Addresses of the workers that crashed when a run had just started."""
        return frozenset(
            address
            for address, run in zip(self.addresses, self.runs, strict=True)
            if run in self.at_start
        )

    @property
    def proven_workers_at_start(self) -> frozenset[str]:
        """Addresses of those workers of which it is certain that they crashed then."""
        return self._with_runs(set(self.runs) - set(self.lapsed)).workers_at_start

    @property
    def similar_late_crashes(self) -> tuple[LateCrash, ...]:
        """Late crashes under runs that were as old as at the newest late crash."""
        return tuple(
            crash
            for crash in self.late
            if abs(crash.age_s - self.late[-1].age_s) <= LATE_CRASH_TOLERANCE_S
        )

    def must_be_given_up(self, is_one_job: bool, is_ambiguous: bool) -> bool:
        """Tell whether the task has crashed so many workers that its job has to end.

        Parameters
        ----------
        is_one_job : bool
            Whether only runs of its job may have caused the last crash.
        is_ambiguous : bool
            Whether runs of other jobs may have caused the last crash, too, and the run
            of the task was confirmed.
        """
        late = self.similar_late_crashes
        has_own_run = len(self.inherited) < len(self.runs)
        max_crashes = MAX_AMBIGUOUS_CRASHES if is_ambiguous else MAX_CRASHES
        all_runs = {*self.runs, *self.excused}
        proven = self.proven_workers_at_start
        is_proven_again = bool(proven) and len(self.runs) >= MIN_CRASHED_WORKERS
        return (
            (is_one_job and len(proven) >= MIN_CRASHED_WORKERS)
            or len(self.workers_at_start) >= MAX_CRASHED_WORKERS
            or (len(self.runs) >= max_crashes and has_own_run)
            or (len(all_runs) >= MAX_AMBIGUOUS_CRASHES and is_proven_again)
            or len({crash.address for crash in late}) >= MAX_CRASHED_WORKERS
            or len(late) >= MAX_CRASHES
        )

    def with_crash(
        self,
        run_number: int,
        address: str,
        is_at_start: bool,
        is_inherited: bool = False,
        has_lapsed: bool = False,
    ) -> CrashHistory:
        """Return the history with a crash added, unless the run was counted before."""
        lapsed = (*self.lapsed, run_number) if has_lapsed else self.lapsed
        if run_number in self.runs:
            if not is_at_start or run_number in self.at_start:
                return self
            at_start = (*self.at_start, run_number)
            return evolve(self, at_start=at_start, lapsed=lapsed)
        return evolve(
            self,
            addresses=(*self.addresses, address),
            runs=(*self.runs, run_number),
            at_start=(*self.at_start, run_number) if is_at_start else self.at_start,
            inherited=(*self.inherited, run_number) if is_inherited else self.inherited,
            lapsed=lapsed,
        )

    def with_excused(self, run_number: int) -> CrashHistory:
        """Return the history with a crash kept that is not counted."""
        if run_number in self.excused:
            return self
        excused = (*self.excused, run_number)[-MAX_AMBIGUOUS_CRASHES:]
        return evolve(self, excused=excused)

    def with_late_crash(self, crash: LateCrash) -> CrashHistory:
        """Return the history with a late crash added, unless its run was counted."""
        if any(other.run == crash.run for other in self.late):
            return self
        return evolve(self, late=(*self.late, crash)[-MAX_LATE_CRASHES:])

    def without_crashes_up_to(self, run_number: int) -> CrashHistory:
        """Return the history without crashes of runs up to one that did not crash."""
        return evolve(
            self._with_runs([run for run in self.runs if run > run_number]),
            excused=tuple(run for run in self.excused if run > run_number),
        )

    def without_crash(self, run_number: int) -> CrashHistory:
        """Return the history without the crash that was put down to a run."""
        return evolve(
            self._with_runs([run for run in self.runs if run != run_number]),
            late=tuple(crash for crash in self.late if crash.run != run_number),
            excused=tuple(run for run in self.excused if run != run_number),
        )

    def _with_runs(self, kept: Collection[int]) -> CrashHistory:
        """Return the history with only some of the runs that it counts."""
        counted = [
            (address, run)
            for address, run in zip(self.addresses, self.runs, strict=True)
            if run in kept
        ]
        return evolve(
            self,
            addresses=tuple(address for address, _ in counted),
            runs=tuple(run for _, run in counted),
            at_start=tuple(run for run in self.at_start if run in kept),
            inherited=tuple(run for run in self.inherited if run in kept),
            lapsed=tuple(run for run in self.lapsed if run in kept),
        )
