"""Results on their way to the entries whose callers wait for them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from fuchsiadale.decision.views import WorkView

DeliveryCallback = Callable[[], None]


@frozen
class CollectedResults:
    """Results for one member.

    Attributes
    ----------
    last_number : int
        Number of the last one; sent back to have them forgotten.
    views : list of WorkView
        The results.
    """

    last_number: int
    views: list[WorkView]


@frozen
class _UndeliveredResult:
    number: int
    view: WorkView
    on_delivered: DeliveryCallback


@define
class _Outbox:
    results: deque[_UndeliveredResult] = field(factory=deque)
    last_number: int = 0
    result_added: asyncio.Event = field(factory=asyncio.Event)


class ResultOutboxes:
    """Keeps each result until the member that asked for it says it has it."""

    def __init__(self) -> None:
        self._outboxes: dict[str, _Outbox] = {}

    @property
    def pending_count(self) -> int:
        """Number of results that have not been fetched."""
        return sum(len(outbox.results) for outbox in self._outboxes.values())

    def add_result(
        self, member: str, view: WorkView, on_delivered: DeliveryCallback
    ) -> None:
        """Keep a result for a member.

        Parameters
        ----------
        member : str
            The member whose caller waits.
        view : WorkView
            The result.
        on_delivered : callable
            Called when the member has the result.
        """
        outbox = self._outboxes.setdefault(member, _Outbox())
        outbox.last_number += 1
        outbox.results.append(
            _UndeliveredResult(outbox.last_number, view, on_delivered)
        )
        outbox.result_added.set()

    async def collect(
        self, member: str, received_through: int, hold_s: float
    ) -> CollectedResults:
        """Return the results that a member does not have, once there are any.

        Parameters
        ----------
        member : str
            The member that asks.
        received_through : int
            Number of the last result that it has.
        hold_s : float
            Seconds to wait while there are none.
        """
        outbox = self._outboxes.setdefault(member, _Outbox())
        while outbox.results and outbox.results[0].number <= received_through:
            outbox.results.popleft().on_delivered()
        if not outbox.results:
            outbox.result_added.clear()
            try:
                async with asyncio.timeout(hold_s):
                    await outbox.result_added.wait()
            except TimeoutError:
                pass
        views = [result.view for result in outbox.results]
        return CollectedResults(outbox.last_number, views)

    def drop_member(self, member: str) -> None:
        """Drop the results of a member that is gone."""
        self._outboxes.pop(member, None)
