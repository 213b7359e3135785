"""Tests of the soak's checks, and short soaks with fixed seeds over real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.soak.configuration import MAX_ATTEMPTS, WrittenVersion, is_outdated
from tests.soak.faults import (
    ABSENCE_SERIES_KINDS,
    CONFIGURATION_KINDS,
    CRASH_SERIES_KINDS,
    DRAIN_SERIES_KINDS,
    PLANNED_KINDS,
    REMOVAL_SERIES_KINDS,
    RESTART_SERIES_KINDS,
    UNNOTICED_RESTART_KINDS,
)
from tests.soak.observer import CANCEL_GRACE_S, Observer, TaskSpecification
from tests.soak.run import run_seed
from tests.soak.slow_links import SLOW_LINK_KINDS

JOB_ID = "0" * 16
FIRST_TASK, SECOND_TASK = f"{JOB_ID}.0.0.0", f"{JOB_ID}.0.1.0"
CAPACITY_CPU_MILLIS = 4000

SHORT_FAULT_INJECTION_S = 8.0
"""Seconds for which new faults are started; the command line has 20 s by default."""

SHORT_CRASH_SERIES_S = 4.0
"""Seconds for which workers crash; their jobs need much longer afterwards."""

SHORT_ABSENCE_SERIES_S = 14.0
"""Seconds for which workers are cut off; a job meets two returns or more in them."""

SHORT_REMOVAL_SERIES_S = 16.0
"""Seconds in which faults start: a loss of the owner, and a cut if tasks run again."""

SHORT_SLOW_LINKS_S = 14.0
"""Seconds in which faults start; the configuration reaches its size in a few."""


@pytest.fixture
def observer() -> Observer:
    specifications = {
        FIRST_TASK: TaskSpecification(3000, ()),
        SECOND_TASK: TaskSpecification(1000, (FIRST_TASK,)),
    }
    return Observer(specifications, max_attempts=MAX_ATTEMPTS)


def test_job_that_runs_in_order_yields_no_problem(observer: Observer) -> None:
    observer.record_start(FIRST_TASK, "a", 0, CAPACITY_CPU_MILLIS, 1.0)
    observer.record_end(FIRST_TASK, "a", True)
    observer.record_start(SECOND_TASK, "b", 0, CAPACITY_CPU_MILLIS, 2.0)
    observer.record_end(SECOND_TASK, "b", True)
    observer.check_reported_state(JOB_ID, "completed")
    observer.check_refused_jobs()
    assert observer.problems == []


def test_task_running_on_two_workers_is_a_problem(observer: Observer) -> None:
    observer.record_start(FIRST_TASK, "a", 0, CAPACITY_CPU_MILLIS, 1.0)
    observer.record_start(FIRST_TASK, "b", 0, CAPACITY_CPU_MILLIS, 1.0)
    assert len(observer.problems) == 1


def test_start_after_acknowledged_success_is_a_problem(observer: Observer) -> None:
    observer.acknowledged_tasks.add(FIRST_TASK)
    observer.record_start(FIRST_TASK, "a", 0, CAPACITY_CPU_MILLIS, 1.0)
    assert len(observer.problems) == 1


def test_start_beyond_worker_capacity_is_a_problem(observer: Observer) -> None:
    observer.record_start(FIRST_TASK, "a", 2000, CAPACITY_CPU_MILLIS, 1.0)
    assert len(observer.problems) == 1


def test_late_start_in_a_drained_failure_domain_is_a_problem(
    observer: Observer,
) -> None:
    observer.drain_bound_s = 3.0
    observer.drained_from_s = {"a": 1.0}
    observer.record_start(FIRST_TASK, "a", 0, CAPACITY_CPU_MILLIS, 3.9)
    observer.record_end(FIRST_TASK, "a", False)
    observer.record_start(FIRST_TASK, "b", 0, CAPACITY_CPU_MILLIS, 5.0)
    observer.record_end(FIRST_TASK, "b", False)
    assert observer.problems == []
    observer.record_start(FIRST_TASK, "a", 0, CAPACITY_CPU_MILLIS, 4.1)
    assert len(observer.problems) == 1


def test_start_before_predecessor_succeeds_is_a_problem(observer: Observer) -> None:
    observer.record_start(SECOND_TASK, "a", 0, CAPACITY_CPU_MILLIS, 1.0)
    assert len(observer.problems) == 1


def test_start_after_cancel_grace_period_is_a_problem(observer: Observer) -> None:
    observer.cancel_times_s[JOB_ID] = 1.0
    observer.record_start(
        FIRST_TASK, "a", 0, CAPACITY_CPU_MILLIS, 1.0 + CANCEL_GRACE_S + 0.1
    )
    assert len(observer.problems) == 1


def test_unsubmitted_task_false_completion_and_started_refused_job_are_problems(
    observer: Observer,
) -> None:
    observer.record_start("f" * 16 + ".0.0.0", "a", 0, CAPACITY_CPU_MILLIS, 1.0)
    observer.check_reported_state(JOB_ID, "completed")
    observer.record_start(FIRST_TASK, "a", 0, CAPACITY_CPU_MILLIS, 1.0)
    observer.refused_jobs.add(JOB_ID)
    observer.check_refused_jobs()
    assert len(observer.problems) == 3


def test_job_reported_as_failed_for_crashes_of_workers_is_a_problem(
    observer: Observer,
) -> None:
    for _ in range(MAX_ATTEMPTS):
        observer.record_crash(FIRST_TASK, "a", 0.1)
    observer.check_reported_state(JOB_ID, "failed")
    observer.check_reported_state(JOB_ID, "failed")
    assert len(observer.problems) == 1


def test_job_reported_as_failed_before_one_task_has_failed_too_often_is_a_problem(
    observer: Observer,
) -> None:
    observer.failed_run_counts[FIRST_TASK] = MAX_ATTEMPTS - 1
    observer.failed_run_counts[SECOND_TASK] = MAX_ATTEMPTS - 1
    observer.check_reported_state(JOB_ID, "failed")
    assert len(observer.problems) == 1


def test_job_reported_as_failed_after_a_task_has_failed_too_often_is_no_problem(
    observer: Observer,
) -> None:
    observer.failed_run_counts[SECOND_TASK] = MAX_ATTEMPTS
    observer.check_reported_state(JOB_ID, "failed")
    assert observer.problems == []


@pytest.mark.parametrize("state", ["completed", "failed"])
def test_lasting_job_reported_as_ended_is_a_problem(
    observer: Observer, state: str
) -> None:
    observer.specifications = {FIRST_TASK: TaskSpecification(1000, (), is_lasting=True)}
    observer.failed_run_counts[FIRST_TASK] = 10 * MAX_ATTEMPTS
    observer.check_reported_state(JOB_ID, "running")
    assert observer.problems == []
    observer.check_reported_state(JOB_ID, state)
    assert len(observer.problems) == 1


@pytest.mark.parametrize(
    ("status", "sent_s", "expected"),
    [
        (404, 11.9, False),
        (404, 12.1, True),
        (200, 12.1, False),
        (503, 12.1, False),
        (200, 9.0, True),
        (404, 18.5, False),
    ],
)
def test_answer_by_an_outdated_configuration_is_found(
    status: int, sent_s: float, expected: bool
) -> None:
    versions = [
        WrittenVersion(0.0, 0.0),
        WrittenVersion(9.9, 10.0),
        WrittenVersion(18.4),
    ]
    assert is_outdated(status, sent_s, sent_s + 0.01, versions) is expected


@pytest.mark.processes
def test_short_soak_with_random_faults_yields_no_problem(tmp_path: Path) -> None:
    result = asyncio.run(run_seed(7, tmp_path, SHORT_FAULT_INJECTION_S))
    assert result.problems == ()
    assert result.start_count > 0


@pytest.mark.processes
def test_repeated_planned_stops_interrupt_no_call(tmp_path: Path) -> None:
    result = asyncio.run(
        run_seed(501, tmp_path, SHORT_FAULT_INJECTION_S, ("stop_node",))
    )
    assert result.problems == ()
    assert result.interrupted_calls == ()


# The body of a call arrived while its connection was being closed, and was dropped.
@pytest.mark.processes
def test_overlapping_planned_work_interrupts_no_call(tmp_path: Path) -> None:
    result = asyncio.run(run_seed(2401, tmp_path, fault_kinds=PLANNED_KINDS))
    assert result.problems == ()
    assert result.interrupted_calls == ()


@pytest.mark.processes
def test_configurations_are_in_force_in_time_after_connections_went_silent(
    tmp_path: Path,
) -> None:
    result = asyncio.run(run_seed(2601, tmp_path, fault_kinds=CONFIGURATION_KINDS))
    assert result.problems == ()


@pytest.mark.processes
def test_no_job_fails_for_crashes_of_workers_in_series(tmp_path: Path) -> None:
    result = asyncio.run(
        run_seed(6, tmp_path, SHORT_CRASH_SERIES_S, CRASH_SERIES_KINDS)
    )
    assert result.problems == ()
    assert result.start_count > 0


# Workers that were registered again without a restart were taken for crashed.
@pytest.mark.processes
def test_no_lasting_job_fails_for_absences_of_workers_in_series(
    tmp_path: Path,
) -> None:
    result = asyncio.run(
        run_seed(103, tmp_path, SHORT_ABSENCE_SERIES_S, ABSENCE_SERIES_KINDS)
    )
    assert result.problems == ()
    assert result.start_count > 0


# The leases of an owner that never answers again were waited for too long.
@pytest.mark.processes
def test_no_lasting_task_stays_without_a_run_after_a_removal_of_the_owner(
    tmp_path: Path,
) -> None:
    result = asyncio.run(
        run_seed(6, tmp_path, SHORT_REMOVAL_SERIES_S, REMOVAL_SERIES_KINDS)
    )
    assert result.problems == ()
    assert result.start_count > 0


# Restarted workers kept runs for longer than the owner assumed.
@pytest.mark.processes
def test_no_task_runs_twice_when_restarted_workers_are_cut_off(tmp_path: Path) -> None:
    result = asyncio.run(run_seed(1, tmp_path, fault_kinds=RESTART_SERIES_KINDS))
    assert result.problems == ()
    assert result.start_count > 0


@pytest.mark.processes
def test_nothing_starts_in_a_drained_failure_domain(tmp_path: Path) -> None:
    result = asyncio.run(run_seed(3, tmp_path, fault_kinds=DRAIN_SERIES_KINDS))
    assert result.problems == ()
    assert result.start_count > 0


# Orders reached restarted workers that nobody knew to have restarted.
@pytest.mark.processes
def test_no_task_runs_twice_when_workers_are_cut_off_before_their_restart_is_known(
    tmp_path: Path,
) -> None:
    result = asyncio.run(run_seed(34, tmp_path, fault_kinds=UNNOTICED_RESTART_KINDS))
    assert result.problems == ()
    assert result.start_count > 0


# Reads of the configuration were given up though data arrived, and began anew.
@pytest.mark.processes
def test_configuration_that_grows_is_in_force_in_time_on_slow_links(
    tmp_path: Path,
) -> None:
    result = asyncio.run(run_seed(3, tmp_path, SHORT_SLOW_LINKS_S, SLOW_LINK_KINDS))
    assert result.problems == ()
    assert result.start_count > 0
