"""Spreads calls for advice over the cell's machines.

The service answers one call of a machine at a time, so each machine is a lane.
"""

from __future__ import annotations

import asyncio

from eliot import log_message

from fuchsiadale.decision.workflow.messages import RequestAdvice
from fuchsiadale.ports.task_workers import Advice, AdviceClient

ANSWER_FACTOR = 2.0
"""Times its cost that an answer may take; the service is at times slow."""

ANSWER_MARGIN_S = 0.6
"""Further seconds for the way; a hundred times the usual."""

LANE_PAUSE_S = 1.0
"""Seconds for which a lane without an answer is not used."""


class AdvicePool:
    """Gives each call to an idle lane.

    Parameters
    ----------
    local : AdviceClient
        This process's own lane.
    """

    def __init__(self, local: AdviceClient) -> None:
        self._advisors: dict[str, AdviceClient] = {"": local}
        self._busy: set[str] = set()
        self._paused_until_s: dict[str, float] = {}

    @property
    def usable_lane_count(self) -> int:
        """Calls that can be under way at once."""
        return len(self._advisors) - len(self._paused())

    def set_peers(self, advisors: dict[str, AdviceClient]) -> None:
        """Use these peers' lanes beside this process's own."""
        self._advisors = {"": self._advisors[""], **advisors}

    async def request_advice(self, order: RequestAdvice) -> Advice | None:
        """Return the advice, or None if none came."""
        lane = self._idle_lane()
        if lane is None:
            return None
        self._busy.add(lane)
        try:
            timeout_s = ANSWER_FACTOR * order.expected_duration_s + ANSWER_MARGIN_S
            advice = await self._advisors[lane].request_advice(
                order.step, order.worker_ids, timeout_s
            )
        finally:
            self._busy.discard(lane)
        if advice is None:
            until_s = asyncio.get_running_loop().time() + LANE_PAUSE_S
            self._paused_until_s[lane] = until_s
            log_message("advice_unanswered", lane=lane, step=str(order.step))
        return advice

    def _idle_lane(self) -> str | None:
        unusable = self._busy | self._paused()
        idle = [lane for lane in self._advisors if lane not in unusable]
        return idle[-1] if idle else None

    def _paused(self) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        return {
            lane
            for lane in self._advisors
            if self._paused_until_s.get(lane, 0.0) > now_s
        }
