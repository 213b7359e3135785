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

from attrs import Factory, define, frozen

from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.workflow.configuration import (
    AdviceTerms,
    CellConfiguration,
    Queue,
    Workspace,
)
from fuchsiadale.decision.workflow.jobs import JobState
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
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.placement import places
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.specification import (
    JobRecord,
    JobSpecification,
    StepSpecification,
)

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


@frozen
class Kind:
    """One kind of job, as the sheets tell it."""

    queue: Queue
    per_s: float
    worth: float
    work_s: float
    width: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...] = (0,)
    steps: float = 1.0
    estimate_error: float = 0.5
    estimate_bias: float = 0.0
    uneven: float = 0.15
    failing: float = 0.02
    poison: float = 0.03
    granted: float = 1.0
    resumes: float = 0.0


@frozen
class Pool:
    """Workers of one kind."""

    name: str
    workers: int
    capacity: Resources


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
    ends: list[EndedRow] = Factory(list)
    last_end: int = 0


@frozen
class Submitted:
    """A job as it really is."""

    kind: Kind
    record: JobRecord
    sent_s: float
    work_s: dict[TaskName, float]
    poisoned: frozenset[TaskName]
    objective_s: float
    value: float


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
        job = self._make_job(kind)

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
        self.scheduler.decisions.take()

    def _look(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        now_s = self.clock.now()
        rows = tuple(
            RunningRow(
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
        for job_id in self.scheduler.unrecorded:
            job = self.scheduler.jobs[job_id]
            if job.state.is_final:
                self.shown.setdefault(job_id, (job.state, self.clock.now()))
        self.scheduler.unrecorded.clear()

    # Orders

    def _obey(self, orders: Iterable[Order]) -> None:
        for order in orders:
            if isinstance(order, StartRun):
                self._after(START_S, self._starting(order))
            elif isinstance(order, StopRun):
                self._after(START_S, self._stopping(order))
            elif isinstance(order, AskAdvice):
                self._ask(order)

    def _starting(self, order: StartRun) -> Callable[[], None]:
        def start() -> None:
            if not self.scheduler.is_wanted(order):
                return
            if self.scheduler.has_expired(order):
                refused = StartOutcome.TICKET_REFUSED
                self._obey(self.scheduler.note_start(order, refused))
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
            self._obey(self.scheduler.note_start(order, StartOutcome.STARTED))
            left_s = (begins_s - now_s) + (work_s - done_s) * (0.5 if fails else 1.0)
            kind = EndKind.FAILED if fails else EndKind.DONE
            self._after(left_s, lambda: self._end(order.worker_id, run, kind))

        return start

    def _stopping(self, order: StopRun) -> Callable[[], None]:
        def stop() -> None:
            run = self.workers[order.worker_id].runs.get((order.task, order.run))
            self.scheduler.note_stopped(order)
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
        row = EndedRow(worker.last_end, run.task, run.run, kind, checkpoint)
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

    def _ask(self, order: AskAdvice) -> None:
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

        self._after(order.cost_s if is_served else 0.0, answer)

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

    def _make_job(self, kind: Kind) -> Submitted:
        draw = self._random
        number = len(self._events) * 1_000_003 + draw.randrange(1 << 40)
        job_id = f"{number:016x}"
        steps = []
        work: dict[TaskName, float] = {}
        chain_s = 0.0
        cores = 0.0
        total = max(1, round(draw.lognormvariate(math.log(kind.steps), 0.4)))
        for index in range(total):
            width = max(1, round(draw.lognormvariate(math.log(kind.width) - 0.2, 0.7)))
            base_s = kind.work_s * draw.lognormvariate(-0.12, 0.5)
            base_s = min(max(base_s, 0.05), 2.5 * kind.work_s)
            error = draw.gauss(-kind.estimate_bias, kind.estimate_error)
            request = Resources(
                kind.cpu_millis, kind.memory_mb, draw.choice(kind.accelerators)
            )
            steps.append(
                StepSpecification(
                    min(width, int(6 * kind.width)),
                    request,
                    base_s * math.exp(error),
                    (index - 1,) if index else (),
                    is_checkpointing=draw.random() < kind.resumes,
                )
            )
            name = StepName(job_id, 0, index)
            for number in range(steps[-1].count):
                task_s = base_s * math.exp(draw.gauss(0.0, kind.uneven))
                work[TaskName(name, number)] = task_s
                cores += task_s * request.cpu_millis / 1000
            longest_s = max(work[TaskName(name, n)] for n in range(steps[-1].count))
            chain_s += longest_s * self._waves(kind, steps[-1])
        is_poisoned = draw.random() < kind.poison
        poisoned = frozenset([draw.choice(list(work))] if is_poisoned else [])
        usual = kind.steps * kind.width * kind.work_s * kind.cpu_millis / 1000
        value = kind.worth * min(4.0, 0.3 + 0.7 * cores / usual)
        specification = JobSpecification("text", tuple(steps))
        record = JobRecord(job_id, kind.queue.name, "workspace", 0.0, specification)
        objective_s = kind.queue.stretch * chain_s + kind.queue.slack_s
        return Submitted(kind, record, 0.0, work, poisoned, objective_s, value)

    def _waves(self, kind: Kind, step: StepSpecification) -> int:
        pool = next(item for item in self.pools if item.name == kind.queue.pool)
        room = pool.workers * places(pool.capacity, step.request)
        return max(1, math.ceil(step.count / max(1.0, room / 4)))

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


def make_guild_kinds() -> list[Kind]:
    """Return the Guild's kinds of jobs that end, as the sheets tell them."""
    preparation, imaging = "preparation", "imaging"
    return [
        Kind(
            Queue(
                "proof",
                "host",
                "/proof/",
                preparation,
                0,
                3,
                1.5,
                0.25,
                advice=AdviceTerms(0.019, 0.00028, 2.0),
            ),
            6.2,
            0.607,
            0.88,
            6.0,
            1500,
            4300,
            steps=1.5,
            granted=0.7,
        ),
        Kind(
            Queue(
                "digitise",
                "host",
                "/digitise/",
                preparation,
                2,
                3,
                4.0,
                3.0,
                advice=AdviceTerms(0.17, 0.0024, 2.0),
            ),
            0.4,
            3.35,
            4.5,
            11.0,
            3300,
            6700,
            steps=2.0,
            estimate_error=0.2,
            granted=0.45,
            resumes=0.8,
        ),
        Kind(
            Queue(
                "render",
                "host",
                "/render/",
                imaging,
                1,
                2,
                2.2,
                1.0,
                advice=AdviceTerms(0.87, 0.008, 2.0),
            ),
            0.735,
            2.93,
            4.5,
            1.9,
            31000,
            81000,
            (2, 4, 8, 8),
            estimate_error=0.9,
            estimate_bias=0.4,
            uneven=0.3,
            failing=0.05,
            granted=0.3,
            resumes=0.9,
        ),
        Kind(
            Queue(
                "match",
                "host",
                "/match/",
                imaging,
                2,
                4,
                4.0,
                3.0,
                advice=AdviceTerms(0.14, 0.002, 2.0),
            ),
            0.95,
            1.41,
            2.4,
            6.4,
            5600,
            8200,
            (1,),
            estimate_error=0.2,
            failing=0.05,
            poison=0.0,
            granted=0.45,
            resumes=0.8,
        ),
    ]


def make_guild_pools() -> list[Pool]:
    """Return the Guild's workers."""
    return [
        Pool("preparation", 18, Resources(16_000, 65_536, 0)),
        Pool("imaging", 7, Resources(64_000, 131_072, 8)),
    ]
