"""Carries out the decisions of the process that owns the cell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from eliot import log_message
from result import Err

from fuchsiadale.cell.answer_losses import AnswerLosses
from fuchsiadale.cell.boot_clock import unix_time_s
from fuchsiadale.cell.committer import STOP_AFTER_S, Committer, ProcessedEnd
from fuchsiadale.cell.job_watch import JobWatch
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.owner_ports import OwnerPorts
from fuchsiadale.cell.rows import (
    CANCEL_SUFFIX,
    OwnerRow,
    StoredCell,
    WorkerRow,
    is_cancel_key,
)
from fuchsiadale.cell.terms import CellTerms
from fuchsiadale.cell.worker_link import LinkEvents, WorkerLink, lapse_after_s
from fuchsiadale.codec import decode
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.decision.workflow.jobs import Job
from fuchsiadale.decision.workflow.messages import (
    Order,
    PaceRun,
    RequestAdvice,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerEntry,
    WorkerReport,
)
from fuchsiadale.decision.workflow.planning import Planner
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.specification import JobRecord
from fuchsiadale.loop_clock import LoopClock
from fuchsiadale.ports.task_workers import WorkerAddress
from fuchsiadale.supervisor import Supervisor

TICK_S = 0.2
"""Seconds between two looks at what only time decides."""

PLAN_DELAY_S = 0.003
"""Seconds for which events are gathered before a plan."""

PLAN_REST = 1.5
"""Times its own duration that a plan is followed by a pause: two fifths of a core."""

WORKER_LIST_S = 0.6
"""Seconds between two readings of the registered workers; a third of a drain."""

EXPIRY_S = 5.0
"""Seconds between two searches for ended jobs to forget."""

STOP_RETRY_S = 0.25
"""Seconds before a stop without an answer is sent again."""

TAKEOVER_MARGIN_S = 0.5
"""Seconds added to the wait for a former owner's leases; orders on their way."""


class Owner:
    """Schedules the cell from the moment it was taken until it is lost.

    Parameters
    ----------
    ports : OwnerPorts
        What it talks to.
    row : OwnerRow
        Its row in the store.
    version : int
        That row's version.
    terms : CellTerms
        What the platform promises and asks for.
    metrics : CellMetrics
        Counters and histograms.
    on_deposed : callable
        Called once when the cell is lost.
    """

    def __init__(
        self,
        ports: OwnerPorts,
        row: OwnerRow,
        version: int,
        terms: CellTerms,
        metrics: CellMetrics,
        on_deposed: Callable[[str], None],
    ) -> None:
        self._ports = ports
        self._row = row
        self._terms = terms
        self._metrics = metrics
        self._on_deposed = on_deposed
        self._scheduler = Scheduler(LoopClock(), row.epoch)
        self._planner = Planner(self._scheduler)
        self._committer = Committer(
            ports.store,
            self._scheduler,
            row,
            version,
            self._acknowledge,
            self._lose,
        )
        self._supervisor = Supervisor("owner")
        self._links: dict[str, WorkerLink] = {}
        self._losses = AnswerLosses()
        self._calls: set[asyncio.Task[None]] = set()
        self._plan_due = asyncio.Event()
        self._unsent: list[StartRun] = []
        self._is_lost = False
        self._expired_s = LoopClock().now()
        self._pending: dict[str, int] = {}

    @property
    def epoch(self) -> int:
        """The fencing token of its orders."""
        return self._row.epoch

    @property
    def renewed_age_s(self) -> float:
        """Seconds since the ownership was last renewed."""
        return self._committer.renewed_age_s

    @property
    def cannot_renew(self) -> bool:
        """Whether the store has refused it for some time."""
        return self._committer.cannot_renew

    def count_pending(self) -> dict[str, int]:
        """Return how many accepted jobs of each queue have started nothing.

        The counts are as old as the last tick at most.
        """
        return self._pending

    def find_job(self, job_id: str) -> Job | None:
        """Return a job, or None if it is not known here."""
        return self._scheduler.jobs.get(job_id)

    def start(
        self,
        stored: StoredCell,
        configuration: CellConfiguration,
        has_predecessor: bool,
    ) -> None:
        """Recover what is stored and begin to schedule."""
        now_unix_s = unix_time_s()
        self._scheduler.apply_configuration(configuration)
        for record in sorted(stored.records, key=lambda item: item.accepted_s):
            progress = stored.progress.get(record.job_id)
            self._scheduler.recover(record, progress, now_unix_s)
        for job_id in stored.cancelled:
            self._scheduler.cancel(job_id)
        self._pending = self._scheduler.count_pending()
        self._observe(tuple(row.entry for row in stored.workers))
        if has_predecessor:
            self._restore_runs(stored.workers)
        self._carry_out(self._scheduler.pop_orders())
        for name, child in (
            ("committer", self._committer.run),
            ("jobs", JobWatch(self._ports.store, stored.version, self.take_row).run),
            ("workers", self._watch_workers),
            ("plan", self._plan),
            ("tick", self._tick),
        ):
            self._supervisor.start(name, child)
        log_message(
            "ownership_taken",
            epoch=self.epoch,
            jobs=len(stored.records),
            workers=len(stored.workers),
            configuration=configuration.version,
        )

    def _restore_runs(self, workers: tuple[WorkerRow, ...]) -> None:
        until_s = LoopClock().now() + STOP_AFTER_S + self._predecessor_lease_s
        for row in workers:
            worker_id = row.entry.worker_id
            self._scheduler.restore_runs(worker_id, row.runs, until_s)

    @property
    def _predecessor_lease_s(self) -> float:
        """Seconds after its last order in which a predecessor's runs have ended."""
        return lapse_after_s(self._terms.max_lease_s) + TAKEOVER_MARGIN_S

    async def stop(self) -> None:
        """Stop giving orders at once."""
        self._is_lost = True
        for call in list(self._calls):
            call.cancel()
        await self._supervisor.stop()

    async def resign(self) -> None:
        """Stop giving orders, record what is known and give the cell up."""
        self._is_lost = True
        await self._supervisor.stop()
        await self._committer.resign()

    def apply_configuration(self, configuration: CellConfiguration) -> None:
        """Work under a newer configuration."""
        self._scheduler.apply_configuration(configuration)
        self._plan_due.set()

    def note_predecessor_gone(self) -> None:
        """Note that the former owner has surely stopped giving orders."""
        until_s = LoopClock().now() + self._predecessor_lease_s
        self._scheduler.bound_previous_owner_leases(until_s)

    def take_row(self, key: str, value: bytes) -> None:
        """Take a stored row of the job table in, also ahead of the watch."""
        if is_cancel_key(key):
            self._scheduler.cancel(key.removesuffix(CANCEL_SUFFIX))
            self._carry_out(self._scheduler.pop_orders())
            self._committer.wake()
        else:
            record = decode(value, JobRecord)
            if isinstance(record, Err):
                log_message("job_unreadable", key=key, problem=record.err_value)
                return
            self._scheduler.accept(record.ok_value, unix_time_s())
        self._plan_due.set()

    # Children

    async def _plan(self) -> None:
        loop = asyncio.get_running_loop()
        duration_s = 0.0
        while True:
            await self._plan_due.wait()
            await asyncio.sleep(max(PLAN_DELAY_S, PLAN_REST * duration_s))
            self._plan_due.clear()
            started_s = loop.time()
            self._carry_out(self._planner.plan(self._ports.advice.lanes))
            duration_s = loop.time() - started_s
            self._metrics.plan_seconds.observe(duration_s)
            self._log_decisions()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._scheduler.activate_due_steps(unix_time_s())
            self._pending = self._scheduler.count_pending()
            self._expire_jobs()
            self._carry_out(self._scheduler.check_timeouts())
            if self._scheduler.unrecorded_jobs:
                self._committer.wake()
            for worker_id, link in self._links.items():
                link.is_busy = bool(self._scheduler.workers[worker_id].runs)
            self._plan_due.set()

    def _expire_jobs(self) -> None:
        now_s = LoopClock().now()
        if now_s - self._expired_s > EXPIRY_S:
            self._expired_s = now_s
            self._scheduler.expire_jobs(self._terms.retention_s)

    async def _watch_workers(self) -> None:
        while True:
            listed = await self._ports.worker_list.read()
            if not isinstance(listed, Err):
                self._observe(listed.ok_value)
                self._plan_due.set()
            await asyncio.sleep(WORKER_LIST_S)

    def _observe(self, entries: tuple[WorkerEntry, ...]) -> None:
        for worker in self._scheduler.update_registrations(entries):
            entry = worker.entry
            link = WorkerLink(
                self._ports.workers,
                WorkerAddress(entry.worker_id, entry.address),
                self.epoch,
                self._terms.max_lease_s,
                LinkEvents(
                    self._note_report,
                    self._scheduler.mark_worker_unresponsive,
                    self._note_replaced,
                    self._scheduler.extend_lease,
                    self._note_fenced,
                ),
                self._losses,
            )
            self._links[entry.worker_id] = link
            self._supervisor.start(f"worker/{entry.worker_id}", link.run)
        for worker_id in self._scheduler.remove_gone_workers():
            self._links.pop(worker_id, None)
            self._supervisor.cancel_child(f"worker/{worker_id}")
        self._losses.workers = len(self._links)
        self._committer.wake()

    # Events

    def _note_report(self, worker_id: str, report: WorkerReport, sent_s: float) -> None:
        known = self._scheduler.workers.get(worker_id)
        if known is not None and known.started_ms not in (0, report.started_ms):
            self._links[worker_id].forget_ends()
        orders = self._scheduler.process_report(worker_id, report, sent_s)
        self._carry_out(orders)
        if known is not None:
            self._links[worker_id].is_busy = bool(known.runs)
        if self._scheduler.unrecorded_jobs:
            self._committer.wake()
        self._plan_due.set()

    def _note_replaced(self, worker_id: str) -> None:
        self._scheduler.mark_worker_replaced(worker_id)
        self._plan_due.set()

    def _note_fenced(self, worker_id: str) -> None:
        self._lose(f"fenced by {worker_id}")

    def _lose(self, reason: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._on_deposed(reason)

    def _acknowledge(self, ends: dict[str, ProcessedEnd]) -> None:
        for worker_id, end in ends.items():
            worker = self._scheduler.workers.get(worker_id)
            link = self._links.get(worker_id)
            if worker and link and worker.started_ms == end.started_ms:
                link.acknowledge(end.number)
        self._send_recorded()
        self._plan_due.set()

    # Orders

    def _carry_out(self, orders: list[Order]) -> None:
        if self._is_lost:
            return
        for order in orders:
            if isinstance(order, StartRun):
                self._unsent.append(order)
                self._committer.wake()
            elif isinstance(order, StopRun):
                self._call(self._stop_run(order))
            elif isinstance(order, RequestAdvice):
                self._call(self._ask(order))
            else:
                self._call(self._pace(order))

    def _send_recorded(self) -> None:
        """Send the starts that are recorded; drop those no longer wanted."""
        unsent, self._unsent = self._unsent, []
        for order in unsent:
            if not self._scheduler.is_start_needed(order):
                continue
            if not self._scheduler.is_start_recorded(order):
                self._unsent.append(order)
            elif self._scheduler.has_ticket_expired(order):
                refused = StartOutcome.TICKET_REFUSED
                self._carry_out(self._scheduler.note_start_outcome(order, refused))
            else:
                self._call(self._start_run(order))

    def _call(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._after_call)

    def _after_call(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_message("order_failed", error=repr(task.exception()))

    async def _start_run(self, order: StartRun) -> None:
        link = self._links.get(order.worker_id)
        if link is None:
            return
        link.is_busy = True
        started_s = asyncio.get_running_loop().time()
        outcome = await link.start(order)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self._metrics.starts.labels(outcome.value).inc()
        self._metrics.start_seconds.observe(elapsed_s)
        self._carry_out(self._scheduler.note_start_outcome(order, outcome))
        self._plan_due.set()

    async def _stop_run(self, order: StopRun) -> None:
        while not self._is_lost:
            link = self._links.get(order.worker_id)
            if link is None:
                return
            if await link.stop(order):
                self._scheduler.note_stop_acknowledged(order)
                return
            if not self._scheduler.may_still_run(order):
                return
            await asyncio.sleep(STOP_RETRY_S)

    async def _pace(self, order: PaceRun) -> None:
        link = self._links.get(order.worker_id)
        if link is not None:
            await link.pace(order)

    async def _ask(self, order: RequestAdvice) -> None:
        advice = None
        try:
            advice = await self._ports.advice.ask(order)
        finally:
            tickets = None if advice is None else advice.tickets
            valid_s = 0.0 if advice is None else advice.valid_s
            self._scheduler.process_advice(order, tickets, valid_s)
            self._plan_due.set()

    def _log_decisions(self) -> None:
        decisions, dropped = self._scheduler.decisions.pop_all()
        for decision in decisions:
            self._metrics.decisions.labels(decision.kind).inc()
            log_message(decision.kind, job=decision.job_id, **decision.inputs)
        if dropped:
            log_message("decisions_dropped", count=dropped)
