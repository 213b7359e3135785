"""Queue of tasks that must not be placed before a given time."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from attrs import field, frozen

from fuchsiadale.decision.work import Task


@frozen(order=True)
class _DelayedTask:
    """Orders a task in the heap by the time from which it may be placed."""

    eligible_at_s: float
    sequence: int
    task: Task = field(order=False)


class DelayedTasks:
    """Tasks in the order of the clock times from which they may be placed.

    The heap item of a discarded task is skipped when it becomes due, unless the task
    was added again before.
    """

    def __init__(self) -> None:
        self._heap: list[_DelayedTask] = []
        self._task_ids: set[str] = set()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._task_ids)

    def push(self, task: Task) -> None:
        """Add a task that may be placed from ``task.eligible_at_s`` on."""
        self._sequence += 1
        heapq.heappush(
            self._heap, _DelayedTask(task.eligible_at_s, self._sequence, task)
        )
        self._task_ids.add(task.task_id)

    def discard(self, task: Task) -> bool:
        """Remove a task; return whether the queue held it."""
        if task.task_id not in self._task_ids:
            return False
        self._task_ids.remove(task.task_id)
        return True

    def pop_due(self, now_s: float) -> Iterator[Task]:
        """Remove and yield the tasks that may be placed at `now_s`."""
        while self._heap and self._heap[0].eligible_at_s <= now_s:
            task = heapq.heappop(self._heap).task
            if task.task_id in self._task_ids:
                self._task_ids.remove(task.task_id)
                yield task
