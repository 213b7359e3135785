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
class _Parcel:
    number: int
    view: WorkView
    on_delivered: DeliveryCallback


@define
class _Outbox:
    parcels: deque[_Parcel] = field(factory=deque)
    count: int = 0
    changed: asyncio.Event = field(factory=asyncio.Event)


class ResultOutboxes:
    """Keeps each result until the member that asked for it says it has it."""

    def __init__(self) -> None:
        self._outboxes: dict[str, _Outbox] = {}

    @property
    def pending_count(self) -> int:
        """Number of results that have not been fetched."""
        return sum(len(outbox.parcels) for outbox in self._outboxes.values())

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
        outbox.count += 1
        outbox.parcels.append(_Parcel(outbox.count, view, on_delivered))
        outbox.changed.set()

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
        while outbox.parcels and outbox.parcels[0].number <= received_through:
            outbox.parcels.popleft().on_delivered()
        if not outbox.parcels:
            outbox.changed.clear()
            try:
                async with asyncio.timeout(hold_s):
                    await outbox.changed.wait()
            except TimeoutError:
                pass
        views = [parcel.view for parcel in outbox.parcels]
        return CollectedResults(outbox.count, views)

    def drop_member(self, member: str) -> None:
        """Drop the results of a member that is gone."""
        self._outboxes.pop(member, None)
