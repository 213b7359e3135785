"""Drives one partition that this member owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from fuchsiadale.decision.actions import (
    Acknowledgement,
    Actions,
    StopOrder,
)
from fuchsiadale.decision.authority import Authority
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.events import JournalEvent
from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.reconciliation import Reconciler
from fuchsiadale.decision.views import (
    PartitionView,
    WorkView,
    build_partition_view,
    build_work_view,
)
from fuchsiadale.decision.work import Attempt, Submission, Work, WorkKind
from fuchsiadale.entry.journal import Ticket
from fuchsiadale.entry.partition_tools import PartitionTools
from fuchsiadale.entry.worker_driver import WorkerDriver

TICK_S = 0.1
RECORD_WAIT_S = 2.0
SETTLE_WAIT_S = 3.0
SETTLE_POLL_S = 0.01
EXPIRY_PERIOD_S = 10.0


class PartitionDriver:
    """Carries out what a partition decides.

    Parameters
    ----------
    name : str
        Name of the partition.
    epoch : int
        The epoch in which it was taken.
    authority : Authority
        The right to act.
    weights : OrderWeights
        How teams are ordered.
    tools : PartitionTools
        Shared parts.
    on_stale : callable
        Called with the name when a newer owner is at work.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        authority: Authority,
        weights: OrderWeights,
        tools: PartitionTools,
        on_stale: Callable[[str], None],
    ) -> None:
        self.partition = Partition(name, epoch, tools.clock, authority, weights)
        self.reconciliation = Reconciler(self.partition, tools.clock)
        self.events_since_snapshot = 0
        self._tools = tools
        self._on_stale = on_stale
        self._supervisor = tools.supervisor.add_supervisor(name)
        self._workers: dict[str, WorkerDriver] = {}
        self._subscribers: dict[str, set[str]] = {}
        self._watchers: dict[str, list[asyncio.Future[None]]] = {}
        self._awaiting_record: list[Attempt] = []
        self._pump_due = False
        self._is_closed = False
        self._is_settling = False
        self._last_ticket: Ticket | None = None

    @property
    def name(self) -> str:
        """Name of the partition."""
        return self.partition.name

    def open(
        self,
        events: Iterable[JournalEvent],
        workers: Iterable[WorkerInfo],
        witnesses: Iterable[str],
    ) -> None:
        """Recover from recorded events and begin to drive.

        Parameters
        ----------
        events : iterable of JournalEvent
            The snapshot's events, then the journal's.
        workers : iterable of WorkerInfo
            The listed workers among the witnesses.
        witnesses : iterable of str
            The workers in the partition's row.
        """
        now_s = self._tools.clock.now()
        self.set_workers(workers, witnesses)
        for event in events:
            self.partition.work_registry.replay(event, self.partition.epoch, now_s)
        self.reconciliation.recover_tasks()
        self._supervisor.start("tick", self._tick)

    def set_workers(
        self, workers: Iterable[WorkerInfo], witnesses: Iterable[str]
    ) -> None:
        """Take the listed workers among the witnesses of the partition's row."""
        listed = {info.name: info for info in workers}
        self.reconciliation.set_workers(listed.values(), witnesses)
        for name, info in listed.items():
            driver = self._workers.get(name)
            if driver is None or driver.address != info.address:
                self._open_worker(info)
        for name in set(self._workers) - set(listed):
            self._supervisor.cancel_child(f"{name}/session")
            self._supervisor.cancel_child(f"{name}/orders")
            del self._workers[name]
        self.kick()

    def kick(self) -> None:
        """Let the partition decide soon."""
        if not self._pump_due and not self._is_closed:
            self._pump_due = True
            asyncio.get_running_loop().call_soon(self._pump)

    async def submit(
        self, submission: Submission, reply_to: str
    ) -> Result[str, Refusal]:
        """Accept a submission for a member whose caller waits.

        A job is accepted only once it is on record.

        Returns
        -------
        Result
            The id of the work accepted, or why it was refused.
        """
        refusal = self._refusal_for(submission)
        if refusal is not None:
            self._tools.counters.add(f"refused.{refusal.kind.value}")
            return Err(refusal)
        accepted = self.partition.accept(submission)
        if isinstance(accepted, Err):
            self.kick()
            return accepted
        work = accepted.ok_value
        work_id = work.submission.work_id
        if submission.resubmitted:
            self.reconciliation.attach_orphans(work)
        if work.submission.kind is WorkKind.REQUEST:
            self._subscribers.setdefault(work_id, set()).add(reply_to)
            if work.is_final:
                self._finish(work)
        self._pump()
        if work.submission.kind is not WorkKind.REQUEST:
            recorded = await self._wait_for_record(work)
            if isinstance(recorded, Err):
                return recorded
        return Ok(work_id)

    async def cancel(
        self, work_id: str, reason: Refusal, member: str = ""
    ) -> Result[WorkView, Refusal]:
        """End work; the view tells what is known of it now.

        The end of a job is told only once it is on record, since a later owner would
        run the job otherwise. A later owner starts a request only if it is submitted
        again.

        Parameters
        ----------
        work_id : str
            The work.
        reason : Refusal
            What is told of tasks that did not run.
        member : str, optional
            The member whose caller no longer waits; the work goes on if the caller
            of another member waits for it.
        """
        work = self.partition.work_registry.works.get(work_id)
        if work is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no work {work_id}"))
        others = self._subscribers.get(work_id, set()) - {member}
        if not others:
            self.partition.cancel(work, reason)
            self._pump()
        is_request = work.submission.kind is WorkKind.REQUEST
        if not is_request and not await self._is_recorded():
            message = f"the end of job {work_id} is under way, but not on record yet"
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))
        return Ok(build_work_view(work))

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work, once it is final or `hold_s` seconds have passed."""
        work = self.partition.work_registry.works.get(work_id)
        if work is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no work {work_id}"))
        if not work.is_final and hold_s > 0:
            watcher: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._watchers.setdefault(work_id, []).append(watcher)
            await asyncio.wait([watcher], timeout=hold_s)
        return Ok(build_work_view(work))

    def inspect(self) -> PartitionView:
        """Return a view of the partition for operators."""
        return build_partition_view(self.partition)

    def list_team(self, team: str) -> list[WorkView]:
        """Return views of a team's jobs."""
        return [
            build_work_view(work)
            for work in self.partition.work_registry.works.values()
            if work.submission.team == team
            and work.submission.kind is not WorkKind.REQUEST
        ]

    async def settle(self) -> None:
        """Place nothing more, and wait until every start sent was answered."""
        self._is_settling = True
        self.partition.pause()
        give_up_s = self._tools.clock.now() + SETTLE_WAIT_S
        while self.partition.work_registry.has_unconfirmed_starts():
            if self._tools.clock.now() >= give_up_s:
                return
            await asyncio.sleep(SETTLE_POLL_S)

    async def close(self) -> None:
        """Stop deciding and talking, for good."""
        self._is_closed = True
        self.partition.authority.revoke()
        await self._tools.supervisor.remove_supervisor(self.name)

    def _open_worker(self, info: WorkerInfo) -> None:
        driver = WorkerDriver(
            info.name,
            info.address,
            self._tools.connector.connect(info.address),
            self.partition,
            self.reconciliation,
            self._tools.clock,
            self._tools.counters,
            self.kick,
            lambda: self._on_stale(self.name),
        )
        self._workers[info.name] = driver
        self._supervisor.start(f"{info.name}/session", driver.keep_session)
        self._supervisor.start(f"{info.name}/orders", driver.send_orders)

    def _refusal_for(self, submission: Submission) -> Refusal | None:
        if self._is_settling or self.partition.authority.is_revoked:
            message = f"this host no longer owns partition {self.name}"
            return Refusal(ErrorKind.NOT_OWNER, message)
        is_known = submission.work_id in self.partition.work_registry.works
        needs_record = (
            submission.kind is not WorkKind.REQUEST or not submission.idempotent
        )
        if needs_record and not is_known and self._is_store_failing():
            message = "the store is out of reach and this work needs a record"
            return Refusal(ErrorKind.STORE_UNAVAILABLE, message)
        return None

    def _is_store_failing(self) -> bool:
        return self._tools.journal.is_failing or self._tools.is_store_failing()

    async def _wait_for_record(self, work: Work) -> Result[None, Refusal]:
        """Wait until a job is on record, and take it back if it cannot be."""
        if await self._is_recorded():
            return Ok(None)
        work_id = work.submission.work_id
        if self._tools.journal.withdraw(work_id):
            self.partition.roll_back_acceptance(work)
            message = "the store is out of reach; the job was not accepted"
            return Err(Refusal(ErrorKind.STORE_UNAVAILABLE, message))
        message = f"job {work_id} may be on record; ask for it later"
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))

    async def _is_recorded(self) -> bool:
        """Wait a while for the record of everything decided so far."""
        recorded = asyncio.Event()
        ticket = self._last_ticket or self._tools.journal.append(self.name, [])
        ticket.when_recorded(recorded.set)
        try:
            async with asyncio.timeout(RECORD_WAIT_S):
                await recorded.wait()
        except TimeoutError:
            return False
        return True

    async def _tick(self) -> None:
        expires_s = self._tools.clock.now() + EXPIRY_PERIOD_S
        while True:
            await asyncio.sleep(TICK_S)
            self.reconciliation.process_timeouts()
            if self._tools.journal.is_failing:
                self._start_unrecorded()
            if self._tools.clock.now() >= expires_s:
                expires_s += EXPIRY_PERIOD_S
                self.partition.work_registry.remove_expired(self._tools.clock.now())
                self.reconciliation.discard_expired_ends()
            self.kick()

    def _pump(self) -> None:
        """Let the partition decide and carry it out."""
        self._pump_due = False
        if self._is_closed:
            return
        actions = self.partition.step()
        self._tools.counters.add_all(actions.counts)
        ticket = self._tools.journal.append(self.name, actions.events)
        self.events_since_snapshot += len(actions.events)
        self._last_ticket = ticket
        for order in actions.stops:
            self._send_stop(order)
        self._send_starts(actions, ticket)
        acknowledgements = actions.acknowledgements
        if acknowledgements:
            ticket.when_recorded(lambda: self._acknowledge(acknowledgements))
        for work in actions.finished:
            self._finish(work)

    def _send_starts(self, actions: Actions, ticket: Ticket) -> None:
        journalled: list[Attempt] = []
        for attempt in actions.starts:
            task = self.partition.work_registry.find_task_by_current_attempt(
                attempt.attempt_id
            )
            if task is not None and task.submission.is_journalled:
                journalled.append(attempt)
            else:
                self._send_start(attempt)
        if journalled:
            self._awaiting_record.extend(journalled)
            ticket.when_recorded(lambda: self._recorded(journalled))

    def _recorded(self, attempts: list[Attempt]) -> None:
        waiting = {attempt.attempt_id for attempt in attempts}
        self._awaiting_record = [
            attempt
            for attempt in self._awaiting_record
            if attempt.attempt_id not in waiting
        ]
        for attempt in attempts:
            self._send_start(attempt)

    def _start_unrecorded(self) -> None:
        """Send starts of idempotent work that the store cannot record now."""
        for attempt in self._awaiting_record:
            task = self.partition.work_registry.find_task_by_current_attempt(
                attempt.attempt_id
            )
            if task is not None and task.submission.idempotent:
                self._send_start(attempt)

    def _send_start(self, attempt: Attempt) -> None:
        driver = self._workers.get(attempt.worker)
        if driver is not None:
            driver.start(attempt)

    def _send_stop(self, order: StopOrder) -> None:
        driver = self._workers.get(order.worker)
        if driver is not None:
            driver.stop(order)

    def _acknowledge(self, acknowledgements: list[Acknowledgement]) -> None:
        for acknowledgement in acknowledgements:
            driver = self._workers.get(acknowledgement.worker)
            if driver is not None:
                driver.acknowledge(acknowledgement.attempt_id)

    def _finish(self, work: Work) -> None:
        work_id = work.submission.work_id
        for watcher in self._watchers.pop(work_id, []):
            if not watcher.done():
                watcher.set_result(None)
        for member in self._subscribers.pop(work_id, set()):
            self._tools.send_result(
                member, work, lambda: self.partition.mark_delivered(work)
            )
