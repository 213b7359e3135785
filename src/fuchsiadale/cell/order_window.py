"""Limits the orders that wait for their first answers at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from fuchsiadale.cell.worker_link import CALL_TIMEOUT_S

MAX_OPEN_ORDERS = 64
"""Maximum number of orders of a kind that wait for their first answer at once.

Their calls share a processor and a link, and more of them could all run out of time:
one over a new connection takes up to 2.5 ms of a processor.
"""


class OrderWindow:
    """Admits orders in turn, and counts each for at most the time of one call.

    Workers that are down thus hold up other orders only a little.
    """

    def __init__(self) -> None:
        self._places = asyncio.Semaphore(MAX_OPEN_ORDERS)

    @asynccontextmanager
    async def admit(self) -> AsyncIterator[None]:
        """Wait for a place, and keep it for the context or for `CALL_TIMEOUT_S`."""
        await self._places.acquire()
        has_left = False

        def leave() -> None:
            nonlocal has_left
            if not has_left:
                has_left = True
                self._places.release()

        timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, leave)
        try:
            yield
        finally:
            timer.cancel()
            leave()
