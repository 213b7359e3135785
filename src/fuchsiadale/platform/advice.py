"""Client of the platform's advice service."""

from __future__ import annotations

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
        granted = reply.body.get("granted")
        tickets = {
            str(row[0]): str(row[1])
            for row in (granted if isinstance(granted, list) else [])
            if isinstance(row, list) and len(row) >= 2
        }
        valid_ms = reply.body.get("valid_ms")
        valid_s = valid_ms / MS_PER_S if isinstance(valid_ms, int | float) else 0.0
        return Advice(tickets, valid_s)
