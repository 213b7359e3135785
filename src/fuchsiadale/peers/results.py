"""Queues of results for the members whose callers wait for them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from fuchsiadale.decision.views import WorkView

DeliveryCallback = Callable[[], None]

MAX_COLLECTED_BYTES = 256 << 10
"""Number of bytes after which one call collects no further results.

A call that is too long for the link would never end, and the results would pile up.
"""

_RESULT_OVERHEAD_BYTES = 200
"""Approximate size of a result without the answers of its tasks, in bytes."""


@frozen
class CollectedResults:
    """Results that one call of a member collects.

    Attributes
    ----------
    last_number : int
        Sequence number of the last result collected so far, 0 if there was none; the
        member sends it with its next call to acknowledge this result and all earlier
        ones.
    views : list of WorkView
        The oldest unacknowledged results, oldest first.
    """

    last_number: int
    views: list[WorkView]


@frozen
class _UndeliveredResult:
    """Result that a member has not acknowledged, with its sequence number."""

    number: int
    view: WorkView
    on_delivered: DeliveryCallback


@define
class _Outbox:
    """Unacknowledged results of one member.

    Attributes
    ----------
    results : deque of _UndeliveredResult
        The results, oldest first.
    last_number : int
        Sequence number of the last result added.
    result_added : asyncio.Event
        Set when a result is added.
    """

    results: deque[_UndeliveredResult] = field(factory=deque)
    last_number: int = 0
    result_added: asyncio.Event = field(factory=asyncio.Event)


class ResultOutboxes:
    """Keeps the results for each member until the member acknowledges them."""

    def __init__(self) -> None:
        self._outboxes: dict[str, _Outbox] = {}

    @property
    def pending_count(self) -> int:
        """Number of results that have not been acknowledged."""
        return sum(len(outbox.results) for outbox in self._outboxes.values())

    def add_result(
        self, member: str, view: WorkView, on_delivered: DeliveryCallback
    ) -> None:
        """Keep a result for a member until the member acknowledges it.

        Parameters
        ----------
        member : str
            Id of the member whose caller waits.
        view : WorkView
            The result.
        on_delivered : callable
            Called when the member acknowledges the result.
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
        """Return the oldest unacknowledged results of a member; wait if there are none.

        Results beyond `MAX_COLLECTED_BYTES` are left for the next call.

        Parameters
        ----------
        member : str
            Id of the calling member.
        received_through : int
            Sequence number of the last result that the member has received; this and
            all earlier ones are acknowledged.
        hold_s : float
            Longest time to wait for a result, in seconds.

        Returns
        -------
        CollectedResults
            The results; none if no result was added within `hold_s` seconds.
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
        if not outbox.results:
            return CollectedResults(outbox.last_number, [])
        collected = _take_first(outbox.results)
        return CollectedResults(
            collected[-1].number, [result.view for result in collected]
        )

    def drop_member(self, member: str) -> None:
        """Drop the results of a member that is gone, without calling `on_delivered`."""
        self._outboxes.pop(member, None)


def _take_first(results: Iterable[_UndeliveredResult]) -> list[_UndeliveredResult]:
    """Return the first results until they reach `MAX_COLLECTED_BYTES`."""
    taken: list[_UndeliveredResult] = []
    byte_count = 0
    for result in results:
        taken.append(result)
        byte_count += _RESULT_OVERHEAD_BYTES
        byte_count += sum(len(task.answer) for task in result.view.tasks)
        if byte_count >= MAX_COLLECTED_BYTES:
            break
    return taken
