"""Time-outs of transfers over HTTP whose length grows with what is sent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import aiohttp
from attrs import define, field

MIN_BODY_BYTES_PER_S = 50_000.0
"""Average rate below which the transfer of a long body is given up.

It is a fraction of the smallest link's, as other traffic may share the link.
"""


@define
class Progress:
    """How much of a reply has arrived.

    Attributes
    ----------
    has_begun : bool
        Whether the head of the reply has arrived.
    expected_bytes : int or None
        Length of the body that the head announces; None if it announces none.
    body : bytearray
        The part of the body that has arrived.
    """

    has_begun: bool = False
    expected_bytes: int | None = None
    body: bytearray = field(factory=bytearray)


def extend_timeout(timeout_s: float, byte_count: int) -> float:
    """Return a timeout that leaves time for a transfer at `MIN_BODY_BYTES_PER_S`.

    Parameters
    ----------
    timeout_s : float
        Time allowed besides that for the transfer, in seconds.
    byte_count : int
        Number of bytes to transfer.
    """
    return timeout_s + byte_count / MIN_BODY_BYTES_PER_S


@asynccontextmanager
async def bound_head(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse],
    timeout_s: float | None,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a request and provide the response once its head has arrived.

    Parameters
    ----------
    request : context manager
        The request, as `aiohttp.ClientSession.request` returns it.
    timeout_s : float or None
        Seconds until the head must have arrived; None for no bound.

    Raises
    ------
    TimeoutError
        If it has not arrived in time.
    """
    async with asyncio.timeout(timeout_s) as deadline, request as response:
        deadline.reschedule(None)
        yield response


async def read_body(
    response: aiohttp.ClientResponse, progress: Progress, timeout_s: float
) -> None:
    """Read the body of a reply and note its progress.

    Raises
    ------
    TimeoutError
        If nothing arrives for `timeout_s`, or the body takes longer than that and the
        time that it needs at `MIN_BODY_BYTES_PER_S`.
    """
    progress.has_begun = True
    progress.expected_bytes = response.content_length
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    while True:
        permitted_s = extend_timeout(timeout_s, len(progress.body))
        ends_s = min(begun_s + permitted_s, loop.time() + timeout_s)
        async with asyncio.timeout_at(ends_s):
            part = await response.content.readany()
        if not part:
            return
        progress.body += part
