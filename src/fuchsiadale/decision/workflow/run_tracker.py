"""Tracks runs from their start order until their end is certain."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.resources import NO_RESOURCES
from fuchsiadale.decision.workflow.job_tracker import JobTracker
from fuchsiadale.decision.workflow.jobs import (
    JobState,
    Run,
    RunState,
    Step,
    Task,
    find_task,
)
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    Order,
    PaceRun,
    StartOutcome,
    StartRun,
    StopRun,
    VanishReason,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.revocable_runs import find_revocable_priority
from fuchsiadale.decision.workflow.run_ends import RunEnd, RunEndCause
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

RUN_NUMBERS_PER_EPOCH = 10_000
"""Run numbers reserved per epoch, so that a later owner's are always higher."""


class RunTracker(JobTracker):
    """Tracks runs, and the usage of workers and workspaces that they cause."""

    def restore_runs(
        self,
        worker_id: str,
        runs: Iterable[tuple[TaskName, int]],
        lease_ends_s: float,
        started_ms: int = 0,
        misdated_end_s: float = 0.0,
    ) -> None:
        """Add the runs that a former owner recorded as started on a worker.

        Parameters
        ----------
        worker_id : str
            Id of the worker.
        runs : iterable of (TaskName, int)
            Task and number of each recorded run.
        lease_ends_s : float
            When the runs have certainly ended if the worker does not answer this owner,
            on the event loop's clock.
        started_ms : int, default=0
            Start of the worker's incarnation that the runs were recorded for, in Unix
            milliseconds; 0 if it is not known.
        misdated_end_s : float, default=0
            When the leases have ended that orders for another incarnation may have
            granted, on the event loop's clock; 0 for none.
        """
        worker = self.workers[worker_id]
        worker.leases.extend_misdated(misdated_end_s)
        worker.started_ms = started_ms
        now = self.clock.now()
        worker.leases.inherited_end_s = lease_ends_s
        for name, run_number in runs:
            job = self.jobs.get(name.step.job_id)
            task = find_task(job, name) if job else None
            if job is None or task is None:
                continue
            run = self._add_recovered_run(task, worker, run_number, now)
            if job.state.is_final or task.is_done:
                self._stop_run(run, "not_needed")
        worker.note_recorded(worker.runs, started_ms, misdated_end_s)

    def place_task(
        self,
        task: Task,
        worker: TrackedWorker,
        run_number: int,
        is_revocable: bool = False,
    ) -> None:
        """Issue an order to start a run of a task on a worker.

        Parameters
        ----------
        task : Task
            The task.
        worker : TrackedWorker
            The worker.
        run_number : int
            Number of the run.
        is_revocable : bool, default=False
            Whether the run may be stopped for the step that its room is reserved for.
        """
        now = self.clock.now()
        worker_id = worker.entry.worker_id
        job = task.step.job
        run = Run(
            task, worker_id, run_number, RunState.STARTING, now, last_progress_s=now
        )
        run.may_have_resumed = bool(task.checkpoint)
        if is_revocable:
            queue = self.queue_of(job)
            run.revocable_priority = find_revocable_priority(task.step, queue)
        task.runs.append(run)
        task.last_run = run_number
        task.step.waiting_tasks.pop(task.index, None)
        worker.add_run(run)
        self.usage.add(job.record.workspace, task.step.specification.request)
        ticket = task.step.tickets.get(worker_id)
        self._orders.append(
            StartRun(
                worker_id,
                task.name,
                run_number,
                job.record.specification.payload,
                task.checkpoint,
                ticket.text if ticket else "",
                worker.started_ms,
            )
        )
        self._record_decision(
            "task_placed",
            job.record.job_id,
            task=str(task.name),
            run=run_number,
            worker=worker_id,
            report_age_ms=worker.report_age_ms(now),
            is_revocable=run.revocable_priority is not None,
        )

    def next_run_number(self, tasks: Iterable[Task]) -> int:
        """Return a number for the next run that is above those of all earlier runs."""
        last_of_earlier_epochs = (self.epoch - 1) * RUN_NUMBERS_PER_EPOCH
        return max(max(task.last_run for task in tasks), last_of_earlier_epochs) + 1

    def note_start_outcome(self, order: StartRun, outcome: StartOutcome) -> list[Order]:
        """Process the outcome of a start order and return the orders that follow.

        The outcome of a run that is no longer starting is ignored.
        """
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if worker is None or run is None or run.state is not RunState.STARTING:
            return []
        now = self.clock.now()
        self._losses.note_event(now)
        self._record_decision(
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
            run.has_started = True
            run.confirmed_s = run.last_progress_s = worker.last_contact_s = now
            run.task.step.job.note_begun()
        elif outcome is StartOutcome.UNKNOWN:
            run.unanswered_s = now
            self._stop_run(run, "start_unknown")
            run.state = RunState.UNCONFIRMED
        else:
            worker.run_ends = tuple(e for e in worker.run_ends if e.run is not run)
            self._remove_run(run)
            self._handle_refused_start(run, worker, outcome)
        return self.pop_orders()

    def note_start_sent(self, order: StartRun) -> None:
        """Note that a start order is being sent to its worker."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if worker is None or run is None or run.sent_s is not None:
            return
        run.sent_s = self.clock.now()
        if worker.unresponsive_since_s is not None:
            # A lost poll may have been the first one that the worker did not answer.
            worker.run_ends = (*worker.run_ends, RunEnd(run, is_fresh=True))

    def is_start_recorded(self, order: StartRun) -> bool:
        """Return whether the run is in the store, as it must be to send the order."""
        worker = self.workers.get(order.worker_id)
        return worker is not None and worker.has_recorded(order.task, order.run)

    def is_start_needed(self, order: StartRun) -> bool:
        """Return whether an unsent start order is still needed."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get((order.task, order.run)) if worker else None
        return run is not None and run.state is RunState.STARTING

    def has_lost_its_room(self, order: StartRun) -> bool:
        """Return whether the worker of an unsent start has shrunk below its runs."""
        worker = self.workers.get(order.worker_id)
        return worker is not None and not NO_RESOURCES.fits_in(worker.free)

    def is_start_barred(self, order: StartRun) -> bool:
        """Return whether nothing may start in the failure domain of a start order."""
        worker = self.workers.get(order.worker_id)
        return worker is not None and not self.drains.permits_start(worker.entry.zone)

    def has_ticket_expired(self, order: StartRun) -> bool:
        """Return whether the ticket of a start order has expired.

        False for an order without a ticket, and for a step that is not active.
        """
        step = self.active_steps.get(order.task.step)
        if step is None or not order.ticket:
            return False
        return not step.has_valid_ticket(order.worker_id, self.clock.now())

    def note_stop_acknowledged(self, order: StopRun) -> None:
        """Note that a worker acknowledged a stop order."""
        run = self._find_run(order)
        if run is not None:
            run.stop_acknowledged_s = self.clock.now()

    def may_still_run(self, order: StopRun | PaceRun) -> bool:
        """Return whether the run of an order may still be on its worker."""
        return self._find_run(order) is not None

    def _find_run(self, order: StopRun | PaceRun) -> Run | None:
        worker = self.workers.get(order.worker_id)
        return worker.runs.get((order.task, order.run)) if worker else None

    def _add_recovered_run(
        self, task: Task, worker: TrackedWorker, run_number: int, now: float
    ) -> Run:
        """Add a run that an earlier owner started."""
        job = task.step.job
        run = Run(task, worker.entry.worker_id, run_number, RunState.RUNNING, now, now)
        run.last_progress_s = now
        run.may_have_resumed = run.is_inherited = True
        run.pace_percent = None
        run.has_outlived_start = run_number <= task.last_survivor
        if task.step.specification.is_lasting:
            queue = self.queue_of(job)
            run.revocable_priority = find_revocable_priority(task.step, queue)
        task.runs.append(run)
        task.last_run = max(task.last_run, run_number)
        task.step.waiting_tasks.pop(task.index, None)
        worker.add_run(run)
        self.usage.add(job.record.workspace, task.step.specification.request)
        job.inherited_runs += 1
        return run

    def _end_vanished_runs(self, worker: TrackedWorker, reason: VanishReason) -> None:
        """End all runs of a worker that has certainly lost them."""
        for run in list(worker.runs.values()):
            self._end_run(run, EndKind.VANISHED, "", reason)

    def _remove_run(self, run: Run) -> None:
        """Remove a run that has certainly ended, and release what it used."""
        task = run.task
        worker = self.workers.get(run.worker_id)
        key = (task.name, run.number)
        if worker is not None and worker.runs.get(key) is run:
            worker.remove_run(run)
            workspace = task.step.job.record.workspace
            self.usage.remove(workspace, task.step.specification.request)
        if run in task.runs:
            task.runs.remove(run)
            task.step.job.inherited_runs -= run.is_inherited
        if task.is_waiting:
            task.step.waiting_tasks[task.index] = task
            if run.has_started or run.is_inherited or task.idle_since_s is None:
                silent_since_s = worker.unresponsive_since_s if worker else None
                now_s = self.clock.now()
                task.idle_since_s = now_s if silent_since_s is None else silent_since_s

    def _end_run(
        self,
        run: Run,
        kind: EndKind,
        checkpoint: str,
        reason: VanishReason | None = None,
    ) -> None:
        task = run.task
        step = task.step
        job = step.job
        if checkpoint and run.number >= task.last_run:
            task.checkpoint = checkpoint
        self._remove_run(run)
        self.unrecorded_jobs.add(job.record.job_id)
        self._record_decision(
            "run_ended",
            job.record.job_id,
            task=str(task.name),
            run=run.number,
            worker=run.worker_id,
            how=kind.value,
            reason=reason.value if reason else "",
            ran_ms=round(1000 * (self.clock.now() - run.started_s)),
            progress=run.progress_percent,
            load=run.load,
        )
        worker = self.workers.get(run.worker_id)
        if kind is EndKind.DONE and not step.specification.is_lasting:
            if worker is not None:
                worker.note_success()
                is_known = not run.may_have_resumed and not worker.reports_ends_late
                if is_known and run.confirmed_s is not None:
                    self._record_run_duration(worker, step, run.confirmed_s)
            self._complete_task(task)
        elif RunEnd(run, listed=kind).cause is RunEndCause.OWN_FAULT:
            task.failed_on.add(run.worker_id)
            if worker is not None and not step.specification.is_lasting:
                now = self.clock.now()
                if worker.note_failure(job.record.job_id, now):
                    self._record_decision(
                        "worker_quarantined", "", worker=run.worker_id
                    )
            self._count_failure(task, run.number)
        if step.specification.is_gang and not step.is_done:
            self._stop_gang_run(step, run.number)

    def _record_run_duration(
        self, worker: TrackedWorker, step: Step, confirmed_s: float
    ) -> None:
        """Record the duration of a completed run that covers the whole task."""
        ran_s = self.clock.now() - confirmed_s
        queue, estimated_s = step.job.record.queue, step.specification.estimated_s
        expected_s = self.durations.predict_s(queue, estimated_s)
        if worker.speed.cold_s(confirmed_s):
            self._note_cold_run(worker, ran_s, confirmed_s, expected_s)
            return
        worker.note_duration(ran_s, expected_s)
        self.durations.observe(queue, estimated_s, ran_s, 1.0 / len(step.tasks))
        step.measured_runs += 1
        step.measured_runs_total_s += ran_s

    def _note_cold_run(
        self,
        worker: TrackedWorker,
        ran_s: float,
        confirmed_s: float,
        expected_s: float,
    ) -> None:
        """Learn how slow cold workers are from a run that started on one."""
        cold_s = worker.speed.cold_s(confirmed_s)
        learned = self.cold_slowdown_of(worker.entry.pool)
        is_used = learned.observe(ran_s, cold_s, expected_s * worker.slowdown)
        self._record_decision(
            "cold_run",
            "",
            worker=worker.entry.worker_id,
            ran_ms=round(1000 * ran_s),
            cold_ms=round(1000 * cold_s),
            expected_ms=round(1000 * expected_s),
            is_used=is_used,
            cold_slowdown=round(learned.factor, 2),
        )

    def _complete_task(self, task: Task) -> None:
        step = task.step
        completed = step.tasks if step.specification.is_gang else [task]
        for member in completed:
            if not member.is_done:
                member.is_done = True
                step.done_count += 1
                step.job.done_tasks += 1
                step.waiting_tasks.pop(member.index, None)
        for member in completed:
            if not step.specification.is_gang:
                for run in member.runs:
                    self._stop_run(run, "done_elsewhere")
        if not step.is_done:
            return
        self.active_steps.pop(step.name, None)
        job = step.job
        if job.state.is_final:
            return
        if all(other.is_done for other in job.steps.values()):
            self._finish_job(job, JobState.COMPLETED)
            return
        for other in job.occurrence_steps(step.name.occurrence):
            if not other.is_done and job.predecessors_are_done(other):
                self.active_steps[other.name] = other

    def _count_failure(self, task: Task, run_number: int) -> None:
        step = task.step
        job = step.job
        if step.specification.is_lasting or task.is_done:
            return
        task.failures = task.failures.with_failure(run_number)
        failures = task.failures
        if step.specification.is_gang:
            step.gang_failures = step.gang_failures.with_failure(run_number)
            failures = step.gang_failures
        queue = self.queue_of(job)
        if queue and failures.count >= queue.max_attempts and not job.state.is_final:
            self._finish_job(job, JobState.FAILED, "attempts")

    def _stop_gang_run(self, step: Step, run_number: int) -> None:
        """Stop the remaining members of a gang's run after one has ended."""
        for task in step.tasks:
            for run in task.runs:
                if run.number == run_number:
                    self._stop_run(run, "gang_broken")

    def _handle_refused_start(
        self, run: Run, worker: TrackedWorker, outcome: StartOutcome
    ) -> None:
        step = run.task.step
        if outcome is StartOutcome.TICKET_REFUSED:
            step.tickets.pop(run.worker_id, None)
        elif outcome is StartOutcome.NO_ROOM:
            run.task.failed_on.add(run.worker_id)
            worker.note_failure(step.job.record.job_id, self.clock.now())
        elif outcome is StartOutcome.UNHEALTHY:
            worker.note_refusal(run.task, self.clock.now())
        if step.specification.is_gang:
            self._stop_gang_run(step, run.number)
