"""Generates random jobs of the users' kinds, with the true durations of their tasks."""

from __future__ import annotations

import math
from random import Random

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.placement import count_fitting_tasks
from fuchsiadale.decision.workflow.specification import (
    JobRecord,
    JobSpecification,
    StepSpecification,
)
from tests.load_kinds import JobKind, Pool


@frozen
class SimulatedJob:
    """A job with its true properties, which the scheduler does not know.

    Attributes
    ----------
    kind : JobKind
        The kind of the job.
    record : JobRecord
        The job as the scheduler gets it.
    submitted_s : float
        When it was submitted, on the simulation's clock.
    task_work_s : dict of TaskName to float
        True duration of each task, in seconds.
    poisoned_tasks : frozenset of TaskName
        Tasks of which every run fails.
    objective_s : float
        Bound on the job's duration, in seconds.
    value : float
        Value of the job if it ends within its objective.
    """

    kind: JobKind
    record: JobRecord
    submitted_s: float
    task_work_s: dict[TaskName, float]
    poisoned_tasks: frozenset[TaskName]
    objective_s: float
    value: float


class JobGenerator:
    """Generates random jobs.

    Parameters
    ----------
    pools : list of Pool
        The pools, whose size decides in how many waves a wide step runs.
    random : Random
        The source of all random draws.
    """

    def __init__(self, pools: list[Pool], random: Random) -> None:
        self._pools = pools
        self._random = random

    def generate(self, kind: JobKind) -> SimulatedJob:
        """Return a new job of a kind; `submitted_s` is set when it is submitted."""
        rng = self._random
        job_id = f"{rng.getrandbits(64):016x}"
        steps = []
        task_work_s: dict[TaskName, float] = {}
        critical_path_s = 0.0
        core_seconds = 0.0
        step_count = max(1, round(rng.lognormvariate(math.log(kind.usual_steps), 0.4)))
        for index in range(step_count):
            width = max(
                1, round(rng.lognormvariate(math.log(kind.usual_width) - 0.2, 0.7))
            )
            base_s = kind.usual_task_s * rng.lognormvariate(-0.12, 0.5)
            base_s = min(max(base_s, 0.05), 2.5 * kind.usual_task_s)
            error = rng.gauss(-kind.estimate_bias, kind.estimate_error)
            cpu_millis = kind.cpu_millis
            if kind.cpu_spread:
                factor = rng.lognormvariate(0.0, kind.cpu_spread)
                cpu_millis = min(round(cpu_millis * factor), 30_000)
            request = Resources(
                cpu_millis, kind.memory_mb, rng.choice(kind.accelerators)
            )
            is_gang = bool(kind.gang_share) and rng.random() < kind.gang_share
            steps.append(
                StepSpecification(
                    min(width, int(6 * kind.usual_width)),
                    request,
                    base_s * math.exp(error),
                    (index - 1,) if index else (),
                    is_checkpointing=rng.random() < kind.checkpointing_share,
                    is_gang=is_gang,
                )
            )
            name = StepName(job_id, 0, index)
            for number in range(steps[-1].count):
                task_s = base_s * math.exp(rng.gauss(0.0, kind.task_spread))
                task_work_s[TaskName(name, number)] = task_s
                core_seconds += task_s * request.cpu_millis / 1000
            longest_s = max(
                task_work_s[TaskName(name, n)] for n in range(steps[-1].count)
            )
            critical_path_s += longest_s * self._count_waves(kind, steps[-1])
        is_poisoned = rng.random() < kind.poisoned_share
        poisoned_tasks = frozenset(
            [rng.choice(list(task_work_s))] if is_poisoned else []
        )
        usual_core_seconds = (
            kind.usual_steps
            * kind.usual_width
            * kind.usual_task_s
            * kind.cpu_millis
            / 1000
        )
        value = kind.usual_value * min(
            4.0, 0.3 + 0.7 * core_seconds / usual_core_seconds
        )
        specification = JobSpecification("text", tuple(steps))
        record = JobRecord(job_id, kind.queue.name, "workspace", 0.0, specification)
        objective_s = kind.queue.stretch * critical_path_s + kind.queue.slack_s
        return SimulatedJob(
            kind, record, 0.0, task_work_s, poisoned_tasks, objective_s, value
        )

    def _count_waves(self, kind: JobKind, step: StepSpecification) -> int:
        pool = next(item for item in self._pools if item.name == kind.queue.pool)
        pool_places = sum(
            count_fitting_tasks(pool.capacity_of(index), step.request)
            for index in range(pool.worker_count)
        )
        return max(1, math.ceil(step.count / max(1.0, pool_places / 4)))
