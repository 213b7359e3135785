"""HTTP interface through which callers reach a cell on the platform."""

from __future__ import annotations

from collections.abc import Callable

import orjson
from aiohttp import web
from eliot import log_message
from result import Err, Result

from fuchsiadale.cell.gateway import CallerRequest, Gateway
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.open_calls import OpenCalls
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.platform.documents import decode_job

API_KEY_HEADER = "X-Fuchsiadale-Credential"
MAX_BODY_BYTES = 1 << 20
"""Maximum size of a request body in bytes: four times the platform's own limit.

This constant is not passed to aiohttp: its default limit, which has the same value,
rejects larger bodies.
"""

READINESS_PATH = "/api/readiness"

_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class Ingress:
    """Decodes callers' requests, passes them to the gateway and encodes the replies.

    Parameters
    ----------
    gateway : Gateway
        Carries out the requests.
    metrics : CellMetrics
        Counts and times the requests.
    open_calls : OpenCalls
        Tracks the requests that are not answered yet.
    is_draining : callable
        Returns whether the process is stopping, so that connections are closed after
        the reply.
    """

    def __init__(
        self,
        gateway: Gateway,
        metrics: CellMetrics,
        open_calls: OpenCalls,
        is_draining: Callable[[], bool],
    ) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._open_calls = open_calls
        self._is_draining = is_draining

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        with self._open_calls.track(
            request.method, request.path, lambda: request.transport is not None
        ):
            return await self._answer(request)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._metrics.call_seconds.time():
            outcome = await self._dispatch_in_time(request)
        if isinstance(outcome, Err):
            refusal = outcome.err_value
            answer = refusal.error_response
            status = answer.http_status
            response = _make_json_response({"error": refusal.message}, status)
            if answer.retry_after_s is not None:
                response.headers["Retry-After"] = str(answer.retry_after_s)
            label = refusal.kind.value
            log_message(
                "call_refused",
                job=request.path.rpartition("/")[2],
                method=request.method,
                reason=label,
                detail=refusal.message,
                **self._gateway.get_configuration_inputs(),
            )
        else:
            response = _make_json_response(outcome.ok_value, 200)
            label = "ok"
        self._metrics.calls.labels(request.method, label).inc()
        if self._is_draining():
            response.force_close()
        return response

    async def _dispatch_in_time(
        self, request: web.BaseRequest
    ) -> Result[dict[str, object], Refusal]:
        try:
            async with self._open_calls.limit_time():
                return await self._dispatch(request)
        except TimeoutError:
            return Err(
                Refusal(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the process stops; the call may have been carried out",
                )
            )

    async def _dispatch(
        self, request: web.BaseRequest
    ) -> Result[dict[str, object], Refusal]:
        host = request.headers.get("Host", "").partition(":")[0]
        call = CallerRequest(
            host, request.path, request.headers.get(API_KEY_HEADER, "")
        )
        gateway = self._gateway
        if request.method == "POST":
            body = await request.read()
            submitted = await gateway.submit(call, decode_job(body))
            return submitted.map(lambda _: {})
        if request.method == "DELETE":
            return (await gateway.cancel(call)).map(lambda _: {})
        if request.method == "GET":
            if gateway.is_queue_path(call):
                counted = await gateway.count_pending(call)
                return counted.map(lambda count: {"pending": count})
            shown = await gateway.get_job_state(call)
            return shown.map(lambda state: {"state": _STATE_NAMES[state]})
        return Err(
            Refusal(
                ErrorKind.MALFORMED,
                f"the method must be GET, POST or DELETE, but is {request.method}",
            )
        )


def make_readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[web.BaseRequest], object]:
    """Return the HTTP handler of the platform's readiness checks."""

    async def handle_check(request: web.BaseRequest) -> web.StreamResponse:
        is_readiness_path = request.path == READINESS_PATH
        if not is_readiness_path:
            return _make_json_response({"error": "the path does not exist"}, 404)
        ready = is_ready()
        return _make_json_response({"ready": ready}, 200 if ready else 503)

    return handle_check


def _make_json_response(body: dict[str, object], status: int) -> web.Response:
    return web.Response(
        body=orjson.dumps(body), status=status, content_type="application/json"
    )
