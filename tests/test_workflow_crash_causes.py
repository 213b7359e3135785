"""Crashes of deadly tasks, told from those of another cause at the same moment."""

from __future__ import annotations

from tests.test_workflow_crashes import (
    JOB_ID,
    CrashingCell,
    make_cell,
)
from tests.workflow_builders import STARTED_MS, make_entry, make_record

ROUNDS = 15


def count_starts(cell: CrashingCell, job_id: str) -> int:
    """Return the number of starts of a job's tasks."""
    return sum(order.task.step.job_id == job_id for order in cell.starts)


def test_crash_between_two_owners_is_not_excused_by_a_worker_lost_later():
    cell = make_cell(3)
    cell.entries.append(make_entry(9))
    cell.scheduler.update_registrations(cell.entries)
    cell.running["worker-9"] = {}
    cell.scheduler.recover(make_record(0), None, 0.0)
    task = cell.scheduler.jobs[JOB_ID].tasks()[0]
    ends_s = cell.clock.now() + 5.0
    cell.scheduler.restore_runs("worker-9", [(task.name, 1)], ends_s, STARTED_MS)
    cell.scheduler.mark_worker_unresponsive("worker-0")
    cell.clock.advance(0.02)
    cell.poll("worker-9", STARTED_MS + 1)
    assert task.is_suspect
