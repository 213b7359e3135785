"""HTTP responses of the stand-ins of the store and of workers."""

from __future__ import annotations

from typing import Any

import orjson
from aiohttp import web


def make_json_response(body: dict[str, Any], status: int) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=orjson.dumps(body), status=status, content_type="application/json"
    )


def abort_connection(request: web.BaseRequest) -> None:
    """Abort the connection of a request, so that the client gets no response.

    The response that a handler must still return to aiohttp is not sent.
    """
    if request.transport is not None:
        request.transport.abort()
