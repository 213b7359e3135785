"""One worker of the backend server's stand-in."""

from __future__ import annotations

import asyncio
import json
import uuid

from attrs import define, field, frozen
from result import Err, Ok, Result

from fuchsiadale.backend.messages import (
    AdoptOrder,
    EndMessage,
    HeartbeatOrder,
    ReportMessage,
    StartBatch,
    StartOrder,
    StartReply,
    StopBatch,
    make_end_message,
)
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.reports import RunningAttempt
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.session import (
    SessionRefusal,
    SessionRules,
    WorkerSession,
)
from fuchsiadale.decision.work import AttemptEnd

LEASE_CHECK_S = 0.5


@define
class WorkerFaults:
    """Faults of one worker that a test has ordered.

    Attributes
    ----------
    fails_every_task : bool
        Whether every program fails.
    refuses_starts : bool
        Whether starts are refused for want of room.
    leaving : bool
        Whether the worker says that it is leaving.
    drops_start_answers : int
        Number of coming starts that take effect and are not answered.
    truncates_answers : int
        Number of coming answers that are cut short.
    """

    fails_every_task: bool = False
    refuses_starts: bool = False
    leaving: bool = False
    drops_start_answers: int = 0
    truncates_answers: int = 0


@frozen
class Observation:
    """One run as the worker saw it.

    Attributes
    ----------
    attempt_id, worker : str
        The attempt and where it ran.
    started_s : float
        Clock time at which it started.
    ended_s : float or None
        Clock time at which it ended, if it did.
    """

    attempt_id: str
    worker: str
    started_s: float
    ended_s: float | None


@frozen
class _SleepSettings:
    run_s: float = 0.1
    answer: bytes = b""
    takes: float = 1.0


@define
class _Run:
    order: StartOrder
    started_s: float
    takes_percent: int = 100
    runner: asyncio.Task[None] | None = None


@define
class _End:
    number: int
    message: EndMessage = field(repr=False)


class StandInWorker:
    """Runs attempts under a session, as a worker of the platform would.

    Parameters
    ----------
    info : WorkerInfo
        What the host list says of it.
    clock : Clock
        Its clock.
    rules : SessionRules, optional
        Which session rules are in force.
    """

    def __init__(
        self, info: WorkerInfo, clock: Clock, rules: SessionRules | None = None
    ) -> None:
        self.info = info
        self.faults = WorkerFaults()
        self.observations: list[Observation] = []
        self.peak_allocation = NO_RESOURCES
        self.has_exceeded_capacity = False
        self._clock = clock
        self._session = WorkerSession(clock.now(), rules)
        self._runs: dict[str, _Run] = {}
        self._ends: dict[str, _End] = {}
        self._end_count = 0
        self._boot_id = uuid.uuid4().hex[:8]
        self._changed = asyncio.Event()

    @property
    def allocated_resources(self) -> Resources:
        """What the running attempts take."""
        total = NO_RESOURCES
        for run in self._runs.values():
            total = total + run.order.resources
        return total

    @property
    def used_resources(self) -> Resources:
        """What the running attempts really take.

        An attempt takes ``"takes"`` times what it declared, if its payload says so.
        """
        total = NO_RESOURCES
        for run in self._runs.values():
            declared = run.order.resources
            factor = run.takes_percent
            total = total + declared.scaled_by_ratio(
                Resources(factor, factor, 100, 100, 100),
                Resources(100, 100, 100, 100, 100),
            )
        return total

    @property
    def running_attempt_ids(self) -> list[str]:
        """The attempts that run."""
        return list(self._runs)

    def adopt(self, order: AdoptOrder) -> Result[ReportMessage, SessionRefusal]:
        """Take a new owner and tell it everything."""
        refusal = self._session.adopt(order.epoch)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._report(0))

    async def heartbeat(
        self, order: HeartbeatOrder
    ) -> Result[ReportMessage, SessionRefusal]:
        """Renew the session; answer when something ended or the hold is over."""
        refusal = self._session.renew(order.epoch, order.echo_s, self._clock.now())
        if refusal is not None:
            return Err(refusal)
        for attempt_id in order.acknowledged:
            self._ends.pop(attempt_id, None)
        if self._end_count <= order.received_through and order.hold_s > 0:
            self._changed.clear()
            try:
                async with asyncio.timeout(order.hold_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if order.epoch < self._session.epoch:
            return Err(SessionRefusal.STALE_EPOCH)
        return Ok(self._report(order.received_through))

    def start(self, batch: StartBatch) -> list[StartReply]:
        """Start attempts, each under the session's rules."""
        return [
            StartReply(order.attempt_id, self._start_one(batch.epoch, order))
            for order in batch.orders
        ]

    def stop(self, batch: StopBatch) -> None:
        """End attempts."""
        if batch.epoch < self._session.epoch:
            return
        for order in batch.orders:
            self._end(order.attempt_id, AttemptEnd.STOPPED, b"")

    async def enforce_leases(self) -> None:
        """End every attempt when its lease has lapsed."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self._session.have_leases_expired(self._clock.now()):
                for attempt_id in list(self._runs):
                    self._end(attempt_id, AttemptEnd.LOST, b"")

    def close(self) -> None:
        """Stop everything without a word."""
        for run in self._runs.values():
            if run.runner is not None:
                run.runner.cancel()
        self._runs.clear()

    def reboot(self) -> None:
        """Lose every attempt and all memory of them."""
        self.close()
        self._ends.clear()
        self._boot_id = uuid.uuid4().hex[:8]

    def _start_one(self, epoch: int, order: StartOrder) -> SessionRefusal | None:
        refusal = self._session.check_start(
            epoch, order.valid_until_s, self._clock.now()
        )
        if refusal is not None:
            return refusal
        if order.attempt_id in self._runs or order.attempt_id in self._ends:
            return None
        if self.faults.leaving:
            return SessionRefusal.LEAVING
        if self.faults.refuses_starts:
            return SessionRefusal.NO_ROOM
        run = _Run(order, self._clock.now(), _takes_percent(order))
        self._runs[order.attempt_id] = run
        self.peak_allocation = self.peak_allocation.maximum(self.allocated_resources)
        if not self.allocated_resources.fits_in(self.info.capacity):
            self.has_exceeded_capacity = True
        run.runner = asyncio.get_running_loop().create_task(self._run(order))
        return None

    async def _run(self, order: StartOrder) -> None:
        """Run a program of the stand-in.

        ``echo`` returns its payload; ``sleep`` reads ``{"run_s": ..., "answer": ...,
        "takes": ...}`` and returns the answer after that time; ``forever`` never ends;
        any other program fails.
        """
        answer = order.payload
        end = AttemptEnd.SUCCEEDED
        if order.program == "forever":
            await asyncio.Event().wait()
        elif order.program == "sleep":
            settings = _sleep_settings(order)
            await asyncio.sleep(settings.run_s)
            answer = settings.answer
        elif order.program != "echo":
            end = AttemptEnd.FAILED
            answer = f"program {order.program!r} failed".encode()
        if self.faults.fails_every_task:
            end = AttemptEnd.FAILED
            answer = b"the worker is broken"
        self._end(order.attempt_id, end, answer)

    def _end(self, attempt_id: str, end: AttemptEnd, answer: bytes) -> None:
        run = self._runs.pop(attempt_id, None)
        if run is None:
            return
        if run.runner is not None and run.runner is not asyncio.current_task():
            run.runner.cancel()
        self._end_count += 1
        message = make_end_message(attempt_id, end, answer)
        self._ends[attempt_id] = _End(self._end_count, message)
        self.observations.append(
            Observation(attempt_id, self.info.name, run.started_s, self._clock.now())
        )
        self._changed.set()

    def _report(self, received_through: int) -> ReportMessage:
        ended = [
            self._sent(end.message)
            for end in self._ends.values()
            if end.number > received_through
        ]
        running = [
            RunningAttempt(run.order.attempt_id, run.order.team, run.order.resources)
            for run in self._runs.values()
        ]
        return ReportMessage(
            clock_s=self._clock.now(),
            boot_id=self._boot_id,
            leaving=self.faults.leaving,
            ended_through=self._end_count,
            usage=self.used_resources,
            running=running,
            ended=ended,
        )

    def _sent(self, message: EndMessage) -> EndMessage:
        if self.faults.truncates_answers <= 0 or not message.answer:
            return message
        self.faults.truncates_answers -= 1
        return EndMessage(
            message.attempt_id,
            message.end,
            message.answer[:-1],
            message.length,
            message.sha256,
        )


def _sleep_settings(order: StartOrder) -> _SleepSettings:
    """Return what a payload asks for; a payload that is not understood asks nothing."""
    try:
        values = json.loads(order.payload or b"{}")
        return _SleepSettings(
            run_s=float(values.get("run_s", 0.1)),
            answer=str(values.get("answer", "")).encode(),
            takes=float(values.get("takes", 1.0)),
        )
    except (ValueError, TypeError, AttributeError):
        return _SleepSettings()


def _takes_percent(order: StartOrder) -> int:
    """Return what an attempt takes, as a percentage of what it declared."""
    if order.program != "sleep":
        return 100
    return int(100 * _sleep_settings(order).takes)
