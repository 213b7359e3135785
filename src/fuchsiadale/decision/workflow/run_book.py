"""Counts runs from the order to start until their end is certain."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.workflow.job_book import JobBook
from fuchsiadale.decision.workflow.jobs import (
    JobState,
    Run,
    RunState,
    Step,
    Task,
    find_task,
)
from fuchsiadale.decision.workflow.ledger import WorkerLedger
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    Order,
    StartOutcome,
    StartRun,
    StopRun,
)
from fuchsiadale.decision.workflow.names import TaskName

RUNS_PER_EPOCH = 10_000
"""Run numbers set aside for each owner, so that a successor's are higher."""


class RunBook(JobBook):
    """Keeps the runs of a cell in every account."""

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

    def _find_run(self, order: StopRun) -> Run | None:
        worker = self.workers.get(order.worker_id)
        return worker.runs.get((order.task, order.run)) if worker else None

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
                    self._learn(worker, step, self.clock.now() - run.confirmed_s)
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

    def _learn(self, worker: WorkerLedger, step: Step, ran_s: float) -> None:
        """Learn from a whole run."""
        queue, estimated_s = step.job.record.queue, step.specification.estimated_s
        worker.note_duration(ran_s, self.durations.predict_s(queue, estimated_s))
        self.durations.observe(queue, estimated_s, ran_s, 1.0 / len(step.tasks))
        step.ended_runs += 1
        step.ended_runs_s += ran_s

    def _complete(self, task: Task) -> None:
        step = task.step
        completed = step.tasks if step.specification.is_gang else [task]
        for member in completed:
            if not member.is_done:
                member.is_done = True
                step.done_count += 1
                step.job.done_tasks += 1
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
