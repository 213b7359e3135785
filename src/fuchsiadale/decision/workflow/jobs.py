"""State of jobs, their steps and their tasks."""

from __future__ import annotations

from enum import Enum

from attrs import Factory, define, evolve, field

from fuchsiadale.decision.workflow.attempts import (
    RECENT_START_S,
    CrashHistory,
    FailureCount,
)
from fuchsiadale.decision.workflow.messages import Ticket
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.specification import (
    NO_SPECIFICATION,
    JobRecord,
    StepSpecification,
)


class JobState(Enum):
    """State of a job; it is queued until a worker tells of a start of a task."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that its state no longer changes."""
        return self in _FINAL


_FINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class RunState(Enum):
    """State of a run as far as the scheduler knows it.

    Attributes
    ----------
    STARTING
        The start order was issued and has no known outcome yet.
    RUNNING
        The worker confirmed the run, or an earlier owner recorded it.
    UNCONFIRMED
        The outcome of the start order is unknown, so a stop was ordered.
    STOPPING
        A stop was ordered.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"


@define(eq=False)
class Run:
    """One run of a task on a worker, from the start order until its end.

    Times are on the event loop's clock.

    Attributes
    ----------
    task : Task
        The task that is run.
    worker_id : str
        Id of the worker that runs the task.
    number : int
        Number of the run; a later run of the task has a higher one.
    state : RunState
        State of the run as far as the scheduler knows it.
    started_s : float
        When the start order was issued.
    confirmed_s : float or None
        When the worker confirmed the run; None if it has not.
    stop_acknowledged_s : float or None
        When the worker acknowledged the order to stop the run; None if it has not.
    progress_percent : int
        `ReportedRun.progress_percent` in the worker's last report.
    last_progress_s : float
        When the reported progress or checkpoint last changed.
    pace_percent : int or None
        Last ordered pace, in percent of full speed; None if a previous owner may have
        ordered another one.
    load : float or None
        Load in the worker's last report; None if it reported none.
    may_have_resumed : bool
        Whether the run may have started from a checkpoint, so that its duration
        may not cover the whole task.
    sent_s : float or None
        When this owner first sent the start order; None if it has not.
    is_inherited : bool
        Whether an earlier owner started the run, or recorded that it was to start.
    unanswered_s : float or None
        When it became known that the start order will not be answered; None if it was
        answered, or may still be.
    has_started : bool
        Whether the worker has confirmed or reported to this owner that it started.
    has_outlived_start : bool
        Whether the run was reported at work `RECENT_START_S` after it began.
    revocable_priority : int or None
        Priority of its queue if it may be stopped for a more urgent step, since it uses
        room that is reserved for one; None otherwise.
    """

    task: Task
    worker_id: str
    number: int
    state: RunState
    started_s: float
    confirmed_s: float | None = None
    stop_acknowledged_s: float | None = None
    progress_percent: int = 0
    last_progress_s: float = 0.0
    pace_percent: int | None = 100
    load: float | None = None
    may_have_resumed: bool = False
    sent_s: float | None = None
    is_inherited: bool = False
    unanswered_s: float | None = None
    has_started: bool = False
    has_outlived_start: bool = False
    revocable_priority: int | None = None

    @property
    def began_s(self) -> float | None:
        """When the run began to work; None if that is not known.

        The members of a gang begin when all of them are present.
        """
        step = self.task.step
        if not step.specification.is_gang:
            return self.confirmed_s
        times_s = [
            run.confirmed_s
            for task in step.tasks
            for run in task.runs
            if run.number == self.number
        ]
        if len(times_s) < len(step.tasks) or None in times_s:
            return None
        return max(time_s for time_s in times_s if time_s is not None)

    def has_outlived(self, at_s: float) -> bool:
        """Return whether a run that is at work at a time has outlived its start.

        The report that lists it may have been on its way for some tenths of a second.
        """
        return self.began_s is not None and at_s - self.began_s >= RECENT_START_S

    def is_recent(self, at_s: float) -> bool:
        """Return whether the run had started less than `RECENT_START_S` before a time.

        A run whose start is not confirmed counts as recent.
        """
        return self.confirmed_s is None or at_s - self.confirmed_s < RECENT_START_S


@define(eq=False)
class Task:
    """One task of a step.

    Attributes
    ----------
    step : Step
        The step that the task belongs to.
    index : int
        Position of the task in its step, counted from 0.
    name : TaskName
        Name of the task.
    is_done : bool
        Whether the task has completed.
    failures : FailureCount
        Failed runs of the task.
    last_run : int
        Highest number of a run of the task; 0 if none is known.
    checkpoint : str
        Last checkpoint of the task; empty if it has none.
    runs : list of Run
        Runs that may be present on a worker.
    failed_on : set of str
        Ids of the workers on which the task failed, stalled, or could not start
        because the worker lacked room or was unhealthy.
    crashes : CrashHistory
        Crashes of workers that the task may have caused.
    last_survivor : int
        Number of the last run that outlived its start, under this owner unless the task
        lasts; 0 if none.
    idle_since_s : float or None
        Since when no run of the task is at work, on the event loop's clock, from when
        its worker ceased to answer; None if this owner has seen no run of it end.
    """

    step: Step
    index: int
    name: TaskName
    is_done: bool = False
    failures: FailureCount = FailureCount()
    last_run: int = 0
    checkpoint: str = ""
    runs: list[Run] = Factory(list)
    failed_on: set[str] = Factory(set)
    crashes: CrashHistory = CrashHistory()
    last_survivor: int = 0
    idle_since_s: float | None = None

    @property
    def is_suspect(self) -> bool:
        """Whether the task may have crashed a worker."""
        return bool(self.crashes.addresses)

    @property
    def is_waiting(self) -> bool:
        """Whether the task is not completed and no worker may have a run of it."""
        return not self.is_done and not self.runs


@define(eq=False)
class Step:
    """One occurrence of a step of a job.

    Attributes
    ----------
    job : Job
        The job that the step belongs to.
    name : StepName
        Name of the occurrence of the step.
    specification : StepSpecification
        The step as submitted.
    tasks : list of Task
        Tasks of the step, by index.
    tickets : dict of str to Ticket
        Permissions to run the step on a worker, by worker id.
    advice_by_worker : dict of str to bool
        Whether the advice service permits the step on a worker, by the id of each
        worker that it was asked about; its answer for a worker never changes.
    is_awaiting_advice : bool
        Whether a request to the advice service is outstanding.
    next_advice_request_s : float
        Earliest time of the next request for advice, on the event loop's clock.
    waiting_tasks : dict of int to Task
        Tasks that are not completed and of which no worker may have a run, by index.
    gang_failures : FailureCount
        Failed runs of the whole gang.
    done_count : int
        Number of completed tasks.
    measured_runs : int
        Number of completed runs whose duration covers the whole task.
    measured_runs_total_s : float
        Sum of the durations of these runs, in seconds.
    has_suspects : bool
        Whether a task of the step may have crashed a worker.
    crashed_s : float
        When a crash was last counted for a task of the step; 0 if none was.
    """

    job: Job
    name: StepName
    specification: StepSpecification
    tasks: list[Task] = Factory(list)
    tickets: dict[str, Ticket] = Factory(dict)
    advice_by_worker: dict[str, bool] = Factory(dict)
    is_awaiting_advice: bool = False
    next_advice_request_s: float = 0.0
    waiting_tasks: dict[int, Task] = Factory(dict)
    gang_failures: FailureCount = FailureCount()
    done_count: int = 0
    measured_runs: int = 0
    measured_runs_total_s: float = 0.0
    has_suspects: bool = False
    crashed_s: float = 0.0

    @property
    def is_done(self) -> bool:
        """Whether every task has completed."""
        return self.done_count == len(self.tasks)

    @property
    def is_idle(self) -> bool:
        """Whether no worker may have a run of any task."""
        return len(self.waiting_tasks) + self.done_count == len(self.tasks)

    def has_valid_ticket(self, worker_id: str, until_s: float) -> bool:
        """Return whether the step has a ticket for a worker that is valid at a time."""
        ticket = self.tickets.get(worker_id)
        return ticket is not None and ticket.expires_s > until_s


@define(eq=False)
class Job:
    """An accepted job.

    Attributes
    ----------
    record : JobRecord
        The job as stored when it was accepted.
    state : JobState
        Current state of the job.
    recorded_state : JobState
        Last state of the job that was recorded in the store.
    arrived_s : float
        When the job was accepted, on the event loop's clock.
    done_tasks : int
        Number of tasks that completed under this owner, over all occurrences; a
        change outdates the job's forecast.
    exceeds_rate : bool
        Whether the job was submitted above its workspace's submission rate.
    is_cancelled : bool
        Whether the job was cancelled.
    is_reported_blocked : bool
        Whether it was logged that the job waits for its queue or pool to be known.
    ended_s : float or None
        When the job reached a final state, on the event loop's clock.
    steps : dict of (int, int) to Step
        Steps of the job, by occurrence and position in the job.
    inherited_runs : int
        Number of runs that an earlier owner started, or recorded as to start.
    """

    record: JobRecord
    state: JobState = JobState.QUEUED
    recorded_state: JobState = JobState.QUEUED
    arrived_s: float = 0.0
    done_tasks: int = 0
    exceeds_rate: bool = False
    is_cancelled: bool = False
    is_reported_blocked: bool = False
    ended_s: float | None = None
    steps: dict[tuple[int, int], Step] = field(factory=dict)
    inherited_runs: int = 0

    @property
    def reported_state(self) -> JobState:
        """State to report to callers; a final state only once it is recorded.

        Inherited runs count as started until their workers tell that they are not.
        """
        if self.state.is_final and not self.recorded_state.is_final:
            return JobState.RUNNING
        if self.state is JobState.QUEUED and self.inherited_runs:
            return JobState.RUNNING
        return self.state

    def note_begun(self) -> None:
        """Note that a worker has told that a run of a task started."""
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def occurrence_start_s(self, occurrence: int) -> float:
        """Return when an occurrence was due to start, on the event loop's clock."""
        schedule = self.record.specification.schedule
        if schedule is None:
            return self.arrived_s
        due_in_s = schedule.due_s(occurrence) - self.record.accepted_s
        return self.arrived_s + max(0.0, due_in_s)

    def occurrence_steps(self, occurrence: int) -> list[Step]:
        """Return the steps of an occurrence in the order of the specification."""
        count = len(self.record.specification.steps)
        return [self.steps[occurrence, index] for index in range(count)]

    def predecessors_are_done(self, step: Step) -> bool:
        """Return whether every step that a step depends on is done."""
        occurrence = step.name.occurrence
        return all(
            self.steps[occurrence, index].is_done for index in step.specification.after
        )

    def tasks(self) -> list[Task]:
        """Return every task of every occurrence."""
        return [task for step in self.steps.values() for task in step.tasks]

    def drop_tasks(self) -> None:
        """Drop all that nobody asks for once the job has ended and has no runs."""
        if self.steps:
            self.steps = {}
            self.record = evolve(
                self.record,
                specification=NO_SPECIFICATION,
                queue_definition=None,
                workspace_limit=None,
            )


def make_job(record: JobRecord) -> Job:
    """Return the initial state of an accepted job, with its steps and tasks."""
    job = Job(record)
    for occurrence in range(record.specification.occurrences):
        for index, specification in enumerate(record.specification.steps):
            name = StepName(record.job_id, occurrence, index)
            step = Step(job, name, specification)
            step.tasks = [
                Task(step, number, TaskName(name, number))
                for number in range(specification.count)
            ]
            step.waiting_tasks = dict(enumerate(step.tasks))
            job.steps[occurrence, index] = step
    return job


def find_task(job: Job, name: TaskName) -> Task | None:
    """Return the task with a name, or None if the job has no such task."""
    step = job.steps.get((name.step.occurrence, name.step.step))
    if step is None or name.index >= len(step.tasks):
        return None
    return step.tasks[name.index]
