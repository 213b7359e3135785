"""Builds jobs, workers and a simulated cell for tests of the workflow scheduler."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve

from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import (
    AdviceTiming,
    CellConfiguration,
    Queue,
    Workspace,
)
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    Order,
    ReportedEnd,
    ReportedRun,
    RequestAdvice,
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
STARTED_MS = 1_000_000
LANES = 4  # Maximum number of concurrent requests to the advice service.
ADVICE = AdviceTiming(0.02, 0.001, 2.0)


def make_queue(name: str = QUEUE, **changes: object) -> Queue:
    """Return a queue of the test pool; `changes` override its fields."""
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
    """Return a configuration with the given queues and one workspace."""
    workspace = Workspace(WORKSPACE, ("key",), weight, limit)
    return CellConfiguration(version, queues or (make_queue(),), (workspace,))


def make_step(count: int = 1, cpu_millis: int = 1000, **changes: object) -> object:
    """Return a step with `count` tasks; `changes` override its fields."""
    request = changes.pop("request", None) or Resources(cpu_millis, 100, 0)
    fields: dict[str, object] = {
        "count": count,
        "request": request,
        "estimated_s": 1.0,
        **changes,
    }
    return StepSpecification(**fields)  # type: ignore[arg-type]


def make_record(number: int = 0, *steps: object, queue: str = QUEUE) -> JobRecord:
    """Return an accepted job; its id is derived from `number`."""
    return JobRecord(
        f"{number:016x}",
        queue,
        WORKSPACE,
        0.0,
        JobSpecification("text", tuple(steps) or (make_step(),)),  # type: ignore[arg-type]
    )


def make_entry(index: int, **changes: object) -> WorkerEntry:
    """Return a worker's registration in the test pool; `changes` override fields."""
    fields: dict[str, object] = {
        "worker_id": f"worker-{index}",
        "pool": POOL,
        "address": f"10.0.0.{index}:80",
        "zone": "zone",
        "state": WorkerState.READY,
        "capacity": Resources(4000, 4000, 4),
        "labels": ("a", f"r{index // 2}"),
        "started_ms": STARTED_MS,
        **changes,
    }
    return WorkerEntry(**fields)  # type: ignore[arg-type]


class Cell:
    """A scheduler with simulated workers that execute its orders, without a network.

    Parameters
    ----------
    workers : int
        Number of workers.
    configuration : CellConfiguration, optional
        Configuration of the cell; one queue and one workspace by default.
    epoch : int
        The owner's epoch, which is the fencing token of its orders.

    Attributes
    ----------
    running : dict of str to dict of (TaskName, int) to str
        Checkpoint of each run that is present, by worker id, task and run number.
    listed_ends : dict of str to list of ReportedEnd
        All ended runs, by worker id.
    starts : list of StartRun
        Executed start orders.
    stops : list of StopRun
        Executed stop orders.
    advice_requests : list of RequestAdvice
        Unanswered requests to the advice service.
    progress_percent : int
        Progress that the workers report of every run.
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
        self.listed_ends: dict[str, list[ReportedEnd]] = {}
        self.starts: list[StartRun] = []
        self.stops: list[StopRun] = []
        self.advice_requests: list[RequestAdvice] = []
        self.progress_percent = 50

    def adopt_workers(self) -> None:
        """Register and poll every worker, and mark it as recorded without runs."""
        self.scheduler.update_registrations(self.entries)
        for entry in self.entries:
            self.running.setdefault(entry.worker_id, {})
            self.scheduler.workers[entry.worker_id].note_recorded(())
            self.poll(entry.worker_id)

    def poll(self, worker_id: str, started_ms: int = STARTED_MS) -> None:
        """Poll a worker, which is registered, and execute the orders that follow."""
        sent_s = self.clock.now()
        self.clock.advance(0.001)
        report = self.make_report(worker_id, started_ms)
        self.execute(self.scheduler.process_report(worker_id, report, sent_s))
        worker = self.scheduler.workers[worker_id]
        if worker.is_listed and worker.entry.started_ms != started_ms:
            self.register(worker_id, started_ms=started_ms)

    def register(self, worker_id: str, **changes: object) -> None:
        """Read the registration of a worker; `changes` override its fields."""
        worker = self.scheduler.workers[worker_id]
        entry = evolve(worker.entry, **changes)
        worker.update_entry(entry, self.clock.now())
        self.entries = [
            entry if other.worker_id == worker_id else other for other in self.entries
        ]

    def make_report(
        self, worker_id: str, started_ms: int = STARTED_MS, is_complete: bool = True
    ) -> WorkerReport:
        """Return the report of a worker; without its runs if it is incomplete."""
        running = self.running[worker_id] if is_complete else {}
        return WorkerReport(
            started_ms,
            0,
            tuple(
                ReportedRun(task, run, checkpoint, self.progress_percent, 1.0)
                for (task, run), checkpoint in running.items()
            ),
            tuple(self.listed_ends.get(worker_id, ())),
            is_complete,
        )

    def poll_all(self) -> None:
        """Poll every worker."""
        for entry in self.entries:
            self.poll(entry.worker_id)

    def execute(self, orders: Iterable[Order]) -> None:
        """Execute starts and stops, queue requests for advice, and ignore paces."""
        for order in orders:
            if isinstance(order, StartRun):
                self.starts.append(order)
                key = (order.task, order.run)
                self.running[order.worker_id][key] = order.checkpoint
                self.execute(
                    self.scheduler.note_start_outcome(order, StartOutcome.STARTED)
                )
            elif isinstance(order, StopRun):
                self.stops.append(order)
                if (order.task, order.run) in self.running[order.worker_id]:
                    self.end_run(
                        order.worker_id, order.task, order.run, EndKind.STOPPED
                    )
                self.scheduler.note_stop_acknowledged(order)
            elif isinstance(order, RequestAdvice):
                self.advice_requests.append(order)

    def plan(self) -> list[Order]:
        """Plan once without executing the orders."""
        return self.planner.plan(LANES)

    def plan_and_execute(self) -> None:
        """Plan once and execute the orders."""
        self.execute(self.plan())

    def answer_advice(self, granted: Iterable[str] | None = None) -> None:
        """Answer all advice requests by granting all workers, or those in `granted`."""
        requests, self.advice_requests = self.advice_requests, []
        for order in requests:
            allowed = order.worker_ids if granted is None else tuple(granted)
            tickets = {
                worker_id: "t" for worker_id in order.worker_ids if worker_id in allowed
            }
            self.scheduler.process_advice(order, tickets, 2.0)

    def end_run(
        self,
        worker_id: str,
        task: TaskName,
        run: int,
        kind: EndKind = EndKind.DONE,
        checkpoint: str = "",
    ) -> None:
        """End a run; the next poll of its worker reports the end."""
        del self.running[worker_id][task, run]
        ends = self.listed_ends.setdefault(worker_id, [])
        ends.append(ReportedEnd(len(ends) + 1, task, run, kind, checkpoint))

    def end_all_runs(self, kind: EndKind = EndKind.DONE) -> None:
        """End all runs, and poll every worker."""
        for worker_id, runs in self.running.items():
            for task, run in list(runs):
                self.end_run(worker_id, task, run, kind)
        self.poll_all()
