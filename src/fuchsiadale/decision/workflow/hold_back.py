"""Holds work of workspaces with much past use back in the order of waiting work.

The load that it answers: a pool is full, and some workspaces have used far more of it
over hours than their weights. Their work is held back by a bounded time, and only while
it can still meet its objective.
"""

from __future__ import annotations

from math import inf

from attrs import Factory, define, field, frozen

from fuchsiadale.decision.past_use import PastUse

HOLD_SLACK_SHARE = 0.5
"""Share of a job's slack by which it may be held back.

The other part is left for what the forecast of its remaining work lacks.
"""


MIN_HALF_LIFE_S = 1.0
MAX_HALF_LIFE_S = 30 * 86_400.0
"""Shortest and longest finite half-life of past use, in seconds."""

MAX_HOLD_S = 86_400.0
"""Longest hold that may be set, in seconds."""


def _check_half_life(_: object, __: object, value: float) -> None:
    if value not in (0.0, inf) and not MIN_HALF_LIFE_S <= value <= MAX_HALF_LIFE_S:
        raise ValueError(
            f"the half-life must be 0, inf or from {MIN_HALF_LIFE_S:g} to"
            f" {MAX_HALF_LIFE_S:g} seconds, not {value}"
        )


def _check_hold(_: object, __: object, value: float) -> None:
    if not 0.0 <= value <= MAX_HOLD_S:
        raise ValueError(
            f"the hold must be from 0 to {MAX_HOLD_S:g} seconds, not {value}"
        )


@frozen
class PastUseSettings:
    """How past use counts.

    Attributes
    ----------
    half_life_s : float
        Seconds after which use counts by half; infinite to count all of it for ever, 0
        to count no past use.
    max_hold_s : float
        Seconds by which the work of a heavy workspace is held back at most.
    """

    half_life_s: float = field(default=0.0, validator=_check_half_life)
    max_hold_s: float = field(default=0.0, validator=_check_hold)


@define
class HoldBack:
    """Tells by how much work is held back for past use.

    Attributes
    ----------
    past_use : PastUse
        What the workspaces have used.
    max_hold_s : float
        Seconds by which work is held back at most.
    """

    past_use: PastUse = Factory(PastUse)
    max_hold_s: float = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether past use has an effect."""
        return self.past_use.is_enabled and self.max_hold_s > 0.0

    def apply_settings(self, settings: PastUseSettings) -> None:
        """Count past use from now on as the settings say."""
        self.max_hold_s = settings.max_hold_s
        self.past_use.change_half_life(settings.half_life_s if self.max_hold_s else 0.0)

    def hold_s(self, workspace: str, slack_s: float, is_infeasible: bool) -> float:
        """Return by how much work of a workspace is held back in the order.

        Parameters
        ----------
        workspace : str
            The workspace.
        slack_s : float
            Seconds by which the work may wait and still meet its objective, after the
            longest task that might start in its place.
        is_infeasible : bool
            Whether the work can no longer meet its objective.

        Returns
        -------
        hold_s : float
            Seconds to add to the deadline that it is ordered by.
        """
        heaviness = self.past_use.heaviness_of(workspace)
        if not heaviness:
            return 0.0
        longest_s = self.max_hold_s
        if not is_infeasible:
            longest_s = min(longest_s, max(0.0, HOLD_SLACK_SHARE * slack_s))
        return heaviness * longest_s
