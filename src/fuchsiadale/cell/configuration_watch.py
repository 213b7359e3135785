"""Keeps the newest configuration and the time since it was last confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from fuchsiadale.cell.drain_monitor import DrainMonitor
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import StoreFailure

WATCH_WAIT_S = 0.5
"""Seconds that one watch waits for a change.

While the source responds, they bound the time between two confirmations.
"""

RETRY_DELAY_S = 0.1
"""Seconds before a failed read or watch is repeated."""

OUTAGE_RETRY_DELAY_S = 0.3
"""Seconds between attempts during an outage of the source."""

MIN_WAIT_S = 0.1
"""Minimum number of seconds that a watch waits for a change."""

MAX_WAIT_SHARE = 0.25
"""Maximum share of the permitted age of drain requests that one watch takes."""

MAX_FAILED_WATCHES = 2
"""Number of consecutive failed watches after which the configuration is read."""

OUTAGE_FAILURE_COUNT = 3
"""Number of consecutive failed attempts that count as an outage."""


class ConfigurationWatch:
    """Watches the configuration and applies each newer version.

    Parameters
    ----------
    source : ConfigurationSource
        Source of the configuration.
    on_change : callable
        Called with each newer version of the configuration.
    drains : DrainMonitor, optional
        Processes the requests to drain failure domains that the source reads.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        on_change: Callable[[CellConfiguration], None],
        drains: DrainMonitor | None = None,
    ) -> None:
        self._source = source
        self._on_change = on_change
        self._drains = drains
        self._current: CellConfiguration | None = None
        self._confirmed_s: float | None = None
        self._applied_s = 0.0
        self._is_from_peer = False
        self._transfer_s = float("inf")
        self._failure_count = 0
        self._position: int | None = None
        self._highest_position = 0

    @property
    def current(self) -> CellConfiguration | None:
        """Newest configuration received; None if none has been received."""
        return self._current

    @property
    def age_s(self) -> float:
        """Seconds since the current configuration was last known to be the newest.

        The value is infinite if no configuration has been received.
        """
        if self._confirmed_s is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self._confirmed_s

    @property
    def transfer_s(self) -> float:
        """Seconds that the read or watch took which returned the current version.

        The value is infinite if that version came from a peer.
        """
        return self._transfer_s

    @property
    def is_failing(self) -> bool:
        """Whether the last read or watch failed.

        A watch that failed because the store lost its history does not count.
        """
        return self._failure_count > 0

    @property
    def _wait_s(self) -> float:
        """Seconds that the next watch waits for a change; 0 after one that failed."""
        if self._failure_count:
            return 0.0
        max_age_s = self._drains.drains.max_age_s if self._drains else None
        if max_age_s is None:
            return WATCH_WAIT_S
        return min(WATCH_WAIT_S, max(MIN_WAIT_S, MAX_WAIT_SHARE * max_age_s))

    async def run(self) -> None:
        """Read and watch the configuration until cancelled."""
        while True:
            sent_s = asyncio.get_running_loop().time()
            position = self._position
            if position is None:
                outcome = await self._source.read()
            else:
                outcome = await self._source.watch(position, self._wait_s)
            if isinstance(outcome, Err):
                await self._handle_failure(outcome.err_value, sent_s)
                continue
            reading = outcome.ok_value
            self._process_reading(reading, sent_s)
            if self._drains is not None and reading.drains is not None:
                self._drains.process(reading.drains, sent_s)
            if self._is_behind(reading, sent_s, is_whole=position is None):
                # The position could hide a newer version from the next watch.
                self._position = None
                await asyncio.sleep(OUTAGE_RETRY_DELAY_S)
            elif self._current is None:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._confirm(sent_s)

    def take_from_peer(
        self,
        version: int,
        configuration: CellConfiguration | None,
        confirmed_s: float,
        document_bytes: int,
    ) -> None:
        """Process what a peer has told of its configuration.

        Parameters
        ----------
        version : int
            Version that the peer has.
        configuration : CellConfiguration or None
            That version; None if the peer has not sent it.
        confirmed_s : float
            When the peer last knew that version to be the newest, on this loop's clock.
        document_bytes : int
            Size of what the peer has sent.
        """
        current_version = self._current.version if self._current else 0
        if configuration is not None and configuration.version > current_version:
            self._apply(configuration, source="peer", document_bytes=document_bytes)
            self._is_from_peer = True
            self._transfer_s = float("inf")
        if self._current is not None and self._current.version == version:
            self._confirm(confirmed_s)

    def _apply(self, configuration: CellConfiguration, **inputs: object) -> None:
        """Put a newer version in force and log it with the inputs of its reading."""
        log_message(
            "configuration_applied",
            version=configuration.version,
            previous=self._current.version if self._current else 0,
            age_s=None if self._current is None else round(self.age_s, 3),
            **inputs,
        )
        is_changed = configuration != self._current
        self._current = configuration
        self._applied_s = asyncio.get_running_loop().time()
        if is_changed:
            self._on_change(configuration)

    def _confirm(self, confirmed_s: float) -> None:
        """Note when the current version was known to be the newest."""
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    def _is_behind(
        self, reading: ConfigurationReading, sent_s: float, is_whole: bool
    ) -> bool:
        """Return whether a version newer than the current one may exist.

        Parameters
        ----------
        reading : ConfigurationReading
            The last reading, already processed.
        sent_s : float
            When it was asked for.
        is_whole : bool
            Whether it should contain the configuration even if that has not changed.
        """
        self._highest_position = max(self._highest_position, reading.position)
        if reading.is_unreadable or reading.position < self._highest_position:
            return True
        if self._current is None:
            return False
        if reading.configuration is None:
            return is_whole
        # A peer may have sent a newer version since the store was asked.
        is_older = reading.configuration.version < self._current.version
        return is_older and sent_s >= self._applied_s

    def _process_reading(self, reading: ConfigurationReading, sent_s: float) -> None:
        if self._failure_count >= OUTAGE_FAILURE_COUNT:
            log_message("dependency_regained", dependency="configuration")
        self._failure_count = 0
        self._position = reading.position
        received = reading.configuration
        if received is None:
            return
        current_version = self._current.version if self._current else 0
        is_same = received.version == current_version
        # A peer of another build may have left out what it does not know.
        if received.version > current_version or (is_same and self._is_from_peer):
            waited_s = asyncio.get_running_loop().time() - sent_s
            self._apply(
                received,
                source="store",
                position=reading.position,
                document_bytes=reading.document_bytes,
                waited_s=round(waited_s, 3),
            )
            self._is_from_peer = False
            self._transfer_s = waited_s
        elif received.version < current_version:
            log_message(
                "configuration_older",
                version=received.version,
                current=current_version,
                position=reading.position,
            )

    async def _handle_failure(self, failure: StoreFailure, sent_s: float) -> None:
        log_message(
            "configuration_watch_failed",
            reason=failure.value,
            waited_s=round(asyncio.get_running_loop().time() - sent_s, 3),
            position=self._position,
        )
        if failure is StoreFailure.HISTORY_LOST:
            self._position = None
            return
        self._failure_count += 1
        if self._failure_count == OUTAGE_FAILURE_COUNT:
            log_message(
                "dependency_lost",
                dependency="configuration",
                reason=failure.value,
                age_s=round(self.age_s, 3),
            )
        is_outage = self._failure_count >= OUTAGE_FAILURE_COUNT
        if self._failure_count >= MAX_FAILED_WATCHES:
            # The store may still answer reads where it does not answer watches.
            self._position = None
        await asyncio.sleep(OUTAGE_RETRY_DELAY_S if is_outage else RETRY_DELAY_S)
