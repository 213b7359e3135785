"""Client of the platform's advice service."""

from __future__ import annotations

from typing import Any

from eliot import log_message

from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.platform.http import HttpClient, NoReply
from fuchsiadale.ports.task_workers import Advice, AdviceClient

MS_PER_S = 1000.0


class PlatformAdviceClient(AdviceClient):
    """Client of the advice service over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the calls.
    address : str
        ``ip:port`` of the advice service.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}/api/advise"

    async def request_advice(
        self, step: StepName, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Return the tickets for a step, or None without a successful reply."""
        body = {"step": str(step), "workers": list(worker_ids)}
        reply = await self._client.call("POST", self._url, body, timeout_s=timeout_s)
        if isinstance(reply, NoReply) or reply.status != 200:
            return None
        advice = _decode_advice(reply.body)
        if advice is None:
            log_message("advice_unreadable", step=str(step), fields=sorted(reply.body))
        return advice


def _decode_advice(body: dict[str, Any]) -> Advice | None:
    """Return the advice in a reply; None if any of it cannot be read.

    A worker that is missing from the advice counts as denied for good.
    """
    granted = body.get("granted")
    if not isinstance(granted, list):
        return None
    if not all(isinstance(row, list) and len(row) >= 2 for row in granted):
        return None
    valid_ms = body.get("valid_ms")
    if isinstance(valid_ms, int | float):
        tickets = {str(row[0]): str(row[1]) for row in granted}
        return Advice(tickets, valid_ms / MS_PER_S)
    return None if granted else Advice({}, 0.0)
