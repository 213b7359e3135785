"""State of a cell that every decision reads, and the orders it gives."""

from __future__ import annotations

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import CellConfiguration, Queue
from fuchsiadale.decision.workflow.decisions import Decision, DecisionLog
from fuchsiadale.decision.workflow.durations import DurationModel
from fuchsiadale.decision.workflow.forecast import Forecast
from fuchsiadale.decision.workflow.jobs import (
    Job,
    Run,
    RunState,
    Step,
)
from fuchsiadale.decision.workflow.ledger import WorkerLedger
from fuchsiadale.decision.workflow.limits import SubmissionRates, Usage
from fuchsiadale.decision.workflow.messages import (
    AskAdvice,
    Order,
    StopRun,
)
from fuchsiadale.decision.workflow.names import StepName

FORECAST_S = 0.2
"""Seconds for which a forecast is used; durations and pools change slowly."""


class CellState:
    """Jobs, workers and accounts of a cell.

    Parameters
    ----------
    clock : Clock
        The loop's clock.
    epoch : int
        The owner's fencing token.
    """

    def __init__(self, clock: Clock, epoch: int) -> None:
        self.clock = clock
        self.epoch = epoch
        self.configuration = CellConfiguration(0)
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, WorkerLedger] = {}
        self.live_steps: dict[StepName, Step] = {}
        self.usage = Usage()
        self.durations = DurationModel()
        self.unrecorded: set[str] = set()
        self.retired_workers: set[str] = set()
        self.expired_jobs: dict[str, Job] = {}
        self.decisions = DecisionLog()
        self.asking = 0
        self._rates = SubmissionRates({})
        self._orders: list[Order] = []
        self._forecast: Forecast | None = None
        self._foretold_s = 0.0

    def apply_configuration(self, configuration: CellConfiguration) -> None:
        """Work under a newer configuration."""
        if configuration.version > self.configuration.version:
            self.configuration = configuration
            self._forecast = None

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job as it is configured now."""
        return self.configuration.queue(job.record.queue)

    def limit_of(self, workspace: str) -> Resources:
        """Return what a workspace may have running."""
        configured = self.configuration.workspace(workspace)
        return NO_LIMIT if configured is None else configured.limit

    def forecast(self) -> Forecast:
        """Return what can be foretold, as it was known a moment ago at most."""
        now_s = self.clock.now()
        if self._forecast is None or now_s - self._foretold_s > FORECAST_S:
            self._forecast = self._make_forecast()
            self._foretold_s = now_s
        return self._forecast

    def _make_forecast(self) -> Forecast:
        workers: dict[str, list[WorkerLedger]] = {}
        for worker in self.workers.values():
            if worker.is_listed:
                workers.setdefault(worker.entry.pool, []).append(worker)
        return Forecast(self.durations, workers, self.limit_of)

    def order(self, order: Order) -> None:
        """Give an order."""
        if isinstance(order, AskAdvice):
            self.asking += 1
        self._orders.append(order)

    def take_orders(self) -> list[Order]:
        """Return the orders given since the last call."""
        orders = self._orders
        self._orders = []
        return orders

    def preempt(self, run: Run) -> None:
        """Stop a run to make room for more urgent work."""
        self._stop(run, "preempted")

    def _stop(self, run: Run, reason: str) -> None:
        if run.state in (RunState.STOPPING, RunState.UNCONFIRMED):
            return
        run.state = RunState.STOPPING
        self._orders.append(StopRun(run.worker_id, run.task.name, run.number, reason))
        self._decide(
            "run_stopped",
            run.task.step.job.record.job_id,
            task=str(run.task.name),
            run=run.number,
            worker=run.worker_id,
            reason=reason,
        )

    def _decide(self, kind: str, job_id: str, **inputs: object) -> None:
        self.decisions.add(Decision(kind, job_id, inputs))
