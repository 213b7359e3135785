"""Decides on every event of workers, advice and time."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.workflow.jobs import (
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
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from fuchsiadale.decision.workflow.names import TaskName
from fuchsiadale.decision.workflow.pacing import pace_orders
from fuchsiadale.decision.workflow.run_tracker import RunTracker
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker

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


class Scheduler(RunTracker):
    """Decides where tasks run; it is told of events and gives orders."""

    def shorten_leases(self, until_s: float) -> None:
        """Note when what the former owner started has surely ended."""
        for worker in self.workers.values():
            if not worker.is_adopted:
                worker.lease_ends_s = min(worker.lease_ends_s, until_s)

    def observe_workers(self, entries: Iterable[WorkerEntry]) -> list[TrackedWorker]:
        """Take the list of registered workers over.

        Returns
        -------
        added : list of TrackedWorker
            Workers that were not known.
        """
        added = []
        present = set()
        for entry in entries:
            present.add(entry.worker_id)
            known = self.workers.get(entry.worker_id)
            if known is None:
                worker = TrackedWorker(entry, lease_ends_s=self.clock.now())
                self.workers[entry.worker_id] = worker
                added.append(worker)
                self._record_decision("worker_found", "", worker=entry.worker_id)
                continue
            if known.entry.state is not entry.state:
                self._record_decision(
                    "worker_state",
                    "",
                    worker=entry.worker_id,
                    state=entry.state.value,
                )
            known.update_entry(entry, self.clock.now())
        for worker_id, worker in self.workers.items():
            if worker_id not in present and worker.is_listed:
                worker.is_listed = False
                self._record_decision("worker_unlisted", "", worker=worker_id)
        return added

    def note_failure_to_answer(self, worker_id: str) -> None:
        """Note that a worker did not answer; nothing new is placed on it."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.unresponsive_since_s is None:
            worker.unresponsive_since_s = self.clock.now()
            self._record_decision("worker_silent", "", worker=worker_id)

    def note_lease(self, worker_id: str, ends_s: float) -> None:
        """Note when everything on a worker ends if no later order reaches it."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.extend_lease(ends_s)

    def note_report(
        self, worker_id: str, report: WorkerReport, sent_s: float
    ) -> list[Order]:
        """Compare what a worker reports with what was placed on it."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return []
        now = self.clock.now()
        if worker.unresponsive_since_s is not None:
            self._record_decision("worker_answers", "", worker=worker_id)
            worker.unresponsive_since_s = None
        if report.started_ms != worker.started_ms:
            if worker.started_ms:
                # Runs of the former life are found absent below. A start may have
                # reached the new life already, so nothing is dropped unseen.
                self._record_decision("worker_restarted", "", worker=worker_id)
            worker.started_ms = report.started_ms
            worker.last_processed_end = 0
        seen = set()
        worker.unknown_job_runs = 0
        for row in report.running:
            seen.add((row.task, row.run))
            self._note_running(worker, row, now)
        if not worker.unknown_job_runs:
            worker.unknown_job_runs_since_s = None
        for ended in report.ended:
            seen.add((ended.task, ended.run))
            if ended.sequence_number > worker.last_processed_end:
                worker.last_processed_end = ended.sequence_number
                self._note_end(worker, ended)
        self._note_absent(worker, seen, sent_s)
        for order in pace_orders(worker.runs.values()):
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

    def note_replaced(self, worker_id: str) -> None:
        """Note that another worker answers at a worker's address."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        self.note_failure_to_answer(worker_id)
        if worker.runs:
            self._record_decision("worker_replaced", "", worker=worker_id)
            self._end_vanished_runs(worker, list(worker.runs.values()))
        worker.is_adopted = False

    def forget_gone_workers(self) -> list[str]:
        """Drop workers that are not registered, not answering and empty."""
        gone = [
            worker_id
            for worker_id, worker in self.workers.items()
            if not worker.is_listed
            and worker.unresponsive_since_s is not None
            and not worker.runs
        ]
        for worker_id in gone:
            del self.workers[worker_id]
            self.retired_workers.add(worker_id)
            self._record_decision("worker_forgotten", "", worker=worker_id)
        return gone

    def note_advice(
        self,
        order: RequestAdvice,
        granted: dict[str, str] | None,
        valid_s: float,
    ) -> None:
        """Take an answer of the advice service; None if there was none."""
        self.pending_advice_requests -= 1
        step = self.active_steps.get(order.step)
        if step is None:
            return
        step.is_awaiting_advice = False
        now = self.clock.now()
        if granted is None:
            step.next_advice_request_s = now + 0.1
            return
        for worker_id in order.worker_ids:
            step.advice_by_worker[worker_id] = worker_id in granted
            if worker_id in granted:
                ticket = Ticket(granted[worker_id], now + valid_s - TICKET_MARGIN_S)
                step.tickets[worker_id] = ticket
        self._record_decision(
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
            if worker.runs and worker.unresponsive_since_s is not None:
                if now > worker.lease_ends_s:
                    self._record_decision(
                        "lease_lapsed",
                        "",
                        worker=worker.entry.worker_id,
                        silent_s=round(now - worker.unresponsive_since_s, 3),
                    )
                    worker.is_adopted = False
                    self._end_vanished_runs(worker, list(worker.runs.values()))
                continue
            leaving = self._is_leaving(worker, now)
            for run in list(worker.runs.values()):
                if run.state is not RunState.RUNNING:
                    continue
                if leaving:
                    self._stop_run(run, "worker_leaves")
                elif self._is_stalled(run, now):
                    worker.note_failure(run.task.name.step.job_id, now)
                    run.task.failed_on.add(run.worker_id)
                    self._stop_run(run, "stalled")
        return self.pop_orders()

    def _note_running(
        self, worker: TrackedWorker, row: ReportedRun, now: float
    ) -> None:
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
            run.last_progress_s = now
        if row.checkpoint and row.checkpoint != task.checkpoint:
            run.last_progress_s = now
            task.checkpoint = row.checkpoint
        run.progress_percent = row.progress_percent
        run.load = row.load

    def _adopt_run(
        self, worker: TrackedWorker, row: ReportedRun, now: float
    ) -> Run | None:
        """Count a run that an earlier owner started."""
        job = self.jobs.get(row.task.step.job_id)
        task = find_task(job, row.task) if job else None
        worker_id = worker.entry.worker_id
        if job is None or task is None:
            worker.unknown_job_runs += 1
            if worker.unknown_job_runs_since_s is None:
                worker.unknown_job_runs_since_s = now
            elif now - worker.unknown_job_runs_since_s > FOREIGN_RUN_S:
                order = StopRun(worker_id, row.task, row.run, "unknown_job")
                self._orders.append(order)
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

    def _note_absent(
        self, worker: TrackedWorker, seen: set[tuple[TaskName, int]], sent_s: float
    ) -> None:
        for key, run in list(worker.runs.items()):
            if key in seen or run.state is RunState.STARTING:
                continue
            confirmed_s = run.confirmed_s
            if run.stop_acknowledged_s is not None:
                confirmed_s = run.stop_acknowledged_s + STOP_SETTLE_S
            if confirmed_s is not None and confirmed_s < sent_s:
                self._end_run(run, EndKind.VANISHED, "")

    def _note_end(self, worker: TrackedWorker, row: ReportedEnd) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            job = self.jobs.get(row.task.step.job_id)
            task = find_task(job, row.task) if job else None
            if task is None:
                return
            run = Run(task, worker.entry.worker_id, row.run, RunState.RUNNING, 0.0)
            task.last_run = max(task.last_run, row.run)
        self._end_run(run, row.kind, row.checkpoint)

    def _is_leaving(self, worker: TrackedWorker, now: float) -> bool:
        if (
            worker.entry.state is not WorkerState.DRAINING
            or worker.earliest_departure_s is None
        ):
            return False
        return now > worker.earliest_departure_s - LEAVE_MARGIN_S

    def _is_stalled(self, run: Run, now: float) -> bool:
        specification = run.task.step.specification
        if specification.is_lasting or specification.is_filler or run.load is None:
            return False
        return run.load <= 0.0 and now - run.last_progress_s > STALL_S
