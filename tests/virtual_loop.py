"""Event loop with a virtual clock, which skips the time in which the loop is idle."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock by each timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "deadlock: tasks are waiting, but no callback or timer is pending"
            )
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Runs timers in order of their times, without waiting for them."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._time_selector.now_s


def run_with_virtual_clock(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual clock and cancel the tasks that it leaves."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        return runner.run(main)


def pause(seconds: float) -> None:
    """Advance the virtual clock while nothing runs, like a process that is stopped."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualClockLoop)
    loop._time_selector.now_s += seconds
