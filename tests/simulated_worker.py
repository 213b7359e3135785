"""A worker as it is, and the orders on their way to it, for the simulation."""

from __future__ import annotations

from attrs import define, field, frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.messages import EndKind, Order, ReportedEnd
from fuchsiadale.decision.workflow.names import TaskName
from tests.workflow_builders import STARTED_MS


@frozen
class SentOrder:
    """An order on its way; `start_lease_end_s` is 0 unless it is a start."""

    epoch: int
    order: Order
    start_lease_end_s: float


@define
class SimulatedWorker:
    """A worker as it actually is, which may differ from what the owner knows.

    `highest_epoch` is the highest fencing token that the worker has seen, and
    `last_ended_runs` the highest number of an ended or stopped run of each task.
    `nonbinding_ends` holds the sequence numbers of ends that no owner acknowledged
    before the worker restarted or its lease lapsed, so that an owner may not know them
    and their tasks may be started again.
    """

    worker_id: str
    capacity: Resources
    incarnation_started_ms: int = STARTED_MS
    highest_epoch: int = 0
    lease_end_s: float = 0.0
    running: dict[tuple[TaskName, int], str] = field(factory=dict)
    last_ended_runs: dict[TaskName, int] = field(factory=dict)
    listed_ends: list[ReportedEnd] = field(factory=list)
    last_end_number: int = 0
    nonbinding_ends: set[int] = field(factory=set)

    def finish_run(self, key: tuple[TaskName, int], kind: EndKind) -> None:
        """End a run and list its end for the next poll."""
        checkpoint = self.running.pop(key)
        task, run = key
        self.last_ended_runs[task] = max(run, self.last_ended_runs.get(task, 0))
        self.last_end_number += 1
        self.listed_ends.append(
            ReportedEnd(self.last_end_number, task, run, kind, checkpoint)
        )
