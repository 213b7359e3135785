"""Drives one worker: adoption, heartbeats, starts and stops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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

CALL_RETRY_DELAY_S = 0.25

Callback = Callable[[], None]


@define
class _Outgoing:
    starts: list[Attempt] = field(factory=list)
    stops: list[StopOrder] = field(factory=list)


class WorkerDriver:
    """Talks with one worker for the owner of its partition.

    Parameters
    ----------
    name : str
        The worker.
    address : str
        Where its backend server listens.
    server : BackendServer
        Its backend server.
    partition : Partition
        The partition.
    reconciliation : Reconciler
        Takes the worker's reports.
    clock : Clock
        The clock.
    counters : Counters
        Takes the counts.
    on_change : callable
        Called when a report or an answer changed the partition.
    on_stale : callable
        Called when the worker follows a newer epoch.
    """

    def __init__(
        self,
        name: str,
        address: str,
        server: BackendServer,
        partition: Partition,
        reconciliation: Reconciler,
        clock: Clock,
        counters: Counters,
        on_change: Callback,
        on_stale: Callback,
    ) -> None:
        self.address = address
        self._name = name
        self._server = server
        self._partition = partition
        self._reconciliation = reconciliation
        self._clock = clock
        self._counters = counters
        self._on_change = on_change
        self._on_stale = on_stale
        self._outgoing = _Outgoing()
        self._ready_to_send = asyncio.Event()
        self._acknowledgements: list[str] = []
        self._echo_s = 0.0
        self._echo_received_s = 0.0
        self._received_through = 0

    def start(self, attempt: Attempt) -> None:
        """Send a start with the next batch."""
        self._outgoing.starts.append(attempt)
        self._ready_to_send.set()

    def stop(self, order: StopOrder) -> None:
        """Send a stop with the next batch."""
        self._outgoing.stops.append(order)
        self._ready_to_send.set()

    def acknowledge(self, attempt_id: str) -> None:
        """Let the worker forget an ended attempt with the next heartbeat."""
        self._acknowledgements.append(attempt_id)

    async def keep_session(self) -> None:
        """Adopt the worker, then send heartbeats for as long as it follows."""
        while not await self._adopt():
            await asyncio.sleep(CALL_RETRY_DELAY_S)
        while True:
            if not await self._heartbeat(HEARTBEAT_MAX_HOLD_S):
                await asyncio.sleep(CALL_RETRY_DELAY_S)

    async def send_orders(self) -> None:
        """Send starts and stops in batches, for ever."""
        while True:
            await self._ready_to_send.wait()
            self._ready_to_send.clear()
            outgoing = self._outgoing
            self._outgoing = _Outgoing()
            if outgoing.stops:
                await self._send_stops(outgoing.stops)
            if outgoing.starts:
                await self._send_starts(outgoing.starts)

    async def _adopt(self) -> bool:
        sent_s = self._clock.now()
        order = AdoptOrder(self._partition.name, self._partition.epoch)
        answer = await self._server.adopt(order)
        if isinstance(answer, Err):
            self._failed("adopt", answer.err_value)
            return False
        report = answer.ok_value
        self._take_reading(report)
        # The session opens with a heartbeat that echoes the worker's clock.
        if not await self._heartbeat(0.0, is_open=False):
            return False
        self._reconciliation.process_adoption(self._name, report, sent_s)
        self._on_change()
        return True

    async def _heartbeat(self, hold_s: float, is_open: bool = True) -> bool:
        sent_s = self._clock.now()
        acknowledged = self._acknowledgements
        self._acknowledgements = []
        order = HeartbeatOrder(
            epoch=self._partition.epoch,
            echo_s=self._echo_s,
            received_through=self._received_through,
            acknowledged=acknowledged,
            hold_s=hold_s,
        )
        answer = await self._server.heartbeat(order)
        if isinstance(answer, Err):
            self._acknowledgements = acknowledged + self._acknowledgements
            self._failed("heartbeat", answer.err_value)
            return False
        report = answer.ok_value
        self._take_reading(report)
        if is_open:
            self._reconciliation.process_heartbeat(self._name, report, sent_s)
            self._received_through = report.ended_through
            self._on_change()
        return True

    def _take_reading(self, report: WorkerReport) -> None:
        self._echo_s = report.clock_s
        self._echo_received_s = self._clock.now()

    def _failed(self, call: str, failure: CallFailure) -> None:
        self._counters.add(f"backend.{call}.{failure.value}")
        if failure is CallFailure.STALE_EPOCH:
            self._on_stale()

    async def _send_starts(self, attempts: list[Attempt]) -> None:
        since_reading_s = self._clock.now() - self._echo_received_s
        valid_until_s = self._echo_s + since_reading_s + START_VALIDITY_S
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
        self._call_off(attempts)
        if not orders:
            return
        answer = await self._server.start(StartBatch(self._partition.epoch, orders))
        if isinstance(answer, Err):
            self._starts_failed(orders, answer.err_value)
            return
        for reply in answer.ok_value:
            if reply.refusal is None:
                self._partition.mark_started(reply.attempt_id)
            else:
                self._start_refused(reply.attempt_id, reply.refusal)
        self._on_change()

    def _call_off(self, attempts: list[Attempt]) -> None:
        """Give back what may not be sent because the right to act has lapsed."""
        for attempt in attempts:
            task = self._partition.work_registry.find_task_by_current_attempt(
                attempt.attempt_id
            )
            if task is not None and task.state is TaskState.PLACED:
                self._partition.mark_ended(
                    attempt.attempt_id, AttemptEnd.NOT_RUN, reason="no_authority"
                )

    def _starts_failed(self, orders: list[StartOrder], failure: CallFailure) -> None:
        """Call off starts that were not sent; the others show in a heartbeat."""
        self._failed("start", failure)
        if failure is not CallFailure.NOT_SENT:
            return
        for order in orders:
            self._partition.mark_ended(
                order.attempt_id, AttemptEnd.NOT_RUN, reason=failure.value
            )
        self._on_change()

    def _start_refused(self, attempt_id: str, refusal: SessionRefusal) -> None:
        self._counters.add(f"backend.start.refused.{refusal.value}")
        if refusal is SessionRefusal.STALE_EPOCH:
            self._on_stale()
        if refusal is SessionRefusal.LEAVING:
            self._partition.ledger.change_state(self._name, "leave")
        self._partition.mark_ended(attempt_id, AttemptEnd.NOT_RUN, reason=refusal.value)

    async def _send_stops(self, orders: list[StopOrder]) -> None:
        messages = [
            StopOrderMessage(order.attempt_id, order.checkpoint) for order in orders
        ]
        answer = await self._server.stop(StopBatch(self._partition.epoch, messages))
        if isinstance(answer, Err):
            self._failed("stop", answer.err_value)
            await asyncio.sleep(CALL_RETRY_DELAY_S)
            self._outgoing.stops = orders + self._outgoing.stops
            self._ready_to_send.set()
