"""Pieces of work, their tasks and the attempts to run them."""

from __future__ import annotations

from enum import Enum, IntEnum

from attrs import define, field, frozen

from fuchsiadale.decision.constants import MAX_ANSWER_IN_JOURNAL_BYTES
from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.resources import Resources


class WorkKind(Enum):
    """The kinds of work, each with a placement policy of its own."""

    REQUEST = "request"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class Priority(IntEnum):
    """Order among the tasks of one team; lower runs first."""

    URGENT = 0
    NORMAL = 1


class TaskState(Enum):
    """Where a task stands."""

    PENDING = "pending"
    PLACED = "placed"
    STARTING = "starting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the task can change no more."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {
        TaskState.SUCCEEDED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    }
)


class AttemptEnd(Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    NOT_RUN = "not_run"
    LOST = "lost"


@frozen
class Program:
    """What a task runs.

    Attributes
    ----------
    name : str
        Name of a program that the backend servers know.
    payload : bytes
        Input of the program.
    """

    name: str
    payload: bytes = b""


@frozen
class Submission:
    """A piece of work as its caller submitted it.

    Attributes
    ----------
    work_id : str
        ``<partition>.<random>``; the same on every repeat of one submission.
    kind : WorkKind
        Selects the placement policy.
    team : str
        The team whose rights and limits apply; empty for a queue open to all.
    queue : str
        Name of the queue it entered by.
    program : Program
        What each task runs.
    resources : Resources
        What each task takes.
    tasks : int
        Number of tasks.
    priority : Priority
        Order within the team.
    idempotent : bool
        Whether a task may run again after a run that surely ended.
    key : str
        The caller's idempotency key; empty for none.
    deadline_s : float
        Seconds that a request's caller waits.
    declared_run_s : float
        Seconds that a task is said to run; 0 if not said.
    resubmitted : bool
        Whether an earlier owner of the partition may have started it.
    """

    work_id: str
    kind: WorkKind
    team: str
    queue: str
    program: Program
    resources: Resources
    tasks: int = 1
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
    key: str = ""
    deadline_s: float = 30.0
    declared_run_s: float = 0.0
    resubmitted: bool = False

    @property
    def is_journalled(self) -> bool:
        """Whether the work must be on record before it starts."""
        return (
            self.kind is not WorkKind.REQUEST or not self.idempotent or self.key != ""
        )


@frozen
class Attempt:
    """One try to run a task on one worker.

    Attributes
    ----------
    attempt_id : str
        ``<task id>#<epoch>.<number>``.
    task_id : str
        The task.
    worker : str
        Where it is to run.
    epoch : int
        The epoch of the owner that planned it.
    resources : Resources
        What it takes.
    program : Program
        What it runs.
    team : str
        The team it runs for.
    boot_id : str
        The worker's boot in which it was planned; empty if not known.
    """

    attempt_id: str
    task_id: str
    worker: str
    epoch: int
    resources: Resources
    program: Program
    team: str
    boot_id: str = ""


@frozen
class TaskAnswer:
    """What a task returned.

    Attributes
    ----------
    attempt_id, worker : str
        The attempt and where it ran.
    body : bytes
        What it returned.
    is_omitted : bool
        Whether it was too large to record and is no longer kept.
    """

    attempt_id: str
    worker: str
    body: bytes = b""
    is_omitted: bool = False

    @property
    def fits_in_journal(self) -> bool:
        """Whether it is small enough to be recorded."""
        return len(self.body) <= MAX_ANSWER_IN_JOURNAL_BYTES


@define(eq=False)
class Task:
    """One unit of a piece of work that runs on one worker.

    Attributes
    ----------
    task_id : str
        ``<work id>/<index>``.
    work : Work
        The work it belongs to.
    state : TaskState
        Where it stands.
    attempt : Attempt or None
        The attempt in hand.
    attempts_made : int
        Number of attempts of this epoch.
    failures : int
        Number of attempts that ran and failed.
    queued_at_s, started_at_s, eligible_at_s : float
        Clock times at which it was queued, first ran, and may be placed again.
    acknowledged_at_s : float
        Clock time at which its worker last confirmed the start.
    failed_on : set of str
        Workers that it failed on and should avoid.
    answer : TaskAnswer or None
        What it returned.
    stop_requested : bool
        Whether its attempt was told to stop.
    acknowledgement_due : bool
        Whether the worker keeps the answer until the caller has it.
    record_due : bool
        Whether its end is recorded only once the caller has the answer, because the
        answer is too large to record.
    may_have_run : bool
        Whether an attempt before the one in hand may have run.
    start_valid_until_s : float or None
        Reading of the worker's clock after which a start that was sent, but not
        answered, can no longer take effect.
    """

    task_id: str
    work: Work = field(repr=False)
    state: TaskState = TaskState.PENDING
    attempt: Attempt | None = None
    attempts_made: int = 0
    failures: int = 0
    queued_at_s: float = 0.0
    started_at_s: float | None = None
    eligible_at_s: float = 0.0
    acknowledged_at_s: float = 0.0
    failed_worker_names: set[str] = field(factory=set)
    answer: TaskAnswer | None = None
    stop_requested: bool = False
    start_valid_until_s: float | None = None
    is_acknowledgement_deferred: bool = False
    is_end_record_deferred: bool = False
    may_have_run: bool = False

    @property
    def submission(self) -> Submission:
        """The submission that this task belongs to."""
        return self.work.submission


@define(eq=False)
class Work:
    """An accepted submission and its tasks.

    Attributes
    ----------
    submission : Submission
        What was submitted.
    tasks : list of Task
        Its tasks.
    cancelled : bool
        Whether it was cancelled.
    refusal : Refusal or None
        What is told of it if it did not succeed.
    ended_at_s : float or None
        Clock time at which its last task ended.
    is_dormant : bool
        Whether it is a request that was recovered from the record, and that starts
        only if its caller's entry submits it again.
    is_delivered : bool
        Whether the entry of a request's caller has the result.
    remaining : int
        Number of tasks that have not ended.
    """

    submission: Submission
    tasks: list[Task] = field(factory=list)
    cancelled: bool = False
    refusal: Refusal | None = None
    ended_at_s: float | None = None
    awaits_resubmission: bool = False
    is_delivered: bool = False
    unfinished_count: int = 0

    @property
    def is_final(self) -> bool:
        """Whether every task has ended."""
        return self.unfinished_count == 0


def make_work(submission: Submission, now_s: float) -> Work:
    """Return the work of a submission with its tasks pending."""
    work = Work(submission, unfinished_count=submission.tasks)
    for index in range(submission.tasks):
        task_id = f"{submission.work_id}/{index}"
        work.tasks.append(
            Task(
                task_id,
                work,
                queued_at_s=now_s,
                eligible_at_s=now_s,
                may_have_run=submission.resubmitted and not submission.is_journalled,
            )
        )
    return work


def task_id_of(attempt_id: str) -> str:
    """Return the task that an attempt belongs to."""
    return attempt_id.rpartition("#")[0]


def work_id_of(task_id: str) -> str:
    """Return the work that a task belongs to."""
    return task_id.rpartition("/")[0]
