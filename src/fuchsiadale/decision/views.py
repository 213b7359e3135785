"""What callers and operators are shown of work."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.ledger import WorkerState
from fuchsiadale.decision.partition import Partition
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.work import Task, TaskState, Work, WorkKind


@frozen
class TaskView:
    """One task as shown to its caller.

    Attributes
    ----------
    index : int
        Its place in the work.
    state : TaskState
        Where it stands.
    worker : str
        Where it runs or ran last; empty if nowhere.
    waited_s : float or None
        Seconds from its acceptance to its first start.
    answer : bytes
        What it returned.
    is_omitted : bool
        Whether the answer was too large to keep.
    """

    index: int
    state: TaskState
    worker: str
    waited_s: float | None
    answer: bytes
    is_omitted: bool = False


@frozen
class WorkView:
    """A piece of work as shown to its caller."""

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
    """One worker as shown to operators."""

    name: str
    state: WorkerState
    failure_domain: str
    capacity: Resources
    free: Resources
    attempts: list[str]


@frozen
class TeamView:
    """What one team uses of a partition.

    Attributes
    ----------
    team : str
        The team.
    used : Resources
        What is charged to it.
    grant : Resources or None
        What it may use here; None if it has no limit.
    """

    team: str
    used: Resources
    grant: Resources | None


@frozen
class PartitionView:
    """A partition as shown to operators."""

    name: str
    epoch: int
    may_act: bool
    pending: int
    works: int
    workers: list[WorkerView]
    teams: list[TeamView]


def build_partition_view(partition: Partition) -> PartitionView:
    """Return what is shown of a partition."""
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
            free=worker.free,
            attempts=list(worker.attempts),
        )
        for name, worker in sorted(partition.ledger.workers.items())
    ]
    return PartitionView(
        name=partition.name,
        epoch=partition.epoch,
        may_act=partition.authority.may_act(),
        pending=scheduler.pending_count,
        works=len(partition.book.works),
        workers=workers,
        teams=teams,
    )


def build_work_view(work: Work) -> WorkView:
    """Return what is shown of a piece of work."""
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
                worker=_worker_of(task),
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


def _worker_of(task: Task) -> str:
    if task.attempt is not None:
        return task.attempt.worker
    return task.answer.worker if task.answer is not None else ""
