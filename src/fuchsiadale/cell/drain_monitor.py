"""Keeps the drained failure domains of a process and reports on their changes."""

from __future__ import annotations

from collections.abc import Container, Iterable

from eliot import log_message

from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.decision.workflow.domain_drains import (
    DomainDrains,
    DrainEvent,
    DrainReading,
)
from fuchsiadale.loop_clock import LoopClock


class DrainMonitor:
    """Applies readings of the requests to drain failure domains, and logs the outcome.

    Parameters
    ----------
    metrics : CellMetrics
        Metrics of the process.
    max_age_s : float, optional
        See `DomainDrains`.

    Attributes
    ----------
    drains : DomainDrains
        The drained failure domains.
    """

    def __init__(self, metrics: CellMetrics, max_age_s: float | None = None) -> None:
        self._metrics = metrics
        self.drains = DomainDrains(LoopClock(), max_age_s)
        self._is_outdated = False

    def process(self, reading: DrainReading, sent_s: float) -> None:
        """Apply what a read or watch that was sent at `sent_s` has returned."""
        self._report(self.drains.process(reading, sent_s))
        self._metrics.drained_domains.set(len(self.drains.domains))

    def check_outdated(self) -> None:
        """Log whether the requests are too old to start anything, if that changes."""
        is_outdated = self.drains.is_outdated
        if is_outdated is not self._is_outdated:
            self._is_outdated = is_outdated
            log_message(
                "drain_requests_outdated" if is_outdated else "drain_requests_current"
            )

    def report_unknown(self, known_domains: Container[str]) -> None:
        """Report requests for failure domains that have no worker, each once."""
        self._report(self.drains.find_unknown(known_domains))

    def _report(self, events: Iterable[DrainEvent]) -> None:
        for event in events:
            self._metrics.drain_requests.labels(event.kind.value).inc()
            log_message(
                f"domain_drain_{event.kind.value}",
                failure_domain=event.failure_domain,
                version=event.version,
            )
