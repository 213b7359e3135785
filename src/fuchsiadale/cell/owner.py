"""Schedules the jobs of a cell in the process that owns the cell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from eliot import log_message
from result import Err

from fuchsiadale.cell.boot_clock import unix_time_s
from fuchsiadale.cell.committer import Committer
from fuchsiadale.cell.drain_monitor import DrainMonitor
from fuchsiadale.cell.fencing_tokens import FencingTokens
from fuchsiadale.cell.job_watch import JobWatch
from fuchsiadale.cell.lease_terms import TAKEOVER_MARGIN_S
from fuchsiadale.cell.link_callbacks import LinkCallbacks
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.order_dispatcher import OrderDispatcher
from fuchsiadale.cell.owner_ports import OwnerPorts
from fuchsiadale.cell.past_use_keeper import PastUseKeeper
from fuchsiadale.cell.processed_end import ProcessedEnd
from fuchsiadale.cell.reply_loss_tracker import ReplyLossTracker
from fuchsiadale.cell.rows import (
    CANCEL_SUFFIX,
    ROWS_PER_SLICE,
    StoredCell,
    WorkerRow,
    decode_job_record,
    is_cancellation_key,
)
from fuchsiadale.cell.tenure import Tenure
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.cell.worker_clock import longest_lease_delay_s
from fuchsiadale.cell.worker_link import WorkerLink
from fuchsiadale.cell.worker_list_reader import WorkerListReader
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.decision.workflow.jobs import Job
from fuchsiadale.decision.workflow.messages import WorkerEntry, WorkerReport
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.ports.task_workers import WorkerAddress
from fuchsiadale.supervisor import Supervisor

TICK_INTERVAL_S = 0.2
"""Seconds between two periodic checks, such as for timeouts and due steps."""

PLAN_DELAY_S = 0.003
"""Seconds for which events are collected before a plan is made."""

PLAN_PAUSE_FACTOR = 1.5
"""Pause after a plan relative to its duration; limits planning to 2/5 of a core."""

EXPIRY_INTERVAL_S = 5.0
"""Seconds between two searches for ended jobs to remove."""

BAD_RECORD_ERRORS = (LookupError, ValueError, TypeError, ArithmeticError)
"""Errors that a stored job with impossible contents raises when it is added."""


class Owner:
    """Schedules the jobs of a cell from acquiring the ownership until losing it.

    Parameters
    ----------
    ports : OwnerPorts
        Interfaces of the systems that the owner uses.
    tenure : Tenure
        The ownership that this process has acquired; also an attribute.
    bounds : TimeBounds
        Time bounds that the deployment sets.
    metrics : CellMetrics
        Metrics of the process.
    on_ownership_lost : callable
        Called once, with a reason, if the ownership is lost.
    drains : DrainMonitor, optional
        Tells in which failure domains nothing may start; none without it.
    """

    def __init__(
        self,
        ports: OwnerPorts,
        tenure: Tenure,
        bounds: TimeBounds,
        metrics: CellMetrics,
        on_ownership_lost: Callable[[str], None],
        drains: DrainMonitor | None = None,
    ) -> None:
        self._ports = ports
        self.tenure = tenure
        self._bounds = bounds
        self._metrics = metrics
        self._on_ownership_lost = on_ownership_lost
        self._drains = drains or DrainMonitor(metrics)
        self._scheduler = Scheduler(LoopClock(), tenure.row.epoch, self._drains.drains)
        self._scheduler.hold_back.apply_settings(bounds.past_use)
        self._planner = Planner(self._scheduler)
        past_use = self._scheduler.hold_back.past_use
        self._past_use = PastUseKeeper(ports.store, past_use, metrics)
        self._committer = Committer(
            ports.store,
            self._scheduler,
            tenure,
            self._on_recorded,
            self._lose_ownership,
            self._past_use,
        )
        self._supervisor = Supervisor("owner")
        self._links: dict[str, WorkerLink] = {}
        self._reply_losses = ReplyLossTracker()
        self._tokens = FencingTokens(tenure.row.epoch)
        self._plan_requested = asyncio.Event()
        self._dispatcher = OrderDispatcher(
            self._scheduler,
            self._links,
            ports.advice,
            metrics,
            self._committer.request_commit,
            self._plan_requested.set,
        )
        self._is_stopped = False
        self._worker_list = WorkerListReader(ports.worker_list, self._update_workers)
        self._last_expiry_s = LoopClock().now()
        self._pending_counts: dict[str, int] = {}

    @property
    def epoch(self) -> int:
        """Epoch of the ownership, from which fencing tokens are derived."""
        return self.tenure.row.epoch

    def count_pending(self) -> dict[str, int]:
        """Return the number of accepted jobs that wait for their first start, by queue.

        The counts are at most `TICK_INTERVAL_S` old.
        """
        return self._pending_counts

    def find_job(self, job_id: str) -> Job | None:
        """Return a job, or None if this owner does not know it."""
        return self._scheduler.jobs.get(job_id)

    async def recover(
        self, stored: StoredCell, configuration: CellConfiguration
    ) -> None:
        """Recover the stored jobs, before `start`.

        Other tasks of the event loop run in between.
        """
        now_unix_s = unix_time_s()
        self._scheduler.apply_configuration(configuration)
        unrecoverable_ids: set[str] = set()
        records = sorted(stored.records, key=lambda item: item.accepted_s)
        for index, record in enumerate(records):
            if index % ROWS_PER_SLICE == 0:
                await asyncio.sleep(0)
            progress = stored.progress.get(record.job_id)
            try:
                self._scheduler.recover(record, progress, now_unix_s)
            except BAD_RECORD_ERRORS as error:
                # One bad record must not keep the whole cell from being scheduled.
                log_message("job_unrecoverable", job=record.job_id, problem=repr(error))
                unrecoverable_ids.add(record.job_id)
        for job_id in stored.cancelled - unrecoverable_ids:
            self._scheduler.cancel(job_id)

    def start(self, stored: StoredCell) -> None:
        """Start to schedule the jobs of the stored cell, which were recovered."""
        self._pending_counts = self._scheduler.count_pending()
        entries = tuple(row.entry for row in stored.workers)
        workers = self._scheduler.restore_workers(entries)
        earlier_leases = self.tenure.earlier_leases
        if earlier_leases is not None:
            self._restore_runs(stored.workers, earlier_leases.ends_s)
        self._add_links(workers)
        self._dispatcher.execute(self._scheduler.pop_orders())
        for name, child in (
            ("committer", self._committer.run),
            ("jobs", JobWatch(self._ports.store, stored.version, self.take_row).run),
            ("workers", self._worker_list.run),
            ("past_use", self._past_use.run),
            ("plan", self._run_planner),
            ("tick", self._run_periodic_checks),
        ):
            self._supervisor.start(name, child)
        log_message(
            "ownership_taken",
            epoch=self.epoch,
            jobs=len(stored.records),
            workers=len(stored.workers),
            configuration=self._scheduler.configuration.version,
        )

    def _restore_runs(self, workers: tuple[WorkerRow, ...], ends_s: float) -> None:
        """Add the runs of earlier owners, whose leases have ended at `ends_s`."""
        remaining_s = ends_s - LoopClock().now()
        log_message("previous_leases_assumed", ends_in_s=round(remaining_s, 3))
        clock = self._ports.store.clock
        for row in workers:
            worker_id = row.entry.worker_id
            misdated_end_s = 0.0
            if clock is not None and row.misdated_leases_end_ms:
                misdated_end_s = clock.reached_by_s(row.misdated_leases_end_ms)
                misdated_end_s += TAKEOVER_MARGIN_S
            self._scheduler.restore_runs(
                worker_id, row.runs, ends_s, row.started_ms, misdated_end_s
            )

    async def stop(self) -> None:
        """Stop issuing orders and cancel the calls that are in progress."""
        self._is_stopped = True
        self._dispatcher.stop()
        await self._supervisor.stop()

    async def resign(self) -> None:
        """Stop issuing orders and resign, so that a peer takes over at once."""
        self._is_stopped = True
        self._dispatcher.stop()
        await self._supervisor.stop()
        await self._committer.resign()

    def apply_configuration(self, configuration: CellConfiguration) -> None:
        """Apply a new configuration and plan again."""
        self._scheduler.apply_configuration(configuration)
        self._plan_requested.set()

    def bound_earlier_leases(self, ends_s: float) -> None:
        """Note that the leases of earlier owners have ended at `ends_s`."""
        self._scheduler.bound_previous_owner_leases(ends_s)
        # A successor reads the new bound in the owner's row.
        self._committer.request_commit()

    def take_row(self, key: str, value: bytes) -> None:
        """Process a row of the job table; the watch and a peer may both deliver it."""
        if is_cancellation_key(key):
            self._scheduler.cancel(key.removesuffix(CANCEL_SUFFIX))
            self._dispatcher.execute(self._scheduler.pop_orders())
            self._committer.request_commit()
        else:
            record = decode_job_record(value)
            if isinstance(record, Err):
                log_message("job_unreadable", key=key, problem=record.err_value)
                return
            try:
                self._scheduler.accept(record.ok_value, unix_time_s())
            except BAD_RECORD_ERRORS as error:
                # One bad record must not end the watch of jobs.
                log_message("job_unrecoverable", job=key, problem=repr(error))
        self._plan_requested.set()

    async def _run_planner(self) -> None:
        loop = asyncio.get_running_loop()
        duration_s = 0.0
        while True:
            await self._plan_requested.wait()
            await asyncio.sleep(max(PLAN_DELAY_S, PLAN_PAUSE_FACTOR * duration_s))
            self._plan_requested.clear()
            started_s = loop.time()
            is_outdated = self._worker_list.check_outdated()
            self._dispatcher.execute(
                self._scheduler.pop_orders()
                if is_outdated
                else self._planner.plan(self._ports.advice.lane_count)
            )
            if self._planner.is_cut_short and not is_outdated:
                self._plan_requested.set()
            duration_s = loop.time() - started_s
            self._metrics.plan_seconds.observe(duration_s)
            self._log_decisions()

    async def _run_periodic_checks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._scheduler.note_unix_time(unix_time_s())
            self._scheduler.activate_due_steps(unix_time_s())
            self._scheduler.report_blocked_jobs()
            self._drains.check_outdated()
            self._scheduler.note_use()
            self._pending_counts = self._scheduler.count_pending()
            self._expire_jobs()
            self._dispatcher.execute(self._scheduler.check_timeouts())
            if self._scheduler.unrecorded_jobs:
                self._committer.request_commit()
            for worker_id, link in self._links.items():
                link.is_busy = bool(self._scheduler.workers[worker_id].runs)
            self._plan_requested.set()

    def _expire_jobs(self) -> None:
        now_s = LoopClock().now()
        if now_s - self._last_expiry_s > EXPIRY_INTERVAL_S:
            self._last_expiry_s = now_s
            self._scheduler.expire_jobs(self._bounds.job_retention_s)
            self._scheduler.expire_cancellations()

    def _update_workers(self, entries: tuple[WorkerEntry, ...]) -> None:
        added = self._scheduler.update_registrations(entries)
        workers = self._scheduler.workers.values()
        for worker in workers:
            registered_ms = worker.entry.started_ms
            if worker.leases.note_registered_start(registered_ms, worker.started_ms):
                self._assume_misdated_lease(worker.entry.worker_id)
        self._add_links([*added, *filter(self._has_moved, workers)])
        for worker_id in self._scheduler.remove_gone_workers():
            self._links.pop(worker_id, None)
            self._supervisor.cancel_child(f"worker/{worker_id}")
        self._drains.report_unknown({worker.entry.zone for worker in workers})
        self._reply_losses.worker_count = len(self._links)
        self._committer.request_commit()
        self._plan_requested.set()

    def _has_moved(self, worker: TrackedWorker) -> bool:
        link = self._links.get(worker.entry.worker_id)
        return link is not None and link.address != worker.entry.address

    def _add_links(self, workers: Iterable[TrackedWorker]) -> None:
        for worker in workers:
            entry = worker.entry
            link = WorkerLink(
                self._ports.workers,
                WorkerAddress(entry.worker_id, entry.address),
                self._tokens,
                self._bounds.max_lease_s,
                LinkCallbacks(
                    self._on_report,
                    self._scheduler.mark_worker_unresponsive,
                    self._on_replaced,
                    self._scheduler.extend_lease,
                    self._extend_misdated_lease,
                    self._on_fenced,
                ),
                self._reply_losses,
                lambda: self.tenure.may_act,
                lambda: self.tenure.lease_limit_s,
                worker.started_ms,
            )
            self._links[entry.worker_id] = link
            self._supervisor.start(f"worker/{entry.worker_id}", link.run)

    def _on_report(self, worker_id: str, report: WorkerReport, sent_s: float) -> None:
        worker = self._scheduler.workers.get(worker_id)
        known_ms = 0 if worker is None else worker.started_ms
        if known_ms and report.started_ms not in (0, known_ms):
            self._assume_misdated_lease(worker_id)
        orders = self._scheduler.process_report(worker_id, report, sent_s)
        self._dispatcher.execute(orders)
        if worker is not None:
            self._links[worker_id].is_busy = bool(worker.runs)
            is_new = worker.started_ms != known_ms
            if is_new and not worker.is_registered(LoopClock().now()):
                self._worker_list.request()
        if self._scheduler.unrecorded_jobs:
            self._committer.request_commit()
        self._plan_requested.set()

    def _assume_misdated_lease(self, worker_id: str) -> None:
        """Assume that an order for its former incarnation has just reached a worker."""
        ends_s = LoopClock().now() + longest_lease_delay_s(self._bounds.max_lease_s)
        self._extend_misdated_lease(worker_id, ends_s)

    def _extend_misdated_lease(self, worker_id: str, ends_s: float) -> None:
        self._scheduler.extend_misdated_lease(worker_id, ends_s)
        # A successor reads it in the worker's row.
        self._committer.request_commit()

    def _on_replaced(self, worker_id: str) -> None:
        self._scheduler.mark_worker_replaced(worker_id)
        self._plan_requested.set()

    def _on_fenced(self, worker_id: str) -> None:
        self._lose_ownership(f"outdated fencing token rejected by worker {worker_id}")

    def _lose_ownership(self, reason: str) -> None:
        if not self._is_stopped:
            self._is_stopped = True
            self._dispatcher.stop()
            self._on_ownership_lost(reason)

    def _on_recorded(self, processed_ends: dict[str, ProcessedEnd]) -> None:
        """Acknowledge recorded ends and send start orders whose runs are recorded."""
        for worker_id, end in processed_ends.items():
            link = self._links.get(worker_id)
            if link and link.started_ms == end.started_ms:
                link.acknowledge(end.sequence_number)
        self._dispatcher.send_recorded_starts()
        self._plan_requested.set()

    def _log_decisions(self) -> None:
        decisions, dropped = self._scheduler.decisions.pop_all()
        for decision in decisions:
            self._metrics.decisions.labels(decision.kind).inc()
            log_message(decision.kind, job=decision.job_id, **decision.inputs)
        if dropped:
            log_message("decisions_dropped", count=dropped)
