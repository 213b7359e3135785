"""Keeps the state of all jobs and workers of a cell, and decides on every event."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.workflow.configuration import CellConfiguration, Queue
from fuchsiadale.decision.workflow.decisions import Decision, DecisionLog
from fuchsiadale.decision.workflow.jobs import (
    Job,
    JobProgress,
    JobState,
    Run,
    RunState,
    Step,
    Task,
    find_task,
    make_job,
    restore_progress,
)
from fuchsiadale.decision.workflow.ledger import WorkerLedger
from fuchsiadale.decision.workflow.limits import SubmissionRates, Usage
from fuchsiadale.decision.workflow.messages import (
    AskAdvice,
    EndedRow,
    EndKind,
    Order,
    RunningRow,
    StartOutcome,
    StartRun,
    StopRun,
    Ticket,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.pacing import pace_orders
from fuchsiadale.decision.workflow.specification import JobRecord

RUNS_PER_EPOCH = 10_000
"""Run numbers set aside for each owner, so that a successor's are higher."""

LEAVE_MARGIN_S = 0.8
"""Seconds before a worker leaves at which runs are stopped: a stop and a look."""

STALL_S = 3.0
"""Seconds without progress after which a run is stopped: three checkpoints."""

STOP_SETTLE_S = 0.4
"""Seconds after an acknowledged stop in which the run may still be listed."""

TICKET_MARGIN_S = 0.15
"""Validity that a ticket must have left when it is used: a start's way, slowed."""

FOREIGN_RUN_S = 2.0
"""Seconds after which a run of no known job is stopped; a watch's silence."""


class Scheduler:
    """Decides where tasks run; it is told of events and gives orders.

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
        self.unrecorded: set[str] = set()
        self.retired_workers: set[str] = set()
        self.decisions = DecisionLog()
        self.asking = 0
        self._rates = SubmissionRates({})
        self._orders: list[Order] = []

    # Jobs

    def accept(self, record: JobRecord, now_unix_s: float) -> None:
        """Take an accepted job in; a repeat changes nothing."""
        if record.job_id in self.jobs:
            return
        job = make_job(record)
        self._admit(job, now_unix_s)
        self._open_steps(job, now_unix_s)
        queue = self.queue_of(job)
        specification = record.specification
        self._decide(
            "job_accepted",
            record.job_id,
            queue=record.queue,
            workspace=record.workspace,
            priority=queue.priority if queue else None,
            tasks=[step.count for step in specification.steps],
            chain_s=round(specification.chain_s, 3),
            due_in_s=round(job.due_s - self.clock.now(), 3),
            is_excess=job.is_excess,
            is_filler=any(step.is_filler for step in specification.steps),
            target_s=max(step.target_s for step in specification.steps),
        )

    def recover(
        self, record: JobRecord, progress: JobProgress | None, now_unix_s: float
    ) -> None:
        """Take a job in that an earlier owner may have begun."""
        job = make_job(record)
        if progress is not None:
            restore_progress(job, progress)
        self._admit(job, now_unix_s)
        if not job.state.is_final:
            self._open_steps(job, now_unix_s)

    def cancel(self, job_id: str) -> None:
        """End a job on its caller's behalf."""
        job = self.jobs.get(job_id)
        if job is None or job.is_cancelled:
            return
        job.is_cancelled = True
        if not job.state.is_final:
            self._finish(job, JobState.CANCELLED)

    def apply_configuration(self, configuration: CellConfiguration) -> None:
        """Work under a newer configuration."""
        if configuration.version > self.configuration.version:
            self.configuration = configuration

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job as it is configured now."""
        return self.configuration.queue(job.record.queue)

    def count_pending(self) -> dict[str, int]:
        """Return how many accepted jobs of each queue have started nothing."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if job.state is JobState.QUEUED:
                queue = job.record.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def open_due_steps(self, now_unix_s: float) -> None:
        """Make the occurrences ready that have become due."""
        for job in self.jobs.values():
            if job.record.specification.schedule and not job.state.is_final:
                self._open_steps(job, now_unix_s)

    # Takeover

    def restore_runs(
        self,
        worker_id: str,
        runs: Iterable[tuple[TaskName, int]],
        lease_ends_s: float,
    ) -> None:
        """Count what a former owner recorded as started on a worker."""
        worker = self.workers[worker_id]
        now = self.clock.now()
        worker.note_lease(lease_ends_s)
        for name, number in runs:
            job = self.jobs.get(name.step.job_id)
            task = find_task(job, name) if job else None
            if job is None or task is None:
                continue
            run = self._count_run(task, worker, number, now)
            if job.state.is_final or task.is_done:
                self._stop(run, "not_needed")
        worker.note_recorded(worker.runs)

    def shorten_leases(self, until_s: float) -> None:
        """Note when what the former owner started has surely ended."""
        for worker in self.workers.values():
            if not worker.is_adopted:
                worker.lease_ends_s = min(worker.lease_ends_s, until_s)

    # Workers

    def observe_workers(self, entries: Iterable[WorkerEntry]) -> list[WorkerLedger]:
        """Take the list of registered workers over.

        Returns
        -------
        added : list of WorkerLedger
            Workers that were not known.
        """
        added = []
        present = set()
        for entry in entries:
            present.add(entry.worker_id)
            known = self.workers.get(entry.worker_id)
            if known is None:
                worker = WorkerLedger(entry, lease_ends_s=self.clock.now())
                self.workers[entry.worker_id] = worker
                added.append(worker)
                self._decide("worker_found", "", worker=entry.worker_id)
                continue
            if known.entry.state is not entry.state:
                self._decide(
                    "worker_state",
                    "",
                    worker=entry.worker_id,
                    state=entry.state.value,
                )
            known.renew_entry(entry, self.clock.now())
        for worker_id, worker in self.workers.items():
            if worker_id not in present and worker.is_listed:
                worker.is_listed = False
                self._decide("worker_unlisted", "", worker=worker_id)
        return added

    def note_failure_to_answer(self, worker_id: str) -> None:
        """Note that a worker did not answer; nothing new is placed on it."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.failing_since_s is None:
            worker.failing_since_s = self.clock.now()
            self._decide("worker_silent", "", worker=worker_id)

    def note_lease(self, worker_id: str, ends_s: float) -> None:
        """Note when everything on a worker ends if no later order reaches it."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.note_lease(ends_s)

    def note_report(
        self, worker_id: str, report: WorkerReport, sent_s: float
    ) -> list[Order]:
        """Compare what a worker reports with what was placed on it."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return []
        now = self.clock.now()
        if worker.failing_since_s is not None:
            self._decide("worker_answers", "", worker=worker_id)
            worker.failing_since_s = None
        if report.started_ms != worker.started_ms:
            if worker.started_ms:
                # Runs of the former life are found absent below. A start may have
                # reached the new life already, so nothing is dropped unseen.
                self._decide("worker_restarted", "", worker=worker_id)
            worker.started_ms = report.started_ms
            worker.processed_end = 0
        seen = set()
        worker.foreign_runs = 0
        for row in report.running:
            seen.add((row.task, row.run))
            self._note_running(worker, row, now)
        if not worker.foreign_runs:
            worker.foreign_since_s = None
        for ended in report.ended:
            seen.add((ended.task, ended.run))
            if ended.number > worker.processed_end:
                worker.processed_end = ended.number
                self._note_end(worker, ended)
        self._note_absent(worker, seen, sent_s)
        for order in pace_orders(worker.runs.values()):
            self._orders.append(order)
            self._decide(
                "run_paced",
                order.task.step.job_id,
                task=str(order.task),
                run=order.run,
                worker=worker_id,
                percent=order.percent,
            )
        if not worker.is_adopted:
            worker.is_adopted = True
        return self.take_orders()

    def note_start(self, order: StartRun, outcome: StartOutcome) -> list[Order]:
        """Take the outcome of an order to start."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if worker is None or run is None or run.state is not RunState.STARTING:
            return []
        now = self.clock.now()
        self._decide(
            "start_answered",
            order.task.step.job_id,
            task=str(order.task),
            run=order.run,
            worker=order.worker_id,
            outcome=outcome.value,
            age_ms=round(1000 * (now - run.started_s)),
        )
        if outcome is StartOutcome.STARTED:
            run.state = RunState.RUNNING
            run.confirmed_s = run.progressed_s = now
        elif outcome is StartOutcome.UNKNOWN:
            self._stop(run, "start_unknown")
            run.state = RunState.UNCONFIRMED
        else:
            self._remove(run)
            self._after_refused_start(run, worker, outcome)
        return self.take_orders()

    def may_send(self, order: StartRun) -> bool:
        """Tell whether a start is recorded, so that it may be sent."""
        worker = self.workers.get(order.worker_id)
        return worker is not None and worker.has_recorded(order.task, order.run)

    def is_wanted(self, order: StartRun) -> bool:
        """Tell whether a start that has not been sent is still to be sent."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        return run is not None and run.state is RunState.STARTING

    def has_expired(self, order: StartRun) -> bool:
        """Tell whether the ticket of a start has expired."""
        step = self.live_steps.get(order.task.step)
        if step is None or not order.ticket:
            return False
        return not step.has_ticket(order.worker_id, self.clock.now())

    def note_stopped(self, order: StopRun) -> None:
        """Note that a worker acknowledged an order to stop."""
        run = self._find_run(order)
        if run is not None:
            run.stop_acknowledged_s = self.clock.now()

    def expects(self, order: StopRun) -> bool:
        """Tell whether the run to stop may still be there."""
        return self._find_run(order) is not None

    def note_replaced(self, worker_id: str) -> None:
        """Note that another worker answers at a worker's address."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        self.note_failure_to_answer(worker_id)
        if worker.runs:
            self._decide("worker_replaced", "", worker=worker_id)
            self._drop_runs(worker, list(worker.runs.values()))
        worker.is_adopted = False

    def forget_gone_workers(self) -> list[str]:
        """Drop workers that are not registered, not answering and empty."""
        gone = [
            worker_id
            for worker_id, worker in self.workers.items()
            if not worker.is_listed
            and worker.failing_since_s is not None
            and not worker.runs
        ]
        for worker_id in gone:
            del self.workers[worker_id]
            self.retired_workers.add(worker_id)
            self._decide("worker_forgotten", "", worker=worker_id)
        return gone

    def _find_run(self, order: StopRun) -> Run | None:
        worker = self.workers.get(order.worker_id)
        return worker.runs.get((order.task, order.run)) if worker else None

    def note_advice(
        self,
        order: AskAdvice,
        granted: dict[str, str] | None,
        valid_s: float,
    ) -> None:
        """Take an answer of the advice service; None if there was none."""
        self.asking -= 1
        step = self.live_steps.get(order.step)
        if step is None:
            return
        step.is_asking = False
        now = self.clock.now()
        if granted is None:
            step.ask_not_before_s = now + 0.1
            return
        for worker_id in order.worker_ids:
            step.advised[worker_id] = worker_id in granted
            if worker_id in granted:
                ticket = Ticket(granted[worker_id], now + valid_s - TICKET_MARGIN_S)
                step.tickets[worker_id] = ticket
        self._decide(
            "advice_received",
            order.step.job_id,
            step=str(order.step),
            asked=len(order.worker_ids),
            granted=len(granted),
        )

    def check_time(self) -> list[Order]:
        """Act on what the passing of time decides."""
        now = self.clock.now()
        for worker in list(self.workers.values()):
            if worker.runs and worker.failing_since_s is not None:
                if now > worker.lease_ends_s:
                    self._decide(
                        "lease_lapsed",
                        "",
                        worker=worker.entry.worker_id,
                        silent_s=round(now - worker.failing_since_s, 3),
                    )
                    worker.is_adopted = False
                    self._drop_runs(worker, list(worker.runs.values()))
                continue
            leaving = self._is_leaving(worker, now)
            for run in list(worker.runs.values()):
                if run.state is not RunState.RUNNING:
                    continue
                if leaving:
                    self._stop(run, "worker_leaves")
                elif self._is_stalled(run, now):
                    worker.note_failure(run.task.name.step.job_id, now)
                    run.task.failed_on.add(run.worker_id)
                    self._stop(run, "stalled")
        return self.take_orders()

    def place(self, task: Task, worker: WorkerLedger, number: int) -> None:
        """Order a run of a task on a worker."""
        now = self.clock.now()
        worker_id = worker.entry.worker_id
        job = task.step.job
        run = Run(task, worker_id, number, RunState.STARTING, now, progressed_s=now)
        run.was_resumed = bool(task.checkpoint)
        task.runs.append(run)
        task.last_run = number
        task.step.waiting.pop(task.index, None)
        worker.add(run)
        self.usage.add(job.record.workspace, task.step.specification.request)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        ticket = task.step.tickets.get(worker_id)
        self._orders.append(
            StartRun(
                worker_id,
                task.name,
                number,
                job.record.specification.payload,
                task.checkpoint,
                ticket.text if ticket else "",
            )
        )
        self._decide(
            "task_placed",
            job.record.job_id,
            task=str(task.name),
            run=number,
            worker=worker_id,
        )

    def next_run(self, tasks: Iterable[Task]) -> int:
        """Return a number for the next run, above those of every former one."""
        floor = (self.epoch - 1) * RUNS_PER_EPOCH
        return max(max(task.last_run for task in tasks), floor) + 1

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

    # Rules

    def _admit(self, job: Job, now_unix_s: float) -> None:
        record = job.record
        now = self.clock.now()
        age_s = now_unix_s - record.accepted_s
        queue = self.queue_of(job)
        workspace = self.configuration.workspace(record.workspace)
        stretch = queue.stretch if queue else 1.0
        slack_s = queue.slack_s if queue else 0.0
        job.due_s = now - age_s + stretch * record.specification.chain_s + slack_s
        if workspace is not None:
            weight = workspace.weight
            job.is_excess = self._rates.is_excess(record.workspace, weight, now)
        self.jobs[record.job_id] = job

    def _open_steps(self, job: Job, now_unix_s: float) -> None:
        schedule = job.record.specification.schedule
        for step in job.steps.values():
            if step.name in self.live_steps or step.is_done:
                continue
            if schedule and now_unix_s < schedule.due_s(step.name.occurrence):
                continue
            if job.predecessors_are_done(step):
                self.live_steps[step.name] = step

    def _finish(self, job: Job, state: JobState) -> None:
        job.state = state
        job.ended_s = self.clock.now()
        self.unrecorded.add(job.record.job_id)
        for step in job.steps.values():
            self.live_steps.pop(step.name, None)
            for task in step.tasks:
                for run in task.runs:
                    self._stop(run, state.value)
        self._decide("job_ended", job.record.job_id, state=state.value)

    def _note_running(self, worker: WorkerLedger, row: RunningRow, now: float) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            run = self._adopt_run(worker, row, now)
            if run is None:
                return
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.confirmed_s = now
        task = run.task
        if row.progress_percent != run.progress_percent:
            run.progressed_s = now
        if row.checkpoint and row.checkpoint != task.checkpoint:
            run.progressed_s = now
            task.checkpoint = row.checkpoint
        run.progress_percent = row.progress_percent
        run.load = row.load

    def _adopt_run(
        self, worker: WorkerLedger, row: RunningRow, now: float
    ) -> Run | None:
        """Count a run that an earlier owner started."""
        job = self.jobs.get(row.task.step.job_id)
        task = find_task(job, row.task) if job else None
        worker_id = worker.entry.worker_id
        if job is None or task is None:
            worker.foreign_runs += 1
            if worker.foreign_since_s is None:
                worker.foreign_since_s = now
            elif now - worker.foreign_since_s > FOREIGN_RUN_S:
                order = StopRun(worker_id, row.task, row.run, "unknown_job")
                self._orders.append(order)
            return None
        is_needed = task.is_waiting and not job.state.is_final
        run = self._count_run(task, worker, row.run, now)
        self._decide(
            "run_adopted",
            job.record.job_id,
            task=str(row.task),
            run=row.run,
            worker=worker_id,
        )
        if not is_needed:
            self._stop(run, "not_needed")
        return run

    def _count_run(
        self, task: Task, worker: WorkerLedger, number: int, now: float
    ) -> Run:
        """Enter a run of an earlier owner into every account."""
        job = task.step.job
        run = Run(task, worker.entry.worker_id, number, RunState.RUNNING, now, now)
        run.progressed_s = now
        run.was_resumed = True
        task.runs.append(run)
        task.last_run = max(task.last_run, number)
        task.step.waiting.pop(task.index, None)
        worker.add(run)
        self.usage.add(job.record.workspace, task.step.specification.request)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        return run

    def _note_absent(
        self, worker: WorkerLedger, seen: set[tuple[TaskName, int]], sent_s: float
    ) -> None:
        for key, run in list(worker.runs.items()):
            if key in seen or run.state is RunState.STARTING:
                continue
            confirmed_s = run.confirmed_s
            if run.stop_acknowledged_s is not None:
                confirmed_s = run.stop_acknowledged_s + STOP_SETTLE_S
            if confirmed_s is not None and confirmed_s < sent_s:
                self._end(run, EndKind.VANISHED, "")

    def _note_end(self, worker: WorkerLedger, row: EndedRow) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            job = self.jobs.get(row.task.step.job_id)
            task = find_task(job, row.task) if job else None
            if task is None:
                return
            run = Run(task, worker.entry.worker_id, row.run, RunState.RUNNING, 0.0)
            task.last_run = max(task.last_run, row.run)
        self._end(run, row.kind, row.checkpoint)

    def _drop_runs(self, worker: WorkerLedger, runs: list[Run]) -> None:
        for run in runs:
            self._end(run, EndKind.VANISHED, "")

    def _remove(self, run: Run) -> None:
        """Take a run that has surely ended out of every account."""
        task = run.task
        worker = self.workers.get(run.worker_id)
        key = (task.name, run.number)
        if worker is not None and worker.runs.get(key) is run:
            worker.remove(run)
            workspace = task.step.job.record.workspace
            self.usage.remove(workspace, task.step.specification.request)
        if run in task.runs:
            task.runs.remove(run)
        if task.is_waiting:
            task.step.waiting[task.index] = task

    def _end(self, run: Run, kind: EndKind, checkpoint: str) -> None:
        task = run.task
        step = task.step
        job = step.job
        if checkpoint and run.number >= task.last_run:
            task.checkpoint = checkpoint
        self._remove(run)
        self.unrecorded.add(job.record.job_id)
        self._decide(
            "run_ended",
            job.record.job_id,
            task=str(task.name),
            run=run.number,
            worker=run.worker_id,
            how=kind.value,
            ran_ms=round(1000 * (self.clock.now() - run.started_s)),
            progress=run.progress_percent,
            load=run.load,
        )
        worker = self.workers.get(run.worker_id)
        if kind is EndKind.DONE and not step.specification.is_lasting:
            if worker is not None:
                worker.note_success()
                if not run.was_resumed and run.confirmed_s is not None:
                    ran_s = self.clock.now() - run.confirmed_s
                    worker.note_duration(ran_s, step.specification.estimated_s)
            self._complete(task)
        elif kind is EndKind.FAILED:
            task.failed_on.add(run.worker_id)
            if worker is not None and not step.specification.is_lasting:
                now = self.clock.now()
                if worker.note_failure(job.record.job_id, now):
                    self._decide("worker_quarantined", "", worker=run.worker_id)
            self._count_failure(task, run.number)
        if step.specification.is_gang and not step.is_done:
            self._break_gang(step, run.number)

    def _complete(self, task: Task) -> None:
        step = task.step
        completed = step.tasks if step.specification.is_gang else [task]
        for member in completed:
            if not member.is_done:
                member.is_done = True
                step.done_count += 1
                step.waiting.pop(member.index, None)
        for member in completed:
            if not step.specification.is_gang:
                for run in member.runs:
                    self._stop(run, "done_elsewhere")
        if not step.is_done:
            return
        self.live_steps.pop(step.name, None)
        job = step.job
        if job.state.is_final:
            return
        if all(other.is_done for other in job.steps.values()):
            self._finish(job, JobState.COMPLETED)
            return
        for other in job.occurrence_steps(step.name.occurrence):
            if not other.is_done and job.predecessors_are_done(other):
                self.live_steps[other.name] = other

    def _count_failure(self, task: Task, number: int) -> None:
        step = task.step
        job = step.job
        if step.specification.is_lasting:
            return
        task.failures = task.failures.including(number)
        failures = task.failures
        if step.specification.is_gang:
            step.gang_failures = step.gang_failures.including(number)
            failures = step.gang_failures
        queue = self.queue_of(job)
        if queue and failures.count >= queue.max_attempts and not job.state.is_final:
            self._finish(job, JobState.FAILED)

    def _break_gang(self, step: Step, number: int) -> None:
        """Stop what is left of a gang's run once a member has ended."""
        for task in step.tasks:
            for run in task.runs:
                if run.number == number:
                    self._stop(run, "gang_broken")

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

    def _after_refused_start(
        self, run: Run, worker: WorkerLedger, outcome: StartOutcome
    ) -> None:
        step = run.task.step
        if outcome is StartOutcome.TICKET_REFUSED:
            step.tickets.pop(run.worker_id, None)
        elif outcome in (StartOutcome.UNHEALTHY, StartOutcome.NO_ROOM):
            run.task.failed_on.add(run.worker_id)
            worker.note_failure(step.job.record.job_id, self.clock.now())
        if step.specification.is_gang:
            self._break_gang(step, run.number)

    def _is_leaving(self, worker: WorkerLedger, now: float) -> bool:
        if worker.entry.state is not WorkerState.DRAINING or worker.leaves_s is None:
            return False
        return now > worker.leaves_s - LEAVE_MARGIN_S

    def _is_stalled(self, run: Run, now: float) -> bool:
        specification = run.task.step.specification
        if specification.is_lasting or specification.is_filler or run.load is None:
            return False
        return run.load <= 0.0 and now - run.progressed_s > STALL_S

    def _decide(self, kind: str, job_id: str, **inputs: object) -> None:
        self.decisions.add(Decision(kind, job_id, inputs))
