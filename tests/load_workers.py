"""Workers of the simulated sites, which may differ in speed and be slow for a time."""

from __future__ import annotations

from attrs import Factory, define, frozen

from fuchsiadale.decision.workflow.messages import ReportedEnd, WorkerEntry
from fuchsiadale.decision.workflow.names import TaskName


@frozen
class SlowSpell:
    """Time in which the runs on a worker take `slowdown` times as long."""

    begins_s: float
    ends_s: float
    slowdown: float


@define(eq=False)
class SimulatedRun:
    """A run on a simulated worker; times are on the simulation's clock."""

    task: TaskName
    run: int
    work_s: float
    begins_s: float
    restored_work_s: float
    fails: bool


@define(eq=False)
class SimulatedLoadWorker:
    """A worker with its runs; `spells` are in order and do not overlap."""

    entry: WorkerEntry
    speed: float = 1.0
    spells: list[SlowSpell] = Factory(list)
    runs: dict[tuple[TaskName, int], SimulatedRun] = Factory(dict)
    ends: list[ReportedEnd] = Factory(list)
    last_end: int = 0

    def done_work_s(self, run: SimulatedRun, now_s: float) -> float:
        """Return how much of the work of a run is done, in seconds."""
        took_s = max(0.0, now_s - run.begins_s)
        for spell in self.spells:
            slow_s = min(now_s, spell.ends_s) - max(run.begins_s, spell.begins_s)
            took_s -= max(0.0, slow_s) * (1.0 - 1.0 / spell.slowdown)
        return min(run.work_s, run.restored_work_s + took_s * self.speed)

    def duration_s(self, begins_s: float, work_s: float) -> float:
        """Return how long work takes that begins at a time, in seconds."""
        at_s, left_s = begins_s, work_s / self.speed
        for spell in self.spells:
            if spell.ends_s <= at_s:
                continue
            before_s = max(0.0, spell.begins_s - at_s)
            if left_s <= before_s:
                break
            left_s -= before_s
            at_s += before_s
            done_s = min(left_s, (spell.ends_s - at_s) / spell.slowdown)
            left_s -= done_s
            at_s += done_s * spell.slowdown
        return at_s + left_s - begins_s
