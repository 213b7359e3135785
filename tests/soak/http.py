"""Answers of the soak's stand-ins."""

from __future__ import annotations

from typing import Any

import orjson
from aiohttp import web


def make_json_response(body: dict[str, Any], status: int) -> web.Response:
    """Return an answer with a JSON body."""
    return web.Response(
        body=orjson.dumps(body), status=status, content_type="application/json"
    )


def abort_connection(request: web.BaseRequest) -> None:
    """Reset the connection that a request came on."""
    if request.transport is not None:
        request.transport.abort()
