"""Failure domains that the operator drains, restores and drains again."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Callable
from random import Random

from attrs import define

from tests.soak.faults import FaultTargets
from tests.soak.observer import Observer
from tests.soak.workers import FAILURE_DOMAINS

DRAIN_RANGE_S = (1.0, 9.0)
"""Shortest and longest time for which a failure domain is drained, in seconds."""

PAUSE_RANGE_S = (0.1, 3.0)
"""Shortest and longest time between two drains of a failure domain, in seconds."""

REQUEST = b64encode(b"{}").decode()
"""Content of the row of a request, in base64."""


@define(eq=False)
class DrainSeries:
    """Drains each failure domain again and again, independently of the others.

    Attributes
    ----------
    targets : FaultTargets
        The workers and the store.
    random : Random
        Decides when which failure domain is drained.
    observer : Observer
        Checks that nothing starts there in time.
    """

    targets: FaultTargets
    random: Random
    observer: Observer

    async def run(self, total_s: float, log: Callable[[str], None]) -> None:
        """Drain failure domains for a time; return once all of them are restored.

        Parameters
        ----------
        total_s : float
            Time during which drains begin, in seconds.
        log : callable
            Called with a line on each change of a request.
        """
        end_s = asyncio.get_running_loop().time() + total_s
        await asyncio.gather(
            *(self._drain_until(end_s, domain, log) for domain in FAILURE_DOMAINS)
        )

    async def _drain_until(
        self, end_s: float, domain: str, log: Callable[[str], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            await asyncio.sleep(self.random.uniform(*PAUSE_RANGE_S))
            log(f"drain of {domain}")
            await self._write_row(domain, REQUEST)
            for worker in self.targets.workers:
                if worker.failure_domain == domain:
                    self.observer.drained_from_s[worker.worker_id] = loop.time()
            await asyncio.sleep(self.random.uniform(*DRAIN_RANGE_S))
            log(f"{domain} restored")
            for worker in self.targets.workers:
                if worker.failure_domain == domain:
                    self.observer.drained_from_s.pop(worker.worker_id, None)
            await self._write_row(domain, None)

    async def _write_row(self, domain: str, value: str | None) -> None:
        await self.targets.store.write_row("op", f"evacuate/{domain}", value)
