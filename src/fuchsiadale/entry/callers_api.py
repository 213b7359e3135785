"""The callers' HTTP interface."""

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
from fuchsiadale.entry.answers import (
    job_fields,
    json_answer,
    refusal_answer,
    request_answer,
)
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.router import Router
from fuchsiadale.entry.submission import Caller, read_submission
from fuchsiadale.ids import IdSource
from fuchsiadale.metrics import Counters

MAX_BODY_BYTES = 2 * MAX_PAYLOAD_BYTES
MAX_WAIT_S = 60.0
IDEMPOTENCY_HEADER = "Idempotency-Key"


@frozen
class _Admitted:
    """A caller with rights on a queue, under the configuration in force."""

    caller: Caller
    configuration: Configuration


class CallersApi:
    """Answers callers.

    Parameters
    ----------
    config : ConfigDriver
        The configuration, with its keys.
    router : Router
        Takes work to its owners.
    counters : Counters
        Takes the counts.
    ids : IdSource
        Makes the works' ids unique.
    is_refusing : callable
        Tells whether this process takes no more work.
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
        """Add the interface to an application."""
        app.router.add_post("/v1/queues/{queue}/requests", self._run_request)
        app.router.add_post("/v1/queues/{queue}/jobs", self._submit_job)
        app.router.add_get("/v1/jobs", self._list_jobs)
        app.router.add_get("/v1/jobs/{work_id}", self._show_job)
        app.router.add_post("/v1/jobs/{work_id}/cancel", self._cancel_job)
        app.router.add_get("/v1/openapi.json", self._show_openapi)

    async def _run_request(self, request: web.Request) -> web.Response:
        submission = await self._read_submission(request, WorkKind.REQUEST)
        if isinstance(submission, Err):
            return self._refuse(submission.err_value)
        view = await self._router.run_request(submission.ok_value)
        if isinstance(view, Err):
            return self._refuse(view.err_value, submission.ok_value.work_id)
        return request_answer(view.ok_value)

    async def _submit_job(self, request: web.Request) -> web.Response:
        submission = await self._read_submission(request, None)
        if isinstance(submission, Err):
            return self._refuse(submission.err_value)
        work_id = await self._router.submit_job(submission.ok_value)
        if isinstance(work_id, Err):
            return self._refuse(work_id.err_value, submission.ok_value.work_id)
        headers = {"Location": f"/v1/jobs/{work_id.ok_value}"}
        return json_answer({"work_id": work_id.ok_value}, 201, headers)

    async def _read_submission(
        self, request: web.Request, kind: WorkKind | None
    ) -> Result[Submission, Refusal]:
        """Check the caller's rights, then read the body; a job names its kind."""
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return admitted
        body = await _read_body(request)
        if isinstance(body, Err):
            return body
        return read_submission(
            body.ok_value,
            kind,
            admitted.ok_value.caller,
            admitted.ok_value.configuration,
            self._ids.new(),
        )

    async def _list_jobs(self, request: web.Request) -> web.Response:
        team = self._authenticate(request)
        if isinstance(team, Err):
            return self._refuse(team.err_value)
        views = await self._router.list_team(team.ok_value)
        if isinstance(views, Err):
            return self._refuse(views.err_value)
        return json_answer({"jobs": [job_fields(view) for view in views.ok_value]})

    async def _show_job(self, request: web.Request) -> web.Response:
        hold_s = _wait_of(request)
        if isinstance(hold_s, Err):
            return self._refuse(hold_s.err_value)
        view = await self._find_job(request, hold_s.ok_value)
        if isinstance(view, Err):
            return self._refuse(view.err_value)
        return json_answer(job_fields(view.ok_value))

    async def _cancel_job(self, request: web.Request) -> web.Response:
        view = await self._find_job(request, 0.0)
        if isinstance(view, Err):
            return self._refuse(view.err_value)
        reason = Refusal(ErrorKind.CANCELLED, "cancelled before it ran")
        work_id = view.ok_value.work_id
        cancelled = await self._router.cancel_job(work_id, reason)
        if isinstance(cancelled, Err):
            return self._refuse(cancelled.err_value, work_id)
        return json_answer(job_fields(cancelled.ok_value))

    async def _find_job(
        self, request: web.Request, hold_s: float
    ) -> Result[WorkView, Refusal]:
        """Return a job of the caller's own team."""
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
        return json_answer(json.loads(text))

    def _admit(self, request: web.Request) -> Result[_Admitted, Refusal]:
        """Check the caller's rights on the queue that the path names."""
        unable = self._unable()
        if unable is not None:
            return Err(unable)
        configuration = self._config.document.configuration
        name = request.match_info["queue"]
        queue = configuration.queues.get(name)
        if queue is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no queue {name!r}"))
        team = self._team_on(queue, name, request)
        if isinstance(team, Err):
            return team
        idempotency_key = request.headers.get(IDEMPOTENCY_HEADER, "")
        caller = Caller(team.ok_value, name, idempotency_key)
        return Ok(_Admitted(caller, configuration))

    def _team_on(
        self, queue: QueueConfig, name: str, request: web.Request
    ) -> Result[str, Refusal]:
        if queue.open and "Authorization" not in request.headers:
            return Ok("")
        team = self._authenticate(request)
        if isinstance(team, Err):
            return team
        if queue.teams and team.ok_value not in queue.teams:
            message = f"team {team.ok_value!r} has no right to queue {name!r}"
            return Err(Refusal(ErrorKind.FORBIDDEN, message))
        return team

    def _authenticate(self, request: web.Request) -> Result[str, Refusal]:
        """Return the team whose key came with a request."""
        unable = self._unable()
        if unable is not None:
            return Err(unable)
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            message = "a key is needed: Authorization: Bearer <key>"
            return Err(Refusal(ErrorKind.UNAUTHENTICATED, message))
        team = self._config.document.find_team_by_key(key.strip())
        if team is None:
            message = "the key is unknown or was withdrawn"
            return Err(Refusal(ErrorKind.UNAUTHENTICATED, message))
        return Ok(team)

    def _unable(self) -> Refusal | None:
        if self._is_refusing():
            return Refusal(ErrorKind.DRAINING, "this host is about to stop")
        if not self._config.freshness.is_fresh():
            message = "the configuration could not be confirmed for too long"
            return Refusal(ErrorKind.CONFIG_STALE, message)
        return None

    def _refuse(self, refusal: Refusal, work_id: str = "") -> web.Response:
        self._counters.add(f"answered.{refusal.kind.value}")
        return refusal_answer(refusal, work_id)


async def _read_body(request: web.Request) -> Result[bytes, Refusal]:
    try:
        return Ok(await request.read())
    except web.HTTPRequestEntityTooLarge:
        message = f"the body is larger than {MAX_BODY_BYTES} bytes"
        return Err(Refusal(ErrorKind.TOO_LARGE, message))


def _wait_of(request: web.Request) -> Result[float, Refusal]:
    text = request.query.get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1.0
    if not 0.0 <= wait_s <= MAX_WAIT_S:
        message = f"wait_s: must be a number from 0 to {MAX_WAIT_S:g}"
        return Err(Refusal(ErrorKind.MALFORMED, message))
    return Ok(wait_s)
