"""HTTP responses to callers and operators."""

from __future__ import annotations

import base64
import hashlib
import json

import cattrs
from aiohttp import web
from attrs import define

from fuchsiadale.decision.errors import ErrorKind, ExecutionOutcome, Refusal
from fuchsiadale.decision.views import TaskView, WorkView
from fuchsiadale.decision.work import TaskState


@define
class JsonBody:
    """The fields of a JSON response.

    Attributes
    ----------
    fields : dict of str to object
        The values by field name, in the order in which the response shows them.
    """

    fields: dict[str, object]

    def add(self, name: str, value: object) -> None:
        """Add a field unless its value is None."""
        if value is not None:
            self.fields[name] = value


def refusal_response(refusal: Refusal, work_id: str = "") -> web.Response:
    """Return the HTTP response for a refusal.

    The error kind determines the status, the outcome and the retry delay.
    """
    response = refusal.error_response
    body = JsonBody(
        {"error": refusal.kind.value, "outcome": response.execution_outcome.value}
    )
    body.add("message", refusal.message)
    body.add("work_id", work_id or None)
    body.add("retry_after_s", response.retry_after_s)
    headers: dict[str, str] = {}
    if response.retry_after_s is not None:
        headers["Retry-After"] = str(response.retry_after_s)
    return json_response(body.fields, response.http_status, headers)


def request_response(view: WorkView) -> web.Response:
    """Return the response to a request whose outcome is known."""
    task = view.tasks[0]
    if task.state is not TaskState.SUCCEEDED:
        fallback = Refusal(
            ErrorKind.INTERNAL, f"the task ended in the state {task.state.value}"
        )
        return refusal_response(view.refusal or fallback, view.work_id)
    if task.is_omitted:
        message = "the work ran, but its answer was too large to be kept"
        refusal = Refusal(ErrorKind.ANSWER_LOST, message)
        return refusal_response(refusal, view.work_id)
    body = JsonBody({"work_id": view.work_id, "outcome": ExecutionOutcome.RAN.value})
    body.add("worker", task.worker)
    _add_answer_fields(body, task.answer)
    return json_response(body.fields)


def job_fields(view: WorkView) -> dict[str, object]:
    """Return the JSON fields that show a job and its tasks."""
    body = JsonBody({"work_id": view.work_id, "kind": view.kind.value})
    body.add("team", view.team)
    body.add("queue", view.queue)
    body.add("final", view.is_final)
    body.add("cancelled", view.cancelled)
    if view.refusal is not None:
        body.add("error", view.refusal.kind.value)
        body.add("message", view.refusal.message)
    body.add("tasks", [_task_fields(task) for task in view.tasks])
    return body.fields


def json_response(
    fields: object, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a response with a JSON body."""
    text = json.dumps(cattrs.unstructure(fields), ensure_ascii=False)
    return web.Response(
        text=text + "\n",
        status=status,
        headers=headers,
        content_type="application/json",
    )


def _task_fields(task: TaskView) -> dict[str, object]:
    body = JsonBody({"index": task.index, "state": task.state.value})
    body.add("worker", task.worker or None)
    if task.waited_s is not None:
        body.add("waited_s", round(task.waited_s, 4))
    if task.is_omitted:
        body.add("answer_omitted", True)
    elif task.state is TaskState.SUCCEEDED:
        _add_answer_fields(body, task.answer)
    return body.fields


def _add_answer_fields(body: JsonBody, answer: bytes) -> None:
    try:
        body.add("answer", answer.decode("utf-8"))
    except UnicodeDecodeError:
        body.add("answer_base64", base64.b64encode(answer).decode())
    body.add("length", len(answer))
    body.add("sha256", hashlib.sha256(answer).hexdigest())
