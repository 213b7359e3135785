"""Crashes of workers in series, of many at once and of single ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

from attrs import define

from tests.soak.faults import FaultTargets

INTERVAL_RANGE_S = (1.0, 2.0)
"""Shortest and longest time between two crashes in series, in seconds."""

DOWNTIME_S = 0.8
"""Seconds after which a crashed worker is started again."""

CRASHED_SHARE = 0.4
"""Probability of each worker to be one of many that crash at once."""

SILENT_PROBABILITY = 0.3
"""Probability that a crashed worker's connections become silent rather than end."""

START_TIMEOUT_S = 1.0
"""Seconds in which a worker must start a run to be crashed because of that."""

MAX_AGE_AT_CRASH_S = 0.3
"""Longest time from the start of a run to a crash that follows it, in seconds."""


@define(eq=False)
class CrashSeries:
    """Crashes workers again and again; none of the crashes is due to a task.

    Attributes
    ----------
    targets : FaultTargets
        The workers, the proxies in front of them and the store.
    random : Random
        Decides which workers crash, when and how.
    """

    targets: FaultTargets
    random: Random

    async def run(self, total_s: float, log: Callable[[str], None]) -> None:
        """Crash workers for a time; return once all of them are up again.

        Parameters
        ----------
        total_s : float
            Time during which workers are crashed, in seconds.
        log : callable
            Called with a line on each crash as it is drawn.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + total_s
        crash_tasks = []
        while loop.time() < end_s:
            kind = self.random.choice(
                (
                    self._crash_many,
                    self._crash_many,
                    self._crash_one,
                    self._crash_after_start,
                )
            )
            crash_tasks.append(asyncio.create_task(kind(log)))
            await asyncio.sleep(self.random.uniform(*INTERVAL_RANGE_S))
        await asyncio.gather(*crash_tasks)

    async def _crash_many(self, log: Callable[[str], None]) -> None:
        indexes = [
            index
            for index in range(len(self.targets.workers))
            if self.random.random() < CRASHED_SHARE
        ]
        await self._crash(indexes, log)

    async def _crash_one(self, log: Callable[[str], None]) -> None:
        await self._crash([self.random.randrange(len(self.targets.workers))], log)

    async def _crash_after_start(self, log: Callable[[str], None]) -> None:
        """Crash a worker shortly after it has started a run, whichever run it is."""
        index = self.random.randrange(len(self.targets.workers))
        age_s = self.random.uniform(0.0, MAX_AGE_AT_CRASH_S)
        worker = self.targets.workers[index]
        worker.run_started.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(worker.run_started.wait(), START_TIMEOUT_S)
            await asyncio.sleep(age_s)
            await self._crash([index], log)

    async def _crash(self, indexes: list[int], log: Callable[[str], None]) -> None:
        crashes = []
        for index in indexes:
            is_silent = self.random.random() < SILENT_PROBABILITY
            log(f"crash of worker-{index}, silent: {is_silent}")
            crashes.append(self.targets.crash_worker(index, DOWNTIME_S, is_silent))
        await asyncio.gather(*crashes)
