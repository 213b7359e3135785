"""Carries out the decisions of a partition that this member owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from fuchsiadale.decision.actions import Acknowledgement, Actions, StopOrder
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
from fuchsiadale.entry.driver_services import DriverServices
from fuchsiadale.entry.journal import AppendHandle
from fuchsiadale.entry.worker_driver import WorkerDriver

TICK_INTERVAL_S = 0.1
# Maximum time that a call waits until a job or its cancellation is recorded.
RECORD_TIMEOUT_S = 2.0
START_DRAIN_TIMEOUT_S = 3.0
START_DRAIN_POLL_INTERVAL_S = 0.01
# Interval between removals of expired work and of expired ends of orphan attempts.
EXPIRY_INTERVAL_S = 10.0


class PartitionDriver:
    """Carries out the decisions of a partition.

    Each step appends the events of new decisions to the journal, sends orders to the
    workers and reports finished work. Starts of work that the journal must hold are
    sent once they are recorded. While the journal fails, starts of idempotent work are
    sent without this.

    Parameters
    ----------
    name : str
        Name of the partition.
    epoch : int
        Epoch in which this member owns the partition.
    authority : Authority
        Authority to act for the partition.
    weights : OrderWeights
        Weights of share and waiting time in the order of teams.
    services : DriverServices
        Services that all partition drivers share.
    on_newer_epoch : callable
        Called with the name of the partition when a worker reports a newer epoch.

    Attributes
    ----------
    partition : Partition
        The decision logic of the partition and its state.
    reconciler : Reconciler
        Applies the reports of workers to the partition.
    events_since_snapshot : int
        Number of events appended to the journal since the last attempt to write a
        snapshot.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        authority: Authority,
        weights: OrderWeights,
        services: DriverServices,
        on_newer_epoch: Callable[[str], None],
    ) -> None:
        self.partition = Partition(name, epoch, services.clock, authority, weights)
        self.reconciler = Reconciler(self.partition, services.clock)
        self.events_since_snapshot = 0
        self._services = services
        self._on_newer_epoch = on_newer_epoch
        self._supervisor = services.supervisor.add_supervisor(name)
        self._workers: dict[str, WorkerDriver] = {}
        self._result_recipients: dict[str, set[str]] = {}
        self._completion_futures: dict[str, list[asyncio.Future[None]]] = {}
        self._unrecorded_starts: list[Attempt] = []
        self._is_step_scheduled = False
        self._is_closed = False
        self._is_draining_starts = False
        self._last_append: AppendHandle | None = None

    @property
    def name(self) -> str:
        """Name of the partition."""
        return self.partition.name

    def recover_and_start(
        self,
        events: Iterable[JournalEvent],
        workers: Iterable[WorkerInfo],
        witnesses: Iterable[str],
    ) -> None:
        """Recover the partition from recorded events and start to drive it.

        Parameters
        ----------
        events : iterable of JournalEvent
            The events of the snapshot and then those of the journal.
        workers : iterable of WorkerInfo
            The listed workers among the witnesses.
        witnesses : iterable of str
            The workers in the row of the partition.
        """
        now_s = self._services.clock.now()
        self.set_workers(workers, witnesses)
        for event in events:
            self.partition.work_registry.replay(event, self.partition.epoch, now_s)
        self.reconciler.recover_tasks()
        self._supervisor.start("tick", self._tick)

    def set_workers(
        self, workers: Iterable[WorkerInfo], witnesses: Iterable[str]
    ) -> None:
        """Replace the listed workers and the witnesses of the partition."""
        listed = {info.name: info for info in workers}
        self.reconciler.set_workers(listed.values(), witnesses)
        for name, info in listed.items():
            driver = self._workers.get(name)
            if driver is None or driver.address != info.address:
                self._start_worker_driver(info)
        for name in set(self._workers) - set(listed):
            self._supervisor.cancel_child(f"{name}/session")
            self._supervisor.cancel_child(f"{name}/orders")
            del self._workers[name]
        self.schedule_step()

    def schedule_step(self) -> None:
        """Schedule a step in the next iteration of the event loop."""
        if not self._is_step_scheduled and not self._is_closed:
            self._is_step_scheduled = True
            asyncio.get_running_loop().call_soon(self._step)

    async def submit(self, submission: Submission, member: str) -> Result[str, Refusal]:
        """Accept a submission that a client sent to `member`.

        A job is accepted only once it is recorded.

        Parameters
        ----------
        submission : Submission
            The submission.
        member : str
            The member that receives the result of a request.

        Returns
        -------
        Result
            The id of the accepted work, or why it was refused.
        """
        refusal = self._find_refusal(submission)
        if refusal is not None:
            self._services.counters.add(f"refused.{refusal.kind.value}")
            return Err(refusal)
        accepted = self.partition.accept(submission)
        if isinstance(accepted, Err):
            self.schedule_step()
            return accepted
        work = accepted.ok_value
        work_id = work.submission.work_id
        if submission.resubmitted:
            self.reconciler.attach_orphans(work)
        if work.submission.kind is WorkKind.REQUEST:
            self._result_recipients.setdefault(work_id, set()).add(member)
            if work.is_final:
                self._announce_result(work)
        self._step()
        if work.submission.kind is not WorkKind.REQUEST:
            recorded = await self._confirm_job_recorded(work)
            if isinstance(recorded, Err):
                return recorded
        return Ok(work_id)

    async def cancel(
        self, work_id: str, reason: Refusal, member: str = ""
    ) -> Result[WorkView, Refusal]:
        """Cancel work unless the client of another member still waits for it.

        The end of a job is reported only once it is recorded, because otherwise a later
        owner would run the job. A request needs no record, because a later owner starts
        it only if it is submitted again.

        Parameters
        ----------
        work_id : str
            Id of the work.
        reason : Refusal
            Refusal that is reported for tasks that did not run.
        member : str, optional
            The member whose client no longer waits for the work.

        Returns
        -------
        Result
            A view of the work, cancelled or not, or why its state is not known.
        """
        work = self.partition.work_registry.works.get(work_id)
        if work is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no work {work_id}"))
        other_members = self._result_recipients.get(work_id, set()) - {member}
        if not other_members:
            self.partition.cancel(work, reason)
            self._step()
        is_request = work.submission.kind is WorkKind.REQUEST
        if not is_request and not await self._wait_until_recorded():
            message = f"job {work_id} is being cancelled, but this is not recorded yet"
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))
        return Ok(build_work_view(work))

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work once it is final, or after `hold_s` seconds."""
        work = self.partition.work_registry.works.get(work_id)
        if work is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no work {work_id}"))
        if not work.is_final and hold_s > 0:
            completion: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            self._completion_futures.setdefault(work_id, []).append(completion)
            await asyncio.wait([completion], timeout=hold_s)
        return Ok(build_work_view(work))

    def inspect(self) -> PartitionView:
        """Return a view of the partition for operators."""
        return build_partition_view(self.partition)

    def list_team_jobs(self, team: str) -> list[WorkView]:
        """Return views of all jobs of a team."""
        return [
            build_work_view(work)
            for work in self.partition.work_registry.works.values()
            if work.submission.team == team
            and work.submission.kind is not WorkKind.REQUEST
        ]

    async def drain_starts(self) -> None:
        """Refuse work and wait up to START_DRAIN_TIMEOUT_S for unconfirmed starts."""
        self._is_draining_starts = True
        self.partition.pause()
        deadline_s = self._services.clock.now() + START_DRAIN_TIMEOUT_S
        while self.partition.work_registry.has_unconfirmed_starts():
            if self._services.clock.now() >= deadline_s:
                return
            await asyncio.sleep(START_DRAIN_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Revoke the authority and end all sessions with workers permanently."""
        self._is_closed = True
        self.partition.authority.revoke()
        await self._services.supervisor.remove_supervisor(self.name)

    def _start_worker_driver(self, info: WorkerInfo) -> None:
        driver = WorkerDriver(
            info.name,
            info.address,
            self._services.connector.connect(info.address),
            self.partition,
            self.reconciler,
            self._services.clock,
            self._services.counters,
            self.schedule_step,
            lambda: self._on_newer_epoch(self.name),
        )
        self._workers[info.name] = driver
        self._supervisor.start(f"{info.name}/session", driver.keep_session)
        self._supervisor.start(f"{info.name}/orders", driver.send_orders)

    def _find_refusal(self, submission: Submission) -> Refusal | None:
        """Return why a submission cannot be accepted now, or None if it can."""
        if self._is_draining_starts or self.partition.authority.is_revoked:
            message = f"this host no longer owns partition {self.name}"
            return Refusal(ErrorKind.NOT_OWNER, message)
        is_known = submission.work_id in self.partition.work_registry.works
        needs_record = (
            submission.kind is not WorkKind.REQUEST or not submission.idempotent
        )
        if needs_record and not is_known and self._is_table_failing():
            message = "the store is unavailable; this work is accepted only if recorded"
            return Refusal(ErrorKind.STORE_UNAVAILABLE, message)
        return None

    def _is_table_failing(self) -> bool:
        return self._services.journal.is_failing or self._services.is_table_failing()

    async def _confirm_job_recorded(self, work: Work) -> Result[None, Refusal]:
        """Wait until a job is recorded, or roll back its acceptance if possible."""
        if await self._wait_until_recorded():
            return Ok(None)
        work_id = work.submission.work_id
        if self._services.journal.withdraw(work_id):
            self.partition.roll_back_acceptance(work)
            message = "the store is unavailable; the job was not accepted"
            return Err(Refusal(ErrorKind.STORE_UNAVAILABLE, message))
        message = f"job {work_id} may have been recorded; check its state later"
        return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))

    async def _wait_until_recorded(self) -> bool:
        """Return whether all decisions so far are recorded within RECORD_TIMEOUT_S."""
        recorded = asyncio.Event()
        append_handle = self._last_append or self._services.journal.append(
            self.name, []
        )
        append_handle.call_when_recorded(recorded.set)
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await recorded.wait()
        except TimeoutError:
            return False
        return True

    async def _tick(self) -> None:
        """Process timeouts and remove expired work periodically."""
        next_expiry_s = self._services.clock.now() + EXPIRY_INTERVAL_S
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.reconciler.process_timeouts()
            if self._services.journal.is_failing:
                self._send_unrecorded_starts()
            if self._services.clock.now() >= next_expiry_s:
                next_expiry_s += EXPIRY_INTERVAL_S
                self.partition.work_registry.remove_expired(self._services.clock.now())
                self.reconciler.discard_expired_ends()
            self.schedule_step()

    def _step(self) -> None:
        """Let the partition decide and carry out its decisions."""
        self._is_step_scheduled = False
        if self._is_closed:
            return
        actions = self.partition.step()
        self._services.counters.add_all(actions.counts)
        append_handle = self._services.journal.append(self.name, actions.events)
        self.events_since_snapshot += len(actions.events)
        self._last_append = append_handle
        for order in actions.stops:
            self._send_stop(order)
        self._send_starts(actions, append_handle)
        acknowledgements = actions.acknowledgements
        if acknowledgements:
            append_handle.call_when_recorded(
                lambda: self._acknowledge(acknowledgements)
            )
        for work in actions.finished:
            self._announce_result(work)

    def _send_starts(self, actions: Actions, append_handle: AppendHandle) -> None:
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
            self._unrecorded_starts.extend(journalled)
            append_handle.call_when_recorded(
                lambda: self._send_recorded_starts(journalled)
            )

    def _send_recorded_starts(self, attempts: list[Attempt]) -> None:
        recorded_ids = {attempt.attempt_id for attempt in attempts}
        self._unrecorded_starts = [
            attempt
            for attempt in self._unrecorded_starts
            if attempt.attempt_id not in recorded_ids
        ]
        for attempt in attempts:
            self._send_start(attempt)

    def _send_unrecorded_starts(self) -> None:
        """Send the starts of idempotent work whose events cannot be recorded now."""
        for attempt in self._unrecorded_starts:
            task = self.partition.work_registry.find_task_by_current_attempt(
                attempt.attempt_id
            )
            if task is not None and task.submission.idempotent:
                self._send_start(attempt)

    def _send_start(self, attempt: Attempt) -> None:
        driver = self._workers.get(attempt.worker)
        if driver is not None:
            driver.enqueue_start(attempt)

    def _send_stop(self, order: StopOrder) -> None:
        driver = self._workers.get(order.worker)
        if driver is not None:
            driver.enqueue_stop(order)

    def _acknowledge(self, acknowledgements: list[Acknowledgement]) -> None:
        for acknowledgement in acknowledgements:
            driver = self._workers.get(acknowledgement.worker)
            if driver is not None:
                driver.enqueue_acknowledgement(acknowledgement.attempt_id)

    def _announce_result(self, work: Work) -> None:
        """Notify waiting calls and members that work is final."""
        work_id = work.submission.work_id
        for completion in self._completion_futures.pop(work_id, []):
            if not completion.done():
                completion.set_result(None)
        for member in self._result_recipients.pop(work_id, set()):
            self._services.send_result(
                member, work, lambda: self.partition.mark_delivered(work)
            )
