"""Views of tasks, work, workers, teams and partitions for callers and operators."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.ledger import WorkerState
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.work import Task, TaskState, Work, WorkKind


@frozen
class TaskView:
    """The view of a task for its caller.

    Attributes
    ----------
    index : int
        Index of the task in its work.
    state : TaskState
        State of the task.
    worker : str
        Name of the worker that runs the task or ran it last; empty if there is none.
    waited_s : float or None
        Seconds from the acceptance of the task, or from its recovery by the current
        owner, to the first start that this owner saw; None before that.
    answer : bytes
        What the task returned.
    is_omitted : bool
        Whether the answer is left out because it was too large to keep.
    """

    index: int
    state: TaskState
    worker: str
    waited_s: float | None
    answer: bytes
    is_omitted: bool = False


@frozen
class WorkView:
    """The view of work for its caller.

    Attributes
    ----------
    work_id : str
        Id of the work.
    kind : WorkKind
        Kind of the work.
    team, queue : str
        Names of the team and the queue that the work was submitted for.
    is_final : bool
        Whether every task has ended.
    cancelled : bool
        Whether the work was cancelled.
    refusal : Refusal or None
        The error that the caller receives; None if there is none.
    tasks : list of TaskView
        The tasks by index.
    """

    work_id: str
    kind: WorkKind
    team: str
    queue: str
    is_final: bool
    cancelled: bool
    refusal: Refusal | None
    tasks: list[TaskView]


@frozen
class WorkerView:
    """The view of a worker for operators.

    Attributes
    ----------
    name : str
        Name of the worker.
    state : WorkerState
        Whether the worker may get new tasks.
    failure_domain : str
        The failure domain of the worker.
    capacity, free : Resources
        The resources of the worker, and those of them that are not allocated.
    attempts : list of str
        Ids of the attempts that have resources allocated on the worker.
    """

    name: str
    state: WorkerState
    failure_domain: str
    capacity: Resources
    free: Resources
    attempts: list[str]


@frozen
class TeamView:
    """The view of the resources that a team uses in a partition.

    Attributes
    ----------
    team : str
        Name of the team.
    used : Resources
        Resources that are allocated to the team in this partition.
    grant : Resources or None
        Resources that the team may use in this partition; None if it has no limit.
    """

    team: str
    used: Resources
    grant: Resources | None


@frozen
class PartitionView:
    """The view of a partition for operators.

    Attributes
    ----------
    name : str
        Name of the partition.
    epoch : int
        Epoch of the owner.
    may_act : bool
        Whether the owner may place and start tasks now.
    pending : int
        Number of queued tasks that may be placed now.
    works : int
        Number of requests and jobs that the partition keeps, ended ones included.
    workers : list of WorkerView
        The workers by name.
    teams : list of TeamView
        The teams by name.
    """

    name: str
    epoch: int
    may_act: bool
    pending: int
    works: int
    workers: list[WorkerView]
    teams: list[TeamView]


def build_partition_view(partition: Partition) -> PartitionView:
    """Return the view of a partition."""
    scheduler = partition.scheduler
    teams: list[TeamView] = []
    for team, usage in sorted(scheduler.usage.items()):
        allowance = scheduler.allowances.get(team)
        grant = None
        if allowance is not None and allowance.grant != NO_LIMIT:
            grant = allowance.grant
        teams.append(TeamView(team, usage.local, grant))
    workers = [
        WorkerView(
            name=name,
            state=worker.state,
            failure_domain=worker.info.failure_domain,
            capacity=worker.info.capacity,
            free=worker.unallocated,
            attempts=list(worker.attempts),
        )
        for name, worker in sorted(partition.ledger.workers.items())
    ]
    return PartitionView(
        name=partition.name,
        epoch=partition.epoch,
        may_act=partition.authority.may_act(),
        pending=scheduler.queued_count,
        works=len(partition.work_registry.works),
        workers=workers,
        teams=teams,
    )


def build_work_view(work: Work) -> WorkView:
    """Return the view of work."""
    submission = work.submission
    tasks: list[TaskView] = []
    for index, task in enumerate(work.tasks):
        waited_s = None
        if task.started_at_s is not None:
            waited_s = task.started_at_s - task.queued_at_s
        tasks.append(
            TaskView(
                index=index,
                state=task.state,
                worker=_current_or_last_worker(task),
                waited_s=waited_s,
                answer=task.answer.body if task.answer else b"",
                is_omitted=task.answer.is_omitted if task.answer else False,
            )
        )
    return WorkView(
        work_id=submission.work_id,
        kind=submission.kind,
        team=submission.team,
        queue=submission.queue,
        is_final=work.is_final,
        cancelled=work.cancelled,
        refusal=work.refusal,
        tasks=tasks,
    )


def _current_or_last_worker(task: Task) -> str:
    if task.attempt is not None:
        return task.attempt.worker
    return task.answer.worker if task.answer is not None else ""
