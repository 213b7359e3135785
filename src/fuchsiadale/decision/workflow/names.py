"""Names of steps and tasks, shared with workers and advisors."""

from __future__ import annotations

from attrs import frozen


@frozen
class StepName:
    """One occurrence of a job's step."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return ``job.occurrence.step``."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"


@frozen
class TaskName:
    """One task of an occurrence of a step."""

    step: StepName
    index: int

    def __str__(self) -> str:
        """Return ``job.occurrence.step.index``."""
        return f"{self.step}.{self.index}"


def parse_task_name(text: str) -> TaskName | None:
    """Return the task that a text names, or None if it names none."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    occurrence, step, index = (int(part) for part in parts[1:])
    return TaskName(StepName(parts[0], occurrence, step), index)
