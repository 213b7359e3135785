"""Orders that the scheduler issues, and reports that it receives."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.names import StepName, TaskName


@frozen
class StartRun:
    """Order to start a run of a task on a worker."""

    worker_id: str
    task: TaskName
    run: int
    payload: str
    checkpoint: str
    ticket: str


@frozen
class StopRun:
    """Order to stop a run on a worker."""

    worker_id: str
    task: TaskName
    run: int
    reason: str


@frozen
class PaceRun:
    """Order to limit a run to a percentage of its full speed."""

    worker_id: str
    task: TaskName
    run: int
    percent: int


@frozen
class RequestAdvice:
    """Order to ask the advice service which workers may run a step.

    Attributes
    ----------
    step : StepName
        The step.
    worker_ids : tuple of str
        Ids of the workers to ask about.
    expected_duration_s : float
        Expected duration of the request, in seconds.
    """

    step: StepName
    worker_ids: tuple[str, ...]
    expected_duration_s: float


Order = StartRun | StopRun | PaceRun | RequestAdvice


class StartOutcome(Enum):
    """Outcome of a start order.

    Attributes
    ----------
    STARTED
        The run has started.
    FENCED
        The worker has seen a higher fencing token.
    STALE_RUN
        The worker has already ended a run of the task with this or a higher number.
    EXPIRED
        The order arrived after the end of its lease.
    NO_ROOM
        The worker lacks free resources.
    TICKET_REFUSED
        The worker does not accept the ticket.
    UNHEALTHY
        The worker is unreachable, or refuses new runs for now.
    OTHER_BOOT
        Another worker instance answers at the address.
    INVALID
        The worker rejects the order as invalid.
    UNKNOWN
        No answer arrived, so the run may have started.
    """

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "stale_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    TICKET_REFUSED = "ticket_refused"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other_boot"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class EndKind(Enum):
    """How a run ended.

    Attributes
    ----------
    DONE
        The task has completed.
    FAILED
        The task has failed.
    STOPPED
        The run was stopped by an order.
    LEASE_LAPSED
        The worker killed the run because its lease was not renewed.
    GANG_BROKEN
        The run ended because its gang was broken up.
    GANG_INCOMPLETE
        The run ended because its gang was incomplete.
    VANISHED
        The worker no longer reports the run, or its lease has certainly lapsed.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    VANISHED = "vanished"


class WorkerState(Enum):
    """State of a worker, as its registration gives it."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class WorkerEntry:
    """A worker's registration.

    Attributes
    ----------
    worker_id : str
        Id of the worker; a restarted worker may keep it.
    pool : str
        Pool that the worker belongs to.
    address : str
        ``ip:port`` of the worker's interface.
    zone : str
        Failure domain of the worker.
    state : WorkerState
        Whether the worker accepts new tasks.
    capacity : Resources
        Total resources of the worker.
    labels : tuple of str
        Kind of the worker, and its rack as the last label.
    started_ms : int
        Start of the worker's incarnation, in Unix milliseconds; 0 if not given.
    remaining_s : float or None
        Minimum time until a draining worker leaves, in seconds; None if not given.
    """

    worker_id: str
    pool: str
    address: str
    zone: str
    state: WorkerState
    capacity: Resources
    labels: tuple[str, ...] = ()
    started_ms: int = 0
    remaining_s: float | None = None


@frozen
class ReportedRun:
    """A run that a worker reports as present.

    Attributes
    ----------
    task : TaskName
        Name of the task.
    run : int
        Number of the run.
    checkpoint : str
        Last checkpoint of the run; empty if it has none.
    progress_percent : int
        Progress of a task that ends by itself, else the speed of the run, where 100
        is full speed.
    load : float or None
        Tail latency of a serving task in milliseconds; CPU usage of any other task in
        thousandths of a core; None if not reported.
    """

    task: TaskName
    run: int
    checkpoint: str
    progress_percent: int
    load: float | None = None


@frozen
class ReportedEnd:
    """A run that a worker reports as ended.

    Attributes
    ----------
    sequence_number : int
        Number of the end, which rises within an incarnation of the worker.
    task : TaskName
        Name of the task.
    run : int
        Number of the run.
    kind : EndKind
        How the run ended.
    checkpoint : str
        Last checkpoint of the run; empty if it has none.
    """

    sequence_number: int
    task: TaskName
    run: int
    kind: EndKind
    checkpoint: str


@frozen
class WorkerReport:
    """A worker's answer when it is polled for its runs.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation that answered, in Unix milliseconds; 0 if not given.
    clock_ms : int
        Reading of the worker's clock, in milliseconds.
    running : tuple of ReportedRun
        All runs that are present on the worker.
    ended : tuple of ReportedEnd
        Ends that the worker still lists because they were not acknowledged.
    """

    started_ms: int
    clock_ms: int
    running: tuple[ReportedRun, ...] = ()
    ended: tuple[ReportedEnd, ...] = ()


@frozen
class Ticket:
    """Permission to run a step on a worker until a time on the event loop's clock.

    Attributes
    ----------
    text : str
        The ticket to send with a start order.
    expires_s : float
        When the ticket expires, on the event loop's clock.
    """

    text: str
    expires_s: float
