"""Time-outs of transfers over HTTP whose length grows with what is sent."""

from __future__ import annotations

import asyncio

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


async def read_body(
    response: aiohttp.ClientResponse, progress: Progress, timeout_s: float
) -> None:
    """Read the body of a reply and note its progress.

    Raises
    ------
    TimeoutError
        If the body takes longer than `timeout_s` and the time that it needs at
        `MIN_BODY_BYTES_PER_S`.
    """
    progress.has_begun = True
    progress.expected_bytes = response.content_length
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    async for part in response.content.iter_any():
        progress.body += part
        if loop.time() - begun_s > extend_timeout(timeout_s, len(progress.body)):
            raise TimeoutError("the reply arrives too slowly")
