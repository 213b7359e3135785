"""Supervisor tree for tasks of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from eliot import log_message

RESTART_DELAY_S = 0.2
"""Delay before a child's first restart, in seconds."""

MAX_RESTART_DELAY_S = 5.0
"""Longest delay before a restart, in seconds."""

ChildMain = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs children as tasks and restarts those that fail.

    A child that returns is not restarted. A child that raises an exception is restarted
    after a delay that doubles with each failure, up to ``MAX_RESTART_DELAY_S`` seconds.
    The delay begins anew once a child has run for longer than that.

    Parameters
    ----------
    name : str
        Name of the supervisor in the log.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._children: dict[str, asyncio.Task[None]] = {}
        self._supervisors: dict[str, Supervisor] = {}

    @property
    def child_names(self) -> list[str]:
        """Names of the children that run or wait for a restart."""
        return list(self._children)

    def start(self, name: str, main: ChildMain) -> None:
        """Start a child; cancel a running child of the same name first."""
        self.cancel_child(name)
        task = asyncio.get_running_loop().create_task(
            self._run_with_restarts(name, main), name=f"{self._name}/{name}"
        )
        self._children[name] = task
        task.add_done_callback(lambda done: self._discard_child(name, done))

    def add_supervisor(self, name: str) -> Supervisor:
        """Add a supervisor below this one and return it."""
        child = Supervisor(f"{self._name}/{name}")
        self._supervisors[name] = child
        return child

    def cancel_child(self, name: str) -> None:
        """Cancel a child if it is running."""
        task = self._children.pop(name, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Stop all supervisors below this one, then all children, newest first."""
        for child in reversed(list(self._supervisors.values())):
            await child.stop()
        self._supervisors.clear()
        tasks = list(self._children.values())
        self._children.clear()
        for task in reversed(tasks):
            task.cancel()
        current = asyncio.current_task()
        others = [task for task in tasks if task is not current]
        await asyncio.gather(*others, return_exceptions=True)

    async def remove_supervisor(self, name: str) -> None:
        """Remove a supervisor below this one and stop it."""
        child = self._supervisors.pop(name, None)
        if child is not None:
            await child.stop()

    async def _run_with_restarts(self, name: str, main: ChildMain) -> None:
        delay_s = RESTART_DELAY_S
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            try:
                await main()
                return
            except Exception as error:
                if loop.time() - started_s > MAX_RESTART_DELAY_S:
                    delay_s = RESTART_DELAY_S
                log_message(
                    "child_failed",
                    supervisor=self._name,
                    child=name,
                    error=repr(error),
                    restart_in_s=delay_s,
                )
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)

    def _discard_child(self, name: str, task: asyncio.Task[None]) -> None:
        if self._children.get(name) is task:
            del self._children[name]
