"""Polls one worker, renews the leases of its runs and sends it orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from attrs import evolve
from result import Err, Result

from fuchsiadale.cell.fencing_tokens import FencingTokens
from fuchsiadale.cell.link_callbacks import LinkCallbacks
from fuchsiadale.cell.reply_loss_tracker import ReplyLossTracker
from fuchsiadale.cell.worker_clock import (
    LEASE_S,
    ClockReading,
    lease_expiry_delay_s,
    longest_lease_delay_s,
)
from fuchsiadale.decision.workflow.messages import (
    PaceRun,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerReport,
)
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartRequest,
    WorkerAddress,
    WorkerClient,
)

POLL_WAIT_S = 0.8
"""Seconds that a poll waits for a run to end.

A report shows only the last checkpoint of a run. The wait is therefore shorter than the
interval between checkpoints, which is 1 s.
"""

IDLE_POLL_WAIT_S = 2.0
"""Seconds that a poll waits at a worker without runs; workers allow no longer wait."""

POLL_TIMEOUT_MARGIN_S = 0.3
"""Seconds by which a poll's timeout exceeds its wait; 40 times the network time."""

CALL_TIMEOUT_S = 0.3
"""Timeout of all other calls to workers in seconds; 40 times their usual duration."""

RETRY_DELAY_S = 0.15
"""Seconds before a worker is polled again after a poll has failed."""

UNRECORDED_ENDS_WAIT_S = 0.3
"""Longest wait between two polls while reported ends are not recorded, in seconds.

Ends stay unrecorded for so long only during an outage of the store.
"""

MAX_START_ATTEMPTS = 5
"""Number of times a start is sent to a worker before its outcome counts as unknown."""


class WorkerLink:
    """Connection of the cell's owner to one worker.

    Parameters
    ----------
    workers : WorkerClient
        Client that makes the calls.
    address : WorkerAddress
        Id and address of the worker.
    tokens : FencingTokens
        Issues the fencing tokens of the owner's orders, shared by the links to all
        workers.
    max_lease_s : float
        Longest lease that the worker accepts, in seconds.
    callbacks : LinkCallbacks
        Functions through which the link reports to the owner.
    reply_losses : ReplyLossTracker
        Tracker of lost replies, shared by the links to all workers.
    may_act : callable
        Returns whether the owner may still send orders and extend leases.
    get_lease_limit_s : callable
        Returns the latest end of a lease that the owner may grant now, in seconds on
        the event loop's clock.
    started_ms : int, default=0
        Start of the worker's incarnation that is known to have answered last, in Unix
        milliseconds; 0 if none is known.

    Attributes
    ----------
    is_busy : bool
        Whether the worker has runs; set by the owner.
    """

    def __init__(
        self,
        workers: WorkerClient,
        address: WorkerAddress,
        tokens: FencingTokens,
        max_lease_s: float,
        callbacks: LinkCallbacks,
        reply_losses: ReplyLossTracker,
        may_act: Callable[[], bool],
        get_lease_limit_s: Callable[[], float],
        started_ms: int = 0,
    ) -> None:
        self._may_act = may_act
        self._get_lease_limit_s = get_lease_limit_s
        self._reply_losses = reply_losses
        self._is_unresponsive = False
        self._is_report_awaited = True
        self._workers = workers
        self._address = address
        self._tokens = tokens
        self._token = tokens.newest
        self._lease_s = min(LEASE_S, max_lease_s)
        self._max_lease_s = max_lease_s
        self._callbacks = callbacks
        self._clock_reading: ClockReading | None = None
        self._acknowledged_through = 0
        self._reported_through = 0
        self._worker_started_ms = started_ms
        self._poll_timeout: asyncio.Timeout | None = None
        self._ends_recorded = asyncio.Event()
        self.is_busy = False

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self._address.worker_id

    @property
    def address(self) -> str:
        """Address at which the worker is called."""
        return self._address.address

    @property
    def started_ms(self) -> int:
        """Start of the incarnation that answered last, in Unix ms; 0 if unknown."""
        return self._worker_started_ms

    @property
    def _known_incarnation(self) -> WorkerAddress:
        """Address of the incarnation that answered last; of any if none is known."""
        return evolve(self._address, started_ms=self._worker_started_ms)

    def acknowledge(self, sequence_number: int) -> None:
        """Acknowledge all ends of runs up to a sequence number, from the next poll on.

        The owner has recorded these ends, of the incarnation that answered last.
        """
        self._acknowledged_through = sequence_number
        self._ends_recorded.set()

    async def run(self) -> None:
        """Poll the worker repeatedly until cancelled."""
        while True:
            if self._reported_through > self._acknowledged_through:
                self._ends_recorded.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(UNRECORDED_ENDS_WAIT_S):
                        await self._ends_recorded.wait()
            if not await self._poll():
                await asyncio.sleep(RETRY_DELAY_S)

    async def start(
        self, order: StartRun, is_permitted: Callable[[], bool] = lambda: True
    ) -> StartOutcome:
        """Send a start order; repeat it to this worker while its outcome is unknown.

        An order for another incarnation of the worker is not sent, and none once
        `is_permitted` returns False.
        """
        is_outcome_unknown = False
        started_ms = order.started_ms or self._worker_started_ms
        if not self._may_act():
            return StartOutcome.UNKNOWN
        # Later ends would put off when a run without an answer counts as gone.
        lease_end_ms = self._grant_lease()
        if lease_end_ms is None:
            is_unknown_clock = self._clock_reading is None
            return StartOutcome.UNHEALTHY if is_unknown_clock else StartOutcome.EXPIRED
        for _ in range(MAX_START_ATTEMPTS):
            if not self._may_act():
                return StartOutcome.UNKNOWN
            if self._worker_started_ms != started_ms:
                # The worker has restarted and no longer knows the earlier attempts.
                return (
                    StartOutcome.UNKNOWN
                    if is_outcome_unknown
                    else StartOutcome.RESTARTED
                )
            if not is_permitted():
                expired = StartOutcome.EXPIRED
                return StartOutcome.UNKNOWN if is_outcome_unknown else expired
            reading, token = self._clock_reading, self._token
            sent_s = asyncio.get_running_loop().time()
            answer = await self._workers.start(
                self._known_incarnation,
                StartRequest(
                    order.task,
                    order.run,
                    order.payload,
                    order.checkpoint,
                    order.ticket,
                    lease_end_ms,
                    token,
                ),
                CALL_TIMEOUT_S,
            )
            if reading and reading.has_gone_back(answer.clock_ms, sent_s):
                self._report_misdated_lease()
            if answer.outcome is StartOutcome.FENCED and not self._replace_token(token):
                self._callbacks.on_fenced(self.worker_id)
            if answer.outcome is StartOutcome.RESTARTED:
                self._note_other_incarnation(started_ms)
            if answer.outcome in (StartOutcome.UNKNOWN, StartOutcome.NOT_SENT):
                is_outcome_unknown |= answer.outcome is StartOutcome.UNKNOWN
                self._reply_losses.record_loss()
            elif answer.outcome is StartOutcome.STARTED or not is_outcome_unknown:
                return answer.outcome
            else:
                # A refusal does not tell whether an earlier attempt started the run.
                return StartOutcome.UNKNOWN
        return StartOutcome.UNKNOWN if is_outcome_unknown else StartOutcome.UNHEALTHY

    async def stop(self, order: StopRun) -> bool:
        """Send a stop order if permitted; return False if it must be sent again.

        It need not be sent again if the worker acknowledged it, or if a worker with
        another id answers at the address.
        """
        if not self._may_act():
            return False
        token, started_ms = self._token, self._worker_started_ms
        outcome = await self._workers.stop(
            self._known_incarnation, order.task, order.run, token, CALL_TIMEOUT_S
        )
        return self._is_done(outcome, token, started_ms)

    async def limit_pace(self, order: PaceRun) -> bool:
        """Limit a run to a percentage of its full speed, as `stop` stops one."""
        if not self._may_act():
            return False
        token, started_ms = self._token, self._worker_started_ms
        outcome = await self._workers.set_pace(
            self._known_incarnation,
            order.task,
            order.run,
            order.percent,
            token,
            CALL_TIMEOUT_S,
        )
        return self._is_done(outcome, token, started_ms)

    def _is_done(
        self, outcome: Result[None, CallFailure], token: int, started_ms: int
    ) -> bool:
        """Return whether an order for a run need not be sent again, by its outcome."""
        if not isinstance(outcome, Err):
            return True
        failure = outcome.err_value
        if failure is CallFailure.FENCED and not self._replace_token(token):
            self._callbacks.on_fenced(self.worker_id)
        if failure is CallFailure.RESTARTED:
            self._note_other_incarnation(started_ms)
        return failure is CallFailure.OTHER_BOOT

    async def _poll(self) -> bool:
        if not self._may_act():
            return False
        has_unrecorded_ends = self._reported_through > self._acknowledged_through
        wait_s = POLL_WAIT_S if self.is_busy else IDLE_POLL_WAIT_S
        if self.is_busy:
            wait_s = self._reply_losses.limit_wait_s(wait_s)
        if self._is_report_awaited or has_unrecorded_ends or self._is_unresponsive:
            wait_s = 0.0
        # Renewing the leases of an unresponsive worker would put off their expiry
        # forever, and with it the time from which its runs count as gone.
        lease_end_ms = None if self._is_unresponsive else self._grant_lease()
        # A worker that has restarted numbers ends anew, and would forget unread ones.
        acknowledged_through = (
            0 if self._is_unresponsive else self._acknowledged_through
        )
        # A poll that changes nothing may tell of a restart.
        is_for_any = lease_end_ms is None and not acknowledged_through
        sent_s = asyncio.get_running_loop().time()
        token = self._token
        outcome: Result[WorkerReport, CallFailure]
        try:
            async with asyncio.timeout(None) as self._poll_timeout:
                outcome = await self._workers.poll(
                    self._address if is_for_any else self._known_incarnation,
                    PollRequest(lease_end_ms, token, acknowledged_through, wait_s),
                    wait_s + POLL_TIMEOUT_MARGIN_S,
                )
        except TimeoutError:
            outcome = Err(CallFailure.RESTARTED)
        finally:
            self._poll_timeout = None
        now_s = asyncio.get_running_loop().time()
        if isinstance(outcome, Err):
            self._handle_failure(outcome.err_value, token)
            return False
        self._is_unresponsive = False
        report = outcome.ok_value
        if self._worker_started_ms and report.started_ms not in (
            0,
            self._worker_started_ms,
        ):
            self._note_restart(report)
            return True
        is_first_report = self._clock_reading is None
        self._is_report_awaited = False
        self._clock_reading = ClockReading(report.clock_ms, now_s)
        if lease_end_ms is not None:
            self._report_lease(lease_end_ms)
        self._worker_started_ms = report.started_ms or self._worker_started_ms
        self._reported_through = max(
            (end.sequence_number for end in report.ended), default=0
        )
        self._reported_through = max(self._reported_through, self._acknowledged_through)
        self._callbacks.on_report(self.worker_id, report, sent_s)
        if is_first_report and report.running:
            # A previous owner started these runs and may have extended their leases.
            self._callbacks.on_lease_extended(
                self.worker_id, now_s + lease_expiry_delay_s(self._lease_s)
            )
            return await self._poll()
        return True

    def _note_other_incarnation(self, started_ms: int) -> None:
        """Note that the incarnation of an order has been replaced by another one."""
        if self._is_unresponsive or self._worker_started_ms != started_ms:
            return
        self._handle_failure(CallFailure.RESTARTED, self._token)
        timeout = self._poll_timeout
        if timeout is not None and not timeout.expired():
            # The poll that is in progress was sent to the former incarnation.
            timeout.reschedule(asyncio.get_running_loop().time())

    def _note_restart(self, report: WorkerReport) -> None:
        """Prepare to poll a worker that has restarted with a new token.

        Once it has answered, it refuses all orders for its former incarnation. Its
        first report may be followed by one of them, and is not passed on.
        """
        self._worker_started_ms = report.started_ms
        self._token = self._tokens.issue()
        self._acknowledged_through = self._reported_through = 0
        now_s = asyncio.get_running_loop().time()
        self._clock_reading = ClockReading(report.clock_ms, now_s)
        self._is_report_awaited = True
        self._report_misdated_lease()

    def _replace_token(self, token: int) -> bool:
        """Use the newest token if an order with another one was refused.

        Returns
        -------
        is_superseded : bool
            Whether the refusal may be due to a newer token of this owner.
        """
        if token == self._tokens.newest:
            return False
        self._token = self._tokens.newest
        return True

    def _handle_failure(self, failure: CallFailure, token: int) -> None:
        if failure is CallFailure.FENCED:
            if not self._replace_token(token):
                self._callbacks.on_fenced(self.worker_id)
        elif failure is CallFailure.OTHER_BOOT:
            self._callbacks.on_replaced(self.worker_id)
        else:
            is_loss = failure not in (CallFailure.REFUSED, CallFailure.RESTARTED)
            if is_loss and not self._is_unresponsive:
                self._reply_losses.record_loss()
            self._is_unresponsive = True
            is_closed = failure is CallFailure.DISCONNECTED
            self._callbacks.on_unresponsive(self.worker_id, failure.value, is_closed)

    def _report_lease(self, lease_end_ms: int) -> None:
        """Report when a lease that was granted by the last reading has expired."""
        if self._clock_reading is not None:
            expiry_s = self._clock_reading.lease_expiry_s(
                lease_end_ms, self._max_lease_s
            )
            self._callbacks.on_lease_extended(self.worker_id, expiry_s)

    def _report_misdated_lease(self) -> None:
        """Report that an order for another incarnation may have just been accepted."""
        now_s = asyncio.get_running_loop().time()
        self._callbacks.on_misdated_lease(
            self.worker_id, now_s + longest_lease_delay_s(self._max_lease_s)
        )

    def _grant_lease(self) -> int | None:
        """Return the end of a lease granted now, in milliseconds on the worker's clock.

        Reports to the owner when the lease has certainly expired. Returns None if no
        reading of the worker's clock is known, or if the owner may grant no lease.
        """
        now_s = asyncio.get_running_loop().time()
        lease_s = min(self._lease_s, self._get_lease_limit_s() - now_s)
        if self._clock_reading is None or lease_s <= 0.0:
            return None
        lease_end_ms = self._clock_reading.lease_end_ms(now_s, lease_s)
        self._report_lease(lease_end_ms)
        return lease_end_ms
