"""Bounds on the leases that a worker may hold, and the runs given up with them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.workflow.names import TaskName


@define(eq=False)
class WorkerLeases:
    """When the leases of all runs on a worker have certainly ended.

    Times are in seconds on the event loop's clock, and include the time that the worker
    takes to end the runs.

    Attributes
    ----------
    granted_end_s : float
        End of the last lease that this owner may have granted.
    inherited_end_s : float
        The same for a previous owner; 0 once the worker answers.
    misdated_end_s : float
        End of the last lease that an order for another incarnation of the worker may
        have granted. Its end is a reading of that incarnation's clock, which may lie
        far ahead on the clock of this one; the worker shortens it to its longest lease.
    """

    granted_end_s: float = 0.0
    inherited_end_s: float = 0.0
    misdated_end_s: float = 0.0
    _recorded_misdated_end_s: float = 0.0
    _lapsed_runs: set[tuple[TaskName, int]] = Factory(set)
    _known_starts_ms: set[int] = Factory(set)

    @property
    def end_s(self) -> float:
        """When all runs have certainly ended if the worker answers no more."""
        return max(self.granted_end_s, self.inherited_end_s, self.misdated_end_s)

    @property
    def is_record_stale(self) -> bool:
        """Whether the store tells of an earlier end of misdated leases."""
        return self._recorded_misdated_end_s < self.misdated_end_s

    def note_recorded(self, misdated_end_s: float) -> None:
        """Note the end of misdated leases that the store tells; 0 for none."""
        self._recorded_misdated_end_s = misdated_end_s

    def extend(self, end_s: float) -> None:
        """Note that a lease that ends at a time may have been granted."""
        self.granted_end_s = max(self.granted_end_s, end_s)

    def extend_misdated(self, end_s: float) -> None:
        """Note that an order for another incarnation may have granted a lease."""
        self.misdated_end_s = max(self.misdated_end_s, end_s)

    def bound_inherited(self, end_s: float) -> None:
        """Note that the leases of previous owners have ended at a time."""
        self.inherited_end_s = min(self.inherited_end_s, end_s)

    def note_registered_start(self, registered_ms: int, answered_ms: int) -> bool:
        """Note which incarnation of the worker its registration names.

        Parameters
        ----------
        registered_ms : int
            Start of that incarnation, in Unix milliseconds; 0 if not given.
        answered_ms : int
            Start of the incarnation that last answered; 0 before the first answer.

        Returns
        -------
        is_unseen : bool
            Whether this is the first sign of an incarnation that follows another one.
        """
        is_new = registered_ms not in self._known_starts_ms
        self._known_starts_ms |= {0, registered_ms, answered_ms}
        return is_new and answered_ms not in (0, registered_ms)

    def earliest_start_after(self, former_ms: int, answered_ms: int) -> int:
        """Return the first known start of an incarnation that followed another one.

        Parameters
        ----------
        former_ms : int
            Start of the former incarnation, in Unix milliseconds.
        answered_ms : int
            Start of the one that answers now, in Unix milliseconds.
        """
        known_ms = self._known_starts_ms
        return min([answered_ms, *(item for item in known_ms if item > former_ms)])

    def resume(self, former: WorkerLeases) -> None:
        """Take over what is known from when the worker was tracked before."""
        self._known_starts_ms |= former._known_starts_ms
        self.extend_misdated(former.misdated_end_s)

    def note_lapsed(self, runs: Iterable[tuple[TaskName, int]]) -> None:
        """Note the runs that count as ended because the leases have."""
        self._lapsed_runs.update(runs)

    def note_answer(self) -> None:
        """Forget the runs that counted as ended, as the worker has listed its runs."""
        self._lapsed_runs.clear()

    def has_lapsed(self, task: TaskName, run: int) -> bool:
        """Return whether a run counted as ended when the worker last answered."""
        return (task, run) in self._lapsed_runs
