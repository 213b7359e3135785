"""An event loop whose clock moves only when nothing is left to run."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the clock by the time that the loop would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits for something that cannot happen")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Runs timers in order, at once."""

    def __init__(self) -> None:
        self._skipping = _VirtualTimeSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._skipping.now_s


def run_with_virtual_clock(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual clock and end whatever it leaves."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        return runner.run(main)
