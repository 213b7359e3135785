"""What a partition's driver has to carry out."""

from __future__ import annotations

from collections import Counter

from attrs import define, field, frozen

from fuchsiadale.decision.events import JournalEvent
from fuchsiadale.decision.work import Attempt, Work


@frozen
class StopOrder:
    """Tells a worker to end an attempt, with a checkpoint first if it can."""

    worker: str
    attempt_id: str
    checkpoint: bool


@frozen
class Acknowledgement:
    """Tells a worker that the answer of an ended attempt is no longer needed."""

    worker: str
    attempt_id: str


@define
class Actions:
    """What the driver of a partition has to carry out.

    Attributes
    ----------
    events : list of JournalEvent
        To record, in order.
    starts : list of Attempt
        To send once `events` are on record, if the work is journalled, or else now.
    stops : list of StopOrder
        To send now.
    acknowledgements : list of Acknowledgement
        To send once `events` are on record.
    finished : list of Work
        Work that just became final.
    counts : Counter of str
        Refusals and retries by reason.
    """

    events: list[JournalEvent] = field(factory=list)
    starts: list[Attempt] = field(factory=list)
    stops: list[StopOrder] = field(factory=list)
    acknowledgements: list[Acknowledgement] = field(factory=list)
    finished: list[Work] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
