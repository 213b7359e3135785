"""Actions that a partition decides on and its driver carries out."""

from __future__ import annotations

from collections import Counter

from attrs import define, field, frozen

from fuchsiadale.decision.events import JournalEvent
from fuchsiadale.decision.work import Attempt, Work


@frozen
class StopOrder:
    """Order to a worker to stop an attempt.

    Attributes
    ----------
    worker : str
        Name of the worker.
    attempt_id : str
        The attempt to stop.
    checkpoint : bool
        Whether the program is asked to write a checkpoint first, if it can.
    """

    worker: str
    attempt_id: str
    checkpoint: bool


@frozen
class Acknowledgement:
    """Confirmation to a worker that it may discard the answer of an ended attempt.

    Attributes
    ----------
    worker : str
        Name of the worker.
    attempt_id : str
        The attempt that ended.
    """

    worker: str
    attempt_id: str


@define
class Actions:
    """Actions for the driver of a partition to carry out.

    Attributes
    ----------
    events : list of JournalEvent
        Events to write to the journal, in this order.
    starts : list of Attempt
        Attempts to start: at once, or once the journal holds `events` if the work is
        journalled.
    stops : list of StopOrder
        Stop orders to send at once.
    acknowledgements : list of Acknowledgement
        Acknowledgements to send once the journal holds `events`.
    finished : list of Work
        Work whose last task ended since the previous step.
    counts : Counter of str
        Refusals, failures, retries, preemptions and quarantined workers, by metric
        name and reason.
    """

    events: list[JournalEvent] = field(factory=list)
    starts: list[Attempt] = field(factory=list)
    stops: list[StopOrder] = field(factory=list)
    acknowledgements: list[Acknowledgement] = field(factory=list)
    finished: list[Work] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
