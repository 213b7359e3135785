"""A model of the users' sites: seeded loads, workers and advice, without a network.

Rates, widths, sizes and errors of estimates follow the sheets of the Guild's site as
it is played. What a job is worth follows the users' rules: all of its worth within its
objective, a fifth within three times that, nothing later.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from heapq import heappop, heappush

from attrs import Factory, define

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
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from tests.load_jobs import JobMaker, Submitted
from tests.load_kinds import Kind, Pool

START_S = 0.02
"""Seconds from a placement until the worker has begun: the record and the call."""

LOOK_S = 0.8
"""Seconds between two reports of a worker on which nothing ends."""

TICK_S = 0.2
"""Seconds between two looks at what only time decides."""

PLAN_S = 0.005
"""Seconds from an event until the plan that answers it."""

CHECKPOINT_S = 1.0
"""Seconds of work between two checkpoints."""

RESTORE_S = 0.6
"""Seconds to resume from a checkpoint."""

LATE_FACTOR = 3.0
LATE_SHARE = 0.2


@define(eq=False)
class _Run:
    task: TaskName
    run: int
    work_s: float
    begins_s: float
    done_before_s: float
    fails: bool
    is_stopped: bool = False

    def worked_s(self, now_s: float) -> float:
        """Return the work done, in seconds of a task's whole work."""
        return min(self.work_s, self.done_before_s + max(0.0, now_s - self.begins_s))


@define(eq=False)
class _Worker:
    entry: WorkerEntry
    runs: dict[tuple[TaskName, int], _Run] = Factory(dict)
    ends: list[ReportedEnd] = Factory(list)
    last_end: int = 0


@define
class Outcome:
    """What callers of one kind got."""

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    owed: float = 0.0
    earned: float = 0.0

    @property
    def share(self) -> float:
        """Worth earned over worth owed."""
        return self.earned / self.owed if self.owed else 1.0


class LoadWorld:
    """Plays kinds of jobs against one scheduler.

    Parameters
    ----------
    kinds : list of Kind
        What is submitted.
    pools : list of Pool
        The workers.
    seed : int
        Of every random draw.
    lanes : int
        Calls for advice that can be under way at once.
    surge : callable
        Returns a factor of a kind's rate at a time, in seconds from the start.
    """

    def __init__(
        self,
        kinds: list[Kind],
        pools: list[Pool],
        seed: int = 1,
        lanes: int = 9,
        surge: Callable[[Kind, float], float] = lambda kind, at_s: 1.0,
    ) -> None:
        self.kinds = kinds
        self.pools = pools
        self.seed = seed
        self.lanes = lanes
        self.surge = surge
        self.submitted: dict[str, Submitted] = {}
        self.shown: dict[str, tuple[JobState, float]] = {}
        self.waste_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._is_planned = False
        self._busy_lanes = 0
        self._random = random.Random(seed)
        self._jobs = JobMaker(pools, self._random)
        self.clock = ManualClock(100.0)
        self.scheduler = Scheduler(self.clock, 1)
        self.planner = Planner(self.scheduler)
        queues = tuple(kind.queue for kind in self.kinds)
        workspace = Workspace("workspace", ("key",), 1000.0, NO_LIMIT)
        configuration = CellConfiguration(1, queues, (workspace,))
        self.scheduler.apply_configuration(configuration)
        self.workers: dict[str, _Worker] = {}
        for pool in self.pools:
            for index in range(pool.workers):
                entry = WorkerEntry(
                    f"{pool.name}-{index}",
                    pool.name,
                    "10.0.0.1:80",
                    "zone",
                    WorkerState.READY,
                    pool.capacity,
                    ("a", f"r{index // 5}"),
                    1,
                )
                self.workers[entry.worker_id] = _Worker(entry)
        self.scheduler.observe_workers(item.entry for item in self.workers.values())
        for worker_id in self.workers:
            self.scheduler.workers[worker_id].note_recorded(())
            self._look(worker_id)

    def play(self, seconds: float, drain_s: float = 40.0) -> dict[str, Outcome]:
        """Submit for some seconds and return what each queue's callers got."""
        start_s = self.clock.now()
        for kind in self.kinds:
            at_s = 0.0
            while True:
                rate = kind.per_s * self.surge(kind, at_s)
                at_s += self._random.expovariate(rate)
                if at_s >= seconds:
                    break
                self._at(start_s + at_s, self._submission(kind))
        self._at(start_s, self._tick)
        end_s = start_s + seconds + drain_s
        while self._events and self._events[0][0] <= end_s:
            at_s, _, event = heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now()))
            event()
        return self._outcomes()

    # Events

    def _at(self, at_s: float, event: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (at_s, self._count, event))

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        self._at(self.clock.now() + seconds, event)

    def _submission(self, kind: Kind) -> Callable[[], None]:
        job = self._jobs.make(kind)

        def submit() -> None:
            sent = Submitted(
                kind,
                job.record,
                self.clock.now(),
                job.work_s,
                job.poisoned,
                job.objective_s,
                job.value,
            )
            self.submitted[job.record.job_id] = sent
            self.scheduler.accept(job.record, 0.0)
            self._plan_soon()

        return submit

    def _tick(self) -> None:
        self._obey(self.scheduler.check_time())
        for worker_id in self.workers:
            if self._random.random() < TICK_S / LOOK_S:
                self._look(worker_id)
        self._plan_soon()
        self._after(TICK_S, self._tick)

    def _plan_soon(self) -> None:
        if not self._is_planned:
            self._is_planned = True
            self._after(PLAN_S, self._plan)

    def _plan(self) -> None:
        self._is_planned = False
        self._obey(self.planner.plan(self.lanes))
        self.scheduler.decisions.pop_all()

    def _look(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        now_s = self.clock.now()
        rows = tuple(
            ReportedRun(
                run.task,
                run.run,
                self._checkpoint(run, now_s),
                int(99 * run.worked_s(now_s) / run.work_s),
                1000.0,
            )
            for run in worker.runs.values()
        )
        ends, worker.ends = tuple(worker.ends), []
        report = WorkerReport(1, 0, rows, ends)
        self._obey(self.scheduler.note_report(worker_id, report, now_s))
        self._note_states()
        self._plan_soon()

    def _note_states(self) -> None:
        for job_id in self.scheduler.unrecorded_jobs:
            job = self.scheduler.jobs[job_id]
            if job.state.is_final:
                self.shown.setdefault(job_id, (job.state, self.clock.now()))
        self.scheduler.unrecorded_jobs.clear()

    # Orders

    def _obey(self, orders: Iterable[Order]) -> None:
        for order in orders:
            if isinstance(order, StartRun):
                self._after(START_S, self._starting(order))
            elif isinstance(order, StopRun):
                self._after(START_S, self._stopping(order))
            elif isinstance(order, RequestAdvice):
                self._ask(order)

    def _starting(self, order: StartRun) -> Callable[[], None]:
        def start() -> None:
            if not self.scheduler.is_start_needed(order):
                return
            if self.scheduler.has_ticket_expired(order):
                refused = StartOutcome.TICKET_REFUSED
                self._obey(self.scheduler.note_start_outcome(order, refused))
                return
            job = self.submitted[order.task.step.job_id]
            now_s = self.clock.now()
            done_s = float(order.checkpoint) if order.checkpoint else 0.0
            begins_s = now_s + (RESTORE_S if order.checkpoint else 0.0)
            fails = order.task in job.poisoned
            fails = fails or self._random.random() < job.kind.failing
            work_s = job.work_s[order.task]
            run = _Run(order.task, order.run, work_s, begins_s, done_s, fails)
            worker = self.workers[order.worker_id]
            worker.runs[order.task, order.run] = run
            self._obey(self.scheduler.note_start_outcome(order, StartOutcome.STARTED))
            left_s = (begins_s - now_s) + (work_s - done_s) * (0.5 if fails else 1.0)
            kind = EndKind.FAILED if fails else EndKind.DONE
            self._after(left_s, lambda: self._end(order.worker_id, run, kind))

        return start

    def _stopping(self, order: StopRun) -> Callable[[], None]:
        def stop() -> None:
            run = self.workers[order.worker_id].runs.get((order.task, order.run))
            self.scheduler.note_stop_acknowledged(order)
            if run is not None:
                self._end(order.worker_id, run, EndKind.STOPPED)

        return stop

    def _end(self, worker_id: str, run: _Run, kind: EndKind) -> None:
        worker = self.workers[worker_id]
        if worker.runs.pop((run.task, run.run), None) is None:
            return
        checkpoint = ""
        if kind is EndKind.STOPPED:
            checkpoint = self._checkpoint(run, self.clock.now(), is_stop=True)
            if not checkpoint:
                self.waste_s += run.worked_s(self.clock.now())
        worker.last_end += 1
        row = ReportedEnd(worker.last_end, run.task, run.run, kind, checkpoint)
        worker.ends.append(row)
        self._look(worker_id)

    def _checkpoint(self, run: _Run, now_s: float, is_stop: bool = False) -> str:
        job = self.submitted[run.task.step.job_id]
        step = job.record.specification.steps[run.task.step.step]
        if not step.is_checkpointing:
            return ""
        worked_s = run.worked_s(now_s)
        saved_s = worked_s if is_stop else math.floor(worked_s / CHECKPOINT_S)
        return repr(saved_s) if saved_s > 0.0 else ""

    def _ask(self, order: RequestAdvice) -> None:
        self._busy_lanes += 1
        is_served = self._busy_lanes <= self.lanes

        def answer() -> None:
            self._busy_lanes -= 1
            granted = {
                worker_id: "ticket"
                for worker_id in order.worker_ids
                if self._may_run(order.step, worker_id)
            }
            valid_s = self._kind_of(order.step).queue.advice.valid_s  # type: ignore[union-attr]
            outcome = granted if is_served else None
            self.scheduler.note_advice(order, outcome, valid_s)
            self._plan_soon()

        self._after(order.expected_duration_s if is_served else 0.0, answer)

    def _may_run(self, step: StepName, worker_id: str) -> bool:
        """Tell whether a step may run on a worker; some worker may always."""
        kind = self._kind_of(step)
        ids = [
            item
            for item, worker in self.workers.items()
            if worker.entry.pool == kind.queue.pool
        ]
        draw = random.Random(f"{self.seed}/{step}")
        allowed = [item for item in ids if draw.random() < kind.granted]
        return worker_id in (allowed or [draw.choice(ids)])

    def _kind_of(self, step: StepName) -> Kind:
        return self.submitted[step.job_id].kind

    # Jobs

    def _outcomes(self) -> dict[str, Outcome]:
        outcomes: dict[str, Outcome] = {}
        for job_id, job in self.submitted.items():
            outcome = outcomes.setdefault(job.kind.queue.name, Outcome())
            outcome.jobs += 1
            outcome.owed += job.value
            state, at_s = self.shown.get(job_id, (JobState.RUNNING, math.inf))
            expected = JobState.FAILED if job.poisoned else JobState.COMPLETED
            took_s = at_s - job.sent_s
            if state is not expected or took_s > LATE_FACTOR * job.objective_s:
                continue
            is_late = took_s > job.objective_s
            outcome.late += is_late
            outcome.in_time += not is_late
            outcome.earned += job.value * (LATE_SHARE if is_late else 1.0)
        return outcomes
