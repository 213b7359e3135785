"""Builders of test data for jobs of steps."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import (
    AdviceTerms,
    CellConfiguration,
    Queue,
    Workspace,
)
from fuchsiadale.decision.workflow.messages import (
    AskAdvice,
    EndedRow,
    EndKind,
    Order,
    RunningRow,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.specification import (
    JobRecord,
    JobSpecification,
    StepSpecification,
)

POOL = "pool"
QUEUE = "queue"
WORKSPACE = "workspace"
BORN_MS = 1_000_000
LANES = 4
ADVICE = AdviceTerms(0.02, 0.001, 2.0)


def make_queue(name: str = QUEUE, **changes: object) -> Queue:
    """Return a queue of the test pool."""
    fields: dict[str, object] = {
        "name": name,
        "host": "host",
        "path_prefix": f"/{name}/",
        "pool": POOL,
        "max_attempts": 3,
        "stretch": 2.0,
        "slack_s": 1.0,
        **changes,
    }
    return Queue(**fields)  # type: ignore[arg-type]


def make_configuration(
    *queues: Queue,
    version: int = 1,
    limit: Resources = NO_LIMIT,
    weight: float = 100.0,
) -> CellConfiguration:
    """Return a configuration of some queues and one workspace."""
    workspace = Workspace(WORKSPACE, ("key",), weight, limit)
    return CellConfiguration(version, queues or (make_queue(),), (workspace,))


def make_step(count: int = 1, cpu_millis: int = 1000, **changes: object) -> object:
    """Return a step of equal tasks."""
    request = changes.pop("request", None) or Resources(cpu_millis, 100, 0)
    fields: dict[str, object] = {
        "count": count,
        "request": request,
        "estimated_s": 1.0,
        **changes,
    }
    return StepSpecification(**fields)  # type: ignore[arg-type]


def make_record(number: int = 0, *steps: object, queue: str = QUEUE) -> JobRecord:
    """Return an accepted job."""
    return JobRecord(
        f"{number:016x}",
        queue,
        WORKSPACE,
        0.0,
        JobSpecification("text", tuple(steps) or (make_step(),)),  # type: ignore[arg-type]
    )


def make_entry(index: int, **changes: object) -> WorkerEntry:
    """Return a worker of the test pool."""
    fields: dict[str, object] = {
        "worker_id": f"worker-{index}",
        "pool": POOL,
        "address": f"10.0.0.{index}:80",
        "zone": "zone",
        "state": WorkerState.READY,
        "capacity": Resources(4000, 4000, 4),
        "labels": ("a", f"r{index // 2}"),
        "started_ms": BORN_MS,
        **changes,
    }
    return WorkerEntry(**fields)  # type: ignore[arg-type]


class Cell:
    """A scheduler with workers that obey it, without a network.

    Parameters
    ----------
    workers : int
        How many there are.
    configuration : CellConfiguration, optional
        The configuration.
    epoch : int
        The owner's fencing token.
    """

    def __init__(
        self,
        workers: int = 2,
        configuration: CellConfiguration | None = None,
        epoch: int = 1,
    ) -> None:
        self.clock = ManualClock(100.0)
        self.scheduler = Scheduler(self.clock, epoch)
        self.scheduler.apply_configuration(configuration or make_configuration())
        self.planner = Planner(self.scheduler)
        self.entries = [make_entry(index) for index in range(workers)]
        self.running: dict[str, dict[tuple[TaskName, int], str]] = {}
        self.ends: dict[str, list[EndedRow]] = {}
        self.starts: list[StartRun] = []
        self.stops: list[StopRun] = []
        self.asked: list[AskAdvice] = []

    def adopt(self) -> None:
        """Let every worker register and answer."""
        self.scheduler.update_registrations(self.entries)
        for entry in self.entries:
            self.running.setdefault(entry.worker_id, {})
            self.scheduler.workers[entry.worker_id].note_recorded(())
            self.look(entry.worker_id)

    def look(self, worker_id: str, born_ms: int = BORN_MS) -> None:
        """Let a worker report."""
        sent_s = self.clock.now()
        self.clock.advance(0.001)
        report = WorkerReport(
            born_ms,
            0,
            tuple(
                RunningRow(task, run, checkpoint, 50, 1.0)
                for (task, run), checkpoint in self.running[worker_id].items()
            ),
            tuple(self.ends.get(worker_id, ())),
        )
        self.obey(self.scheduler.process_report(worker_id, report, sent_s))

    def look_at_all(self) -> None:
        """Let every worker report."""
        for entry in self.entries:
            self.look(entry.worker_id)

    def obey(self, orders: Iterable[Order]) -> None:
        """Carry orders out."""
        for order in orders:
            if isinstance(order, StartRun):
                self.starts.append(order)
                key = (order.task, order.run)
                self.running[order.worker_id][key] = order.checkpoint
                self.obey(self.scheduler.note_start(order, StartOutcome.STARTED))
            elif isinstance(order, StopRun):
                self.stops.append(order)
                if (order.task, order.run) in self.running[order.worker_id]:
                    self.end(order.worker_id, order.task, order.run, EndKind.STOPPED)
                self.scheduler.note_stopped(order)
            elif isinstance(order, AskAdvice):
                self.asked.append(order)

    def plan(self) -> list[Order]:
        """Plan once without carrying the orders out."""
        return self.planner.plan(LANES)

    def run_plan(self) -> None:
        """Plan once and carry the orders out."""
        self.obey(self.plan())

    def answer_advice(self, granted: Iterable[str] | None = None) -> None:
        """Grant what was asked for, or only some workers."""
        asked, self.asked = self.asked, []
        for order in asked:
            allowed = order.worker_ids if granted is None else tuple(granted)
            tickets = {item: "t" for item in order.worker_ids if item in allowed}
            self.scheduler.process_advice(order, tickets, 2.0)

    def end(
        self,
        worker_id: str,
        task: TaskName,
        run: int,
        kind: EndKind = EndKind.DONE,
        checkpoint: str = "",
    ) -> None:
        """Let a run end; the next look tells of it."""
        del self.running[worker_id][task, run]
        rows = self.ends.setdefault(worker_id, [])
        rows.append(EndedRow(len(rows) + 1, task, run, kind, checkpoint))

    def end_all(self, kind: EndKind = EndKind.DONE) -> None:
        """Let everything that runs end, and look."""
        for worker_id, runs in self.running.items():
            for task, run in list(runs):
                self.end(worker_id, task, run, kind)
        self.look_at_all()
