"""Specification of a job and its steps, as a caller submits it."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import Queue


@frozen
class StepSpecification:
    """A step: identical tasks that become ready together.

    Attributes
    ----------
    count : int
        Number of tasks.
    request : Resources
        Resources that each task requests.
    estimated_s : float
        The caller's rough estimate of a task's duration, in seconds.
    after : tuple of int
        Indices of earlier steps, from 0, whose tasks must all be done first.
    is_gang : bool
        Whether the tasks can only run all at the same time.
    same_rack : bool
        Whether to prefer one rack for all tasks, as they are slow across several.
    required_label : str
        Label that the worker must have; empty for none.
    preferred_rack : str
        Rack that is closest to the task's data; empty for none.
    max_per_worker : int
        Maximum number of tasks of one occurrence on a worker; 0 for no limit.
    allows_copies : bool
        Whether several runs of a task may be active at once.
    is_checkpointing : bool
        Whether a task resumes from its last checkpoint.
    is_lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image behave alike.
    target_s : float
        Target for a serving task's tail latency, in seconds; 0 for none.
    is_filler : bool
        Whether the tasks run on CPU time that other tasks leave unused, so that no
        CPU is reserved for them.
    disruption_budget : int or None
        Number of tasks that planned actions may keep from running at once; None if
        not set.
    """

    count: int
    request: Resources
    estimated_s: float = 0.0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    allows_copies: bool = False
    is_checkpointing: bool = False
    is_lasting: bool = False
    image: str = ""
    target_s: float = 0.0
    is_filler: bool = False
    disruption_budget: int | None = None

    @property
    def charged(self) -> Resources:
        """Resources that a task reserves on its worker; no CPU for a filler task."""
        if self.is_filler:
            return Resources(
                memory_mb=self.request.memory_mb,
                accelerators=self.request.accelerators,
            )
        return self.request


@frozen
class Schedule:
    """Times at which the occurrences of a recurring job are due.

    Attributes
    ----------
    first_s : float
        When the first occurrence is due, in Unix seconds.
    interval_s : float
        Seconds between consecutive occurrences.
    occurrences : int
        Number of occurrences.
    """

    first_s: float
    interval_s: float
    occurrences: int

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, in Unix seconds."""
        return self.first_s + occurrence * self.interval_s


@frozen
class JobSpecification:
    """A job as its caller submitted it.

    Attributes
    ----------
    payload : str
        Data that is passed to every task.
    steps : tuple of StepSpecification
        The steps; a step depends only on earlier ones.
    schedule : Schedule or None
        Set if the steps run more than once.
    """

    payload: str
    steps: tuple[StepSpecification, ...]
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return 1 if self.schedule is None else self.schedule.occurrences

    @property
    def critical_path_s(self) -> float:
        """Estimated duration of the longest chain of dependent steps, in seconds."""
        ends_s: list[float] = []
        for step in self.steps:
            start_s = max((ends_s[index] for index in step.after), default=0.0)
            ends_s.append(start_s + step.estimated_s)
        return max(ends_s, default=0.0)


NO_SPECIFICATION = JobSpecification("", ())
"""Specification of a job that has ended, of which only the state is needed."""


@frozen
class JobRecord:
    """An accepted job as it is stored.

    Attributes
    ----------
    job_id : str
        Id of the job, chosen by the caller.
    queue : str
        Queue to which the job was submitted.
    workspace : str
        Workspace that owns the job; empty on public queues.
    accepted_s : float
        When the job was accepted, in Unix seconds.
    specification : JobSpecification
        The job as submitted.
    queue_definition : Queue or None
        Definition of the queue when the job was accepted; None in rows of earlier
        versions of the program.
    workspace_limit : Resources or None
        Limit of the workspace when the job was accepted; None if it had none, and in
        rows of earlier versions of the program.
    """

    job_id: str
    queue: str
    workspace: str
    accepted_s: float
    specification: JobSpecification
    queue_definition: Queue | None = None
    workspace_limit: Resources | None = None
