"""Counters and latency histograms of a cell's process."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Bucket bounds in seconds.

They reach from the time of one reply of the store to beyond the 3 s that callers wait.
"""


class CellMetrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.calls = self._counter("calls", "Callers' calls.", ("call", "answer"))
        self.call_seconds = self._histogram("call_seconds", "Time to answer a call.")
        self.unanswered_calls = self._counter(
            "unanswered_calls", "Calls that ended without an answer.", ("cause",)
        )
        self.open_calls = Gauge(
            "fuchsiadale_open_calls",
            "Calls that are not answered yet.",
            registry=self._registry,
        )
        self.decisions = self._counter(
            "decisions", "Decisions of the owner.", ("kind",)
        )
        self.starts = self._counter("starts", "Orders to start.", ("outcome",))
        self.start_seconds = self._histogram("start_seconds", "Time to start a run.")
        self.plan_seconds = self._histogram("plan_seconds", "Time to plan.")
        self.takeovers = self._counter(
            "takeovers", "Takings of the cell.", ("outcome",)
        )
        self.is_owner = Gauge(
            "fuchsiadale_is_owner",
            "Whether this process owns.",
            registry=self._registry,
        )
        self.drain_requests = self._counter(
            "drain_requests", "Requests to drain a failure domain.", ("outcome",)
        )
        self.drained_domains = Gauge(
            "fuchsiadale_drained_domains",
            "Failure domains in which nothing may start.",
            registry=self._registry,
        )
        self.configuration_age = Gauge(
            "fuchsiadale_configuration_age_seconds",
            "Age of the last confirmation of the configuration.",
            registry=self._registry,
        )

        self._heaviness = Gauge(
            "fuchsiadale_past_use_heaviness",
            "How far a workspace's past use is above the mean, from 0 to 1.",
            ("workspace",),
            registry=self._registry,
        )

    def show_heaviness(self, heavy: Iterable[tuple[str, float]]) -> None:
        """Show the workspaces whose past use is above the mean."""
        self._heaviness.clear()
        for workspace, heaviness in heavy:
            self._heaviness.labels(workspace).set(heaviness)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"fuchsiadale_{name}", text, labels, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"fuchsiadale_{name}",
            text,
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
