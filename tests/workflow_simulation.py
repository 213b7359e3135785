"""Simulates workers, the store and successive owners, driven event by event."""

from __future__ import annotations

from attrs import evolve

from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.job_progress import JobProgress, collect_progress
from fuchsiadale.decision.workflow.jobs import (
    Job,
    JobState,
    find_task,
    make_job,
)
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    Order,
    ReportedRun,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerReport,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.specification import JobRecord
from tests.simulated_worker import SentOrder, SimulatedWorker
from tests.workflow_builders import (
    LANES,
    make_configuration,
    make_entry,
    make_queue,
)

LEASE_S = 6.0  # Seconds of the lease that a start or a poll gives a worker.
LEASE_LAPSE_S = 7.0  # Seconds until the owner takes it as lapsed, with a margin.
MAX_ATTEMPTS = 2
MAX_CRASHES = 4  # Crashes under a task after which it may be given up in any case.
MIN_CRASHED_WORKERS = 2  # Workers crashed under a task that may then be given up.
LIMIT = Resources(9000, 1 << 30, 1 << 30)
QUEUES = (
    make_queue("urgent", priority=0, max_attempts=MAX_ATTEMPTS),
    make_queue("batch", priority=2, max_attempts=MAX_ATTEMPTS, stretch=10.0),
)


class ClusterSimulation:
    """Simulates three workers, a store and one owner after another.

    Orders and answers may be lost or late. Every start that a worker executes is
    checked against the scheduler's invariants.
    """

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.records: dict[str, JobRecord] = {}
        self.cancelled_jobs: set[str] = set()
        self.recorded_progress: dict[str, JobProgress] = {}
        self.acknowledged_done_tasks: set[TaskName] = set()
        # Failed runs by task, without those of nonbinding ends.
        self.binding_failures: dict[TaskName, int] = {}
        self.all_failures: dict[TaskName, int] = {}
        self.recorded_runs: dict[str, list[tuple[TaskName, int]]] = {}
        self.recorded_started_ms: dict[str, int] = {}
        self.unsent_starts: list[StartRun] = []  # Their runs are not recorded yet.
        entries = [make_entry(index) for index in range(3)]
        self.entries = {entry.worker_id: entry for entry in entries}
        self.workers = {
            entry.worker_id: SimulatedWorker(entry.worker_id, entry.capacity)
            for entry in entries
        }
        self.epoch = 0
        self.sent_orders: list[SentOrder] = []
        # The owner no longer awaits an answer to these.
        self.delayed_starts: list[SentOrder] = []
        # Ids of the workers that crashed with a run, by the run's task.
        self.crashed_under: dict[TaskName, set[str]] = {}
        self.crash_counts: dict[TaskName, int] = {}
        self.take_over()

    @property
    def worker_ids(self) -> list[str]:
        """Ids of the workers."""
        return list(self.workers)

    # Actions of the owner

    def take_over(self) -> None:
        """Start a new owner, which recovers from the store."""
        self.epoch += 1
        self.scheduler = Scheduler(self.clock, self.epoch)
        self.scheduler.apply_configuration(make_configuration(*QUEUES, limit=LIMIT))
        self.planner = Planner(self.scheduler)
        for record in self.records.values():
            self.scheduler.recover(
                record, self.recorded_progress.get(record.job_id), 0.0
            )
        for job_id in self.cancelled_jobs:
            self.scheduler.cancel(job_id)
        self.register_workers()
        self.unsent_starts = []
        recorded_lease_end_s = self.clock.now() + LEASE_LAPSE_S
        for worker_id in self.scheduler.workers:
            runs = self.recorded_runs.get(worker_id, [])
            self.scheduler.restore_runs(
                worker_id,
                runs,
                recorded_lease_end_s,
                self.recorded_started_ms.get(worker_id, 0),
            )
        self.send_orders(self.scheduler.pop_orders())

    def register_workers(self) -> None:
        """Let a new owner learn of the workers."""
        self.scheduler.update_registrations(self.entries.values())

    def send_orders(self, orders: list[Order]) -> None:
        """Send orders; starts wait until their run is recorded."""
        for order in orders:
            if isinstance(order, StartRun):
                self.unsent_starts.append(order)
            else:
                self.sent_orders.append(SentOrder(self.epoch, order, 0.0))
        self.send_recorded_starts()

    def send_recorded_starts(self) -> None:
        """Send the starts whose runs are recorded, and drop those no longer needed."""
        now = self.clock.now()
        unsent, self.unsent_starts = self.unsent_starts, []
        for order in unsent:
            if not self.scheduler.is_start_needed(order):
                continue
            if self.scheduler.is_start_recorded(order):
                self.scheduler.extend_lease(order.worker_id, now + LEASE_LAPSE_S)
                self.scheduler.note_start_sent(order)
                self.sent_orders.append(SentOrder(self.epoch, order, now + LEASE_S))
            else:
                self.unsent_starts.append(order)

    def accept(self, record: JobRecord) -> None:
        """Store a job and pass it to the owner."""
        self.records[record.job_id] = record
        self.scheduler.accept(record, 0.0)

    def cancel(self, job_id: str) -> None:
        """Store a cancellation and pass it to the owner."""
        self.cancelled_jobs.add(job_id)
        self.scheduler.cancel(job_id)
        self.send_orders(self.scheduler.pop_orders())

    def plan(self) -> None:
        """Let the owner process elapsed time, and plan."""
        self.send_orders(self.scheduler.check_timeouts())
        self.send_orders(self.planner.plan(LANES))

    def record_progress(self) -> None:
        """Record the progress of jobs and the runs of all workers."""
        for job_id in self.scheduler.unrecorded_jobs:
            job = self.scheduler.jobs[job_id]
            self.recorded_progress[job_id] = collect_progress(job)
            job.recorded_state = job.state
            if job.state is JobState.FAILED:
                self.check_failed(job)
        self.scheduler.unrecorded_jobs.clear()
        for worker_id, worker in self.scheduler.workers.items():
            self.recorded_runs[worker_id] = list(worker.runs)
            self.recorded_started_ms[worker_id] = worker.started_ms
            worker.note_recorded(worker.runs)
        self.send_recorded_starts()

    def poll(self, worker_id: str, is_answered: bool) -> None:
        """Renew a worker's lease by a poll whose answer may be lost."""
        worker = self.workers[worker_id]
        now = self.clock.now()
        tracked_worker = self.scheduler.workers[worker_id]
        self.scheduler.extend_lease(worker_id, now + LEASE_LAPSE_S)
        if worker.highest_epoch > self.epoch:
            return
        worker.highest_epoch = self.epoch
        worker.lease_end_s = max(worker.lease_end_s, now + LEASE_S)
        is_recorded = not self.scheduler.unrecorded_jobs
        if is_recorded and tracked_worker.started_ms == worker.incarnation_started_ms:
            last_acknowledged_end = tracked_worker.last_processed_end
            for end in worker.listed_ends:
                is_binding = end.sequence_number not in worker.nonbinding_ends
                if (
                    end.sequence_number <= last_acknowledged_end
                    and end.kind is EndKind.DONE
                    and is_binding
                ):
                    self.acknowledged_done_tasks.add(end.task)
            worker.listed_ends = [
                end
                for end in worker.listed_ends
                if end.sequence_number > last_acknowledged_end
            ]
        if not is_answered:
            self.scheduler.mark_worker_unresponsive(worker_id)
            return
        reported_runs = tuple(
            ReportedRun(task, run, checkpoint, 10, 1.0)
            for (task, run), checkpoint in worker.running.items()
        )
        report = WorkerReport(
            worker.incarnation_started_ms, 0, reported_runs, tuple(worker.listed_ends)
        )
        self.clock.advance(0.001)
        self.send_orders(self.scheduler.process_report(worker_id, report, now))

    # Delivery of orders

    def deliver_order(self, index: int, is_answered: bool) -> None:
        """Deliver an order to its worker, whose answer may be lost."""
        if not self.sent_orders:
            return
        sent = self.sent_orders.pop(index % len(self.sent_orders))
        epoch, order = sent.epoch, sent.order
        if isinstance(order, StartRun):
            outcome = self.execute_start(sent, order)
            if epoch != self.epoch:
                return
            if is_answered:
                self.send_orders(self.scheduler.note_start_outcome(order, outcome))
            else:
                self.send_orders(
                    self.scheduler.note_start_outcome(order, StartOutcome.UNKNOWN)
                )
        elif isinstance(order, StopRun):
            self.execute_stop(epoch, order)
            if epoch == self.epoch and is_answered:
                self.scheduler.note_stop_acknowledged(order)
            elif epoch == self.epoch:
                self.sent_orders.append(sent)

    def delay_start(self, index: int) -> None:
        """Let the owner stop waiting for a start that may be delivered later."""
        starts = [
            sent
            for sent in self.sent_orders
            if isinstance(sent.order, StartRun) and sent.epoch == self.epoch
        ]
        if not starts:
            return
        sent = starts[index % len(starts)]
        order = sent.order
        self.sent_orders.remove(sent)
        assert isinstance(order, StartRun)
        self.delayed_starts.append(sent)
        self.send_orders(self.scheduler.note_start_outcome(order, StartOutcome.UNKNOWN))

    def execute_delayed_start(self, index: int) -> None:
        """Deliver a start whose sender has stopped waiting for the answer."""
        if self.delayed_starts:
            sent = self.delayed_starts.pop(index % len(self.delayed_starts))
            assert isinstance(sent.order, StartRun)
            self.execute_start(sent, sent.order)

    def execute_start(self, sent: SentOrder, order: StartRun) -> StartOutcome:
        """Start a run as a worker does, and check the scheduler's invariants."""
        worker = self.workers[order.worker_id]
        epoch = sent.epoch
        if epoch < worker.highest_epoch:
            return StartOutcome.FENCED
        worker.highest_epoch = epoch
        key = (order.task, order.run)
        if key in worker.running:
            return StartOutcome.STARTED
        if order.run <= worker.last_ended_runs.get(order.task, 0):
            return StartOutcome.STALE_RUN
        if self.clock.now() >= sent.start_lease_end_s:
            return StartOutcome.EXPIRED
        worker.lease_end_s = max(worker.lease_end_s, sent.start_lease_end_s)
        self.check_start(order, worker)
        worker.running[key] = order.checkpoint
        return StartOutcome.STARTED

    def execute_stop(self, epoch: int, order: StopRun) -> None:
        """Stop a run as a worker does."""
        worker = self.workers[order.worker_id]
        if epoch < worker.highest_epoch:
            return
        worker.highest_epoch = epoch
        key = (order.task, order.run)
        if key in worker.running:
            worker.finish_run(key, EndKind.STOPPED)
        else:
            worker.last_ended_runs[order.task] = max(
                order.run, worker.last_ended_runs.get(order.task, 0)
            )

    # Events of workers

    def end_run(self, worker_id: str, index: int, kind: EndKind) -> None:
        """End one of a worker's runs."""
        worker = self.workers[worker_id]
        if not worker.running:
            return
        key = list(worker.running)[index % len(worker.running)]
        if kind is EndKind.FAILED:
            self.binding_failures[key[0]] = self.binding_failures.get(key[0], 0) + 1
            self.all_failures[key[0]] = self.all_failures.get(key[0], 0) + 1
        worker.finish_run(key, kind)

    def restart_worker(self, worker_id: str) -> None:
        """Restart a worker under the same id; its runs and sent starts are lost."""
        self.lose_runs(worker_id)
        worker = self.workers[worker_id]
        started = worker.incarnation_started_ms + 1
        self.workers[worker_id] = SimulatedWorker(worker_id, worker.capacity, started)
        self.entries[worker_id] = evolve(self.entries[worker_id], started_ms=started)
        self.register_workers()

    def lose_runs(self, worker_id: str) -> None:
        """Drop the runs of a worker that crashes, and the starts sent to it."""
        worker = self.workers[worker_id]
        self.mark_ends_nonbinding(worker)
        # An owner cannot tell whether a run ended before the crash, or by it.
        unseen_ends = [end.task for end in worker.listed_ends]
        for task in {task for task, _ in worker.running}.union(unseen_ends):
            self.crashed_under.setdefault(task, set()).add(worker_id)
            self.crash_counts[task] = self.crash_counts.get(task, 0) + 1
        worker.running.clear()
        lost_starts = [
            sent
            for sent in self.sent_orders
            if isinstance(sent.order, StartRun) and sent.order.worker_id == worker_id
        ]
        for sent in lost_starts:
            self.sent_orders.remove(sent)
            assert isinstance(sent.order, StartRun)
            if sent.epoch == self.epoch:
                outcome = StartOutcome.UNKNOWN
                self.send_orders(self.scheduler.note_start_outcome(sent.order, outcome))
        self.delayed_starts = [
            sent
            for sent in self.delayed_starts
            if isinstance(sent.order, StartRun) and sent.order.worker_id != worker_id
        ]

    def mark_ends_nonbinding(self, worker: SimulatedWorker) -> None:
        """Note that owners may never know a worker's listed ends, and drop failures."""
        for end in worker.listed_ends:
            if end.sequence_number in worker.nonbinding_ends:
                continue
            worker.nonbinding_ends.add(end.sequence_number)
            if end.kind is EndKind.FAILED:
                self.binding_failures[end.task] -= 1

    def advance_time(self, seconds: float) -> None:
        """Advance the clock; workers kill runs whose lease has lapsed."""
        self.clock.advance(seconds)
        for worker in self.workers.values():
            if self.clock.now() > worker.lease_end_s:
                self.mark_ends_nonbinding(worker)
                for key in list(worker.running):
                    worker.finish_run(key, EndKind.LEASE_LAPSED)

    # Invariants

    def check_start(self, order: StartRun, worker: SimulatedWorker) -> None:
        """Check that a start violates no invariant of the scheduler."""
        record = self.records.get(order.task.step.job_id)
        assert record is not None, "started a task of a job that was not accepted"
        for other in self.workers.values():
            for task, run in other.running:
                assert task != order.task, (
                    f"{task} runs twice, as {run} and {order.run}"
                )
        assert order.task not in self.acknowledged_done_tasks, (
            "started again after its end"
        )
        step = record.specification.steps[order.task.step.step]
        used_on_worker = self.used_resources(worker) + step.charged
        assert used_on_worker.fits_in(worker.capacity), "worker overfilled"
        used_by_workspace = step.request
        for other in self.workers.values():
            used_by_workspace = used_by_workspace + self.used_resources(other)
        assert used_by_workspace.fits_in(LIMIT), "workspace beyond its limit"
        assert self.binding_failures.get(order.task, 0) < MAX_ATTEMPTS, (
            "started beyond its attempts"
        )
        for predecessor in step.after:
            for index in range(record.specification.steps[predecessor].count):
                name = TaskName(
                    order.task.step.__class__(record.job_id, 0, predecessor), index
                )
                assert self.is_known_done(name), "started before a predecessor was done"

    def check_failed(self, job: Job) -> None:
        """Check that runs failed, or workers crashed, often enough for a failed job."""
        names = [task.name for task in job.tasks()]
        has_failed_often = any(
            self.all_failures.get(name, 0) >= MAX_ATTEMPTS for name in names
        )
        has_crashed_workers = any(
            len(self.crashed_under.get(name, ())) >= MIN_CRASHED_WORKERS
            or self.crash_counts.get(name, 0) >= MAX_CRASHES
            for name in names
        )
        assert has_failed_often or has_crashed_workers, "failed without cause"

    def is_known_done(self, name: TaskName) -> bool:
        """Return whether an owner has acknowledged or processed a task's completion."""
        if name in self.acknowledged_done_tasks:
            return True
        job = self.scheduler.jobs.get(name.step.job_id)
        task = find_task(job, name) if job else None
        return task is not None and task.is_done

    def used_resources(self, worker: SimulatedWorker) -> Resources:
        """Return the resources reserved by the runs that are present on a worker."""
        used = NO_RESOURCES
        for task, _ in worker.running:
            job = make_job(self.records[task.step.job_id])
            found = find_task(job, task)
            assert found is not None
            used = used + found.step.specification.charged
        return used
