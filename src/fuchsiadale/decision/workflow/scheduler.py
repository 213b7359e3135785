"""Applies worker reports, advice answers and timeouts to the state of a cell."""

from __future__ import annotations

from fuchsiadale.decision.workflow.jobs import (
    JobState,
    Run,
    RunState,
    find_task,
)
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    Order,
    ReportedEnd,
    ReportedRun,
    RequestAdvice,
    StopRun,
    Ticket,
    VanishReason,
    WorkerReport,
    WorkerState,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.pacing import adjust_filler_paces
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.worker_registry import WorkerRegistry

DRAIN_STOP_MARGIN_S = 0.8
"""Seconds before a draining worker leaves at which its runs are stopped.

The time suffices for one stop order and for the report that follows it.
"""

STALL_TIMEOUT_S = 3.0
"""Seconds without progress after which a run that uses no processor is stopped.

The time is that of three checkpoint intervals, by the reports of the worker.
"""

MAX_REPORT_AGE_S = 1.2
"""Seconds after its request up to which a report tells how runs are at its arrival.

The poll of a worker with runs takes 1.1 s at most; a later report was read late.
"""

MAX_POLL_S = 2.3
"""Seconds that a poll takes at most; it returns as soon as a run has ended."""

STOP_SETTLE_S = 0.4
"""Seconds for which a worker may still report a run whose stop it acknowledged.

A run that is missing from a report requested later than this counts as ended.
"""

TICKET_MARGIN_S = 0.15
"""Seconds by which a ticket is treated as expired before it is.

A ticket must still be valid when the start order reaches the worker over a slow
network.
"""

COMPLETED_RUN_GRACE_S = 2.0
"""Seconds after which a run that is still reported is stopped if its job is completed.

Two polls of a busy worker return in this time.
"""

UNKNOWN_RUN_GRACE_S = 2.0
"""Seconds after which runs of an unknown job are stopped.

The watch on the table of jobs takes this long to detect a silent connection, so the
job of such a run may be stored and not yet known.
"""


class Scheduler(WorkerRegistry):
    """Tracks the workers of a cell and decides which runs to stop or to slow down.

    The owner of the cell reports each event to it and carries out the orders that the
    methods return.
    """

    def process_report(
        self, worker_id: str, report: WorkerReport, sent_s: float
    ) -> list[Order]:
        """Compare the runs that a worker reports with the runs placed on it.

        Parameters
        ----------
        worker_id : str
            The worker that answered.
        report : WorkerReport
            Its answer.
        sent_s : float
            When the worker was asked, on the loop's clock.

        Returns
        -------
        orders : list of Order
            The orders to carry out.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return []
        now = self.clock.now()
        self._losses.note_event(now)
        worker.reports_ends_late = now - sent_s > MAX_POLL_S
        if worker.note_answer():
            worker.reports_ends_late = True
            self._record_decision("worker_answers", "", worker=worker_id)
        absence_reason = VanishReason.ABSENT
        # A report that does not give the start tells of no restart.
        started_ms = report.started_ms or worker.started_ms
        has_restarted = worker.started_ms not in (0, started_ms)
        next_start_ms = started_ms
        if has_restarted:
            next_start_ms = worker.leases.earliest_start_after(
                worker.started_ms, started_ms
            )
            self._note_contact_lost(worker)
            for step in self.active_steps.values():
                # Tickets are valid for one incarnation of a worker.
                step.tickets.pop(worker_id, None)
        if started_ms != worker.started_ms:
            if worker.started_ms:
                absence_reason = VanishReason.WORKER_RESTARTED
                # Runs from before the restart are missing from the report and end
                # below. A start may already have reached the new incarnation, so no
                # run ends here, before it is compared with the report.
                self._record_decision(
                    "worker_restarted",
                    "",
                    worker=worker_id,
                    started_ms=report.started_ms,
                    previous_started_ms=worker.started_ms,
                    **worker.describe_runs(now),
                )
            worker.note_started(started_ms, now)
            worker.last_processed_end = 0
        if now - sent_s <= MAX_REPORT_AGE_S:
            worker.timely_report_s = now
        reported_runs = set()
        worker.unknown_job_runs = 0
        for row in report.running:
            reported_runs.add((row.task, row.run))
            self._process_running_row(worker, row, now)
        if not worker.unknown_job_runs:
            worker.unknown_job_runs_since_s = None
        for ended in report.ended:
            reported_runs.add((ended.task, ended.run))
            if ended.sequence_number > worker.last_processed_end:
                worker.last_processed_end = ended.sequence_number
                self._process_ended_row(worker, ended)
        if report.is_complete:
            # The worker refuses renewals by a previous owner from now on, and the
            # caller extends the lease of the runs that it reports.
            worker.leases.inherited_end_s = 0.0
            worker.leases.note_answer()
            self._end_absent_runs(worker, reported_runs, sent_s, absence_reason)
        else:
            self._record_decision("report_incomplete", "", worker=worker_id)
        if has_restarted:
            self._note_crash(worker, next_start_ms, reported_runs)
        worker.reported_s = now
        self._note_contact(worker)
        for order in adjust_filler_paces(worker.runs.values()):
            self._orders.append(order)
            self._record_decision(
                "run_paced",
                order.task.step.job_id,
                task=str(order.task),
                run=order.run,
                worker=worker_id,
                percent=order.percent,
            )
        if not worker.is_adopted:
            worker.is_adopted = True
        return self.pop_orders()

    def process_advice(
        self,
        order: RequestAdvice,
        granted_tickets: dict[str, str] | None,
        valid_s: float,
    ) -> None:
        """Store the answer to an advice call.

        Parameters
        ----------
        order : RequestAdvice
            The call, with the workers that it named.
        granted_tickets : dict of str to str or None
            A ticket for each worker that may run the step, by worker; None if the
            advice service did not answer.
        valid_s : float
            Seconds for which the tickets are valid.
        """
        self.pending_advice_requests -= 1
        step = self.active_steps.get(order.step)
        if step is None:
            return
        step.is_awaiting_advice = False
        now = self.clock.now()
        if granted_tickets is None:
            # Advice is requested again after 0.1 s at the earliest.
            step.next_advice_request_s = now + 0.1
            return
        for worker_id in order.worker_ids:
            step.advice_by_worker[worker_id] = worker_id in granted_tickets
            worker = self.workers.get(worker_id)
            if worker is not None and worker.has_restarted_since(order.asked_s):
                continue  # The ticket may be for its former incarnation.
            if worker_id in granted_tickets:
                ticket = Ticket(
                    granted_tickets[worker_id], now + valid_s - TICKET_MARGIN_S
                )
                step.tickets[worker_id] = ticket
        self._record_decision(
            "advice_received",
            order.step.job_id,
            step=str(order.step),
            asked=len(order.worker_ids),
            granted=len(granted_tickets),
        )

    def check_timeouts(self) -> list[Order]:
        """Act on leases that lapsed, runs that stalled and workers about to leave.

        The runs of a silent worker count as ended once its lease has lapsed. Runs that
        stalled or whose worker is about to leave are stopped.

        Returns
        -------
        orders : list of Order
            The orders to carry out.
        """
        now = self.clock.now()
        for worker in list(self.workers.values()):
            if worker.runs and worker.unresponsive_since_s is not None:
                if now > worker.leases.end_s:
                    self._record_decision(
                        "lease_lapsed",
                        "",
                        worker=worker.entry.worker_id,
                        silent_s=round(now - worker.unresponsive_since_s, 3),
                        **worker.describe_runs(now),
                    )
                    worker.is_adopted = False
                    self._note_lease_lapsed(worker)
                    worker.leases.note_lapsed(worker.runs)
                    self._end_vanished_runs(worker, VanishReason.LEASE_LAPSED)
                continue
            is_leaving = self._is_about_to_leave(worker, now)
            for run in list(worker.runs.values()):
                if run.state is not RunState.RUNNING:
                    continue
                if is_leaving:
                    self._stop_run(run, "worker_leaves")
                elif self._is_stalled(run, worker):
                    if run.began_s is not None:  # else it waits for its gang
                        worker.note_failure(run.task.name.step.job_id, now)
                        run.task.failed_on.add(run.worker_id)
                    self._stop_run(run, "stalled")
                elif self._outlasts_completed_job(run, now):
                    self._stop_run(run, "completed")
        return self.pop_orders()

    def _process_running_row(
        self, worker: TrackedWorker, row: ReportedRun, now: float
    ) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            self._log_lapsed_run(worker, row, "running")
            run = self._adopt_run(worker, row, now)
            if run is None:
                return
        run.has_started = True
        run.task.step.job.note_begun()
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.confirmed_s = now
        task = run.task
        if row.progress_percent != run.progress_percent:
            run.last_progress_s = now
        if row.checkpoint and row.checkpoint != task.checkpoint:
            run.last_progress_s = now
            task.checkpoint = row.checkpoint
        run.progress_percent = row.progress_percent
        run.load = row.load
        self._note_running(run)

    def _adopt_run(
        self, worker: TrackedWorker, row: ReportedRun, now: float
    ) -> Run | None:
        """Add a run that a previous owner started; stop it if it is not needed.

        Runs of unknown jobs are stopped after `UNKNOWN_RUN_GRACE_S`.

        Returns
        -------
        run : Run or None
            The run; None if its job or its task is not known here.
        """
        job = self.jobs.get(row.task.step.job_id)
        task = find_task(job, row.task) if job else None
        worker_id = worker.entry.worker_id
        if job is None or task is None:
            worker.unknown_job_runs += 1
            if worker.unknown_job_runs_since_s is None:
                worker.unknown_job_runs_since_s = now
            waited_s = now - worker.unknown_job_runs_since_s
            # The tasks of a job that ended long ago are not kept.
            if job is not None and job.state.is_final:
                reason = "not_needed"
            elif waited_s > UNKNOWN_RUN_GRACE_S:
                reason = "unknown_job"
            else:
                return None
            self._orders.append(StopRun(worker_id, row.task, row.run, reason))
            return None
        is_needed = task.is_waiting and not job.state.is_final
        run = self._add_recovered_run(task, worker, row.run, now)
        self._record_decision(
            "run_adopted",
            job.record.job_id,
            task=str(row.task),
            run=row.run,
            worker=worker_id,
        )
        if not is_needed:
            self._stop_run(run, "not_needed")
        return run

    def _end_absent_runs(
        self,
        worker: TrackedWorker,
        reported_runs: set[tuple[TaskName, int]],
        sent_s: float,
        reason: VanishReason,
    ) -> None:
        for key, run in list(worker.runs.items()):
            if key in reported_runs or run.state is RunState.STARTING:
                continue
            confirmed_s = run.confirmed_s
            if run.stop_acknowledged_s is not None:
                confirmed_s = run.stop_acknowledged_s + STOP_SETTLE_S
            if confirmed_s is not None and confirmed_s < sent_s:
                self._end_run(run, EndKind.VANISHED, "", reason)

    def _process_ended_row(self, worker: TrackedWorker, row: ReportedEnd) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            self._log_lapsed_run(worker, row, row.kind.value)
            job = self.jobs.get(row.task.step.job_id)
            task = find_task(job, row.task) if job else None
            if task is None:
                return
            run = Run(task, worker.entry.worker_id, row.run, RunState.RUNNING, 0.0)
            task.last_run = max(task.last_run, row.run)
        self._note_end_reported(run)
        run.task.step.job.note_begun()
        self._end_run(run, row.kind, row.checkpoint)

    def _log_lapsed_run(
        self, worker: TrackedWorker, row: ReportedRun | ReportedEnd, how: str
    ) -> None:
        """Log that a run is listed which counted as ended with its lease."""
        if worker.leases.has_lapsed(row.task, row.run):
            self._record_decision(
                "lapsed_run_listed",
                row.task.step.job_id,
                task=str(row.task),
                run=row.run,
                worker=worker.entry.worker_id,
                how=how,
            )

    def _outlasts_completed_job(self, run: Run, now: float) -> bool:
        job = run.task.step.job
        return (
            job.state is JobState.COMPLETED
            and job.ended_s is not None
            and now - job.ended_s > COMPLETED_RUN_GRACE_S
        )

    def _is_about_to_leave(self, worker: TrackedWorker, now: float) -> bool:
        if (
            worker.entry.state is not WorkerState.DRAINING
            or worker.earliest_departure_s is None
        ):
            return False
        return now > worker.earliest_departure_s - DRAIN_STOP_MARGIN_S

    def _is_stalled(self, run: Run, worker: TrackedWorker) -> bool:
        specification = run.task.step.specification
        if specification.is_lasting or specification.is_filler or run.load is None:
            return False
        # A pause of the owner, or a silent connection, tells nothing about the run.
        idle_s = worker.timely_report_s - run.last_progress_s
        return run.load <= 0.0 and idle_s > STALL_TIMEOUT_S
