"""Tasks that wait for a time before they may be placed."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from attrs import field, frozen

from fuchsiadale.decision.work import Task


@frozen(order=True)
class _Entry:
    eligible_at_s: float
    sequence: int
    task: Task = field(order=False)


class DelayedTasks:
    """A queue ordered by the time from which a task is eligible."""

    def __init__(self) -> None:
        self._heap: list[_Entry] = []
        self._waiting: set[str] = set()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, task: Task) -> None:
        """Add a task that becomes eligible at ``task.eligible_at_s``."""
        self._sequence += 1
        heapq.heappush(self._heap, _Entry(task.eligible_at_s, self._sequence, task))
        self._waiting.add(task.task_id)

    def discard(self, task: Task) -> bool:
        """Remove a task; return whether it was waiting."""
        if task.task_id not in self._waiting:
            return False
        self._waiting.remove(task.task_id)
        return True

    def pop_due(self, now_s: float) -> Iterator[Task]:
        """Remove and yield the tasks that are eligible."""
        while self._heap and self._heap[0].eligible_at_s <= now_s:
            task = heapq.heappop(self._heap).task
            if task.task_id in self._waiting:
                self._waiting.remove(task.task_id)
                yield task
