"""Accepted submissions, their tasks and the attempts to run the tasks."""

from __future__ import annotations

from enum import Enum, IntEnum

from attrs import define, field, frozen

from fuchsiadale.decision.constants import MAX_ANSWER_IN_JOURNAL_BYTES
from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.resources import Resources


class WorkKind(Enum):
    """The kinds of work, each of which has a placement policy.

    Attributes
    ----------
    REQUEST
        One task whose result a client waits for.
    BATCH
        Tasks that run independently of each other.
    GANG
        Tasks that start at the same time or not at all.
    SERVICE
        Long-running tasks that are spread over failure domains.
    """

    REQUEST = "request"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class Priority(IntEnum):
    """Priority of a task over other pending tasks; lower values are placed first."""

    URGENT = 0
    NORMAL = 1


class TaskState(Enum):
    """The state of a task in its life cycle.

    Attributes
    ----------
    PENDING
        No attempt is planned.
    PLACED
        An attempt is planned on a worker, and its resources are allocated.
    STARTING
        The start order may have been sent, and the worker has not confirmed it.
    RUNNING
        The worker confirmed that the attempt runs.
    SUCCEEDED, FAILED, CANCELLED
        The task ended in this way.
    UNKNOWN
        The task may have been started, and its outcome cannot be determined.
    """

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
        """Whether a task in this state has ended and never changes its state again."""
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
    """The outcome of an attempt to run a task.

    Attributes
    ----------
    SUCCEEDED, FAILED
        The program succeeded or failed.
    STOPPED
        The attempt was stopped before the program finished.
    NOT_RUN
        The attempt never ran and never will.
    LOST
        The attempt runs no more, and it is unknown whether it ran or how it ended.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    NOT_RUN = "not_run"
    LOST = "lost"


@frozen
class Program:
    """The program that a task runs, and its input.

    Attributes
    ----------
    name : str
        Name under which the backend servers know the program.
    payload : bytes
        Input of the program.
    """

    name: str
    payload: bytes = b""


@frozen
class Submission:
    """A request to run a number of tasks, as a client submitted it.

    Attributes
    ----------
    work_id : str
        ``<partition>.<random>``; stays the same when the submission is repeated.
    kind : WorkKind
        Kind of work, which selects the placement policy.
    team : str
        The team whose permissions and limits apply; empty if the queue is open to
        all.
    queue : str
        Name of the queue that it was submitted to.
    program : Program
        The program that each task runs.
    resources : Resources
        Resources that each task requests.
    tasks : int
        Number of tasks.
    priority : Priority
        Priority of its tasks over other pending tasks.
    idempotent : bool
        Whether a task may be run again once its former attempt is known to
        have ended.
    key : str
        The client's idempotency key; empty if it gave none.
    deadline_s : float
        Seconds for which the client of a request waits for the result.
    declared_run_s : float
        Run time of a task in seconds, as the client estimated it; 0 if unknown.
    resubmitted : bool
        Whether a former owner of the partition may have started it.
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
        """Whether the journal must hold the submission before a task starts."""
        return (
            self.kind is not WorkKind.REQUEST or not self.idempotent or self.key != ""
        )


@frozen
class Attempt:
    """One attempt to run a task on one worker.

    Attributes
    ----------
    attempt_id : str
        ``<task id>#<epoch>.<number>``.
    task_id : str
        The task that it runs.
    worker : str
        Name of the worker that it runs on.
    epoch : int
        Epoch of the partition owner that planned it.
    resources : Resources
        Resources that it is allocated.
    program : Program
        The program that it runs.
    team : str
        The team that its resources count for.
    boot_id : str
        Boot identifier of the worker when the attempt was planned; empty if unknown.
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
    """The output of a task.

    Attributes
    ----------
    attempt_id, worker : str
        The attempt that returned it and the worker that the attempt ran on.
    body : bytes
        The output itself.
    is_omitted : bool
        Whether the output was too large for the journal and is no longer kept.
    """

    attempt_id: str
    worker: str
    body: bytes = b""
    is_omitted: bool = False

    @property
    def fits_in_journal(self) -> bool:
        """Whether the output is small enough to be written to the journal."""
        return len(self.body) <= MAX_ANSWER_IN_JOURNAL_BYTES


@define(eq=False)
class Task:
    """One task of a submission; it runs on one worker at a time.

    Attributes
    ----------
    task_id : str
        ``<work id>/<index>``.
    work : Work
        The work that it belongs to.
    state : TaskState
        Its state.
    attempt : Attempt or None
        The current attempt, or the last one once the task has ended; None while the
        task is pending, and if it was cancelled before it started.
    attempts_made : int
        Number of attempts planned in the present epoch.
    failures : int
        Number of attempts that ran and failed.
    may_crash_workers : bool
        Whether it is suspected of a crash of a worker.
    suspected_crashes : int
        Number of attempts whose worker crashed just after they had started, since one
        ran for longer than `CRASH_CLEARANCE_AGE_S`.
    queued_at_s : float
        Clock time at which it was queued.
    started_at_s : float or None
        Clock time at which one of its attempts was first confirmed to run; None
        before.
    eligible_at_s : float
        Clock time from which it may be placed.
    acknowledged_at_s : float
        Clock time at which its worker confirmed that the current attempt had started;
        later heartbeats do not change it.
    reported_at_s : float
        Clock time at which its worker last reported the current attempt as running.
    failed_worker_names : set of str
        Names of the workers that it failed on or crashed, which placement avoids.
    crash_delay_s : float
        Seconds that its retries wait beyond the backoff, since other work may have
        caused the last crash as well.
    answer : TaskAnswer or None
        Its output.
    stop_requested : bool
        Whether its worker was ordered to stop the current attempt.
    is_acknowledgement_deferred : bool
        Whether the end is acknowledged to the worker only once the client's entry has
        the answer; the worker keeps the answer until then.
    is_end_record_deferred : bool
        Whether the end is written to the journal only once the client's entry has the
        answer, because the answer is too large for the journal.
    may_have_run : bool
        Whether an attempt before the current one may have run.
    start_valid_until_s : float or None
        Reading of the worker's clock after which a start order without a reply can no
        longer take effect; None unless such an order may be outstanding.
    """

    task_id: str
    work: Work = field(repr=False)
    state: TaskState = TaskState.PENDING
    attempt: Attempt | None = None
    attempts_made: int = 0
    failures: int = 0
    may_crash_workers: bool = False
    suspected_crashes: int = 0
    queued_at_s: float = 0.0
    started_at_s: float | None = None
    eligible_at_s: float = 0.0
    acknowledged_at_s: float = 0.0
    reported_at_s: float = 0.0
    crash_delay_s: float = 0.0
    failed_worker_names: set[str] = field(factory=set)
    answer: TaskAnswer | None = None
    stop_requested: bool = False
    start_valid_until_s: float | None = None
    is_acknowledgement_deferred: bool = False
    is_end_record_deferred: bool = False
    may_have_run: bool = False

    @property
    def failures_and_crashes(self) -> int:
        """Number of attempts that failed or may have crashed their worker."""
        return self.failures + self.suspected_crashes

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
        The submission.
    tasks : list of Task
        Its tasks.
    cancelled : bool
        Whether it was cancelled.
    refusal : Refusal or None
        The error that is reported to the client if it did not succeed.
    ended_at_s : float or None
        Clock time at which its last task ended; None before.
    awaits_resubmission : bool
        Whether it is a request that was recovered from the journal and starts only if
        the client's entry submits it again.
    is_delivered : bool
        Whether the entry that the client of a request is connected to has the result.
    unfinished_count : int
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
    """Return the work for a submission, with every task pending."""
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
    """Return the id of the task that an attempt belongs to."""
    return attempt_id.rpartition("#")[0]


def work_id_of(task_id: str) -> str:
    """Return the id of the work that a task belongs to."""
    return task_id.rpartition("/")[0]
