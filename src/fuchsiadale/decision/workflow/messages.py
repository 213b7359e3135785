"""What the scheduler orders, and what it is told."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.names import StepName, TaskName


@frozen
class StartRun:
    """Start a run of a task on a worker."""

    worker_id: str
    task: TaskName
    run: int
    payload: str
    checkpoint: str
    ticket: str


@frozen
class StopRun:
    """Stop a run on a worker."""

    worker_id: str
    task: TaskName
    run: int
    reason: str


@frozen
class PaceRun:
    """Let a run work at a share of its speed."""

    worker_id: str
    task: TaskName
    run: int
    percent: int


@frozen
class RequestAdvice:
    """Ask which of some workers may run a step."""

    step: StepName
    worker_ids: tuple[str, ...]
    expected_duration_s: float


Order = StartRun | StopRun | PaceRun | RequestAdvice


class StartOutcome(Enum):
    """What became of an order to start."""

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
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    VANISHED = "vanished"


class WorkerState(Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class WorkerEntry:
    """A worker's registration.

    Attributes
    ----------
    worker_id : str
        Its id; a restart may keep it.
    pool : str
        The service that it serves.
    address : str
        ``ip:port`` of its interface.
    zone : str
        Its failure domain.
    state : WorkerState
        Whether it takes new tasks.
    capacity : Resources
        What it has.
    labels : tuple of str
        Its kind and its rack.
    started_ms : int
        Start of this life, in Unix milliseconds; 0 if not told.
    remaining_s : float or None
        Least time until a draining worker leaves, in seconds.
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
    """One run that a worker reports as present.

    Attributes
    ----------
    task : TaskName
        Its task.
    run : int
        Its number.
    checkpoint : str
        Its last checkpoint; empty if none.
    progress_percent : int
        How much it works, 100 for at full speed.
    load : float or None
        Tail latency in ms of a serving task; processors in use of any other, in
        thousandths of a core.
    """

    task: TaskName
    run: int
    checkpoint: str
    progress_percent: int
    load: float | None = None


@frozen
class ReportedEnd:
    """One run that a worker reports as ended.

    Attributes
    ----------
    number : int
        Rises within a life of the worker.
    task : TaskName
        Its task.
    run : int
        Its number.
    kind : EndKind
        How it ended.
    checkpoint : str
        Its last checkpoint; empty if none.
    """

    sequence_number: int
    task: TaskName
    run: int
    kind: EndKind
    checkpoint: str


@frozen
class WorkerReport:
    """What a worker answered to a look.

    Attributes
    ----------
    started_ms : int
        Start of the life that answered, in Unix milliseconds; 0 if not told.
    clock_ms : int
        The worker's clock, in ms.
    running : tuple of ReportedRun
        Everything present.
    ended : tuple of ReportedEnd
        Ends that are not yet acknowledged.
    """

    started_ms: int
    clock_ms: int
    running: tuple[ReportedRun, ...] = ()
    ended: tuple[ReportedEnd, ...] = ()


@frozen
class Ticket:
    """Leave to run a step on a worker until a time of the loop's clock."""

    text: str
    expires_s: float
