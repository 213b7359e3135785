"""Simulates the users' sites with seeded loads, workers and advice, without a network.

Rates, widths, sizes and errors of estimates follow the load description of the Guild,
one of the users' sites. The value of a job follows the users' rules: a job that ends in
the expected state, which is failed for a job with a poisoned task, earns its full value
within its objective, a fifth of it within three times the objective, and nothing later.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from attrs import define

from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.resources import NO_LIMIT
from fuchsiadale.decision.workflow.configuration import (
    CellConfiguration,
    Workspace,
)
from fuchsiadale.decision.workflow.jobs import JobState
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
from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from tests.load_jobs import JobGenerator, SimulatedJob
from tests.load_kinds import JobKind, Pool
from tests.load_workers import SimulatedLoadWorker, SimulatedRun

START_DELAY_S = 0.02
"""Seconds until an order takes effect on a worker; a start is stored first."""

REPORT_INTERVAL_S = 0.8
"""Mean number of seconds between the reports of a worker on which no run ends."""

TICK_INTERVAL_S = 0.2
"""Seconds between two checks of timeouts."""

PLAN_DELAY_S = 0.005
"""Seconds from an event until the planning pass that takes it into account."""

CHECKPOINT_INTERVAL_S = 1.0
"""Seconds of work between two checkpoints of a task."""

RESTORE_DELAY_S = 0.6
"""Seconds that a run takes to resume from a checkpoint."""

LATE_FACTOR = 3.0
"""Multiple of the objective within which a late job still earns a part of its value."""

LATE_VALUE_SHARE = 0.2
"""Share of its value that a late job earns."""


@define
class LoadOutcome:
    """Results of the jobs of one queue.

    Attributes
    ----------
    jobs : int
        Number of submitted jobs.
    in_time : int
        Number of jobs that ended in the expected state within their objective.
    late : int
        Number of jobs that ended later and still earned a part of their value.
    total_value : float
        Value of all submitted jobs.
    earned_value : float
        Value that the jobs earned.
    """

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    total_value: float = 0.0
    earned_value: float = 0.0

    @property
    def earned_share(self) -> float:
        """Earned value as a share of the total value; 1 if no value was submitted."""
        return self.earned_value / self.total_value if self.total_value else 1.0


class LoadSimulation:
    """Simulates a load of jobs on one scheduler.

    Parameters
    ----------
    kinds : list of JobKind
        The kinds of jobs that are submitted.
    pools : list of Pool
        The pools of workers.
    seed : int
        Seed of all random draws.
    max_advice_calls : int
        Maximum number of concurrent advice calls.
    rate_factor : callable
        Returns the factor on a kind's rate of arrivals at a time, in seconds from the
        start.
    """

    def __init__(
        self,
        kinds: list[JobKind],
        pools: list[Pool],
        seed: int = 1,
        max_advice_calls: int = 9,
        rate_factor: Callable[[JobKind, float], float] = lambda kind, at_s: 1.0,
    ) -> None:
        self.kinds = kinds
        self.pools = pools
        self.seed = seed
        self.max_advice_calls = max_advice_calls
        self.rate_factor = rate_factor
        self.submitted: dict[str, SimulatedJob] = {}
        self.final_states: dict[str, tuple[JobState, float]] = {}
        self.wasted_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._is_plan_pending = False
        self._open_advice_calls = 0
        self._random = random.Random(seed)
        self._generator = JobGenerator(pools, self._random)
        self.clock = ManualClock(100.0)
        self.scheduler = Scheduler(self.clock, 1)
        self.planner = Planner(self.scheduler)
        queues = tuple(kind.queue for kind in self.kinds)
        workspace = Workspace("workspace", ("key",), 1000.0, NO_LIMIT)
        configuration = CellConfiguration(1, queues, (workspace,))
        self.scheduler.apply_configuration(configuration)
        self.workers: dict[str, SimulatedLoadWorker] = {}
        for pool in self.pools:
            for index in range(pool.worker_count):
                entry = WorkerEntry(
                    f"{pool.name}-{index}",
                    pool.name,
                    "10.0.0.1:80",
                    "zone",
                    WorkerState.READY,
                    pool.capacity_of(index),
                    (pool.kinds[index % len(pool.kinds)], f"r{index // 5}"),
                    1,
                )
                speed = pool.speeds[index % len(pool.speeds)]
                self.workers[entry.worker_id] = SimulatedLoadWorker(entry, speed)
        self.scheduler.update_registrations(
            item.entry for item in self.workers.values()
        )
        for worker_id in self.workers:
            self.scheduler.workers[worker_id].note_recorded(())
            self._send_report(worker_id)

    def simulate(self, seconds: float, drain_s: float = 40.0) -> dict[str, LoadOutcome]:
        """Simulate a period of submissions and the time to finish the jobs.

        Parameters
        ----------
        seconds : float
            Length of the period in which jobs are submitted, in seconds.
        drain_s : float
            Further time that is simulated, in seconds.

        Returns
        -------
        outcomes : dict of str to LoadOutcome
            The results, by queue.
        """
        start_s = self.clock.now()
        for kind in self.kinds:
            at_s = 0.0
            while True:
                rate = kind.arrivals_per_s * self.rate_factor(kind, at_s)
                at_s += self._random.expovariate(rate)
                if at_s >= seconds:
                    break
                self.schedule_at(start_s + at_s, self._make_submission(kind))
        self.schedule_at(start_s, self._tick)
        end_s = start_s + seconds + drain_s
        while self._events and self._events[0][0] <= end_s:
            at_s, _, event = heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now()))
            event()
        return self._outcomes()

    # Events

    def schedule_at(self, at_s: float, event: Callable[[], None]) -> None:
        """Schedule an event at a time of the simulation's clock."""
        self._event_count += 1
        heappush(self._events, (at_s, self._event_count, event))

    def _schedule_after(self, seconds: float, event: Callable[[], None]) -> None:
        self.schedule_at(self.clock.now() + seconds, event)

    def _make_submission(self, kind: JobKind) -> Callable[[], None]:
        job = self._generator.generate(kind)

        def submit() -> None:
            sent = SimulatedJob(
                kind,
                job.record,
                self.clock.now(),
                job.task_work_s,
                job.poisoned_tasks,
                job.objective_s,
                job.value,
            )
            self.submitted[job.record.job_id] = sent
            self.scheduler.accept(job.record, 0.0)
            self._plan_soon()

        return submit

    def _tick(self) -> None:
        self._carry_out(self.scheduler.check_timeouts())
        for worker_id in self.workers:
            if self._random.random() < TICK_INTERVAL_S / REPORT_INTERVAL_S:
                self._send_report(worker_id)
        self._plan_soon()
        self._schedule_after(TICK_INTERVAL_S, self._tick)

    def _plan_soon(self) -> None:
        if not self._is_plan_pending:
            self._is_plan_pending = True
            self._schedule_after(PLAN_DELAY_S, self._plan)

    def _plan(self) -> None:
        self._is_plan_pending = False
        self._carry_out(self.planner.plan(self.max_advice_calls))
        self.scheduler.decisions.pop_all()

    def _send_report(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        now_s = self.clock.now()
        rows = tuple(
            ReportedRun(
                run.task,
                run.run,
                self._checkpoint(worker, run, now_s),
                int(99 * worker.done_work_s(run, now_s) / run.work_s),
                1000.0,
            )
            for run in worker.runs.values()
        )
        ends, worker.ends = tuple(worker.ends), []
        report = WorkerReport(1, 0, rows, ends)
        self._carry_out(self.scheduler.process_report(worker_id, report, now_s))
        self._record_final_states()
        self._plan_soon()

    def _record_final_states(self) -> None:
        for job_id in self.scheduler.unrecorded_jobs:
            job = self.scheduler.jobs[job_id]
            if job.state.is_final:
                self.final_states.setdefault(job_id, (job.state, self.clock.now()))
        self.scheduler.unrecorded_jobs.clear()

    # Orders

    def _carry_out(self, orders: Iterable[Order]) -> None:
        for order in orders:
            if isinstance(order, StartRun):
                self._schedule_after(START_DELAY_S, self._make_start(order))
            elif isinstance(order, StopRun):
                self._schedule_after(START_DELAY_S, self._make_stop(order))
            elif isinstance(order, RequestAdvice):
                self._answer_advice(order)

    def _make_start(self, order: StartRun) -> Callable[[], None]:
        def start() -> None:
            if not self.scheduler.is_start_needed(order):
                return
            if self.scheduler.has_ticket_expired(order):
                refused = StartOutcome.TICKET_REFUSED
                self._carry_out(self.scheduler.note_start_outcome(order, refused))
                return
            job = self.submitted[order.task.step.job_id]
            now_s = self.clock.now()
            done_s = float(order.checkpoint) if order.checkpoint else 0.0
            begins_s = now_s + (RESTORE_DELAY_S if order.checkpoint else 0.0)
            fails = order.task in job.poisoned_tasks
            fails = fails or self._random.random() < job.kind.failure_share
            work_s = job.task_work_s[order.task]
            run = SimulatedRun(order.task, order.run, work_s, begins_s, done_s, fails)
            worker = self.workers[order.worker_id]
            worker.runs[order.task, order.run] = run
            self._carry_out(
                self.scheduler.note_start_outcome(order, StartOutcome.STARTED)
            )
            todo_s = (work_s - done_s) * (0.5 if fails else 1.0)
            left_s = (begins_s - now_s) + worker.duration_s(begins_s, todo_s)
            kind = EndKind.FAILED if fails else EndKind.DONE
            self._schedule_after(
                left_s, lambda: self._end_run(order.worker_id, run, kind)
            )

        return start

    def _make_stop(self, order: StopRun) -> Callable[[], None]:
        def stop() -> None:
            run = self.workers[order.worker_id].runs.get((order.task, order.run))
            self.scheduler.note_stop_acknowledged(order)
            if run is not None:
                self._end_run(order.worker_id, run, EndKind.STOPPED)

        return stop

    def _end_run(self, worker_id: str, run: SimulatedRun, kind: EndKind) -> None:
        worker = self.workers[worker_id]
        if worker.runs.pop((run.task, run.run), None) is None:
            return
        checkpoint, now_s = "", self.clock.now()
        if kind is EndKind.STOPPED:
            checkpoint = self._checkpoint(worker, run, now_s, is_stop=True)
            if not checkpoint:
                self.wasted_s += worker.done_work_s(run, now_s)
        worker.last_end += 1
        row = ReportedEnd(worker.last_end, run.task, run.run, kind, checkpoint)
        worker.ends.append(row)
        self._send_report(worker_id)

    def _checkpoint(
        self,
        worker: SimulatedLoadWorker,
        run: SimulatedRun,
        now_s: float,
        is_stop: bool = False,
    ) -> str:
        job = self.submitted[run.task.step.job_id]
        step = job.record.specification.steps[run.task.step.step]
        if not step.is_checkpointing:
            return ""
        done_s = worker.done_work_s(run, now_s)
        saved_s = done_s if is_stop else math.floor(done_s / CHECKPOINT_INTERVAL_S)
        return repr(saved_s) if saved_s > 0.0 else ""

    def _answer_advice(self, order: RequestAdvice) -> None:
        self._open_advice_calls += 1
        is_served = self._open_advice_calls <= self.max_advice_calls

        def answer() -> None:
            self._open_advice_calls -= 1
            granted = {
                worker_id: "ticket"
                for worker_id in order.worker_ids
                if self._may_run(order.step, worker_id)
            }
            valid_s = self._kind_of(order.step).queue.advice.valid_s  # type: ignore[union-attr]
            outcome = granted if is_served else None
            self.scheduler.process_advice(order, outcome, valid_s)
            self._plan_soon()

        self._schedule_after(order.expected_duration_s if is_served else 0.0, answer)

    def _may_run(self, step: StepName, worker_id: str) -> bool:
        """Tell whether a step may run on a worker; it always may on at least one."""
        kind = self._kind_of(step)
        ids = [
            item
            for item, worker in self.workers.items()
            if worker.entry.pool == kind.queue.pool
        ]
        draw = random.Random(f"{self.seed}/{step}")
        allowed = [item for item in ids if draw.random() < kind.granted_share]
        return worker_id in (allowed or [draw.choice(ids)])

    def _kind_of(self, step: StepName) -> JobKind:
        return self.submitted[step.job_id].kind

    # Jobs

    def _outcomes(self) -> dict[str, LoadOutcome]:
        outcomes: dict[str, LoadOutcome] = {}
        for job_id, job in self.submitted.items():
            outcome = outcomes.setdefault(job.kind.queue.name, LoadOutcome())
            outcome.jobs += 1
            outcome.total_value += job.value
            state, at_s = self.final_states.get(job_id, (JobState.RUNNING, math.inf))
            expected = JobState.FAILED if job.poisoned_tasks else JobState.COMPLETED
            took_s = at_s - job.submitted_s
            if state is not expected or took_s > LATE_FACTOR * job.objective_s:
                continue
            is_late = took_s > job.objective_s
            outcome.late += is_late
            outcome.in_time += not is_late
            outcome.earned_value += job.value * (LATE_VALUE_SHARE if is_late else 1.0)
        return outcomes
