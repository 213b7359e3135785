"""A worker as it is, and the delays of calls, for the simulation of losses."""

from __future__ import annotations

from attrs import Factory, define

from fuchsiadale.decision.workflow.messages import ReportedEnd, WorkerEntry
from fuchsiadale.decision.workflow.names import TaskName
from tests.workflow_builders import STARTED_MS

COMMIT_S = 0.02
"""Seconds until runs and progress are in the store."""

CALL_S = 0.01
"""Seconds for a call to a worker and its answer."""

EVICTION_S = 4.5
"""Seconds of silence after which the registration of a worker is removed."""


@define(eq=False)
class LiveWorker:
    """A worker as it is.

    Attributes
    ----------
    entry : WorkerEntry
        Its registration.
    started_ms : int
        Start of its incarnation, in Unix milliseconds.
    runs : dict of (TaskName, int) to str
        Its runs.
    ends : list of ReportedEnd
        Ends of runs that it lists.
    lost_s : float or None
        When it was lost; None while it is up.
    is_silent : bool
        Whether calls to it get no answer once it is lost, instead of being refused.
    is_replaced : bool
        Whether another worker answers at its address.
    poll_number : int
        Number of the poll that it is to answer.
    polled_ms : int
        Start of the incarnation that this poll was sent to, in Unix milliseconds.
    """

    entry: WorkerEntry
    started_ms: int = STARTED_MS
    runs: dict[tuple[TaskName, int], str] = Factory(dict)
    ends: list[ReportedEnd] = Factory(list)
    lost_s: float | None = None
    is_silent: bool = False
    is_replaced: bool = False
    poll_number: int = 0
    polled_ms: int = 0
