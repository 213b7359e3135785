"""How far the reports of a worker were processed."""

from __future__ import annotations

from attrs import frozen


@frozen
class ProcessedEnd:
    """Last end of a run that a worker reported and the owner processed.

    Attributes
    ----------
    started_ms : int
        Start of the worker's incarnation that reported the end, in Unix milliseconds.
    sequence_number : int
        Sequence number of the end within this incarnation.
    """

    started_ms: int
    sequence_number: int
