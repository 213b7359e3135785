"""Tracks which failure domains the operator asks to keep free of new runs.

Such a domain is drained: what runs there is left to end, and nothing more starts.
"""

from __future__ import annotations

from collections.abc import Container
from enum import Enum

from attrs import frozen

from fuchsiadale.decision.clock import Clock


class DrainRowState(Enum):
    """What a row tells of the drain of a failure domain.

    Attributes
    ----------
    REQUESTED
        The drain is requested.
    REMOVED
        The request was removed.
    UNREADABLE
        The row cannot be read.
    """

    REQUESTED = "requested"
    REMOVED = "removed"
    UNREADABLE = "unreadable"


class DrainEventKind(Enum):
    """Outcome of processing what was read of a request.

    Attributes
    ----------
    REQUESTED
        The failure domain is drained from now on.
    LIFTED
        It is no longer drained.
    UNREADABLE
        The row could not be read and changes nothing.
    OUTDATED
        What was read is older than what is known and changes nothing.
    UNKNOWN_DOMAIN
        No worker is known in the failure domain.
    """

    REQUESTED = "requested"
    LIFTED = "lifted"
    UNREADABLE = "unreadable"
    OUTDATED = "outdated"
    UNKNOWN_DOMAIN = "unknown_domain"


@frozen
class DrainRow:
    """Row of a request to drain a failure domain.

    Attributes
    ----------
    failure_domain : str
        The failure domain.
    version : int
        Version of the store that the last change of the row led to.
    state : DrainRowState
        What the row tells.
    """

    failure_domain: str
    version: int
    state: DrainRowState


@frozen
class DrainReading:
    """Rows of requests that one read or one watch has returned.

    Attributes
    ----------
    rows : tuple of DrainRow
        The rows, in order of their changes.
    position : int
        Version of the store that the reading reflects.
    is_whole : bool
        Whether `rows` has every request, so that one which is missing was removed.
    """

    rows: tuple[DrainRow, ...]
    position: int
    is_whole: bool = False


@frozen
class DrainEvent:
    """What a reading has changed, or why it has not.

    Attributes
    ----------
    kind : DrainEventKind
        The outcome.
    failure_domain : str
        The failure domain.
    version : int
        Version of the row, or of the reading in which it was missing.
    """

    kind: DrainEventKind
    failure_domain: str
    version: int


@frozen
class _KnownRequest:
    """Newest state of a request, and the version at which it was so."""

    is_requested: bool
    version: int


class DomainDrains:
    """Failure domains in which nothing may start, and since when that is known.

    Parameters
    ----------
    clock : Clock
        The event loop's clock.
    max_age_s : float, optional
        Seconds since the last reading from which nothing may start anywhere, since a
        request may have been made meanwhile; None if there are no requests.
    """

    def __init__(self, clock: Clock, max_age_s: float | None = None) -> None:
        self._clock = clock
        self._max_age_s = max_age_s
        self._read_s: float | None = None
        self._highest_position = 0
        self._requests: dict[str, _KnownRequest] = {}
        self._domains: frozenset[str] = frozenset()
        self._reported_unknown: set[str] = set()

    @property
    def domains(self) -> frozenset[str]:
        """Failure domains that are drained."""
        return self._domains

    @property
    def max_age_s(self) -> float | None:
        """Seconds since the last reading from which nothing may start anywhere."""
        return self._max_age_s

    @property
    def is_outdated(self) -> bool:
        """Whether a request may have been made for too long without being known."""
        if self._max_age_s is None:
            return False
        if self._read_s is None:
            return True
        return self._clock.now() - self._read_s > self._max_age_s

    def permits_start(self, failure_domain: str) -> bool:
        """Return whether a run may start in a failure domain now."""
        return failure_domain not in self._domains and not self.is_outdated

    def process(self, reading: DrainReading, sent_s: float) -> list[DrainEvent]:
        """Apply what was read of the requests.

        Parameters
        ----------
        reading : DrainReading
            What was read.
        sent_s : float
            When the read or watch was sent, on the event loop's clock.

        Returns
        -------
        events : list of DrainEvent
            What has changed, and what was ignored.
        """
        events = [
            event
            for row in reading.rows
            if (event := self._process_row(row)) is not None
        ]
        if reading.is_whole:
            events += self._process_missing(reading)
        if reading.position >= self._highest_position:
            self._highest_position = reading.position
            self._read_s = sent_s
        self._domains = frozenset(
            domain for domain, known in self._requests.items() if known.is_requested
        )
        self._reported_unknown &= self._domains
        return events

    def find_unknown(self, known_domains: Container[str]) -> list[DrainEvent]:
        """Return the drained domains that have no worker, each once for a request."""
        unknown = sorted(
            domain
            for domain in self._domains - self._reported_unknown
            if domain not in known_domains
        )
        self._reported_unknown.update(unknown)
        return [
            DrainEvent(
                DrainEventKind.UNKNOWN_DOMAIN, domain, self._requests[domain].version
            )
            for domain in unknown
        ]

    def _process_row(self, row: DrainRow) -> DrainEvent | None:
        domain, version = row.failure_domain, row.version
        if row.state is DrainRowState.UNREADABLE:
            return DrainEvent(DrainEventKind.UNREADABLE, domain, version)
        is_requested = row.state is DrainRowState.REQUESTED
        known = self._requests.get(domain, _KnownRequest(False, 0))
        if version < known.version:
            return DrainEvent(DrainEventKind.OUTDATED, domain, version)
        if is_requested and version == known.version:
            # The row of a request that was removed, or one that is read once more.
            return None
        self._requests[domain] = _KnownRequest(is_requested, version)
        if is_requested is known.is_requested:
            return None
        kind = DrainEventKind.REQUESTED if is_requested else DrainEventKind.LIFTED
        return DrainEvent(kind, domain, version)

    def _process_missing(self, reading: DrainReading) -> list[DrainEvent]:
        """Lift the drains whose requests a whole reading does not have."""
        present = {row.failure_domain for row in reading.rows}
        events = []
        for domain, known in list(self._requests.items()):
            if not known.is_requested or domain in present:
                continue
            kind = DrainEventKind.OUTDATED
            if reading.position >= max(known.version, self._highest_position):
                kind = DrainEventKind.LIFTED
                self._requests[domain] = _KnownRequest(False, reading.position)
            events.append(DrainEvent(kind, domain, reading.position))
        return events
