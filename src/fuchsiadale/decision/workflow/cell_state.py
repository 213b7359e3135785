"""State of a cell that the scheduler's decisions share, and its pending orders."""

from __future__ import annotations

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.resources import NO_LIMIT, NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.configuration import CellConfiguration, Queue
from fuchsiadale.decision.workflow.decisions import Decision, DecisionLog
from fuchsiadale.decision.workflow.domain_drains import DomainDrains
from fuchsiadale.decision.workflow.durations import DurationModel
from fuchsiadale.decision.workflow.forecast import Forecast
from fuchsiadale.decision.workflow.hold_back import HoldBack
from fuchsiadale.decision.workflow.jobs import (
    Job,
    Run,
    RunState,
    Step,
)
from fuchsiadale.decision.workflow.limits import SubmissionRateLimiter, WorkspaceUsage
from fuchsiadale.decision.workflow.messages import (
    Order,
    RequestAdvice,
    StopRun,
)
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.decision.workflow.run_ends import WorkerCrash
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.worker_losses import LossHistory
from fuchsiadale.decision.workflow.worker_speeds import ColdSlowdown

FORECAST_TTL_S = 0.2
"""Seconds for which a forecast is reused, as durations and pools change slowly."""


class CellState:
    """Jobs, workers, resource usage and pending orders of a cell.

    Parameters
    ----------
    clock : Clock
        The event loop's clock.
    epoch : int
        The owner's epoch, which is the fencing token of its orders.
    drains : DomainDrains, optional
        Failure domains in which nothing may start; none by default.

    Attributes
    ----------
    drains : DomainDrains
        Failure domains in which nothing may start.
    configuration : CellConfiguration
        The current configuration.
    jobs : dict of str to Job
        Jobs that have not expired, by id.
    workers : dict of str to TrackedWorker
        Known workers, by id.
    active_steps : dict of StepName to Step
        Steps that are due and not done, and whose predecessors are done.
    usage : WorkspaceUsage
        Resources that each workspace may be using.
    hold_back : HoldBack
        What workspaces have used in the past, and how long that holds their work back.
    durations : DurationModel
        Estimates of task durations, learned from earlier runs.
    unrecorded_jobs : set of str
        Ids of the jobs whose progress has to be recorded.
    retired_workers : set of str
        Ids of removed workers that the store still lists.
    expired_jobs : dict of str to Job
        Expired jobs that the store still lists, by id.
    early_cancellations : dict of str to float
        When the cancellation of a job that is not known was learned, by job id, on the
        event loop's clock.
    expired_cancellations : set of str
        Ids of such jobs whose cancellation is no longer needed, but still stored.
    decisions : DecisionLog
        Decisions to log.
    pending_advice_requests : int
        Number of requests to the advice service that are not answered.
    """

    def __init__(
        self, clock: Clock, epoch: int, drains: DomainDrains | None = None
    ) -> None:
        self.clock = clock
        self.drains = drains or DomainDrains(clock)
        self.epoch = epoch
        self.configuration = CellConfiguration(0)
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, TrackedWorker] = {}
        self.active_steps: dict[StepName, Step] = {}
        self.usage = WorkspaceUsage()
        self.hold_back = HoldBack()
        self.durations = DurationModel()
        self._cold_slowdowns: dict[str, ColdSlowdown] = {}  # by pool
        self.unrecorded_jobs: set[str] = set()
        self.retired_workers: set[str] = set()
        self.expired_jobs: dict[str, Job] = {}
        self.early_cancellations: dict[str, float] = {}
        self.expired_cancellations: set[str] = set()
        self.decisions = DecisionLog()
        self.pending_advice_requests = 0
        self._gone_workers: dict[str, TrackedWorker] = {}  # by id
        self._losses = LossHistory()
        self._excused_crashes: list[WorkerCrash] = []
        self._last_queues: dict[str, Queue] = {}
        self._last_limits: dict[str, Resources] = {}
        self._stored_limits: dict[str, Resources] = {}
        self._rate_limiter = SubmissionRateLimiter({})
        self._orders: list[Order] = []
        self._forecast: Forecast | None = None
        self._forecast_made_s = 0.0
        self._unix_offset_s: float | None = None

    def apply_configuration(self, configuration: CellConfiguration) -> None:
        """Replace the configuration if the given one is newer."""
        if configuration.version > self.configuration.version:
            self.configuration = configuration
            self._last_queues.update({item.name: item for item in configuration.queues})
            self._last_limits.update(
                {item.name: item.limit for item in configuration.workspaces}
            )
            self._forecast = None

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job, or None if it is not known.

        A queue that was removed keeps its last definition that this owner knows, or
        else the one under which the job was accepted, so that its jobs can end.
        """
        record = job.record
        return self._last_queues.get(record.queue, record.queue_definition)

    def limit_of(self, workspace: str) -> Resources:
        """Return a workspace's resource limit; `NO_LIMIT` if none is known.

        A workspace that was removed, or is not known yet, keeps its last limit that
        this owner knows, or else the one that is stored with its newest job.
        """
        stored_limit = self._stored_limits.get(workspace, NO_LIMIT)
        return self._last_limits.get(workspace, stored_limit)

    def note_use(self) -> None:
        """Add what workspaces use to their past use, if that is due."""
        if self.hold_back.past_use.is_due(self.clock.now()):
            weights = {item.name: item.weight for item in self.configuration.workspaces}
            self.hold_back.past_use.advance(
                self.usage.by_workspace, weights, self.total_capacity, self.clock.now()
            )

    @property
    def total_capacity(self) -> Resources:
        """Capacity of all registered workers."""
        listed = (worker for worker in self.workers.values() if worker.is_listed)
        return sum((worker.entry.capacity for worker in listed), start=NO_RESOURCES)

    def forecast(self) -> Forecast:
        """Return a forecast of job durations, at most `FORECAST_TTL_S` seconds old."""
        now_s = self.clock.now()
        if self._forecast is None or now_s - self._forecast_made_s > FORECAST_TTL_S:
            self._forecast = self._make_forecast()
            self._forecast_made_s = now_s
        return self._forecast

    def _make_forecast(self) -> Forecast:
        workers: dict[str, list[TrackedWorker]] = {}
        now_s = self.clock.now()
        for worker in self.workers.values():
            worker.speed.update(now_s, self.cold_slowdown_of(worker.entry.pool))
            if worker.is_listed:
                workers.setdefault(worker.entry.pool, []).append(worker)
        return Forecast(self.durations, workers, self.limit_of)

    def cold_slowdown_of(self, pool: str) -> ColdSlowdown:
        """Return what is known of how slow the cold workers of a pool are."""
        return self._cold_slowdowns.setdefault(pool, ColdSlowdown())

    def issue_order(self, order: Order) -> None:
        """Append an order to the pending orders."""
        if isinstance(order, RequestAdvice):
            self.pending_advice_requests += 1
        self._orders.append(order)

    def note_unix_time(self, now_unix_s: float) -> None:
        """Note the time of day, in Unix seconds, to compare starts of workers with.

        It may jump; the reading that lies furthest ahead counts, by which a worker has
        started earliest.
        """
        offset_s = self.clock.now() - now_unix_s
        if self._unix_offset_s is None or offset_s < self._unix_offset_s:
            self._unix_offset_s = offset_s

    def _find_loop_time_s(self, unix_ms: int) -> float | None:
        """Return a time of day that has passed on the event loop's clock.

        None if it is not known, or lies ahead, so that the clocks of the machines
        differ too much to tell.
        """
        if not unix_ms or self._unix_offset_s is None:
            return None
        time_s = unix_ms / 1000.0 + self._unix_offset_s
        return time_s if time_s <= self.clock.now() else None

    def record_decision(self, kind: str, job_id: str, **inputs: object) -> None:
        """Buffer a decision and its inputs for the log."""
        self._record_decision(kind, job_id, **inputs)

    def pop_orders(self) -> list[Order]:
        """Return and clear the pending orders."""
        orders = self._orders
        self._orders = []
        return orders

    def preempt(self, run: Run) -> None:
        """Stop a run to free its resources for more urgent work."""
        is_revocable = run.revocable_priority is not None
        self._stop_run(run, "revoked" if is_revocable else "preempted")

    def _stop_run(self, run: Run, reason: str) -> None:
        if run.state in (RunState.STOPPING, RunState.UNCONFIRMED):
            return
        run.state = RunState.STOPPING
        self._orders.append(StopRun(run.worker_id, run.task.name, run.number, reason))
        self._record_decision(
            "run_stopped",
            run.task.step.job.record.job_id,
            task=str(run.task.name),
            run=run.number,
            worker=run.worker_id,
            reason=reason,
        )

    def _record_decision(self, kind: str, job_id: str, **inputs: object) -> None:
        self.decisions.add(Decision(kind, job_id, inputs))
