"""Spreads calls to the advice service over the machines of a cell.

The service answers one call of each machine at a time. Each machine is therefore a
lane, which carries one call at a time.
"""

from __future__ import annotations

import asyncio

from eliot import log_message

from fuchsiadale.decision.workflow.messages import RequestAdvice
from fuchsiadale.ports.task_workers import Advice, AdviceClient

REPLY_TIME_FACTOR = 2.0
"""Factor by which a call may exceed its expected time; the service is at times slow."""

NETWORK_MARGIN_S = 0.6
"""Part of a call's timeout in seconds; 100 times the usual network time."""

LANE_PAUSE_S = 1.0
"""Time for which a lane is not used after a call without a successful reply, in s."""


class AdvicePool:
    """Sends each call to the advice service through an idle lane.

    Parameters
    ----------
    local_client : AdviceClient
        Client for the lane of this process's own machine.
    """

    def __init__(self, local_client: AdviceClient) -> None:
        # The lane of this process's own machine has the empty name.
        self._clients: dict[str, AdviceClient] = {"": local_client}
        self._busy_lanes: set[str] = set()
        self._paused_until_s: dict[str, float] = {}

    @property
    def lane_count(self) -> int:
        """Number of idle and busy lanes that are not paused.

        It is the maximum number of concurrent calls.
        """
        return len(self._clients) - len(self._paused_lanes())

    def set_peers(self, clients: dict[str, AdviceClient]) -> None:
        """Replace the clients of the peers' lanes; keys are the peers' addresses."""
        self._clients = {"": self._clients[""], **clients}

    async def ask(self, order: RequestAdvice) -> Advice | None:
        """Return the advice, or None without an idle lane or a successful reply."""
        lane = self._find_idle_lane()
        if lane is None:
            return None
        self._busy_lanes.add(lane)
        try:
            timeout_s = REPLY_TIME_FACTOR * order.expected_duration_s + NETWORK_MARGIN_S
            advice = await self._clients[lane].request_advice(
                order.step, order.worker_ids, timeout_s
            )
        finally:
            self._busy_lanes.discard(lane)
        if advice is None:
            until_s = asyncio.get_running_loop().time() + LANE_PAUSE_S
            self._paused_until_s[lane] = until_s
            log_message("advice_unanswered", lane=lane, step=str(order.step))
        return advice

    def _find_idle_lane(self) -> str | None:
        unavailable_lanes = self._busy_lanes | self._paused_lanes()
        idle_lanes = [lane for lane in self._clients if lane not in unavailable_lanes]
        return idle_lanes[-1] if idle_lanes else None

    def _paused_lanes(self) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        return {
            lane
            for lane in self._clients
            if self._paused_until_s.get(lane, 0.0) > now_s
        }
