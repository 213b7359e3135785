"""What a caller asks for: a job of steps."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.resources import Resources


@frozen
class StepSpecification:
    """One step: equal tasks that become ready together.

    Attributes
    ----------
    count : int
        Number of tasks.
    request : Resources
        What each task takes.
    estimated_s : float
        The caller's rough estimate of a task's duration, in seconds.
    after : tuple of int
        Earlier steps, counted from 0, whose tasks must all be done first.
    is_gang : bool
        Whether the tasks work only together.
    same_rack : bool
        Whether the tasks are slow when they are spread over racks.
    required_label : str
        A label that the worker must have; empty for none.
    preferred_rack : str
        The rack near the data; empty for none.
    max_per_worker : int
        Most tasks of an occurrence of the step on one worker; 0 for no bound.
    allows_copies : bool
        Whether several runs of a task may be active at once.
    is_checkpointing : bool
        Whether a task resumes from a checkpoint.
    is_lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_s : float
        Bound on the tail of a serving task's response times, in seconds; 0 for none.
    is_filler : bool
        Whether the tasks' processors are taken from what others leave unused.
    disruption_budget : int or None
        Tasks that planned actions may keep away at once; None if not set.
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
        """What a task takes of a worker's room."""
        if self.is_filler:
            return Resources(
                memory_mb=self.request.memory_mb,
                accelerators=self.request.accelerators,
            )
        return self.request


@frozen
class Schedule:
    """When the occurrences of a job are due.

    Attributes
    ----------
    first_s : float
        When the first is due, in Unix seconds.
    interval_s : float
        Seconds between two.
    occurrences : int
        How many there are.
    """

    first_s: float
    interval_s: float
    occurrences: int

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, in Unix seconds."""
        return self.first_s + occurrence * self.interval_s


@frozen
class JobSpecification:
    """What a caller submitted.

    Attributes
    ----------
    payload : str
        Passed to every task.
    steps : tuple of StepSpecification
        The steps; each waits only for earlier ones.
    schedule : Schedule or None
        Set if the steps run several times.
    """

    payload: str
    steps: tuple[StepSpecification, ...]
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return 1 if self.schedule is None else self.schedule.occurrences

    @property
    def critical_path_s(self) -> float:
        """Length of the longest chain of estimated work, in seconds."""
        lengths: list[float] = []
        for step in self.steps:
            before = max((lengths[index] for index in step.after), default=0.0)
            lengths.append(before + step.estimated_s)
        return max(lengths, default=0.0)


@frozen
class JobRecord:
    """An accepted job as it is stored.

    Attributes
    ----------
    job_id : str
        The caller's id.
    queue : str
        The queue that took it.
    workspace : str
        Whose job it is; empty on public queues.
    accepted_s : float
        When it was accepted, in Unix seconds.
    specification : JobSpecification
        What was asked for.
    """

    job_id: str
    queue: str
    workspace: str
    accepted_s: float
    specification: JobSpecification
