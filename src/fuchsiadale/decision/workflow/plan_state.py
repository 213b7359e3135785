"""State of one planning pass, and the work that the pass may do."""

from __future__ import annotations

from attrs import Factory, define

from fuchsiadale.decision.workflow.advice_planning import AdvicePlanner
from fuchsiadale.decision.workflow.jobs import Step, Task
from fuchsiadale.decision.workflow.ordering import WaitingStep
from fuchsiadale.decision.workflow.preemption import Preemptor
from fuchsiadale.decision.workflow.reservations import Reservations
from fuchsiadale.decision.workflow.scheduler import Scheduler
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker
from fuchsiadale.decision.workflow.unplaced_steps import UnplacedSteps
from fuchsiadale.decision.workflow.usable_workers import UsablePool

MAX_PLACING_WORK = 60_000
"""Work of placing tasks after which a plan ends, so that the owner can do other work.

Each worker that is looked at for a task counts 1, and so do `RUNS_PER_LOOK` of their
runs for a task of a step that is spread over workers.
"""

RUNS_PER_LOOK = 6
"""Runs that are counted in the time that a look at a worker takes."""


@define
class PlanState:
    """State of one planning pass.

    Attributes
    ----------
    now_s : float
        The time on the event loop's clock.
    pools : dict of str to UsablePool
        The workers that the pass may use, by pool.
    preemptor : Preemptor
        Selects runs to stop.
    advice : AdvicePlanner
        Requests advice.
    reservations : Reservations
        The workers that the pass has reserved so far.
    unplaced_steps : UnplacedSteps
        The steps that it has found no room for.
    reserving_steps, overdue_steps : dict of str to int
        Number of steps that reserve workers, and of those that do as they are overdue,
        by pool.
    outcomes : list of tuple of WaitingStep and str
        The steps that it has placed no task of, with the reason.
    placing_work : int
        Work of placing tasks so far; see `MAX_PLACING_WORK`.
    """

    now_s: float
    pools: dict[str, UsablePool]
    preemptor: Preemptor
    advice: AdvicePlanner
    reservations: Reservations
    unplaced_steps: UnplacedSteps
    reserving_steps: dict[str, int] = Factory(dict)
    overdue_steps: dict[str, int] = Factory(dict)
    outcomes: list[tuple[WaitingStep, str]] = Factory(list)
    placing_work: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the pass has placed as much as it may."""
        return self.placing_work >= MAX_PLACING_WORK

    def place(
        self,
        scheduler: Scheduler,
        task: Task,
        worker: TrackedWorker,
        choices: int,
        is_revocable: bool = False,
    ) -> None:
        """Place a task on a worker that was chosen from a number of workers."""
        number = scheduler.next_run_number([task])
        scheduler.place_task(task, worker, number, is_revocable)
        self.placing_work += choices


def count_choices(step: Step, workers: list[TrackedWorker]) -> int:
    """Return the work of choosing a worker for a task of a step."""
    if not step.specification.max_per_worker:
        return len(workers)
    return len(workers) + sum(len(item.runs) for item in workers) // RUNS_PER_LOOK
