"""Fair queueing of tasks among teams by weighted dominant-resource fairness."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterator

from attrs import define, field, frozen

from fuchsiadale.decision.past_use import PastUse
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.work import Task, WorkKind

WAITING_UNIT_S = 60.0
"""Seconds per minute, the unit of time that ``OrderWeights.waiting`` applies to."""


@frozen
class OrderWeights:
    """Weights of usage and waiting time when teams are sorted.

    Attributes
    ----------
    share : float
        Weight of a team's usage, which is its dominant share of the capacity divided
        by the share that is configured for the team.
    waiting : float
        Weight of each minute since the earliest time at which the first task of any of
        the team's groups was queued.
    past_use : float
        Weight of a team's heaviness, which is between 0 and 1 and tells how far its
        past use is above the mean of the teams.
    half_life_s : float
        Seconds after which past use counts by half; 0 to count none.
    """

    share: float = 1.0
    waiting: float = 0.0
    past_use: float = 0.0
    half_life_s: float = 0.0


@define
class TeamUsage:
    """Resource usage of one team in this partition and in the others.

    Attributes
    ----------
    share : float
        Configured weight of the team relative to other teams. It has an effect only
        while the pending tasks of all teams do not fit at once.
    local : Resources
        Resources allocated to the team in this partition.
    remote_dominant_share : float
        Dominant share of the fleet that the team uses in other partitions.
    """

    share: float = 1.0
    local: Resources = NO_RESOURCES
    remote_dominant_share: float = 0.0

    def weighted_dominant_share(self, total: Resources) -> float:
        """Return the team's dominant share of all partitions, divided by its share.

        Parameters
        ----------
        total : Resources
            Capacity that the dominant share in this partition is computed from.
        """
        usage = self.local.dominant_share(total) + self.remote_dominant_share
        return usage / self.share


@frozen
class TaskGroupKey:
    """Identifies a group of pending tasks that are equivalent for placement.

    Attributes
    ----------
    kind : WorkKind
        Kind of work of the tasks.
    resources : Resources
        Resources that each task requests.
    gang_id : str
        Work id of the gang that the tasks form; empty for other tasks.
    """

    kind: WorkKind
    resources: Resources
    gang_id: str = ""


def task_group_key_of(task: Task) -> TaskGroupKey:
    """Return the key of the group that a task belongs to."""
    submission = task.submission
    gang_id = submission.work_id if submission.kind is WorkKind.GANG else ""
    return TaskGroupKey(submission.kind, submission.resources, gang_id)


@define
class _TeamQueue:
    """Pending tasks of one team by group, with the version of its heap entry."""

    group_by_key: dict[TaskGroupKey, deque[Task]] = field(factory=dict)
    version: int = 0

    def earliest_head_queued_at_s(self) -> float:
        return min(group[0].queued_at_s for group in self.group_by_key.values())


class FairQueue:
    """Pending tasks, ordered by how far their teams are below their shares.

    The team with the lowest sort key comes first. The key of a team is
    ``weights.share * usage / share + weights.waiting * t + weights.past_use * h``. Here
    ``usage`` is its dominant share of the capacity, ``t`` the earliest time, in
    minutes, at which the first task of any of its groups was queued, and ``h`` the
    heaviness by its past use. The key uses the queue time instead of the waiting time:
    the current time is the same for all teams, so leaving it out does not change the
    order. After Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.

    Parameters
    ----------
    weights : OrderWeights
        Weights that the operators configured.
    usage : dict of str to TeamUsage
        Usage by team; the scheduler updates this same mapping.
    past_use : PastUse, optional
        Past use of the teams, which the scheduler updates, too.
    """

    def __init__(
        self,
        weights: OrderWeights,
        usage: dict[str, TeamUsage],
        past_use: PastUse | None = None,
    ) -> None:
        self.weights = weights
        self._usage = usage
        self._past_use = past_use or PastUse()
        self._queue_by_team: dict[str, _TeamQueue] = {}
        self._team_heap: list[tuple[float, int, str, int]] = []
        self._total_capacity = NO_RESOURCES
        self._last_version = 0
        self._task_count = 0

    def __len__(self) -> int:
        return self._task_count

    def set_total_capacity(self, total: Resources) -> None:
        """Set the capacity that dominant shares are computed from."""
        if total != self._total_capacity:
            self._total_capacity = total
            self.reorder_all()

    def reorder_all(self) -> None:
        """Recompute the sort key of every team, after weights or the total changed."""
        self._team_heap.clear()
        for team in self._queue_by_team:
            self.reorder_team(team)

    def push(self, task: Task) -> None:
        """Append a task to its group."""
        team = task.submission.team
        queue = self._queue_by_team.setdefault(team, _TeamQueue())
        key = task_group_key_of(task)
        group = queue.group_by_key.get(key)
        self._task_count += 1
        if group is not None:
            group.append(task)
            return
        queue.group_by_key[key] = deque([task])
        self.reorder_team(team)

    def remove(self, task: Task) -> None:
        """Remove a task from its group."""
        team = task.submission.team
        queue = self._queue_by_team[team]
        key = task_group_key_of(task)
        group = queue.group_by_key[key]
        if group[0] is task:
            group.popleft()
        else:
            group.remove(task)
        self._task_count -= 1
        if not group:
            del queue.group_by_key[key]
        if not queue.group_by_key:
            del self._queue_by_team[team]

    def reorder_team(self, team: str) -> None:
        """Recompute the sort key of a team after its usage, share or groups changed."""
        queue = self._queue_by_team.get(team)
        if queue is None:
            return
        usage = self._usage.setdefault(team, TeamUsage())
        key = self.weights.share * usage.weighted_dominant_share(self._total_capacity)
        key += self.weights.past_use * self._past_use.heaviness_of(team)
        key += self.weights.waiting * queue.earliest_head_queued_at_s() / WAITING_UNIT_S
        self._last_version += 1
        queue.version = self._last_version
        heapq.heappush(self._team_heap, (key, self._last_version, team, queue.version))

    def teams_in_order(self) -> Iterator[str]:
        """Yield teams in ascending order of their sort keys.

        A team that the caller reorders during the iteration is yielded again at its
        new position. Any other team is yielded once.
        """
        yielded: list[tuple[float, int, str, int]] = []
        try:
            while self._team_heap:
                entry = heapq.heappop(self._team_heap)
                if not self._is_current_entry(entry):
                    continue
                yielded.append(entry)
                yield entry[2]
        finally:
            for entry in yielded:
                if self._is_current_entry(entry):
                    heapq.heappush(self._team_heap, entry)

    def group_heads(self, team: str) -> list[tuple[TaskGroupKey, Task]]:
        """Return the first task in the queue of each of a team's groups.

        They are sorted by the times at which their work was accepted.
        """
        queue = self._queue_by_team.get(team)
        if queue is None:
            return []
        heads = [(key, group[0]) for key, group in queue.group_by_key.items()]
        if len(heads) > 1:
            heads.sort(key=lambda head: head[1].queued_at_s)
        return heads

    def queued_tasks(self) -> Iterator[Task]:
        """Yield every queued task."""
        for queue in self._queue_by_team.values():
            for group in queue.group_by_key.values():
                yield from group

    def group_tasks(self, team: str, key: TaskGroupKey) -> list[Task]:
        """Return the queued tasks of one group, in queue order."""
        queue = self._queue_by_team.get(team)
        if queue is None or key not in queue.group_by_key:
            return []
        return list(queue.group_by_key[key])

    def _is_current_entry(self, entry: tuple[float, int, str, int]) -> bool:
        queue = self._queue_by_team.get(entry[2])
        return queue is not None and queue.version == entry[3]
