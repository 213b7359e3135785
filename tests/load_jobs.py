"""Draws jobs of the users' kinds, with what they really take."""

from __future__ import annotations

import math
from random import Random

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.decision.workflow.placement import places
from fuchsiadale.decision.workflow.specification import (
    JobRecord,
    JobSpecification,
    StepSpecification,
)
from tests.load_kinds import Kind, Pool


@frozen
class Submitted:
    """A job as it really is."""

    kind: Kind
    record: JobRecord
    sent_s: float
    work_s: dict[TaskName, float]
    poisoned: frozenset[TaskName]
    objective_s: float
    value: float


class JobMaker:
    """Draws jobs.

    Parameters
    ----------
    pools : list of Pool
        The workers, whose room decides how many waves a wide step counts.
    random : Random
        Of every draw.
    """

    def __init__(self, pools: list[Pool], random: Random) -> None:
        self._pools = pools
        self._random = random

    def make(self, kind: Kind) -> Submitted:
        """Return a job of a kind, as yet not sent."""
        draw = self._random
        job_id = f"{draw.getrandbits(64):016x}"
        steps = []
        work: dict[TaskName, float] = {}
        chain_s = 0.0
        cores = 0.0
        total = max(1, round(draw.lognormvariate(math.log(kind.steps), 0.4)))
        for index in range(total):
            width = max(1, round(draw.lognormvariate(math.log(kind.width) - 0.2, 0.7)))
            base_s = kind.work_s * draw.lognormvariate(-0.12, 0.5)
            base_s = min(max(base_s, 0.05), 2.5 * kind.work_s)
            error = draw.gauss(-kind.estimate_bias, kind.estimate_error)
            request = Resources(
                kind.cpu_millis, kind.memory_mb, draw.choice(kind.accelerators)
            )
            steps.append(
                StepSpecification(
                    min(width, int(6 * kind.width)),
                    request,
                    base_s * math.exp(error),
                    (index - 1,) if index else (),
                    is_checkpointing=draw.random() < kind.resumes,
                )
            )
            name = StepName(job_id, 0, index)
            for number in range(steps[-1].count):
                task_s = base_s * math.exp(draw.gauss(0.0, kind.uneven))
                work[TaskName(name, number)] = task_s
                cores += task_s * request.cpu_millis / 1000
            longest_s = max(work[TaskName(name, n)] for n in range(steps[-1].count))
            chain_s += longest_s * self._waves(kind, steps[-1])
        is_poisoned = draw.random() < kind.poison
        poisoned = frozenset([draw.choice(list(work))] if is_poisoned else [])
        usual = kind.steps * kind.width * kind.work_s * kind.cpu_millis / 1000
        value = kind.worth * min(4.0, 0.3 + 0.7 * cores / usual)
        specification = JobSpecification("text", tuple(steps))
        record = JobRecord(job_id, kind.queue.name, "workspace", 0.0, specification)
        objective_s = kind.queue.stretch * chain_s + kind.queue.slack_s
        return Submitted(kind, record, 0.0, work, poisoned, objective_s, value)

    def _waves(self, kind: Kind, step: StepSpecification) -> int:
        pool = next(item for item in self._pools if item.name == kind.queue.pool)
        room = pool.workers * places(pool.capacity, step.request)
        return max(1, math.ceil(step.count / max(1.0, room / 4)))
