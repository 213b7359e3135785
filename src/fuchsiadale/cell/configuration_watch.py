"""Keeps the newest configuration, and knows how long ago it was confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import StoreFailure

WATCH_S = 1.0
"""Seconds that a watch waits; bounds the age of a confirmation."""

RETRY_S = 0.1
"""Seconds before a failed reading is tried again."""

RETRY_AFTER_OUTAGE_S = 0.3
"""Seconds between tries after several have failed."""

FAILURES_OF_OUTAGE = 3
"""Failed tries in a row that make an outage."""


class ConfigurationWatch:
    """Watches the configuration and applies each newer version.

    Parameters
    ----------
    source : ConfigurationSource
        Where it comes from.
    on_change : callable
        Called with each version that is applied.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        on_change: Callable[[CellConfiguration], None],
    ) -> None:
        self._source = source
        self._on_change = on_change
        self._current: CellConfiguration | None = None
        self._confirmed_s: float | None = None
        self._failures = 0
        self._position: int | None = None

    @property
    def current(self) -> CellConfiguration | None:
        """The newest version; None before the first."""
        return self._current

    @property
    def age_s(self) -> float:
        """Seconds since no newer version existed for certain."""
        if self._confirmed_s is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self._confirmed_s

    @property
    def is_failing(self) -> bool:
        """Whether the last reading failed."""
        return self._failures > 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            sent_s = asyncio.get_running_loop().time()
            position = self._position
            if position is None:
                outcome = await self._source.read()
            else:
                outcome = await self._source.watch(position, WATCH_S)
            if isinstance(outcome, Err):
                await self._after_failure(outcome.err_value)
            else:
                self._take(outcome.ok_value, sent_s)
                if self._current is None:
                    await asyncio.sleep(RETRY_S)

    def _take(self, reading: ConfigurationReading, sent_s: float) -> None:
        if self._failures >= FAILURES_OF_OUTAGE:
            log_message("dependency_regained", dependency="configuration")
        self._failures = 0
        self._position = reading.position
        found = reading.configuration
        if found is not None and (
            self._current is None or found.version > self._current.version
        ):
            previous = self._current.version if self._current else 0
            self._current = found
            log_message(
                "configuration_applied", version=found.version, previous=previous
            )
            self._on_change(found)
        if self._current is not None:
            self._confirmed_s = sent_s

    async def _after_failure(self, failure: StoreFailure) -> None:
        if failure is StoreFailure.HISTORY_LOST:
            self._position = None
            return
        self._failures += 1
        if self._failures == FAILURES_OF_OUTAGE:
            log_message(
                "dependency_lost",
                dependency="configuration",
                reason=failure.value,
                age_s=round(self.age_s, 3),
            )
        is_outage = self._failures >= FAILURES_OF_OUTAGE
        await asyncio.sleep(RETRY_AFTER_OUTAGE_S if is_outage else RETRY_S)
