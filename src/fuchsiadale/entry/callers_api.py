"""The HTTP interface for callers, under ``/v1``."""

from __future__ import annotations

import json
from collections.abc import Callable
from importlib.resources import files

from aiohttp import web
from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.config.model import Configuration, QueueConfig
from fuchsiadale.decision.constants import MAX_PAYLOAD_BYTES
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.views import WorkView
from fuchsiadale.decision.work import Submission, WorkKind
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.responses import (
    job_fields,
    json_response,
    refusal_response,
    request_response,
)
from fuchsiadale.entry.router import Router
from fuchsiadale.entry.submission import Caller, parse_submission
from fuchsiadale.ids import IdSource
from fuchsiadale.metrics import Counters

# Largest HTTP body in bytes. It is larger than the largest payload, because the payload
# is longer when encoded as JSON or base64 and the body has further fields.
MAX_BODY_BYTES = 2 * MAX_PAYLOAD_BYTES
# Longest time in seconds for which a call may wait for the end of a job.
MAX_JOB_WAIT_S = 60.0
IDEMPOTENCY_HEADER = "Idempotency-Key"


@frozen
class _AuthorizedCaller:
    """A caller that may submit work to a queue.

    Attributes
    ----------
    caller : Caller
        The caller.
    configuration : Configuration
        The configuration that was in force at the check.
    """

    caller: Caller
    configuration: Configuration


class CallersApi:
    """Serves the HTTP interface for callers.

    Parameters
    ----------
    config : ConfigDriver
        The configuration in force, with the keys of the teams.
    router : Router
        Sends calls to the owner of the work's partition.
    counters : Counters
        Counts the refusals by kind.
    ids : IdSource
        Makes the ids of new work unique.
    is_refusing : callable
        Returns whether this process refuses all calls because it is about to stop.
    """

    def __init__(
        self,
        config: ConfigDriver,
        router: Router,
        counters: Counters,
        ids: IdSource,
        is_refusing: Callable[[], bool],
    ) -> None:
        self._ids = ids
        self._config = config
        self._router = router
        self._counters = counters
        self._is_refusing = is_refusing

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_post("/v1/queues/{queue}/requests", self._run_request)
        app.router.add_post("/v1/queues/{queue}/jobs", self._submit_job)
        app.router.add_get("/v1/jobs", self._list_jobs)
        app.router.add_get("/v1/jobs/{work_id}", self._show_job)
        app.router.add_post("/v1/jobs/{work_id}/cancel", self._cancel_job)
        app.router.add_get("/v1/openapi.json", self._show_openapi)

    async def _run_request(self, request: web.Request) -> web.Response:
        submission = await self._parse_request(request, WorkKind.REQUEST)
        if isinstance(submission, Err):
            return self._refuse(submission.err_value)
        view = await self._router.run_request(submission.ok_value)
        if isinstance(view, Err):
            return self._refuse(view.err_value, submission.ok_value.work_id)
        return request_response(view.ok_value)

    async def _submit_job(self, request: web.Request) -> web.Response:
        submission = await self._parse_request(request, None)
        if isinstance(submission, Err):
            return self._refuse(submission.err_value)
        work_id = await self._router.submit_job(submission.ok_value)
        if isinstance(work_id, Err):
            return self._refuse(work_id.err_value, submission.ok_value.work_id)
        headers = {"Location": f"/v1/jobs/{work_id.ok_value}"}
        return json_response({"work_id": work_id.ok_value}, 201, headers)

    async def _parse_request(
        self, request: web.Request, kind: WorkKind | None
    ) -> Result[Submission, Refusal]:
        """Check the caller's rights, then parse the body.

        `kind` is None for a job: its body names the kind, by default a batch.
        """
        authorized = self._authorize(request)
        if isinstance(authorized, Err):
            return authorized
        body = await _read_body(request)
        if isinstance(body, Err):
            return body
        return parse_submission(
            body.ok_value,
            kind,
            authorized.ok_value.caller,
            authorized.ok_value.configuration,
            self._ids.new(),
        )

    async def _list_jobs(self, request: web.Request) -> web.Response:
        team = self._authenticate(request)
        if isinstance(team, Err):
            return self._refuse(team.err_value)
        views = await self._router.list_team_jobs(team.ok_value)
        if isinstance(views, Err):
            return self._refuse(views.err_value)
        return json_response({"jobs": [job_fields(view) for view in views.ok_value]})

    async def _show_job(self, request: web.Request) -> web.Response:
        hold_s = _parse_wait(request)
        if isinstance(hold_s, Err):
            return self._refuse(hold_s.err_value)
        view = await self._find_own_job(request, hold_s.ok_value)
        if isinstance(view, Err):
            return self._refuse(view.err_value)
        return json_response(job_fields(view.ok_value))

    async def _cancel_job(self, request: web.Request) -> web.Response:
        view = await self._find_own_job(request, 0.0)
        if isinstance(view, Err):
            return self._refuse(view.err_value)
        reason = Refusal(
            ErrorKind.CANCELLED, "the caller cancelled the work before it ran"
        )
        work_id = view.ok_value.work_id
        cancelled = await self._router.cancel_job(work_id, reason)
        if isinstance(cancelled, Err):
            return self._refuse(cancelled.err_value, work_id)
        return json_response(job_fields(cancelled.ok_value))

    async def _find_own_job(
        self, request: web.Request, hold_s: float
    ) -> Result[WorkView, Refusal]:
        """Return a job of the caller's own team.

        Waits up to `hold_s` seconds for the end of the job. A job of another team is
        refused as ``NOT_FOUND``, as if it did not exist.
        """
        team = self._authenticate(request)
        if isinstance(team, Err):
            return team
        work_id = request.match_info["work_id"]
        view = await self._router.show(work_id, 0.0)
        if isinstance(view, Err):
            return view
        if view.ok_value.team != team.ok_value:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no work {work_id}"))
        if hold_s > 0 and not view.ok_value.is_final:
            return await self._router.show(work_id, hold_s)
        return view

    async def _show_openapi(self, request: web.Request) -> web.Response:
        text = files("fuchsiadale.entry").joinpath("openapi.json").read_text("utf-8")
        return json_response(json.loads(text))

    def _authorize(self, request: web.Request) -> Result[_AuthorizedCaller, Refusal]:
        """Check that the caller may submit work to the queue that the path names."""
        unavailable = self._check_availability()
        if unavailable is not None:
            return Err(unavailable)
        configuration = self._config.document.configuration
        queue_name = request.match_info["queue"]
        queue = configuration.queues.get(queue_name)
        if queue is None:
            return Err(
                Refusal(ErrorKind.NOT_FOUND, f"there is no queue {queue_name!r}")
            )
        team = self._check_queue_access(queue, queue_name, request)
        if isinstance(team, Err):
            return team
        idempotency_key = request.headers.get(IDEMPOTENCY_HEADER, "")
        caller = Caller(team.ok_value, queue_name, idempotency_key)
        return Ok(_AuthorizedCaller(caller, configuration))

    def _check_queue_access(
        self, queue: QueueConfig, queue_name: str, request: web.Request
    ) -> Result[str, Refusal]:
        """Return the caller's team if it may use the queue.

        The team is empty if the queue is open and no key was given.
        """
        if queue.open and "Authorization" not in request.headers:
            return Ok("")
        team = self._authenticate(request)
        if isinstance(team, Err):
            return team
        if queue.teams and team.ok_value not in queue.teams:
            message = f"team {team.ok_value!r} has no right to queue {queue_name!r}"
            return Err(Refusal(ErrorKind.FORBIDDEN, message))
        return team

    def _authenticate(self, request: web.Request) -> Result[str, Refusal]:
        """Return the team whose key is in the ``Authorization`` header."""
        unavailable = self._check_availability()
        if unavailable is not None:
            return Err(unavailable)
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            message = "a key is needed: Authorization: Bearer <key>"
            return Err(Refusal(ErrorKind.UNAUTHENTICATED, message))
        team = self._config.document.find_team_by_key(key.strip())
        if team is None:
            message = "the key is unknown or was withdrawn"
            return Err(Refusal(ErrorKind.UNAUTHENTICATED, message))
        return Ok(team)

    def _check_availability(self) -> Refusal | None:
        """Return the refusal for every call while this entry must refuse them all.

        It must while it is stopping or its configuration is stale; otherwise the result
        is None.
        """
        if self._is_refusing():
            return Refusal(
                ErrorKind.DRAINING, "this entry is about to stop and accepts no calls"
            )
        if not self._config.freshness.is_fresh():
            message = "this entry's configuration was not confirmed recently enough"
            return Refusal(ErrorKind.CONFIG_STALE, message)
        return None

    def _refuse(self, refusal: Refusal, work_id: str = "") -> web.Response:
        """Count a refusal and return the response to it."""
        self._counters.add(f"answered.{refusal.kind.value}")
        return refusal_response(refusal, work_id)


async def _read_body(request: web.Request) -> Result[bytes, Refusal]:
    """Return the body of a request, or a refusal if it is too large."""
    try:
        return Ok(await request.read())
    except web.HTTPRequestEntityTooLarge:
        message = f"the body is larger than {MAX_BODY_BYTES} bytes"
        return Err(Refusal(ErrorKind.TOO_LARGE, message))


def _parse_wait(request: web.Request) -> Result[float, Refusal]:
    """Return the seconds in the query parameter ``wait_s``; 0 if it is not given."""
    text = request.query.get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1.0
    if not 0.0 <= wait_s <= MAX_JOB_WAIT_S:
        message = f"wait_s: must be a number from 0 to {MAX_JOB_WAIT_S:g}"
        return Err(Refusal(ErrorKind.MALFORMED, message))
    return Ok(wait_s)
