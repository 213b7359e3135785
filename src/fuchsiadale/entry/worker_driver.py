"""Keeps the session with one worker; orders it to start and stop attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from attrs import define, field
from result import Err

from fuchsiadale.backend.messages import (
    AdoptOrder,
    HeartbeatOrder,
    StartBatch,
    StartOrder,
    StopBatch,
    StopOrderMessage,
)
from fuchsiadale.backend.server import BackendServer, CallFailure
from fuchsiadale.decision.actions import StopOrder
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import HEARTBEAT_MAX_HOLD_S, START_VALIDITY_S
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.reconciliation import Reconciler
from fuchsiadale.decision.reports import WorkerReport
from fuchsiadale.decision.session import SessionRefusal
from fuchsiadale.decision.work import Attempt, AttemptEnd, TaskState
from fuchsiadale.metrics import Counters

# Seconds until an adopt, heartbeat or stop call is retried after a failure.
CALL_RETRY_DELAY_S = 0.25
# Seconds for which a worker may hold a heartbeat that does not renew its leases.
UNRENEWED_HOLD_S = 0.1
# Bytes of payload after which no further start joins a batch. Starts are valid for
# `START_VALIDITY_S` only, so that a longer batch would arrive too late on a slow link.
MAX_BATCH_PAYLOAD_BYTES = 256 << 10

Callback = Callable[[], None]


@define
class _PendingOrders:
    """Orders that are to be sent with the next batch.

    Attributes
    ----------
    starts : list of Attempt
        The attempts to start.
    stops : list of StopOrder
        The attempts to stop.
    """

    starts: list[Attempt] = field(factory=list)
    stops: list[StopOrder] = field(factory=list)


class WorkerDriver:
    """Talks with one worker for the owner of its partition.

    Parameters
    ----------
    worker_name : str
        Name of the worker.
    address : str
        Base URL of the worker's backend server.
    backend_server : BackendServer
        Client of the worker's backend server.
    partition : Partition
        The partition that manages the worker.
    reconciler : Reconciler
        Processes the worker's reports.
    clock : Clock
        The local clock.
    counters : Counters
        Counts failed calls and refused starts.
    on_change : callable
        Called when a report or a reply may have changed the partition.
    on_stale_epoch : callable
        Called when the worker knows a higher epoch, so the partition has a new owner.

    Attributes
    ----------
    address : str
        Base URL of the worker's backend server.
    """

    def __init__(
        self,
        worker_name: str,
        address: str,
        backend_server: BackendServer,
        partition: Partition,
        reconciler: Reconciler,
        clock: Clock,
        counters: Counters,
        on_change: Callback,
        on_stale_epoch: Callback,
    ) -> None:
        self.address = address
        self._worker_name = worker_name
        self._backend_server = backend_server
        self._partition = partition
        self._reconciler = reconciler
        self._clock = clock
        self._counters = counters
        self._on_change = on_change
        self._on_stale_epoch = on_stale_epoch
        self._pending_orders = _PendingOrders()
        self._orders_available = asyncio.Event()
        self._acknowledgements: list[str] = []
        self._worker_clock_s = 0.0
        self._worker_clock_received_s = 0.0
        self._renewal_echo_s = 0.0
        self._received_through = 0
        self._boot_id = ""

    def enqueue_start(self, attempt: Attempt) -> None:
        """Send the start of an attempt with the next batch."""
        self._pending_orders.starts.append(attempt)
        self._orders_available.set()

    def enqueue_stop(self, order: StopOrder) -> None:
        """Send an order to stop an attempt with the next batch."""
        self._pending_orders.stops.append(order)
        self._orders_available.set()

    def enqueue_acknowledgement(self, attempt_id: str) -> None:
        """Acknowledge the end of an attempt with the next heartbeat.

        The worker may then discard the answer of the attempt.
        """
        self._acknowledgements.append(attempt_id)

    async def keep_session(self) -> None:
        """Adopt the worker, then send heartbeats until cancelled."""
        while not await self._adopt():
            await asyncio.sleep(CALL_RETRY_DELAY_S)
        while True:
            # The answer to a heartbeat that renews nothing must not delay the next one.
            may_renew = self._partition.authority.may_renew_leases()
            hold_s = HEARTBEAT_MAX_HOLD_S if may_renew else UNRENEWED_HOLD_S
            if not await self._heartbeat(hold_s):
                await asyncio.sleep(CALL_RETRY_DELAY_S)

    async def send_orders(self) -> None:
        """Send starts and stops in batches until cancelled."""
        while True:
            await self._orders_available.wait()
            self._orders_available.clear()
            orders = self._pending_orders
            self._pending_orders = _PendingOrders()
            if orders.stops:
                await self._send_stops(orders.stops)
            if orders.starts:
                count = _count_first_batch(orders.starts)
                if later := orders.starts[count:]:
                    # Stops that come meanwhile are sent before these.
                    self._pending_orders.starts = later + self._pending_orders.starts
                    self._orders_available.set()
                await self._send_starts(orders.starts[:count])

    async def _adopt(self) -> bool:
        sent_s = self._clock.now()
        order = AdoptOrder(self._partition.name, self._partition.epoch)
        answer = await self._backend_server.adopt(order)
        if isinstance(answer, Err):
            self._record_failure("adopt", answer.err_value)
            return False
        report = answer.ok_value
        self._record_worker_clock(report)
        # The worker opens the session at the heartbeat that returns its clock reading.
        if not await self._heartbeat(0.0, is_session_open=False):
            return False
        self._reconciler.process_adoption(self._worker_name, report, sent_s)
        self._on_change()
        return True

    async def _heartbeat(self, hold_s: float, is_session_open: bool = True) -> bool:
        """Send a heartbeat; return whether the worker answered.

        The report is processed only if the session was open before. Without the
        authority to renew leases the heartbeat repeats the last reading of the worker's
        clock that renewed them, so that it renews nothing.
        """
        sent_s = self._clock.now()
        if self._partition.authority.may_renew_leases():
            self._renewal_echo_s = self._worker_clock_s
        acknowledgements = self._acknowledgements
        self._acknowledgements = []
        order = HeartbeatOrder(
            epoch=self._partition.epoch,
            echo_s=self._renewal_echo_s,
            received_through=self._received_through,
            acknowledged=acknowledgements,
            hold_s=hold_s,
        )
        answer = await self._backend_server.heartbeat(order)
        if isinstance(answer, Err):
            self._acknowledgements = acknowledgements + self._acknowledgements
            self._record_failure("heartbeat", answer.err_value)
            return False
        report = answer.ok_value
        self._record_worker_clock(report)
        has_restarted = report.boot_id != self._boot_id
        self._boot_id = report.boot_id
        if has_restarted and order.received_through:
            # The worker numbers its ends anew, so that the report may lack some.
            self._received_through = 0
            return await self._heartbeat(0.0, is_session_open)
        if is_session_open:
            self._reconciler.process_heartbeat(self._worker_name, report, sent_s)
            self._received_through = report.ended_through
            self._on_change()
        return True

    def _record_worker_clock(self, report: WorkerReport) -> None:
        """Record the worker's clock reading and when it was received.

        Heartbeats return the reading to the worker, and the time until which a start
        may take effect is computed from it.
        """
        self._worker_clock_s = report.clock_s
        self._worker_clock_received_s = self._clock.now()

    def _record_failure(self, call: str, failure: CallFailure) -> None:
        self._counters.add(f"backend.{call}.{failure.value}")
        if failure is CallFailure.STALE_EPOCH:
            self._on_stale_epoch()

    async def _send_starts(self, attempts: list[Attempt]) -> None:
        elapsed_s = self._clock.now() - self._worker_clock_received_s
        valid_until_s = self._worker_clock_s + elapsed_s + START_VALIDITY_S
        orders = [
            StartOrder(
                attempt_id=attempt.attempt_id,
                team=attempt.team,
                resources=attempt.resources,
                program=attempt.program.name,
                payload=attempt.program.payload,
                valid_until_s=valid_until_s,
            )
            for attempt in attempts
            if self._partition.mark_sent(attempt, valid_until_s)
        ]
        self._end_unsent_attempts(attempts)
        if not orders:
            return
        answer = await self._backend_server.start(
            StartBatch(self._partition.epoch, orders)
        )
        if isinstance(answer, Err):
            self._handle_start_failure(orders, answer.err_value)
            return
        for reply in answer.ok_value:
            if reply.refusal is None:
                self._partition.mark_started(reply.attempt_id)
            else:
                self._handle_start_refusal(reply.attempt_id, reply.refusal)
        self._on_change()

    def _end_unsent_attempts(self, attempts: list[Attempt]) -> None:
        """End attempts that were not sent because the owner may no longer act."""
        for attempt in attempts:
            task = self._partition.work_registry.find_task_by_current_attempt(
                attempt.attempt_id
            )
            if task is not None and task.state is TaskState.PLACED:
                self._partition.mark_ended(
                    attempt.attempt_id, AttemptEnd.NOT_RUN, reason="no_authority"
                )

    def _handle_start_failure(
        self, orders: list[StartOrder], failure: CallFailure
    ) -> None:
        """Handle a failed start call.

        If it was certainly not sent, its attempts end as not run. Otherwise a later
        heartbeat reports whether they started.
        """
        self._record_failure("start", failure)
        if failure is not CallFailure.NOT_SENT:
            return
        for order in orders:
            self._partition.mark_ended(
                order.attempt_id, AttemptEnd.NOT_RUN, reason=failure.value
            )
        self._on_change()

    def _handle_start_refusal(self, attempt_id: str, refusal: SessionRefusal) -> None:
        self._counters.add(f"backend.start.refused.{refusal.value}")
        if refusal is SessionRefusal.STALE_EPOCH:
            self._on_stale_epoch()
        if refusal is SessionRefusal.LEAVING:
            self._partition.ledger.change_state(self._worker_name, "leave")
        self._partition.mark_ended(attempt_id, AttemptEnd.NOT_RUN, reason=refusal.value)

    async def _send_stops(self, orders: list[StopOrder]) -> None:
        messages = [
            StopOrderMessage(order.attempt_id, order.checkpoint) for order in orders
        ]
        answer = await self._backend_server.stop(
            StopBatch(self._partition.epoch, messages)
        )
        if isinstance(answer, Err):
            self._record_failure("stop", answer.err_value)
            await asyncio.sleep(CALL_RETRY_DELAY_S)
            self._pending_orders.stops = orders + self._pending_orders.stops
            self._orders_available.set()


def _count_first_batch(attempts: Sequence[Attempt]) -> int:
    """Return how many of the first attempts are sent in one batch, at least one."""
    byte_count = 0
    for count, attempt in enumerate(attempts):
        byte_count += len(attempt.program.payload)
        if count and byte_count > MAX_BATCH_PAYLOAD_BYTES:
            return count
    return len(attempts)
