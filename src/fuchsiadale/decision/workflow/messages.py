"""Orders that the scheduler issues, and reports that it receives."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.names import StepName, TaskName


@frozen
class StartRun:
    """Order to start a run of a task on a worker.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    task : TaskName
        Name of the task.
    run : int
        Number of the run.
    payload : str
        Data that the job passes to every task.
    checkpoint : str
        Checkpoint to resume from; empty if there is none.
    ticket : str
        Ticket that permits the run on the worker; empty if none is needed.
    started_ms : int, default=0
        Start of the worker's incarnation that the run was placed on, in Unix
        milliseconds; 0 if it is not known.
    """

    worker_id: str
    task: TaskName
    run: int
    payload: str
    checkpoint: str
    ticket: str
    started_ms: int = 0


@frozen
class StopRun:
    """Order to stop a run on a worker.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    task : TaskName
        Name of the task.
    run : int
        Number of the run.
    reason : str
        Why the run is stopped, for the log.
    """

    worker_id: str
    task: TaskName
    run: int
    reason: str


@frozen
class PaceRun:
    """Order to limit a run to a percentage of its full speed.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    task : TaskName
        Name of the task.
    run : int
        Number of the run.
    percent : int
        Percentage of full speed; 0 pauses the run.
    """

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
        Expected duration of the request by `AdviceTiming.call_duration_s`, in seconds.
    asked_s : float
        When the order was issued, on the event loop's clock.
    """

    step: StepName
    worker_ids: tuple[str, ...]
    expected_duration_s: float
    asked_s: float


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
        The order arrived after the end of its lease, or the worker has shrunk, or its
        failure domain is drained, before the order was sent.
    NO_ROOM
        The worker lacks free resources.
    TICKET_REFUSED
        The worker rejected the ticket, or it expired before the order was sent.
    UNHEALTHY
        The order was not delivered, or the worker refuses new runs for now; the run
        has not started.
    OTHER_BOOT
        Another worker instance answers at the address.
    RESTARTED
        Another incarnation of the worker answers; the order was not sent to it.
    NOT_SENT
        The worker did not name its incarnation in time, so the order was not sent.
    INVALID
        The worker rejects the order as invalid.
    UNKNOWN
        No conclusive answer arrived, so the run may have started.
    """

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "stale_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    TICKET_REFUSED = "ticket_refused"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other_boot"
    RESTARTED = "restarted"
    NOT_SENT = "not_sent"
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
        The worker reports that the run's gang was broken.
    GANG_INCOMPLETE
        The worker reports that the run's gang was incomplete.
    VANISHED
        The worker no longer reports the run, the worker's lease has certainly lapsed,
        or another worker instance answers at its address.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    VANISHED = "vanished"


class VanishReason(Enum):
    """Why a run counts as vanished.

    Attributes
    ----------
    ABSENT
        The worker does not report the run, and has not restarted since its last report.
    WORKER_RESTARTED
        The worker has restarted, and its first report does not contain the run.
    WORKER_REPLACED
        Another worker instance answers at the worker's address.
    LEASE_LAPSED
        The worker does not answer, and its lease has certainly lapsed.
    """

    ABSENT = "absent"
    WORKER_RESTARTED = "worker_restarted"
    WORKER_REPLACED = "worker_replaced"
    LEASE_LAPSED = "lease_lapsed"


class WorkerState(Enum):
    """State of a worker, as its registration gives it.

    Attributes
    ----------
    READY
        The worker accepts new tasks.
    DRAINING
        The worker leaves soon and accepts no new tasks.
    """

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
    cold_remaining_s : float
        For how much longer the worker is slow after its start, in seconds.
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
    cold_remaining_s: float = 0.0


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
        Percentage of the work that is done; for a task that does not end by itself,
        its speed, where 100 is full speed.
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
        Reading of the worker's own clock when it answered, in milliseconds; the ends
        of leases are given on this clock.
    running : tuple of ReportedRun
        All runs that are present on the worker.
    ended : tuple of ReportedEnd
        Ends that the worker still lists because they were not acknowledged.
    is_complete : bool
        Whether the answer lists every run and every such end, and each row could be
        read. A run that is missing from an incomplete report may be present, or may
        have ended.
    """

    started_ms: int
    clock_ms: int
    running: tuple[ReportedRun, ...] = ()
    ended: tuple[ReportedEnd, ...] = ()
    is_complete: bool = True


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
