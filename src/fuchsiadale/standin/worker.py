"""Stand-in worker that runs simple programs under the rules of a session."""

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

LEASE_CHECK_INTERVAL_S = 0.5
"""Seconds between checks of whether the task leases have expired."""


@define
class WorkerFaults:
    """Faults that a stand-in worker simulates.

    Attributes
    ----------
    fails_every_task : bool
        Whether every program that runs to its end reports a failure.
    refuses_starts : bool
        Whether starts are refused as on a worker without free capacity.
    leaving : bool
        Whether the worker refuses starts and reports that it is leaving the pool.
    drops_start_answers : int
        Number of the next start calls that are executed but get no reply.
    truncates_answers : int
        Number of the next non-empty answers of programs that reports contain without
        their last byte.
    """

    fails_every_task: bool = False
    refuses_starts: bool = False
    leaving: bool = False
    drops_start_answers: int = 0
    truncates_answers: int = 0


@frozen
class Observation:
    """One ended run of an attempt, as the worker recorded it.

    Attributes
    ----------
    attempt_id, worker : str
        Id of the attempt, and name of the worker that ran it.
    started_s : float
        Reading of the worker's clock at the start, in seconds.
    ended_s : float or None
        Reading of the worker's clock at the end, in seconds; the worker never records
        None.
    """

    attempt_id: str
    worker: str
    started_s: float
    ended_s: float | None


@frozen
class _SleepSettings:
    """Settings of the program ``sleep``, read from its payload.

    Attributes
    ----------
    run_s : float
        Run time in seconds.
    answer : bytes
        Answer of the program.
    takes : float
        Processor and memory usage, as a multiple of the declared amounts.
    """

    run_s: float = 0.1
    answer: bytes = b""
    takes: float = 1.0


@define
class _Run:
    """A running attempt.

    Attributes
    ----------
    order : StartOrder
        Order that started the attempt.
    started_s : float
        Reading of the worker's clock at the start, in seconds.
    usage_percent : int
        Processor and memory usage, in percent of the declared amounts.
    program_task : asyncio.Task or None
        Task that executes the program; None until it is created.
    """

    order: StartOrder
    started_s: float
    usage_percent: int = 100
    program_task: asyncio.Task[None] | None = None


@define
class _EndRecord:
    """The end of an attempt, kept until the owner acknowledges it."""

    sequence_number: int
    message: EndMessage = field(repr=False)


class StandInWorker:
    """Runs attempts under the rules of a session, like a worker of the platform.

    Parameters
    ----------
    info : WorkerInfo
        Description of the worker from the host list.
    clock : Clock
        Clock of the worker.
    rules : SessionRules, optional
        Session rules to enforce; all by default.

    Attributes
    ----------
    info : WorkerInfo
        Description of the worker.
    faults : WorkerFaults
        Faults to simulate.
    observations : list of Observation
        The ended runs, in order of their ends.
    peak_allocation : Resources
        Element-wise maximum of the resources allocated so far.
    has_exceeded_capacity : bool
        Whether the allocated resources ever exceeded the capacity.
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
        self._ends: dict[str, _EndRecord] = {}
        self._end_count = 0
        self._boot_id = uuid.uuid4().hex[:8]
        self._attempt_ended = asyncio.Event()

    @property
    def allocated_resources(self) -> Resources:
        """Sum of the resources that the running attempts declared."""
        total = NO_RESOURCES
        for run in self._runs.values():
            total = total + run.order.resources
        return total

    @property
    def used_resources(self) -> Resources:
        """Sum of the resources that the running attempts use.

        If the payload of an attempt sets ``"takes"``, its processor and memory usage
        are this multiple of the declared amounts.
        """
        total = NO_RESOURCES
        for run in self._runs.values():
            declared = run.order.resources
            percent = run.usage_percent
            total = total + declared.scaled_by_ratio(
                Resources(percent, percent, 100, 100, 100),
                Resources(100, 100, 100, 100, 100),
            )
        return total

    @property
    def running_ids(self) -> list[str]:
        """Ids of the running attempts."""
        return list(self._runs)

    def adopt(self, order: AdoptOrder) -> Result[ReportMessage, SessionRefusal]:
        """Accept a new owner, and report all ends that are still kept."""
        refusal = self._session.adopt(order.epoch)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._make_report(0))

    async def heartbeat(
        self, order: HeartbeatOrder
    ) -> Result[ReportMessage, SessionRefusal]:
        """Renew the session and return a report.

        The report waits until there is an end that the owner has not received, for at
        most `order.hold_s` seconds. The order is refused if another owner has adopted
        the worker meanwhile.
        """
        refusal = self._session.renew(order.epoch, order.echo_s, self._clock.now())
        if refusal is not None:
            return Err(refusal)
        for attempt_id in order.acknowledged:
            self._ends.pop(attempt_id, None)
        if self._end_count <= order.received_through and order.hold_s > 0:
            self._attempt_ended.clear()
            try:
                async with asyncio.timeout(order.hold_s):
                    await self._attempt_ended.wait()
            except TimeoutError:
                pass
        if order.epoch < self._session.epoch:
            return Err(SessionRefusal.STALE_EPOCH)
        return Ok(self._make_report(order.received_through))

    def start(self, batch: StartBatch) -> list[StartReply]:
        """Start attempts, as far as the rules of the session allow."""
        return [
            StartReply(order.attempt_id, self._start_attempt(batch.epoch, order))
            for order in batch.orders
        ]

    def stop(self, batch: StopBatch) -> None:
        """Stop attempts, unless the sender's epoch is stale."""
        if batch.epoch < self._session.epoch:
            return
        for order in batch.orders:
            self._end_attempt(order.attempt_id, AttemptEnd.STOPPED, b"")

    async def enforce_leases(self) -> None:
        """End all attempts whenever the task leases have expired; never return."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if self._session.have_leases_expired(self._clock.now()):
                for attempt_id in list(self._runs):
                    self._end_attempt(attempt_id, AttemptEnd.LOST, b"")

    def close(self) -> None:
        """Cancel all attempts without recording their ends."""
        for run in self._runs.values():
            if run.program_task is not None:
                run.program_task.cancel()
        self._runs.clear()

    def reboot(self) -> None:
        """Cancel all attempts, forget all ends and take a new boot id."""
        self.close()
        self._ends.clear()
        self._end_count = 0
        self._boot_id = uuid.uuid4().hex[:8]

    def _start_attempt(self, epoch: int, order: StartOrder) -> SessionRefusal | None:
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
        run = _Run(order, self._clock.now(), _read_usage_percent(order))
        self._runs[order.attempt_id] = run
        self.peak_allocation = self.peak_allocation.maximum(self.allocated_resources)
        if not self.allocated_resources.fits_in(self.info.capacity):
            self.has_exceeded_capacity = True
        run.program_task = asyncio.get_running_loop().create_task(
            self._run_program(order)
        )
        return None

    async def _run_program(self, order: StartOrder) -> None:
        """Execute the program of an attempt.

        ``echo`` answers with its payload. ``sleep`` reads the JSON payload
        ``{"run_s": ..., "answer": ..., "takes": ...}`` and returns the answer after
        `run_s` seconds. ``forever`` never ends. Any other program fails.
        """
        answer = order.payload
        end = AttemptEnd.SUCCEEDED
        if order.program == "forever":
            await asyncio.Event().wait()
        elif order.program == "sleep":
            settings = _parse_sleep_settings(order)
            await asyncio.sleep(settings.run_s)
            answer = settings.answer
        elif order.program != "echo":
            end = AttemptEnd.FAILED
            answer = f"program {order.program!r} failed".encode()
        if self.faults.fails_every_task:
            end = AttemptEnd.FAILED
            answer = b"the worker is broken"
        self._end_attempt(order.attempt_id, end, answer)

    def _end_attempt(self, attempt_id: str, end: AttemptEnd, answer: bytes) -> None:
        run = self._runs.pop(attempt_id, None)
        if run is None:
            return
        if (
            run.program_task is not None
            and run.program_task is not asyncio.current_task()
        ):
            run.program_task.cancel()
        self._end_count += 1
        message = make_end_message(attempt_id, end, answer)
        self._ends[attempt_id] = _EndRecord(self._end_count, message)
        self.observations.append(
            Observation(attempt_id, self.info.name, run.started_s, self._clock.now())
        )
        self._attempt_ended.set()

    def _make_report(self, received_through: int) -> ReportMessage:
        ended = [
            self._apply_truncation(end.message)
            for end in self._ends.values()
            if end.sequence_number > received_through
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

    def _apply_truncation(self, message: EndMessage) -> EndMessage:
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


def _parse_sleep_settings(order: StartOrder) -> _SleepSettings:
    """Return the settings in a payload; the default ones if it cannot be parsed."""
    try:
        values = json.loads(order.payload or b"{}")
        return _SleepSettings(
            run_s=float(values.get("run_s", 0.1)),
            answer=str(values.get("answer", "")).encode(),
            takes=float(values.get("takes", 1.0)),
        )
    except (ValueError, TypeError, AttributeError):
        return _SleepSettings()


def _read_usage_percent(order: StartOrder) -> int:
    """Return the usage of an attempt in percent of the declared amounts."""
    if order.program != "sleep":
        return 100
    return int(100 * _parse_sleep_settings(order).takes)
