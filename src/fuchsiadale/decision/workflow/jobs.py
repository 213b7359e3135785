"""State of jobs, their steps and their tasks."""

from __future__ import annotations

from enum import Enum

from attrs import Factory, define, field, frozen

from fuchsiadale.decision.workflow.messages import Ticket
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.specification import JobRecord, StepSpecification


class JobState(Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in _FINAL


_FINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class RunState(Enum):
    """What is known of a run."""

    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"


@define(eq=False)
class Run:
    """One run of a task on a worker, from the order to start until its end.

    Attributes
    ----------
    task : Task
        Its task.
    worker_id : str
        Where it runs.
    number : int
        Its number.
    state : RunState
        What is known of it.
    started_s : float
        When the order was given, on the loop's clock.
    confirmed_s : float or None
        When the worker confirmed it, on the loop's clock.
    stop_acknowledged_s : float or None
        When the worker acknowledged the order to stop it, on the loop's clock.
    progress_percent : int
        The last that was reported.
    last_progress_s : float
        When the progress or the checkpoint last changed, on the loop's clock.
    pace_percent : int
        The share of its speed that it was last told to work at.
    load : float or None
        The last load that was reported.
    may_have_resumed : bool
        Whether it is not known to have begun at the beginning.
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
    pace_percent: int = 100
    load: float | None = None
    may_have_resumed: bool = False


@frozen
class FailureCount:
    """How often runs have failed, and the number of the last that did.

    An end may be listed again after it was recorded; its number tells.
    """

    count: int = 0
    last_run: int = 0

    def with_failure(self, run: int) -> FailureCount:
        """Return the count after a run has failed."""
        return FailureCount(self.count + 1, run) if run > self.last_run else self


@define(eq=False)
class Task:
    """One task of a step."""

    step: Step
    index: int
    name: TaskName
    is_done: bool = False
    failures: FailureCount = FailureCount()
    last_run: int = 0
    checkpoint: str = ""
    runs: list[Run] = Factory(list)
    failed_on: set[str] = Factory(set)

    @property
    def is_waiting(self) -> bool:
        """Whether the task needs a run and has none."""
        return not self.is_done and not self.runs


@define(eq=False)
class Step:
    """One occurrence of a step.

    Attributes
    ----------
    tickets : dict of str to Ticket
        Leave to run on workers, by worker.
    advice_by_worker : dict of str to bool
        What advice said of each worker asked about; it does not change.
    is_awaiting_advice : bool
        Whether advice was asked for and has not answered.
    next_advice_request_s : float
        Earliest time of the next call for advice, on the loop's clock.
    waiting_tasks : dict of int to Task
        Tasks that need a run and have none.
    gang_failures : FailureCount
        Runs of the gang that failed.
    measured_runs : int
        Whole runs of its tasks that ended as done.
    measured_runs_total_s : float
        How long these took together, in seconds.
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

    @property
    def is_done(self) -> bool:
        """Whether every task ended as done."""
        return self.done_count == len(self.tasks)

    def has_valid_ticket(self, worker_id: str, until_s: float) -> bool:
        """Tell whether a ticket for a worker is still valid at a time."""
        ticket = self.tickets.get(worker_id)
        return ticket is not None and ticket.expires_s > until_s


@frozen
class JobProgress:
    """What is recorded of a job's progress.

    Attributes
    ----------
    state : JobState
        Its state; only final states are binding.
    done : dict of str to list of int
        Indices of tasks that ended as done, by step.
    failures : dict of str to FailureCount
        Failed runs, by task, or by step for a gang.
    last_runs : dict of str to int
        The highest number of a run that ended, by task.
    checkpoints : dict of str to str
        The last checkpoint, by task.
    """

    state: JobState
    done: dict[str, list[int]] = Factory(dict)
    failures: dict[str, FailureCount] = Factory(dict)
    last_runs: dict[str, int] = Factory(dict)
    checkpoints: dict[str, str] = Factory(dict)


@define(eq=False)
class Job:
    """An accepted job.

    Attributes
    ----------
    record : JobRecord
        What is stored of its acceptance.
    state : JobState
        What callers are told, once it is recorded.
    recorded_state : JobState
        The last state that is recorded.
    arrived_s : float
        When it was accepted, on the loop's clock.
    done_tasks : int
        Its tasks that ended as done, over all occurrences.
    exceeds_rate : bool
        Whether its workspace sent it beyond its rate.
    is_cancelled : bool
        Whether it was cancelled.
    ended_s : float or None
        When it reached a final state, on the loop's clock.
    """

    record: JobRecord
    state: JobState = JobState.QUEUED
    recorded_state: JobState = JobState.QUEUED
    arrived_s: float = 0.0
    done_tasks: int = 0
    exceeds_rate: bool = False
    is_cancelled: bool = False
    ended_s: float | None = None
    steps: dict[tuple[int, int], Step] = field(factory=dict)

    @property
    def reported_state(self) -> JobState:
        """The state to tell callers: a final one only after it is recorded."""
        if self.state.is_final and not self.recorded_state.is_final:
            return JobState.RUNNING
        return self.state

    def occurrence_start_s(self, occurrence: int) -> float:
        """Return when an occurrence was due to begin, on the loop's clock."""
        schedule = self.record.specification.schedule
        if schedule is None:
            return self.arrived_s
        due_in_s = schedule.due_s(occurrence) - self.record.accepted_s
        return self.arrived_s + max(0.0, due_in_s)

    def occurrence_steps(self, occurrence: int) -> list[Step]:
        """Return the steps of one occurrence, in order."""
        count = len(self.record.specification.steps)
        return [self.steps[occurrence, index] for index in range(count)]

    def predecessors_are_done(self, step: Step) -> bool:
        """Tell whether every step that a step waits for is done."""
        occurrence = step.name.occurrence
        return all(
            self.steps[occurrence, index].is_done for index in step.specification.after
        )

    def tasks(self) -> list[Task]:
        """Return every task of every occurrence."""
        return [task for step in self.steps.values() for task in step.tasks]


def make_job(record: JobRecord) -> Job:
    """Return the state of a job that has just been accepted."""
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
    """Return a task of a job by its name, or None if it has no such task."""
    step = job.steps.get((name.step.occurrence, name.step.step))
    if step is None or name.index >= len(step.tasks):
        return None
    return step.tasks[name.index]


def collect_progress(job: Job) -> JobProgress:
    """Return what to record of a job."""
    done: dict[str, list[int]] = {}
    failures: dict[str, FailureCount] = {}
    last_runs: dict[str, int] = {}
    checkpoints: dict[str, str] = {}
    if not job.state.is_final:
        for step in job.steps.values():
            indices = [task.index for task in step.tasks if task.is_done]
            if indices:
                done[str(step.name)] = indices
            if step.gang_failures.count:
                failures[str(step.name)] = step.gang_failures
            for task in step.tasks:
                if task.is_done:
                    continue
                if task.failures.count:
                    failures[str(task.name)] = task.failures
                if task.last_run:
                    last_runs[str(task.name)] = task.last_run
                if task.checkpoint:
                    checkpoints[str(task.name)] = task.checkpoint
    return JobProgress(job.state, done, failures, last_runs, checkpoints)


def restore_progress(job: Job, progress: JobProgress) -> None:
    """Bring a job to what is recorded of it."""
    job.state = progress.state
    job.recorded_state = progress.state
    if progress.state.is_final:
        for step in job.steps.values():
            step.waiting_tasks.clear()
        return
    for step in job.steps.values():
        name = str(step.name)
        for index in progress.done.get(name, ()):
            step.tasks[index].is_done = True
            step.waiting_tasks.pop(index, None)
            step.done_count += 1
        step.gang_failures = progress.failures.get(name, FailureCount())
        for task in step.tasks:
            text = str(task.name)
            task.failures = progress.failures.get(text, FailureCount())
            task.last_run = progress.last_runs.get(text, 0)
            task.checkpoint = progress.checkpoints.get(text, "")
