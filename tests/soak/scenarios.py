"""Conditions under which the kinds of faults of a soak test are injected."""

from __future__ import annotations

from attrs import frozen

from tests.soak.absence_series import AbsenceSeries
from tests.soak.clients import Workload
from tests.soak.configuration import TENANT_CPU_MILLIS
from tests.soak.crash_series import CrashSeries
from tests.soak.drain_series import DrainSeries
from tests.soak.faults import (
    ABSENCE_SERIES_KINDS,
    CONFIGURATION_KINDS,
    CRASH_SERIES_KINDS,
    DRAIN_SERIES_KINDS,
    FAULTS_PER_S,
    REMOVAL_SERIES_KINDS,
    RESTART_SERIES_KINDS,
    UNNOTICED_RESTART_KINDS,
)
from tests.soak.removal_series import RemovalSeries
from tests.soak.restart_series import RestartSeries, UnnoticedRestartSeries
from tests.soak.slow_links import CONFIGURATION_BOUND_MS, SLOW_LINK_KINDS

Series = CrashSeries | AbsenceSeries | RemovalSeries | RestartSeries | DrainSeries


@frozen
class Scenario:
    """Under which conditions faults are injected.

    Attributes
    ----------
    workload : Workload
        What the clients submit and ask for; few calls leave idle connections as they
        are.
    worker_count : int
        Number of workers.
    failure_probability : float
        Probability that a run fails at its end.
    series : type or None
        Kind of the series of faults beside the drawn ones, if there is one.
    faults_per_s : float
        Mean number of new faults per second.
    tenant_cpu_millis : int
        CPU that the tenant may have running, in thousandths of a core.
    max_lease_ms : int
        Longest lease that workers grant, in milliseconds.
    drain_bound_ms : int or None
        Milliseconds from the request to drain a failure domain until nothing starts
        there; None if nodes are told of no such bound.
    configuration_bound_ms : int or None
        Bound on applying a configuration that nodes are told, in milliseconds.
    """

    workload: Workload = Workload()
    worker_count: int = 4
    failure_probability: float = 0.02
    series: type[Series] | None = None
    faults_per_s: float = FAULTS_PER_S
    tenant_cpu_millis: int = TENANT_CPU_MILLIS
    max_lease_ms: int = 6000
    drain_bound_ms: int | None = None
    configuration_bound_ms: int | None = None


SCENARIOS = {
    CONFIGURATION_KINDS: Scenario(Workload(repeated_calls_per_s=1.0)),
    CRASH_SERIES_KINDS: Scenario(
        Workload(0.8, 10.0, (2.0, 5.0), 3500),
        worker_count=8,
        failure_probability=0.2,
        series=CrashSeries,
    ),
    ABSENCE_SERIES_KINDS: Scenario(
        Workload(0.8, 10.0, (0.5, 2.0), 1300, lasting_job_count=2),
        worker_count=8,
        series=AbsenceSeries,
        faults_per_s=0.15,
    ),
    REMOVAL_SERIES_KINDS: Scenario(
        Workload(0.8, 10.0, (0.5, 2.0), 1300, lasting_job_count=3),
        worker_count=8,
        series=RemovalSeries,
        faults_per_s=0.15,
        tenant_cpu_millis=5 * TENANT_CPU_MILLIS,
    ),
    RESTART_SERIES_KINDS: Scenario(
        Workload(0.8, 10.0, (2.0, 8.0), 1300, lasting_job_count=2),
        worker_count=8,
        series=RestartSeries,
        faults_per_s=0.1,
        tenant_cpu_millis=5 * TENANT_CPU_MILLIS,
        max_lease_ms=10_000,
    ),
    UNNOTICED_RESTART_KINDS: Scenario(
        Workload(1.2, 10.0, (5.0, 9.0), 1300, lasting_job_count=2),
        worker_count=8,
        series=UnnoticedRestartSeries,
        faults_per_s=0.1,
        tenant_cpu_millis=5 * TENANT_CPU_MILLIS,
        max_lease_ms=10_000,
    ),
    DRAIN_SERIES_KINDS: Scenario(
        Workload(3.0, 10.0, (0.1, 1.0), 400, lasting_job_count=2),
        worker_count=8,
        series=DrainSeries,
        faults_per_s=0.3,
        tenant_cpu_millis=5 * TENANT_CPU_MILLIS,
        drain_bound_ms=3000,
    ),
    SLOW_LINK_KINDS: Scenario(
        Workload(repeated_calls_per_s=10.0),
        configuration_bound_ms=CONFIGURATION_BOUND_MS,
    ),
}
"""Scenarios of the fault kinds that need one of their own."""
