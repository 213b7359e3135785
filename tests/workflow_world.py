"""A model of workers, a store and owners, driven by any order of events."""

from __future__ import annotations

from attrs import define, field, frozen

from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.jobs import (
    JobProgress,
    JobState,
    find_task,
    make_job,
    progress_of,
)
from fuchsiadale.decision.workflow.messages import (
    EndedRow,
    EndKind,
    Order,
    RunningRow,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerReport,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.specification import JobRecord
from tests.workflow_builders import (
    BORN_MS,
    LANES,
    make_configuration,
    make_entry,
    make_queue,
)

LEASE_S = 6.0
LAPSE_S = 7.0
MAX_ATTEMPTS = 2
LIMIT = Resources(9000, 1 << 30, 1 << 30)
QUEUES = (
    make_queue("urgent", priority=0, max_attempts=MAX_ATTEMPTS),
    make_queue("batch", priority=2, max_attempts=MAX_ATTEMPTS, stretch=10.0),
)


@frozen
class Sent:
    """An order on its way: whose it is, and when its lease ends."""

    epoch: int
    order: Order
    until_s: float


@define
class ModelWorker:
    """What is really on a worker."""

    worker_id: str
    capacity: Resources
    born_ms: int = BORN_MS
    fence: int = 0
    lease_end_s: float = 0.0
    running: dict[tuple[TaskName, int], str] = field(factory=dict)
    closed: dict[TaskName, int] = field(factory=dict)
    ends: list[EndedRow] = field(factory=list)
    last_end: int = 0
    void: set[int] = field(factory=set)

    def finish(self, key: tuple[TaskName, int], kind: EndKind) -> None:
        """End a run and list its end."""
        checkpoint = self.running.pop(key)
        task, run = key
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.last_end += 1
        self.ends.append(EndedRow(self.last_end, task, run, kind, checkpoint))


class World:
    """Two owners in turn, three workers, and messages that may be lost or late."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.records: dict[str, JobRecord] = {}
        self.cancelled: set[str] = set()
        self.progress: dict[str, JobProgress] = {}
        self.acknowledged_done: set[TaskName] = set()
        self.failed: dict[TaskName, int] = {}
        self.failed_ever: dict[TaskName, int] = {}
        self.recorded_runs: dict[str, list[tuple[TaskName, int]]] = {}
        self.unsent: list[StartRun] = []
        entries = [make_entry(index) for index in range(3)]
        self.entries = {entry.worker_id: entry for entry in entries}
        self.workers = {
            entry.worker_id: ModelWorker(entry.worker_id, entry.capacity)
            for entry in entries
        }
        self.epoch = 0
        self.pending: list[Sent] = []
        self.unanswered: list[Sent] = []
        self.take_over()

    # What the owner does

    def take_over(self) -> None:
        """Let a new owner recover from what is recorded."""
        self.epoch += 1
        self.scheduler = Scheduler(self.clock, self.epoch)
        self.scheduler.apply_configuration(make_configuration(*QUEUES, limit=LIMIT))
        self.planner = Planner(self.scheduler)
        for record in self.records.values():
            self.scheduler.recover(record, self.progress.get(record.job_id), 0.0)
        for job_id in self.cancelled:
            self.scheduler.cancel(job_id)
        self.scheduler.update_registrations(self.entries.values())
        self.unsent = []
        until_s = self.clock.now() + LAPSE_S
        for worker_id in self.scheduler.workers:
            runs = self.recorded_runs.get(worker_id, [])
            self.scheduler.restore_runs(worker_id, runs, until_s)
        self.send(self.scheduler.take_orders())

    def send(self, orders: list[Order]) -> None:
        """Put orders on their way; starts wait for their record."""
        for order in orders:
            if isinstance(order, StartRun):
                self.unsent.append(order)
            else:
                self.pending.append(Sent(self.epoch, order, 0.0))
        self.send_recorded()

    def send_recorded(self) -> None:
        """Put the starts on their way that are recorded."""
        now = self.clock.now()
        unsent, self.unsent = self.unsent, []
        for order in unsent:
            if not self.scheduler.is_wanted(order):
                continue
            if self.scheduler.may_send(order):
                self.scheduler.extend_lease(order.worker_id, now + LAPSE_S)
                self.pending.append(Sent(self.epoch, order, now + LEASE_S))
            else:
                self.unsent.append(order)

    def accept(self, record: JobRecord) -> None:
        """Store a job and tell the owner."""
        self.records[record.job_id] = record
        self.scheduler.accept(record, 0.0)

    def cancel(self, job_id: str) -> None:
        """Store a cancellation and tell the owner."""
        self.cancelled.add(job_id)
        self.scheduler.cancel(job_id)
        self.send(self.scheduler.take_orders())

    def plan(self) -> None:
        """Let the owner plan."""
        self.send(self.scheduler.check_timeouts())
        self.send(self.planner.plan(LANES))

    def commit(self) -> None:
        """Record the owner's progress and what runs on closed workers."""
        for job_id in self.scheduler.unrecorded:
            job = self.scheduler.jobs[job_id]
            self.progress[job_id] = progress_of(job)
            job.recorded_state = job.state
            if job.state is JobState.FAILED:
                counts = [self.failed_ever.get(task.name, 0) for task in job.tasks()]
                assert max(counts) >= MAX_ATTEMPTS, "failed without cause"
        self.scheduler.unrecorded.clear()
        for worker_id, worker in self.scheduler.workers.items():
            self.recorded_runs[worker_id] = list(worker.runs)
            worker.note_recorded(worker.runs)
        self.send_recorded()

    def look(self, worker_id: str, is_answered: bool) -> None:
        """Renew a worker's lease; the answer may be lost."""
        worker = self.workers[worker_id]
        now = self.clock.now()
        known = self.scheduler.workers[worker_id]
        self.scheduler.extend_lease(worker_id, now + LAPSE_S)
        if worker.fence > self.epoch:
            return
        worker.fence = self.epoch
        worker.lease_end_s = max(worker.lease_end_s, now + LEASE_S)
        is_recorded = not self.scheduler.unrecorded
        if is_recorded and known.started_ms == worker.born_ms:
            through = known.processed_end
            for end in worker.ends:
                is_binding = end.number not in worker.void
                if end.number <= through and end.kind is EndKind.DONE and is_binding:
                    self.acknowledged_done.add(end.task)
            worker.ends = [end for end in worker.ends if end.number > through]
        if not is_answered:
            self.scheduler.mark_worker_unresponsive(worker_id)
            return
        rows = tuple(
            RunningRow(task, run, checkpoint, 10, 1.0)
            for (task, run), checkpoint in worker.running.items()
        )
        report = WorkerReport(worker.born_ms, 0, rows, tuple(worker.ends))
        self.clock.advance(0.001)
        self.send(self.scheduler.process_report(worker_id, report, now))

    # What happens to orders

    def deliver(self, index: int, is_answered: bool) -> None:
        """Let an order reach its worker; the answer may be lost."""
        if not self.pending:
            return
        sent = self.pending.pop(index % len(self.pending))
        epoch, order = sent.epoch, sent.order
        if isinstance(order, StartRun):
            outcome = self.execute_start(sent, order)
            if epoch != self.epoch:
                return
            if is_answered:
                self.send(self.scheduler.note_start(order, outcome))
            else:
                self.send(self.scheduler.note_start(order, StartOutcome.UNKNOWN))
        elif isinstance(order, StopRun):
            self.execute_stop(epoch, order)
            if epoch == self.epoch and is_answered:
                self.scheduler.note_stopped(order)
            elif epoch == self.epoch:
                self.pending.append(sent)

    def delay(self, index: int) -> None:
        """Leave a start unanswered and carry it out later."""
        starts = [
            sent
            for sent in self.pending
            if isinstance(sent.order, StartRun) and sent.epoch == self.epoch
        ]
        if not starts:
            return
        sent = starts[index % len(starts)]
        order = sent.order
        self.pending.remove(sent)
        assert isinstance(order, StartRun)
        self.unanswered.append(sent)
        self.send(self.scheduler.note_start(order, StartOutcome.UNKNOWN))

    def carry_out_late(self, index: int) -> None:
        """Carry out a start whose sender has stopped waiting."""
        if self.unanswered:
            sent = self.unanswered.pop(index % len(self.unanswered))
            assert isinstance(sent.order, StartRun)
            self.execute_start(sent, sent.order)

    def execute_start(self, sent: Sent, order: StartRun) -> StartOutcome:
        """Start a run as a worker does, and check every promise."""
        worker = self.workers[order.worker_id]
        epoch = sent.epoch
        if epoch < worker.fence:
            return StartOutcome.FENCED
        worker.fence = epoch
        key = (order.task, order.run)
        if key in worker.running:
            return StartOutcome.STARTED
        if order.run <= worker.closed.get(order.task, 0):
            return StartOutcome.STALE_RUN
        if self.clock.now() >= sent.until_s:
            return StartOutcome.EXPIRED
        worker.lease_end_s = max(worker.lease_end_s, sent.until_s)
        self.check_start(order, worker)
        worker.running[key] = order.checkpoint
        return StartOutcome.STARTED

    def execute_stop(self, epoch: int, order: StopRun) -> None:
        """Stop a run as a worker does."""
        worker = self.workers[order.worker_id]
        if epoch < worker.fence:
            return
        worker.fence = epoch
        key = (order.task, order.run)
        if key in worker.running:
            worker.finish(key, EndKind.STOPPED)
        else:
            worker.closed[order.task] = max(order.run, worker.closed.get(order.task, 0))

    # What happens to workers

    def end(self, worker_id: str, index: int, kind: EndKind) -> None:
        """Let a run end."""
        worker = self.workers[worker_id]
        if not worker.running:
            return
        key = list(worker.running)[index % len(worker.running)]
        if kind is EndKind.FAILED:
            self.failed[key[0]] = self.failed.get(key[0], 0) + 1
            self.failed_ever[key[0]] = self.failed_ever.get(key[0], 0) + 1
        worker.finish(key, kind)

    def restart(self, worker_id: str) -> None:
        """Let a worker crash and start again under its id."""
        worker = self.workers[worker_id]
        self.void_ends(worker)
        lost = [
            sent
            for sent in self.pending
            if isinstance(sent.order, StartRun) and sent.order.worker_id == worker_id
        ]
        for sent in lost:
            self.pending.remove(sent)
            assert isinstance(sent.order, StartRun)
            if sent.epoch == self.epoch:
                unknown = StartOutcome.UNKNOWN
                self.send(self.scheduler.note_start(sent.order, unknown))
        born_ms = worker.born_ms + 1
        self.workers[worker_id] = ModelWorker(worker_id, worker.capacity, born_ms)
        self.unanswered = [
            sent
            for sent in self.unanswered
            if isinstance(sent.order, StartRun) and sent.order.worker_id != worker_id
        ]

    def void_ends(self, worker: ModelWorker) -> None:
        """Let ends that nobody acknowledged in time bind nobody."""
        for end in worker.ends:
            if end.number in worker.void:
                continue
            worker.void.add(end.number)
            if end.kind is EndKind.FAILED:
                self.failed[end.task] -= 1

    def pass_time(self, seconds: float) -> None:
        """Let time pass; runs whose lease has lapsed are killed."""
        self.clock.advance(seconds)
        for worker in self.workers.values():
            if self.clock.now() > worker.lease_end_s:
                self.void_ends(worker)
                for key in list(worker.running):
                    worker.finish(key, EndKind.LEASE_LAPSED)

    # Promises

    def check_start(self, order: StartRun, worker: ModelWorker) -> None:
        """Check that a start breaks no promise."""
        record = self.records.get(order.task.step.job_id)
        assert record is not None, "started what nobody asked for"
        for other in self.workers.values():
            for task, run in other.running:
                assert task != order.task, (
                    f"{task} runs twice, as {run} and {order.run}"
                )
        assert order.task not in self.acknowledged_done, "started again after its end"
        step = record.specification.steps[order.task.step.step]
        used = self.used_on(worker) + step.charged
        assert used.fits_in(worker.capacity), "worker overfilled"
        total = step.request
        for other in self.workers.values():
            total = total + self.used_on(other)
        assert total.fits_in(LIMIT), "workspace beyond its limit"
        assert self.failed.get(order.task, 0) < MAX_ATTEMPTS, (
            "started beyond its attempts"
        )
        for before in step.after:
            for index in range(record.specification.steps[before].count):
                name = TaskName(
                    order.task.step.__class__(record.job_id, 0, before), index
                )
                assert self.has_done(name), "started before its predecessors"

    def has_done(self, name: TaskName) -> bool:
        """Tell whether a task's end as done is recorded, or still listed."""
        if name in self.acknowledged_done:
            return True
        job = self.scheduler.jobs.get(name.step.job_id)
        task = find_task(job, name) if job else None
        return task is not None and task.is_done

    def used_on(self, worker: ModelWorker) -> Resources:
        """Return what really runs on a worker."""
        used = NO_RESOURCES
        for task, _ in worker.running:
            job = make_job(self.records[task.step.job_id])
            found = find_task(job, task)
            assert found is not None
            used = used + found.step.specification.charged
        return used
