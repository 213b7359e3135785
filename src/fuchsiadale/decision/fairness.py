"""Queue order among teams: weighted dominant-resource fairness."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterator

from attrs import define, field, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.work import Task, WorkKind

WAITING_UNIT_S = 60.0


@frozen
class OrderWeights:
    """How an operator weighs closeness to share against waiting time.

    Attributes
    ----------
    share : float
        Weight of a team's dominant usage divided by its share.
    waiting : float
        Weight of each minute that a team's oldest task has waited.
    """

    share: float = 1.0
    waiting: float = 0.0


@define
class TeamUsage:
    """What one team uses, here and in other partitions.

    Attributes
    ----------
    share : float
        The team's weight when the fleet is full.
    local : Resources
        Charged in this partition.
    remote_share : float
        Dominant share of the fleet used in other partitions.
    """

    share: float = 1.0
    local: Resources = NO_RESOURCES
    remote_dominant_share: float = 0.0

    def weighted_dominant_share(self, total: Resources) -> float:
        """Return the dominant usage of `total` per unit of share."""
        usage = self.local.dominant_share(total) + self.remote_dominant_share
        return usage / self.share


@frozen
class TaskGroupKey:
    """Tasks of one lane are interchangeable for a placement decision."""

    kind: WorkKind
    resources: Resources
    gang_id: str = ""


def task_group_key_of(task: Task) -> TaskGroupKey:
    """Return the lane that a task waits in."""
    submission = task.submission
    gang_id = submission.work_id if submission.kind is WorkKind.GANG else ""
    return TaskGroupKey(submission.kind, submission.resources, gang_id)


@define
class _TeamQueue:
    lanes: dict[TaskGroupKey, deque[Task]] = field(factory=dict)
    version: int = 0

    def oldest_s(self) -> float:
        return min(lane[0].queued_at_s for lane in self.lanes.values())


class FairQueue:
    """Pending tasks, taken from the team that is furthest below its share.

    A team's key is ``weights.share * usage / share + weights.waiting * t``, where
    ``t`` is the time at which its oldest task was queued: subtracting the common
    current time would not change the order. After Ghodsi et al., "Dominant Resource
    Fairness", NSDI 2011.

    Parameters
    ----------
    weights : OrderWeights
        The operators' weights.
    usage : dict of str to TeamUsage
        Usage by team, shared with the scheduler that changes it.
    """

    def __init__(self, weights: OrderWeights, usage: dict[str, TeamUsage]) -> None:
        self.weights = weights
        self._usage = usage
        self._queue_by_team: dict[str, _TeamQueue] = {}
        self._heap: list[tuple[float, int, str, int]] = []
        self._total_capacity = NO_RESOURCES
        self._sequence = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def set_total_capacity(self, total: Resources) -> None:
        """Take the capacity that usage is measured against."""
        if total != self._total_capacity:
            self._total_capacity = total
            self.reorder_all()

    def reorder_all(self) -> None:
        """Compute every team's key anew, after weights or shares changed."""
        self._heap.clear()
        for team in self._queue_by_team:
            self.reorder_team(team)

    def push(self, task: Task) -> None:
        """Add a task behind the others of its lane."""
        team = task.submission.team
        queue = self._queue_by_team.setdefault(team, _TeamQueue())
        key = task_group_key_of(task)
        group_tasks = queue.lanes.get(key)
        self._size += 1
        if group_tasks is not None:
            group_tasks.append(task)
            return
        queue.lanes[key] = deque([task])
        self.reorder_team(team)

    def remove(self, task: Task) -> None:
        """Take a task out of its lane."""
        team = task.submission.team
        queue = self._queue_by_team[team]
        key = task_group_key_of(task)
        lane = queue.lanes[key]
        if lane[0] is task:
            lane.popleft()
        else:
            lane.remove(task)
        self._size -= 1
        if not lane:
            del queue.lanes[key]
        if not queue.lanes:
            del self._queue_by_team[team]

    def reorder_team(self, team: str) -> None:
        """Reorder a team after its usage or its oldest task changed."""
        queue = self._queue_by_team.get(team)
        if queue is None:
            return
        usage = self._usage.setdefault(team, TeamUsage())
        key = self.weights.share * usage.weighted_dominant_share(self._total_capacity)
        key += self.weights.waiting * queue.oldest_s() / WAITING_UNIT_S
        self._sequence += 1
        queue.version = self._sequence
        heapq.heappush(self._heap, (key, self._sequence, team, queue.version))

    def teams_in_order(self) -> Iterator[str]:
        """Yield teams from the lowest key on.

        A team that is touched while the caller handles it is yielded again at its
        new place; one that is not stays out until the iteration ends.
        """
        skipped: list[tuple[float, int, str, int]] = []
        try:
            while self._heap:
                entry = heapq.heappop(self._heap)
                if not self._is_current(entry):
                    continue
                skipped.append(entry)
                yield entry[2]
        finally:
            for entry in skipped:
                if self._is_current(entry):
                    heapq.heappush(self._heap, entry)

    def group_heads(self, team: str) -> list[tuple[TaskGroupKey, Task]]:
        """Return the head of each of a team's lanes, oldest first."""
        queue = self._queue_by_team.get(team)
        if queue is None:
            return []
        heads = [(key, lane[0]) for key, lane in queue.lanes.items()]
        if len(heads) > 1:
            heads.sort(key=lambda head: head[1].queued_at_s)
        return heads

    def pending_tasks(self) -> Iterator[Task]:
        """Yield every waiting task."""
        for queue in self._queue_by_team.values():
            for lane in queue.lanes.values():
                yield from lane

    def lane(self, team: str, key: TaskGroupKey) -> list[Task]:
        """Return the tasks that wait in one lane, oldest first."""
        queue = self._queue_by_team.get(team)
        if queue is None or key not in queue.lanes:
            return []
        return list(queue.lanes[key])

    def _is_current(self, entry: tuple[float, int, str, int]) -> bool:
        queue = self._queue_by_team.get(entry[2])
        return queue is not None and queue.version == entry[3]
