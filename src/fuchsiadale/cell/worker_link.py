"""Keeps one worker's lease renewed, watches what runs there and passes orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from attrs import define
from result import Err

from fuchsiadale.cell.reply_loss_tracker import ReplyLossTracker
from fuchsiadale.decision.workflow.messages import (
    PaceRun,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerReport,
)
from fuchsiadale.decision.workflow.tracked_worker import MAX_CLOCK_DRIFT
from fuchsiadale.ports.task_workers import (
    CallFailure,
    PollRequest,
    StartRequest,
    WorkerAddress,
    WorkerClient,
)

LEASE_S = 4.5
"""Lease of what runs: bears a takeover of 3 s, and bounds the wait for the silent."""

POLL_WAIT_S = 0.8
"""Seconds that a look waits for an end; below a checkpoint's interval of 1 s."""

IDLE_LOOK_WAIT_S = 2.0
"""Seconds that a look waits at a worker without runs; the longest allowed."""

LOOK_MARGIN_S = 0.3
"""Seconds beyond its wait until a look counts as unanswered: 40 times its way."""

CALL_TIMEOUT_S = 0.3
"""Seconds until a call counts as unanswered; 40 times its usual time."""

RETRY_S = 0.15
"""Seconds between two calls to a worker that does not answer."""

UNRECORDED_WAIT_S = 0.3
"""Seconds between two looks while ends wait to be recorded: an outage's."""

LAPSE_MARGIN_S = 0.3
"""Seconds after a lease's end until its runs count as gone: the time to kill them."""

START_TRIES = 5
"""Times a start is sent to the same worker before its outcome counts as unknown."""

MS_PER_S = 1000.0


def lease_expiry_delay_s(max_lease_s: float) -> float:
    """Return after how many seconds a lease given by an owner has surely ended."""
    return min(LEASE_S, max_lease_s) / (1.0 - MAX_CLOCK_DRIFT) + LAPSE_MARGIN_S


@define
class WorkerClock:
    """What is known of a worker's clock.

    Attributes
    ----------
    reading_ms : int
        Its last reading.
    received_s : float
        When that arrived, on the loop's clock.
    """

    reading_ms: int
    received_s: float

    def lease_end_ms(self, now_s: float, lease_s: float) -> int:
        """Return when a lease given now ends, on the worker's clock."""
        return self.reading_ms + round(MS_PER_S * (now_s - self.received_s + lease_s))

    def lapse_s(self, lease_end_ms: int) -> float:
        """Return when a lease has surely ended, on the loop's clock."""
        left_s = (lease_end_ms - self.reading_ms) / MS_PER_S
        return self.received_s + left_s / (1.0 - MAX_CLOCK_DRIFT) + LAPSE_MARGIN_S


class LinkCallbacks:
    """What a link tells its owner."""

    def __init__(
        self,
        on_report: Callable[[str, WorkerReport, float], None],
        on_unresponsive: Callable[[str], None],
        on_replaced: Callable[[str], None],
        on_lease_extended: Callable[[str, float], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self.on_report = on_report
        self.on_unresponsive = on_unresponsive
        self.on_replaced = on_replaced
        self.on_lease_extended = on_lease_extended
        self.on_fenced = on_fenced


class WorkerLink:
    """Talks to one worker on behalf of the owner.

    Parameters
    ----------
    workers : WorkerClient
        Makes the calls.
    address : WorkerAddress
        The worker.
    epoch : int
        The owner's fencing token.
    max_lease_s : float
        Longest lease that the worker grants, in seconds.
    events : LinkEvents
        Where it reports.
    losses : AnswerLosses
        Shared by all links.
    """

    def __init__(
        self,
        workers: WorkerClient,
        address: WorkerAddress,
        epoch: int,
        max_lease_s: float,
        events: LinkCallbacks,
        losses: ReplyLossTracker,
    ) -> None:
        self._losses = losses
        self._is_silent = False
        self._workers = workers
        self._address = address
        self._epoch = epoch
        self._lease_s = min(LEASE_S, max_lease_s)
        self._events = events
        self._clock: WorkerClock | None = None
        self._acknowledged = 0
        self._listed = 0
        self._started_ms = 0
        self._recorded = asyncio.Event()
        self.is_busy = False

    @property
    def worker_id(self) -> str:
        """The worker's id."""
        return self._address.worker_id

    def acknowledge(self, end: int) -> None:
        """Note that ends up to a number are recorded."""
        self._acknowledged = end
        self._recorded.set()

    def reset_ends(self) -> None:
        """Begin to count ends anew, for a new life of the worker."""
        self._acknowledged = 0
        self._listed = 0

    async def run(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            if self._listed > self._acknowledged:
                self._recorded.clear()
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._recorded.wait(), UNRECORDED_WAIT_S)
            if not await self._look():
                await asyncio.sleep(RETRY_S)

    async def start(self, order: StartRun) -> StartOutcome:
        """Send a start; repeat it there while its outcome is unknown."""
        is_unknown = False
        life = self._started_ms
        for _ in range(START_TRIES):
            lease_end_ms = self._renewed_until()
            if lease_end_ms is None:
                return StartOutcome.UNHEALTHY
            if self._started_ms != life:
                # Another life of the worker knows nothing of the earlier tries.
                return StartOutcome.UNKNOWN
            answer = await self._workers.start(
                self._address,
                StartRequest(
                    order.task,
                    order.run,
                    order.payload,
                    order.checkpoint,
                    order.ticket,
                    lease_end_ms,
                    self._epoch,
                ),
                CALL_TIMEOUT_S,
            )
            if answer.outcome is StartOutcome.FENCED:
                self._events.on_fenced(self.worker_id)
            if answer.outcome is StartOutcome.UNKNOWN:
                is_unknown = True
                self._losses.record_loss()
            elif answer.outcome is StartOutcome.STARTED or not is_unknown:
                return answer.outcome
            else:
                # A refusal says nothing of an earlier try that was not answered.
                return StartOutcome.UNKNOWN
        return StartOutcome.UNKNOWN

    async def stop(self, order: StopRun) -> bool:
        """Send a stop; tell whether the worker acknowledged it."""
        outcome = await self._workers.stop(
            self._address, order.task, order.run, self._epoch, CALL_TIMEOUT_S
        )
        if isinstance(outcome, Err):
            if outcome.err_value is CallFailure.FENCED:
                self._events.on_fenced(self.worker_id)
            return outcome.err_value is CallFailure.OTHER_BOOT
        return True

    async def set_pace(self, order: PaceRun) -> None:
        """Send an order to work at a share of full speed."""
        await self._workers.set_pace(
            self._address,
            order.task,
            order.run,
            order.percent,
            self._epoch,
            CALL_TIMEOUT_S,
        )

    async def _look(self) -> bool:
        has_backlog = self._listed > self._acknowledged
        wait_s = POLL_WAIT_S if self.is_busy else IDLE_LOOK_WAIT_S
        if self.is_busy:
            wait_s = self._losses.limit_wait_s(wait_s)
        if self._clock is None or has_backlog or self._is_silent:
            wait_s = 0.0
        # Renewing a silent worker's leases would keep its runs in the books for good.
        lease_end_ms = None if self._is_silent else self._renewed_until()
        sent_s = asyncio.get_running_loop().time()
        outcome = await self._workers.poll(
            self._address,
            PollRequest(lease_end_ms, self._epoch, self._acknowledged, wait_s),
            wait_s + LOOK_MARGIN_S,
        )
        now_s = asyncio.get_running_loop().time()
        if isinstance(outcome, Err):
            self._note_failure(outcome.err_value)
            return False
        self._is_silent = False
        report = outcome.ok_value
        was_new = self._clock is None
        self._clock = WorkerClock(report.clock_ms, now_s)
        if lease_end_ms is not None:
            self._events.on_lease_extended(
                self.worker_id, self._clock.lapse_s(lease_end_ms)
            )
        self._started_ms = report.started_ms
        self._listed = max((end.sequence_number for end in report.ended), default=0)
        self._listed = max(self._listed, self._acknowledged)
        self._events.on_report(self.worker_id, report, sent_s)
        if was_new and report.running:
            # What a former owner started holds a lease that it gave.
            self._events.on_lease_extended(
                self.worker_id, now_s + lease_expiry_delay_s(self._lease_s)
            )
            return await self._look()
        return True

    def _note_failure(self, failure: CallFailure) -> None:
        if failure is CallFailure.FENCED:
            self._events.on_fenced(self.worker_id)
        elif failure is CallFailure.OTHER_BOOT:
            self._events.on_replaced(self.worker_id)
        else:
            if failure is CallFailure.NO_ANSWER and not self._is_silent:
                self._losses.record_loss()
            self._is_silent = True
            self._events.on_unresponsive(self.worker_id)

    def _renewed_until(self) -> int | None:
        """Return the end of a lease given now, after noting it."""
        if self._clock is None:
            return None
        now_s = asyncio.get_running_loop().time()
        lease_end_ms = self._clock.lease_end_ms(now_s, self._lease_s)
        self._events.on_lease_extended(
            self.worker_id, self._clock.lapse_s(lease_end_ms)
        )
        return lease_end_ms
