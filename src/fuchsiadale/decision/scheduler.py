"""Scheduler that decides which pending tasks are placed on which workers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from attrs import define, frozen

from fuchsiadale.decision.claims import WorkerClaims
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import GANG_RESERVATION_S
from fuchsiadale.decision.fairness import (
    FairQueue,
    OrderWeights,
    TaskGroupKey,
    TeamUsage,
)
from fuchsiadale.decision.ledger import Ledger, Worker
from fuchsiadale.decision.past_use import PastUse
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
    """A task and the attempt that was planned for it."""

    task: Task
    attempt: Attempt


@define
class TeamAllowance:
    """Grant of a team in this partition, and the larger grant that it wants.

    Attributes
    ----------
    grant : Resources
        Part of the team's limit that is granted to this partition.
    wanted : Resources or None
        Element-wise maximum of the grants that the tasks and gangs which exceeded the
        present grant would each need; None if none did since the grant was set.
    """

    grant: Resources = NO_LIMIT
    wanted: Resources | None = None


class Scheduler:
    """Places the pending tasks of one partition on its workers.

    Parameters
    ----------
    ledger : Ledger
        Ledger of the partition's workers.
    clock : Clock
        Clock that claims, holds and reservations expire on.
    epoch : int
        Epoch of the partition's owner, which new attempts carry.
    weights : OrderWeights
        Weights of usage and waiting time when teams are sorted.
    policies : mapping of WorkKind to PlacementPolicy, optional
        The placement policy of each kind of work.

    Attributes
    ----------
    fleet_capacity : Resources or None
        Capacity that dominant shares are computed from; the partition's own capacity
        if None.
    past_use : PastUse
        What the teams have used in the past.
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
        self._policy_by_kind = dict(policies or default_placement_policies())
        self._usage_by_team: dict[str, TeamUsage] = {}
        self._allowance_by_team: dict[str, TeamAllowance] = {}
        self.past_use = PastUse(weights.half_life_s)
        self._queue_by_priority = {
            priority: FairQueue(weights, self._usage_by_team, self.past_use)
            for priority in Priority
        }
        self.fleet_capacity: Resources | None = None
        self._preemption = PreemptionPlanner(ledger, clock)
        self._reservations = GangReservations(ledger, clock)
        self._claims = WorkerClaims(ledger, clock)

    @property
    def usage(self) -> dict[str, TeamUsage]:
        """Resource usage by team."""
        return self._usage_by_team

    @property
    def allowances(self) -> dict[str, TeamAllowance]:
        """Allowance by team; a team without an allowance has no limit."""
        return self._allowance_by_team

    @property
    def queued_count(self) -> int:
        """Number of queued tasks, without those that `PendingTasks` still delays."""
        return sum(len(queue) for queue in self._queue_by_priority.values())

    def set_weights(self, weights: OrderWeights) -> None:
        """Set the weights of the teams' order, and reorder the teams."""
        self.past_use.change_half_life(weights.half_life_s)
        for queue in self._queue_by_priority.values():
            queue.weights = weights
            queue.reorder_all()

    def set_share(self, team: str, share: float) -> None:
        """Set the configured share of a team."""
        usage = self._usage_by_team.setdefault(team, TeamUsage())
        if usage.share != share:
            usage.share = share
            self._reorder_team(team)

    def set_remote_dominant_share(
        self, team: str, remote_dominant_share: float
    ) -> None:
        """Set the dominant share of the fleet that a team uses in other partitions."""
        self._usage_by_team.setdefault(
            team, TeamUsage()
        ).remote_dominant_share = remote_dominant_share
        self._reorder_team(team)

    def set_grant(self, team: str, grant: Resources) -> None:
        """Set the grant of a team in this partition."""
        allowance = self._allowance_by_team.setdefault(team, TeamAllowance())
        allowance.grant = grant
        allowance.wanted = None

    def add(self, task: Task) -> None:
        """Queue a pending task."""
        self._queue_by_priority[task.submission.priority].push(task)

    def remove(self, task: Task) -> None:
        """Remove a pending task from its queue."""
        self._remove_from_queue(self._queue_by_priority[task.submission.priority], task)

    def queued_tasks(self) -> Iterator[Task]:
        """Yield every queued task, urgent tasks first."""
        for priority in Priority:
            yield from self._queue_by_priority[priority].queued_tasks()

    def allocate_running(self, attempt: Attempt) -> None:
        """Allocate resources to an attempt that may already run on its worker."""
        worker = self._ledger.workers[attempt.worker]
        if attempt.attempt_id in worker.attempts:
            return
        self._ledger.allocate(attempt)
        self._add_usage(attempt.team, attempt.resources)

    def release(self, attempt: Attempt) -> bool:
        """Release the resources of an attempt that is known to have ended.

        Returns
        -------
        bool
            False if no resources were allocated to the attempt.
        """
        self._preemption.remove_running(attempt)
        if not self._ledger.deallocate(attempt):
            return False
        usage = self._usage_by_team[attempt.team]
        usage.local = usage.local - attempt.resources
        self._reorder_team(attempt.team)
        return True

    def schedule(self) -> Iterator[Placement]:
        """Place the tasks that fit, in the order of the teams.

        All urgent tasks are tried before the others. Resources are allocated before a
        placement is yielded. Workers are claimed for some tasks that do not fit.
        """
        self._claims.drop_expired()
        self._advance_past_use()
        for priority in Priority:
            queue = self._queue_by_priority[priority]
            queue.set_total_capacity(self.fleet_capacity or self._ledger.capacity)
            failed_groups: set[TaskGroupKey] = set()
            for team in queue.teams_in_order():
                yield from self._schedule_team(queue, team, failed_groups)
            self._claim_workers(queue)

    def plan_preemptions(self) -> list[Preemption]:
        """Choose attempts to stop so that pending urgent tasks fit on a worker."""
        urgent = self._queue_by_priority[Priority.URGENT]
        return self._preemption.plan(
            task for task in urgent.queued_tasks() if self._fits_grant(task, 1)
        )

    def attempts_above_grant(self, team: str) -> list[Attempt]:
        """Return the youngest attempts to stop so that a team is within its grant."""
        usage = self._usage_by_team.get(team)
        allowance = self._allowance_by_team.get(team)
        if usage is None or allowance is None:
            return []
        remaining_usage = usage.local
        chosen_attempts: list[Attempt] = []
        for attempt in self._preemption.stoppable_youngest_first(team):
            if remaining_usage.fits_in(allowance.grant):
                break
            chosen_attempts.append(attempt)
            remaining_usage = remaining_usage - attempt.resources
        return chosen_attempts

    def add_running(self, task: Task) -> None:
        """Register the running attempt of a task, if its work may be stopped."""
        self._preemption.add_running(task)

    def _remove_from_queue(self, queue: FairQueue, task: Task) -> None:
        """Remove a task from its queue; drop its hold, claim and gang reservation."""
        queue.remove(task)
        self._preemption.drop_hold(task)
        self._claims.drop(task.task_id)
        if task.submission.kind is WorkKind.GANG:
            self._reservations.drop(task.submission.work_id)

    def _schedule_team(
        self, queue: FairQueue, team: str, failed_groups: set[TaskGroupKey]
    ) -> Iterator[Placement]:
        """Place the first task of a team that fits, or the gang that it belongs to.

        Only the first task of each group is tried. A group that was not placed is
        added to `failed_groups` if one of its tasks is within the team's grant; the
        equivalent groups of other teams are then skipped in this pass.
        """
        for key, task in queue.group_heads(team):
            if key in failed_groups:
                continue
            placements = self._place_group(queue, key, task)
            if placements:
                queue.reorder_team(team)
                yield from placements
                return
            if self._fits_grant(task, 1):
                failed_groups.add(key)

    def _claim_workers(self, queue: FairQueue) -> None:
        """Claim a worker for one task of each team, in the order of the teams.

        It is the first queued task that is within the team's grant and not of a gang.
        No more workers are claimed once the limit of claims is reached.
        """
        for team in queue.teams_in_order():
            if not self._claims.is_below_limit:
                return
            for key, task in queue.group_heads(team):
                if key.kind is not WorkKind.GANG and self._fits_grant(task, 1):
                    self._claims.claim_worker(task, self._placement_filter(task))
                    break

    def _place_group(
        self, queue: FairQueue, key: TaskGroupKey, task: Task
    ) -> list[Placement]:
        """Place the first task of a group, or the whole gang."""
        if key.kind is WorkKind.GANG:
            return self._place_gang(queue, key, task)
        if not self._fits_grant(task, 1):
            return []
        policy = self._policy_by_kind[key.kind]
        worker = policy.choose_worker(task, self._ledger, self._placement_filter(task))
        if worker is None and task.failed_worker_names:
            task.failed_worker_names.clear()
            worker = policy.choose_worker(
                task, self._ledger, self._placement_filter(task)
            )
        if worker is None:
            return []
        attempt = self._allocate(task, worker)
        self._remove_from_queue(queue, task)
        return [Placement(task, attempt)]

    def _place_gang(
        self, queue: FairQueue, key: TaskGroupKey, head: Task
    ) -> list[Placement]:
        """Place all tasks of a gang at once.

        If they are all queued and within the grant, but do not fit, workers are
        reserved for the gang if possible.
        """
        tasks = queue.group_tasks(head.submission.team, key)
        unfinished_tasks = [task for task in head.work.tasks if not task.state.is_final]
        if len(tasks) < len(unfinished_tasks) or not self._fits_grant(head, len(tasks)):
            return []
        if place_all_or_none(
            self._policy_by_kind[WorkKind.GANG],
            tasks,
            self._ledger,
            self._placement_filter(head),
            self._allocate,
            self._deallocate,
        ):
            for task in tasks:
                self._remove_from_queue(queue, task)
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

    def _allocate(self, task: Task, worker: Worker) -> Attempt:
        """Plan an attempt of a task on a worker and allocate its resources."""
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
        self._add_usage(submission.team, submission.resources)
        task.attempt = attempt
        task.state = TaskState.PLACED
        return attempt

    def _deallocate(self, task: Task) -> None:
        """Revoke the planned attempt of a task and release its resources."""
        if task.attempt is not None:
            self.release(task.attempt)
        task.attempt = None
        task.state = TaskState.PENDING

    def _placement_filter(self, task: Task) -> WorkerFilter:
        """Return a predicate: whether holds, reservations and claims allow the task."""

        def is_allowed(worker: Worker) -> bool:
            return (
                self._preemption.allows_placement(task, worker)
                and self._reservations.allows_placement(task, worker)
                and self._claims.allows_placement(task, worker)
            )

        return is_allowed

    def _fits_grant(self, task: Task, count: int) -> bool:
        """Tell whether `count` more such tasks fit into the grant of their team.

        If not, the grant that they need is recorded as wanted.
        """
        team = task.submission.team
        allowance = self._allowance_by_team.get(team)
        if allowance is None:
            return True
        usage = self._usage_by_team.setdefault(team, TeamUsage())
        required = usage.local + task.submission.resources.times(count)
        if required.fits_in(allowance.grant):
            return True
        allowance.wanted = required.maximum(allowance.wanted or NO_RESOURCES)
        return False

    def _advance_past_use(self) -> None:
        """Count what the teams use now, and reorder them, from time to time."""
        now_s = self._clock.now()
        if not self.past_use.is_due(now_s):
            return
        usage = self._usage_by_team
        self.past_use.advance(
            {team: item.local for team, item in usage.items()},
            {team: item.share for team, item in usage.items()},
            self._ledger.capacity,
            now_s,
        )
        for queue in self._queue_by_priority.values():
            queue.reorder_all()

    def _add_usage(self, team: str, resources: Resources) -> None:
        usage = self._usage_by_team.setdefault(team, TeamUsage())
        usage.local = usage.local + resources

    def _reorder_team(self, team: str) -> None:
        for queue in self._queue_by_priority.values():
            queue.reorder_team(team)
