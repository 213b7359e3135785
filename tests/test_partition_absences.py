"""Workers of a partition that are out of contact for some time, and come back."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.constants import (
    POISON_WORKER_THRESHOLD,
    QUARANTINE_DURATION_S,
    RERUN_WAIT_S,
    RETRY_BACKOFF_MAX_S,
    SESSION_TIMEOUT_S,
)
from fuchsiadale.decision.events import AcceptedEvent
from fuchsiadale.decision.ledger import WorkerState
from fuchsiadale.decision.reports import WorkerReport
from fuchsiadale.decision.work import Attempt, AttemptEnd, TaskState, WorkKind
from fuchsiadale.decision.work_registry import planned_event
from tests.builders import PartitionHarness, make_submission, make_worker_info

JOB = make_submission(1, WorkKind.BATCH)


def start_task(harness: PartitionHarness) -> Attempt:
    """Place the task and send its start, which the worker confirms."""
    harness.advance(RETRY_BACKOFF_MAX_S + 1.0)
    for name in harness.partition.ledger.workers:
        report_worker(harness, name)
    (attempt,) = harness.partition.step().starts
    assert harness.partition.mark_sent(attempt, valid_until_s=10.0)
    harness.partition.mark_started(attempt.attempt_id)
    return attempt


def report_worker(
    harness: PartitionHarness, name: str, boot_id: str | None = None
) -> None:
    """Process a report of a worker on which nothing runs."""
    worker = harness.partition.ledger.workers[name]
    report = WorkerReport(clock_s=1.0, boot_id=boot_id or worker.boot_id)
    harness.reconciliation.process_heartbeat(name, report, harness.clock.now())


def let_lease_lapse(harness: PartitionHarness, name: str) -> None:
    """Let the attempts of a worker end while only this worker is out of contact."""
    harness.advance(RERUN_WAIT_S + 0.1)
    for other in set(harness.partition.ledger.workers) - {name}:
        report_worker(harness, other)
    harness.reconciliation.process_timeouts()


def test_restarts_after_the_lease_has_lapsed_do_not_make_work_poison() -> None:
    harness = PartitionHarness(workers=POISON_WORKER_THRESHOLD)
    task = harness.partition.accept(JOB).unwrap().tasks[0]
    lost_on: set[str] = set()
    for number in range(POISON_WORKER_THRESHOLD + 1):
        attempt = start_task(harness)
        lost_on.add(attempt.worker)
        let_lease_lapse(harness, attempt.worker)
        assert task.state is TaskState.PENDING
        report_worker(harness, attempt.worker, f"later-boot-{number}")
    assert len(lost_on) == POISON_WORKER_THRESHOLD


def test_worker_back_in_the_same_incarnation_is_no_crash() -> None:
    harness = PartitionHarness()
    task = harness.partition.accept(JOB).unwrap().tasks[0]
    for _ in range(2 * POISON_WORKER_THRESHOLD):
        attempt = start_task(harness)
        let_lease_lapse(harness, attempt.worker)
        report_worker(harness, attempt.worker)
    assert task.state is TaskState.PENDING
    assert not task.may_crash_workers


@pytest.mark.parametrize("has_restarted", [False, True])
def test_worker_that_a_new_owner_cannot_reach_has_not_crashed(
    has_restarted: bool,
) -> None:
    former = PartitionHarness(workers=1)
    former.partition.accept(JOB).unwrap()
    attempt = start_task(former)
    harness = PartitionHarness(workers=0, epoch=2)
    registry = harness.partition.work_registry
    for event in (AcceptedEvent(JOB), planned_event(attempt)):
        registry.replay(event, 2, harness.clock.now())
    harness.reconciliation.set_workers([make_worker_info(0)], [attempt.worker])
    harness.reconciliation.recover_tasks()
    harness.advance(RERUN_WAIT_S + 0.1)
    harness.reconciliation.process_timeouts()
    (task,) = registry.works[JOB.work_id].tasks
    assert task.state is TaskState.PENDING
    assert not task.may_crash_workers
    boot_id = "later-boot" if has_restarted else attempt.boot_id
    report = WorkerReport(clock_s=1.0, boot_id=boot_id)
    harness.reconciliation.process_adoption(attempt.worker, report, harness.clock.now())
    assert task.may_crash_workers is has_restarted


@pytest.mark.parametrize("is_unlisted", [False, True])
def test_worker_that_was_out_of_contact_stays_in_quarantine(is_unlisted: bool) -> None:
    harness = PartitionHarness(workers=1)
    ledger, reconciler = harness.partition.ledger, harness.reconciliation
    (worker,) = ledger.workers.values()
    info, name = worker.info, worker.info.name
    assert ledger.change_state(name, "quarantine")
    harness.partition.failure_tracker.record_quarantine(name, harness.clock.now())
    harness.advance(SESSION_TIMEOUT_S + 0.1)
    reconciler.process_timeouts()
    if is_unlisted:
        reconciler.set_workers([], [name])
        reconciler.set_workers([info], [name])
    report = WorkerReport(clock_s=1.0, boot_id="boot-1")
    reconciler.process_adoption(name, report, harness.clock.now())
    harness.partition.accept(JOB).unwrap()
    assert not harness.partition.step().starts
    assert ledger.workers[name].state is WorkerState.QUARANTINED
    harness.advance(QUARANTINE_DURATION_S)
    report_worker(harness, name)
    assert harness.partition.step().starts


def test_quarantine_ends_in_time_though_a_task_on_the_worker_succeeds() -> None:
    harness = PartitionHarness(workers=1)
    harness.partition.accept(JOB).unwrap()
    attempt = start_task(harness)
    ledger = harness.partition.ledger
    assert ledger.change_state(attempt.worker, "quarantine")
    harness.partition.failure_tracker.record_quarantine(
        attempt.worker, harness.clock.now()
    )
    harness.partition.mark_ended(attempt.attempt_id, AttemptEnd.SUCCEEDED)
    harness.partition.step()
    assert ledger.workers[attempt.worker].state is WorkerState.QUARANTINED
    harness.advance(QUARANTINE_DURATION_S)
    harness.partition.step()
    assert ledger.workers[attempt.worker].state is WorkerState.READY
