"""Tells for how long steps have waited, and when reservations no longer hold them.

A reservation keeps room idle for a step that will start by a known time, which may be
far. On a half-free pool no step may be kept from all service for that long, and a
lasting task that lost its run has to run again however full the pool is.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define

from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.decision.workflow.ordering import WaitingStep
from fuchsiadale.decision.workflow.usable_workers import UsablePool

MAX_HOLD_S = 1.5
"""Seconds for which reservations keep an idle step from room on a half-free pool.

Users want work to run within 3 s there; a call for advice and a start take a second.
"""

MAX_LASTING_HOLD_S = 6.0
"""Seconds without a run after which reservations no longer hold a lasting task."""


@define
class WaitingTimes:
    """Since when each step waits, by the last plans that placed no task of it.

    Times are on the event loop's clock. A step that a plan has placed a task of starts
    anew.
    """

    _since_s: dict[StepName, float] = Factory(dict)

    def waited_s(self, step: StepName, now_s: float) -> float:
        """Return the time in seconds since no task of a step could be placed."""
        return now_s - self._since_s.get(step, now_s)

    def update(self, unplaced: Iterable[StepName], now_s: float) -> None:
        """Note all steps that wait after a plan which has placed no task of them."""
        self._since_s = {step: self._since_s.get(step, now_s) for step in unplaced}

    def may_pass_reservations(
        self, waiting: WaitingStep, pool: UsablePool, now_s: float
    ) -> bool:
        """Tell whether reservations have kept a step from room for too long.

        Parameters
        ----------
        waiting : WaitingStep
            The step.
        pool : UsablePool
            The workers of its pool.
        now_s : float
            The time on the loop's clock.
        """
        if waiting.is_overdue:
            return waiting.lasting_wait_s >= MAX_LASTING_HOLD_S
        return (
            waiting.step.is_idle
            and self.waited_s(waiting.step.name, now_s) >= MAX_HOLD_S
            and pool.is_still_half_free()
        )
