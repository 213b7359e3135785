"""Decides which pending tasks go to which workers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from attrs import define, frozen

from fuchsiadale.decision.claims import WorkerClaims
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import GANG_RESERVATION_S
from fuchsiadale.decision.fairness import (
    FairQueue,
    TaskGroupKey,
    OrderWeights,
    TeamUsage,
)
from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.placement import (
    BestFitPlacement,
    PlacementPolicy,
    SpreadPlacement,
    WorkerFilter,
    place_all_or_none,
)
from fuchsiadale.decision.preemption import Preemption, PreemptionPlanner
from fuchsiadale.decision.reservation import GangReservations
from fuchsiadale.decision.resources import NO_LIMIT, NO_RESOURCES, Resources
from fuchsiadale.decision.work import (
    Attempt,
    Priority,
    Task,
    TaskState,
    WorkKind,
)


def default_placement_policies() -> dict[WorkKind, PlacementPolicy]:
    """Return the placement policy of each kind of work."""
    best_fit = BestFitPlacement()
    return {
        WorkKind.REQUEST: best_fit,
        WorkKind.BATCH: best_fit,
        WorkKind.GANG: best_fit,
        WorkKind.SERVICE: SpreadPlacement(),
    }


@frozen
class Placement:
    """A task and the attempt that was charged for it."""

    task: Task
    attempt: Attempt


@define
class TeamAllowance:
    """What a team may run in this partition and what it would need.

    Attributes
    ----------
    grant : Resources
        The partition's grant of the team's upper limit.
    wanted : Resources or None
        The grant that the next waiting task needs, if the present one is too small.
    """

    grant: Resources = NO_LIMIT
    wanted: Resources | None = None


class Scheduler:
    """Places pending tasks of one partition.

    Parameters
    ----------
    ledger : Ledger
        The partition's workers.
    clock : Clock
        The clock.
    epoch : int
        The epoch that new attempts carry.
    weights : OrderWeights
        How teams are ordered.
    policies : mapping of WorkKind to PlacementPolicy, optional
        The placement policy of each kind of work.

    Attributes
    ----------
    fleet_capacity : Resources or None
        What usage is measured against; the partition's own capacity if None.
    """

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        epoch: int,
        weights: OrderWeights,
        policies: Mapping[WorkKind, PlacementPolicy] | None = None,
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._epoch = epoch
        self._policies = dict(policies or default_placement_policies())
        self._usage: dict[str, TeamUsage] = {}
        self._allowances: dict[str, TeamAllowance] = {}
        self._queues = {
            priority: FairQueue(weights, self._usage) for priority in Priority
        }
        self.fleet_capacity: Resources | None = None
        self._preemption = PreemptionPlanner(ledger, clock)
        self._reservations = GangReservations(ledger, clock)
        self._claims = WorkerClaims(ledger, clock)

    @property
    def usage(self) -> dict[str, TeamUsage]:
        """Usage by team."""
        return self._usage

    @property
    def allowances(self) -> dict[str, TeamAllowance]:
        """Allowance by team."""
        return self._allowances

    @property
    def pending_count(self) -> int:
        """Number of tasks that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def set_weights(self, weights: OrderWeights) -> None:
        """Change how teams are ordered."""
        for queue in self._queues.values():
            queue.weights = weights
            queue.reorder_all()

    def set_share(self, team: str, share: float) -> None:
        """Change a team's share."""
        usage = self._usage.setdefault(team, TeamUsage())
        if usage.share != share:
            usage.share = share
            self._touch(team)

    def set_remote_dominant_share(self, team: str, remote_share: float) -> None:
        """Take what a team uses of the fleet in other partitions."""
        self._usage.setdefault(team, TeamUsage()).remote_dominant_share = remote_share
        self._touch(team)

    def set_grant(self, team: str, grant: Resources) -> None:
        """Change what a team may run here."""
        allowance = self._allowances.setdefault(team, TeamAllowance())
        allowance.grant = grant
        allowance.wanted = None

    def add(self, task: Task) -> None:
        """Queue a pending task."""
        self._queues[task.submission.priority].push(task)

    def remove(self, task: Task) -> None:
        """Take a pending task out of its queue."""
        self._dequeue(self._queues[task.submission.priority], task)

    def pending_tasks(self) -> Iterator[Task]:
        """Yield every queued task, urgent ones first."""
        for priority in Priority:
            yield from self._queues[priority].pending_tasks()

    def allocate_running(self, attempt: Attempt) -> None:
        """Charge an attempt that was found running on its worker."""
        worker = self._ledger.workers[attempt.worker]
        if attempt.attempt_id in worker.attempts:
            return
        self._ledger.allocate(attempt)
        self._use(attempt.team, attempt.resources)

    def release(self, attempt: Attempt) -> bool:
        """Give back the room of an attempt that surely ended."""
        self._preemption.remove_running(attempt)
        if not self._ledger.release(attempt):
            return False
        usage = self._usage[attempt.team]
        usage.local = usage.local - attempt.resources
        self._touch(attempt.team)
        return True

    def schedule(self) -> Iterator[Placement]:
        """Place what fits, in the teams' order; each placement is charged."""
        self._claims.drop_expired()
        for priority in Priority:
            queue = self._queues[priority]
            queue.set_total_capacity(self.fleet_capacity or self._ledger.capacity)
            failed: set[TaskGroupKey] = set()
            for team in queue.teams_in_order():
                yield from self._schedule_team(queue, team, failed)
            self._claim_for_neediest(queue)

    def plan_preemptions(self) -> list[Preemption]:
        """Choose attempts to stop so that waiting urgent tasks get room."""
        urgent = self._queues[Priority.URGENT]
        return self._preemption.plan(
            task for task in urgent.pending_tasks() if self._within_grant(task, 1)
        )

    def attempts_above_grant(self, team: str) -> list[Attempt]:
        """Return the team's youngest attempts that exceed its grant."""
        usage = self._usage.get(team)
        allowance = self._allowances.get(team)
        if usage is None or allowance is None:
            return []
        excess = usage.local
        chosen: list[Attempt] = []
        for attempt in self._preemption.stoppable_youngest_first(team):
            if excess.fits_in(allowance.grant):
                break
            chosen.append(attempt)
            excess = excess - attempt.resources
        return chosen

    def add_running(self, task: Task) -> None:
        """Note that a task's attempt was sent, so that it can be preempted."""
        self._preemption.add_running(task)

    def _dequeue(self, queue: FairQueue, task: Task) -> None:
        """Take a task out of its queue, and drop what was kept for it."""
        queue.remove(task)
        self._preemption.drop_hold(task)
        self._claims.drop(task.task_id)
        if task.submission.kind is WorkKind.GANG:
            self._reservations.drop(task.submission.work_id)

    def _schedule_team(
        self, queue: FairQueue, team: str, failed: set[TaskGroupKey]
    ) -> Iterator[Placement]:
        """Place the first lane head of a team that fits.

        Lanes that did not fit are noted in `failed`, for all teams of the pass.
        """
        for key, task in queue.group_heads(team):
            if key in failed:
                continue
            placements = self._place_lane(queue, key, task)
            if placements:
                queue.reorder_team(team)
                yield from placements
                return
            if self._within_grant(task, 1):
                failed.add(key)

    def _claim_for_neediest(self, queue: FairQueue) -> None:
        """Let room gather for the oldest tasks of the teams that come first."""
        for team in queue.teams_in_order():
            if not self._claims.is_below_limit:
                return
            for key, task in queue.group_heads(team):
                if key.kind is not WorkKind.GANG and self._within_grant(task, 1):
                    self._claims.claim_worker(task, self._filter_for(task))
                    break

    def _place_lane(
        self, queue: FairQueue, key: TaskGroupKey, task: Task
    ) -> list[Placement]:
        if key.kind is WorkKind.GANG:
            return self._place_gang(queue, key, task)
        if not self._within_grant(task, 1):
            return []
        policy = self._policies[key.kind]
        worker = policy.choose_worker(task, self._ledger, self._filter_for(task))
        if worker is None and task.failed_worker_names:
            task.failed_worker_names.clear()
            worker = policy.choose_worker(task, self._ledger, self._filter_for(task))
        if worker is None:
            return []
        attempt = self._reserve(task, worker)
        self._dequeue(queue, task)
        return [Placement(task, attempt)]

    def _place_gang(
        self, queue: FairQueue, key: TaskGroupKey, head: Task
    ) -> list[Placement]:
        """Place all tasks of a gang at once, or reserve workers for it."""
        tasks = queue.lane(head.submission.team, key)
        unfinished = [task for task in head.work.tasks if not task.state.is_final]
        if len(tasks) < len(unfinished) or not self._within_grant(head, len(tasks)):
            return []
        if place_all_or_none(
            self._policies[WorkKind.GANG],
            tasks,
            self._ledger,
            self._filter_for(head),
            self._reserve,
            self._undo,
        ):
            for task in tasks:
                self._dequeue(queue, task)
            return [
                Placement(task, task.attempt)
                for task in tasks
                if task.attempt is not None
            ]
        self._reservations.reserve_workers(tasks, GANG_RESERVATION_S)
        current = self._reservations.current
        if current is not None:
            self._claims.drop_claims_on(current.workers)
        return []

    def _reserve(self, task: Task, worker: Worker) -> Attempt:
        submission = task.submission
        task.attempts_made += 1
        attempt = Attempt(
            attempt_id=f"{task.task_id}#{self._epoch}.{task.attempts_made}",
            task_id=task.task_id,
            worker=worker.info.name,
            epoch=self._epoch,
            resources=submission.resources,
            program=submission.program,
            team=submission.team,
            boot_id=worker.boot_id,
        )
        self._ledger.allocate(attempt)
        self._use(submission.team, submission.resources)
        task.attempt = attempt
        task.state = TaskState.PLACED
        return attempt

    def _undo(self, task: Task) -> None:
        if task.attempt is not None:
            self.release(task.attempt)
        task.attempt = None
        task.state = TaskState.PENDING

    def _filter_for(self, task: Task) -> WorkerFilter:
        def allowed(worker: Worker) -> bool:
            return (
                self._preemption.allows_placement(task, worker)
                and self._reservations.allows_placement(task, worker)
                and self._claims.allows_placement(task, worker)
            )

        return allowed

    def _within_grant(self, task: Task, count: int) -> bool:
        """Tell whether the team's grant has room; note what is wanted if not."""
        team = task.submission.team
        allowance = self._allowances.get(team)
        if allowance is None:
            return True
        usage = self._usage.setdefault(team, TeamUsage())
        needed = usage.local + task.submission.resources.times(count)
        if needed.fits_in(allowance.grant):
            return True
        allowance.wanted = needed.maximum(allowance.wanted or NO_RESOURCES)
        return False

    def _use(self, team: str, resources: Resources) -> None:
        usage = self._usage.setdefault(team, TeamUsage())
        usage.local = usage.local + resources

    def _touch(self, team: str) -> None:
        for queue in self._queues.values():
            queue.reorder_team(team)
