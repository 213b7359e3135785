"""Decoding of requests and encoding of responses for the stand-ins over HTTP."""

from __future__ import annotations

from typing import TypeVar

from aiohttp import web
from result import Err

from fuchsiadale.codec import CONTENT_TYPE, decode, encode

T = TypeVar("T")


async def read_body(request: web.Request, as_type: type[T]) -> T:
    """Return the body of a request, decoded as `as_type`.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If the body cannot be decoded as this type.
    """
    decoded = decode(await request.read(), as_type)
    if isinstance(decoded, Err):
        raise web.HTTPBadRequest(text=decoded.err_value)
    return decoded.ok_value


def make_response(value: object, status: int = 200) -> web.Response:
    """Return an HTTP response whose body is the encoded value."""
    return web.Response(body=encode(value), status=status, content_type=CONTENT_TYPE)
