"""Tasks that crash the workers which start them."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.attempts import CrashHistory
from fuchsiadale.decision.workflow.job_progress import collect_progress
from fuchsiadale.decision.workflow.jobs import (
    JobState,
)
from fuchsiadale.decision.workflow.messages import (
    StartRun,
    WorkerState,
)
from fuchsiadale.decision.workflow.names import TaskName
from tests.workflow_builders import (
    STARTED_MS,
    Cell,
    make_entry,
    make_record,
    make_step,
)

JOB_ID = make_record().job_id
RETURN_S = 3.0
"""Seconds after a crash at which the worker is back."""

NOTICING_S = 3.1
"""Seconds after a loss at which each worker lost with it has been noticed."""

MAX_CRASHED_WORKERS = 5
"""Crashes under a task after which one more start would break the platform's bound."""


class CrashingCell(Cell):
    """A cell whose workers crash when they start a task of one of some jobs.

    A crashed worker comes back under another id at its address.
    """

    def __init__(self, workers: int, *deadly_jobs: str, epoch: int = 1) -> None:
        super().__init__(workers, epoch=epoch)
        self.deadly_jobs = deadly_jobs
        self.crash_count = 0

    def run_deadly_tasks(self, return_s: float = RETURN_S) -> None:
        """Crash the workers on which deadly tasks run, and start them again."""
        crashed = {
            worker_id
            for worker_id, runs in self.running.items()
            if any(task.step.job_id in self.deadly_jobs for task, _ in runs)
        }
        self.clock.advance(0.01)
        for worker_id in crashed:
            self.scheduler.mark_worker_unresponsive(worker_id)
        self.clock.advance(return_s)
        for worker_id in crashed:
            self.replace_worker(worker_id)
        for entry in self.entries:
            self.poll(entry.worker_id)

    def settle_crashes(self) -> None:
        """Wait until all workers lost together must have been noticed."""
        self.clock.advance(NOTICING_S)
        self.execute(self.scheduler.check_timeouts())

    def list_running_tasks(self) -> list[TaskName]:
        """Return the task of each run that is present on a worker."""
        return [task for runs in self.running.values() for task, _ in runs]

    def replace_worker(self, worker_id: str) -> None:
        """Replace a crashed worker by a new one at its address."""
        self.crash_count += 1
        self.running[worker_id].clear()
        former = next(e for e in self.entries if e.worker_id == worker_id)
        index = self.entries.index(former)
        self.scheduler.mark_worker_replaced(worker_id)
        number = index + 100 * self.crash_count
        self.entries[index] = make_entry(number, address=former.address)
        self.scheduler.update_registrations(self.entries)
        new_id = self.entries[index].worker_id
        self.running[new_id] = {}
        self.scheduler.workers[new_id].note_recorded(())

    def execute(self, orders: object) -> None:
        """Execute orders; starts count as sent."""
        orders = list(orders)  # type: ignore[call-overload]
        for order in orders:
            if isinstance(order, StartRun):
                self.scheduler.note_start_sent(order)
        super().execute(orders)


def make_cell(workers: int, *deadly_jobs: str) -> CrashingCell:
    cell = CrashingCell(workers, *(deadly_jobs or (JOB_ID,)))
    cell.adopt_workers()
    cell.clock.advance(1.0)
    return cell


def test_task_that_crashes_each_worker_does_not_crash_server_after_server():
    cell = make_cell(6)
    cell.scheduler.accept(make_record(0), 0.0)
    for _ in range(10):
        cell.plan_and_execute()
        cell.run_deadly_tasks()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert cell.crash_count == 2


def test_crashes_are_not_forgotten_by_a_new_owner():
    cell = make_cell(6)
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    cell.run_deadly_tasks()
    progress = collect_progress(cell.scheduler.jobs[JOB_ID])
    successor = make_cell(6)
    successor.scheduler.epoch = 2
    successor.scheduler.recover(make_record(0), progress, 0.0)
    for _ in range(10):
        successor.plan_and_execute()
        successor.run_deadly_tasks()
    assert successor.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert successor.crash_count == 1


def test_job_beside_a_task_that_crashes_workers_is_not_given_up():
    cell = make_cell(6)
    innocents = [make_record(number, make_step(3)) for number in range(1, 5)]
    cell.scheduler.accept(make_record(0), 0.0)
    for record in innocents:
        cell.scheduler.accept(record, 0.0)
    for _ in range(20):
        cell.plan_and_execute()
        cell.run_deadly_tasks()
        cell.end_all_runs()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    states = [cell.scheduler.jobs[record.job_id].state for record in innocents]
    assert states == [JobState.COMPLETED] * 4
    assert cell.crash_count == 2


def test_suspect_starts_on_a_busy_pool_too():
    cell = make_cell(2)
    cell.scheduler.accept(make_record(0), 0.0)
    for number in range(1, 80):
        cell.plan_and_execute()
        if any(task.step.job_id == JOB_ID for task in cell.list_running_tasks()):
            cell.run_deadly_tasks()
        cell.end_all_runs()
        cell.clock.advance(0.1)
        cell.scheduler.accept(make_record(number), 0.0)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert cell.crash_count <= MAX_CRASHED_WORKERS


def test_suspect_is_not_sent_beside_one_whose_start_is_not_confirmed():
    cell = make_cell(1)
    cell.scheduler.accept(make_record(0, make_step(2)), 0.0)
    cell.plan_and_execute()
    cell.run_deadly_tasks()
    cell.clock.advance(1.0)
    starts = [order for order in cell.plan() if isinstance(order, StartRun)]
    starts += [order for order in cell.plan() if isinstance(order, StartRun)]
    assert len(starts) == 1
    cell.execute(starts)
    assert len([order for order in cell.plan() if isinstance(order, StartRun)]) == 1


def test_other_jobs_start_nothing_beside_a_suspect_that_has_just_started():
    cell = make_cell(1)
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    cell.run_deadly_tasks()
    cell.deadly_jobs = ()
    cell.clock.advance(1.0)
    cell.plan_and_execute()
    cell.scheduler.accept(make_record(1), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 2
    cell.clock.advance(1.0)
    cell.poll_all()
    cell.plan_and_execute()
    assert len(cell.starts) == 3


@pytest.mark.parametrize("return_s", [3.0, 12.0])
def test_worker_that_returns_after_its_lease_counts_as_crashed(return_s: float):
    cell = make_cell(6)
    cell.scheduler.accept(make_record(0), 0.0)
    for _ in range(10):
        cell.plan_and_execute()
        start = cell.starts[-1]
        if start.worker_id not in cell.running or not cell.running[start.worker_id]:
            break
        cell.scheduler.mark_worker_unresponsive(start.worker_id)
        cell.running[start.worker_id].clear()
        cell.clock.advance(return_s)
        cell.execute(cell.scheduler.check_timeouts())
        entries = cell.entries
        cell.scheduler.update_registrations(
            [entry for entry in entries if entry.worker_id != start.worker_id]
        )
        cell.scheduler.remove_gone_workers()
        cell.replace_worker(start.worker_id)
        cell.poll_all()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert cell.crash_count <= MAX_CRASHED_WORKERS


def test_crash_confirmed_after_that_of_a_later_run_is_not_lost():
    history = CrashHistory().with_crash(2, "a", True).with_crash(1, "b", True)
    assert history.with_crash(2, "a", True).addresses == ("a", "b")


@pytest.mark.parametrize("is_lease_over", [False, True])
def test_crash_counts_though_a_poll_was_lost_before_the_start_was_sent(
    is_lease_over: bool,
):
    cell = make_cell(1)
    cell.scheduler.accept(make_record(0), 0.0)
    orders = cell.plan()
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.execute(orders)
    cell.clock.advance(RETURN_S)
    if is_lease_over:
        cell.execute(cell.scheduler.check_timeouts())
    cell.replace_worker("worker-0")
    assert cell.scheduler.jobs[JOB_ID].tasks()[0].is_suspect


def test_crash_counts_though_the_next_worker_is_listed_before_the_lease_is_over():
    cell = make_cell(1)
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.scheduler.update_registrations([make_entry(5, address="10.0.0.0:80")])
    cell.clock.advance(12.0)
    cell.execute(cell.scheduler.check_timeouts())
    cell.scheduler.remove_gone_workers()
    assert cell.scheduler.jobs[JOB_ID].tasks()[0].is_suspect


def test_worker_that_restarts_under_its_id_counts_as_crashed():
    cell = make_cell(3)
    cell.scheduler.accept(make_record(0), 0.0)
    for number in range(1, 8):
        cell.plan_and_execute()
        cell.clock.advance(0.01)
        worker_id = cell.starts[-1].worker_id
        if not cell.running[worker_id]:
            break
        cell.running[worker_id].clear()
        cell.poll(worker_id, STARTED_MS + number)
        cell.clock.advance(1.0)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert len(cell.starts) == 2


def test_silent_or_draining_worker_is_not_put_down_to_its_runs():
    cell = make_cell(3)
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    worker_id = cell.starts[-1].worker_id
    cell.scheduler.mark_worker_unresponsive(worker_id)
    cell.clock.advance(2.0)
    cell.poll(worker_id)
    draining = [
        make_entry(index, state=WorkerState.DRAINING, address=entry.address)
        for index, entry in enumerate(cell.entries)
    ]
    cell.scheduler.update_registrations(draining)
    cell.replace_worker(worker_id)
    assert not any(task.is_suspect for task in cell.scheduler.jobs[JOB_ID].tasks())


def test_run_that_had_lasted_is_not_suspected_beside_one_that_has_just_started():
    cell = make_cell(1)
    cell.scheduler.accept(make_record(1), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    cell.poll_all()
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    cell.run_deadly_tasks()
    jobs = cell.scheduler.jobs
    assert jobs[JOB_ID].tasks()[0].is_suspect
    assert not jobs[make_record(1).job_id].tasks()[0].is_suspect


def test_task_that_crashes_workers_late_is_given_up_after_three_workers():
    cell = make_cell(6)
    cell.scheduler.accept(make_record(0), 0.0)
    for _ in range(10):
        cell.plan_and_execute()
        cell.clock.advance(2.0)
        for entry in cell.entries:
            if not any(
                task.step.job_id == JOB_ID for task, _ in cell.running[entry.worker_id]
            ):
                continue
            cell.poll(entry.worker_id)
        cell.run_deadly_tasks()
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert cell.crash_count <= 3


def test_crashes_that_are_confirmed_out_of_order_are_all_counted():
    cell = make_cell(6)
    cell.scheduler.accept(make_record(0), 0.0)
    crashed: list[str] = []
    for _ in range(3):
        cell.plan_and_execute()
        crashed.append(cell.starts[-1].worker_id)
        cell.running[crashed[-1]].clear()
        cell.clock.advance(0.01)
        cell.scheduler.mark_worker_unresponsive(crashed[-1])
        cell.clock.advance(8.0)
        cell.execute(cell.scheduler.check_timeouts())
    for worker_id in reversed(crashed):
        cell.replace_worker(worker_id)
    assert len(set(crashed)) == 3
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED


@pytest.mark.parametrize("is_registered_first", [True, False])
def test_planned_restart_under_the_same_id_is_no_crash(is_registered_first: bool):
    cell = make_cell(1)
    cell.scheduler.accept(make_record(0), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    cell.poll_all()
    draining = make_entry(0, state=WorkerState.DRAINING)
    cell.scheduler.update_registrations([draining])
    cell.poll_all()
    cell.running[draining.worker_id].clear()
    if is_registered_first:
        cell.scheduler.update_registrations(cell.entries)
    cell.poll(draining.worker_id, STARTED_MS + 1)
    assert not any(task.is_suspect for task in cell.scheduler.jobs[JOB_ID].tasks())


def test_late_crash_is_not_put_down_to_a_job_that_has_just_started():
    cell = make_cell(1)
    cell.scheduler.accept(make_record(0), 0.0)
    for number in range(1, 12):
        cell.plan_and_execute()
        cell.clock.advance(1.0)
        cell.poll_all()
        cell.scheduler.accept(make_record(number), 0.0)
        cell.plan_and_execute()
        cell.run_deadly_tasks()
        cell.clock.advance(1.0)
    assert cell.scheduler.jobs[JOB_ID].state is JobState.FAILED
    assert cell.crash_count <= MAX_CRASHED_WORKERS


def test_crash_of_a_run_that_a_new_owner_inherits_is_counted():
    cell = make_cell(2)
    cell.scheduler.recover(make_record(0), None, 0.0)
    task = cell.scheduler.jobs[JOB_ID].tasks()[0]
    worker_id = cell.entries[0].worker_id
    lease_ends_s = cell.clock.now() + 5.0
    cell.scheduler.restore_runs(worker_id, [(task.name, 1)], lease_ends_s)
    cell.running[worker_id][task.name, 1] = ""
    cell.run_deadly_tasks()
    assert cell.crash_count == 1
    assert task.is_suspect


def test_crash_between_two_owners_is_counted_though_the_worker_keeps_its_id():
    cell = make_cell(2)
    cell.scheduler.recover(make_record(0), None, 0.0)
    task = cell.scheduler.jobs[JOB_ID].tasks()[0]
    worker_id = cell.entries[0].worker_id
    ends_s = cell.clock.now() + 5.0
    cell.scheduler.restore_runs(worker_id, [(task.name, 1)], ends_s, STARTED_MS)
    cell.clock.advance(0.01)
    cell.poll(worker_id, STARTED_MS + 1)
    assert task.is_suspect
