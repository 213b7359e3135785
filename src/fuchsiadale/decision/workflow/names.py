"""Names of steps and tasks, shared with workers and the advice service."""

from __future__ import annotations

from attrs import frozen


@frozen
class StepName:
    """Name of one occurrence of a job's step.

    Attributes
    ----------
    job_id : str
        Id of the job.
    occurrence : int
        Number of the occurrence, counted from 0.
    step : int
        Position of the step in the job, counted from 0.
    """

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return ``job.occurrence.step``."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"


@frozen
class TaskName:
    """Name of one task of an occurrence of a step.

    Attributes
    ----------
    step : StepName
        Name of the occurrence of the step.
    index : int
        Position of the task in the step, counted from 0.
    """

    step: StepName
    index: int

    def __str__(self) -> str:
        """Return ``job.occurrence.step.index``."""
        return f"{self.step}.{self.index}"


def parse_task_name(text: str) -> TaskName | None:
    """Parse ``job.occurrence.step.index``; return None if the text is malformed."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    occurrence, step, index = (int(part) for part in parts[1:])
    return TaskName(StepName(parts[0], occurrence, step), index)
