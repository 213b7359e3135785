"""What earlier runs of a task tell: failures, and crashes of their workers."""

from __future__ import annotations

from attrs import frozen

RECENT_START_S = 0.5
"""Seconds from the start of a run within which a crash of its worker is put down to it.

A slow owner needs a tenth of a second to learn of the crash.
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
class CrashHistory:
    """Crashes of workers that a task may have caused.

    Attributes
    ----------
    addresses : tuple of str
        Address of the worker, for each crash.
    runs : tuple of int
        Number of the run, for each crash. A crash may be confirmed after that of a
        later run, and is not counted twice.
    confirmed_runs : tuple of int
        Numbers of those runs that had started before the crash, as the worker had
        confirmed. The worker may have crashed before the order for another reached it.
    """

    addresses: tuple[str, ...] = ()
    runs: tuple[int, ...] = ()
    confirmed_runs: tuple[int, ...] = ()

    @property
    def confirmed_addresses(self) -> tuple[str, ...]:
        """Address of the worker, for each crash under a run that had started."""
        return tuple(
            address
            for address, run in zip(self.addresses, self.runs, strict=True)
            if run in self.confirmed_runs
        )

    def with_crash(
        self, run_number: int, address: str, is_confirmed: bool
    ) -> CrashHistory:
        """Return the history with a crash added, unless the run was counted before."""
        if run_number in self.runs:
            return self
        confirmed = (run_number,) if is_confirmed else ()
        return CrashHistory(
            (*self.addresses, address),
            (*self.runs, run_number),
            (*self.confirmed_runs, *confirmed),
        )
