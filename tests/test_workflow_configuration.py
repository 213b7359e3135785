"""Accepted jobs while the configuration changes."""

from __future__ import annotations

import msgpack
import pytest

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import (
    CellConfiguration,
    Queue,
)
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.decision.workflow.messages import EndKind
from fuchsiadale.decision.workflow.specification import JobRecord
from tests.workflow_builders import (
    POOL,
    Cell,
    make_configuration,
    make_entry,
    make_queue,
    make_record,
    make_step,
)

OTHER_POOL = "other-pool"
OTHER_QUEUE = make_queue("other", pool=OTHER_POOL)


def make_cell_with_two_pools() -> Cell:
    """Return a cell with a worker in each of two pools and a job that is accepted."""
    cell = Cell(0)
    cell.entries = [make_entry(0), make_entry(1, pool=OTHER_POOL)]
    cell.adopt_workers()
    step = make_step(1, is_checkpointing=True)
    cell.scheduler.accept(make_record(0, step, make_step(1, after=(0,))), 0.0)
    return cell


def test_accepted_job_is_not_lost_when_its_queue_is_removed():
    cell = make_cell_with_two_pools()
    cell.scheduler.apply_configuration(make_configuration(OTHER_QUEUE, version=2))
    for _ in range(2):
        cell.plan_and_execute()
        cell.end_all_runs()
    assert [order.worker_id for order in cell.starts] == ["worker-0", "worker-0"]
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.COMPLETED


def test_job_of_a_removed_queue_fails_after_its_last_attempt():
    cell = make_cell_with_two_pools()
    cell.scheduler.apply_configuration(make_configuration(OTHER_QUEUE, version=2))
    for _ in range(5):
        cell.plan_and_execute()
        cell.end_all_runs(EndKind.FAILED)
    assert len(cell.starts) == make_queue().max_attempts
    assert cell.scheduler.jobs[make_record().job_id].state is JobState.FAILED


def test_run_of_a_removed_queue_is_preempted_for_urgent_work():
    cell = Cell(1, make_configuration(make_queue(priority=2), make_queue("urgent")))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4, is_checkpointing=True)), 0.0)
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    urgent_only = make_configuration(make_queue("urgent"), version=2)
    cell.scheduler.apply_configuration(urgent_only)
    cell.scheduler.accept(make_record(1, queue="urgent"), 0.0)
    cell.plan_and_execute()
    assert len(cell.stops) == 1


@pytest.mark.parametrize(
    ("last_pools", "worker_id"),
    [((OTHER_POOL,), "worker-1"), ((OTHER_POOL, POOL), "worker-0")],
)
def test_job_of_a_removed_queue_uses_the_last_definition_of_its_queue(
    last_pools: tuple[str, ...], worker_id: str
):
    cell = make_cell_with_two_pools()
    for version, pool in enumerate(last_pools, 2):
        changed = make_configuration(make_queue(pool=pool), version=version)
        cell.scheduler.apply_configuration(changed)
    cell.scheduler.apply_configuration(make_configuration(OTHER_QUEUE, version=9))
    cell.plan_and_execute()
    assert [order.worker_id for order in cell.starts] == [worker_id]


def test_job_of_a_queue_that_is_added_again_uses_the_new_definition():
    cell = make_cell_with_two_pools()
    cell.scheduler.apply_configuration(make_configuration(OTHER_QUEUE, version=2))
    restored = make_configuration(make_queue(pool=OTHER_POOL), version=3)
    cell.scheduler.apply_configuration(restored)
    cell.plan_and_execute()
    assert [order.worker_id for order in cell.starts] == ["worker-1"]


def test_limit_of_a_removed_workspace_still_bounds_its_accepted_jobs():
    one_task = Resources(1000, 1 << 30, 1 << 30)
    cell = Cell(2, make_configuration(limit=one_task))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(4)), 0.0)
    cell.plan_and_execute()
    without_workspace = CellConfiguration(2, (make_queue(),), ())
    cell.scheduler.apply_configuration(without_workspace)
    cell.plan_and_execute()
    assert len(cell.starts) == 1


@pytest.mark.parametrize(
    ("queue", "reason"),
    [
        (make_queue("another"), "queue_unknown"),
        (make_queue(pool=OTHER_POOL), "no_worker_in_pool"),
    ],
)
def test_job_whose_queue_or_pool_is_unknown_is_logged_once(queue: Queue, reason: str):
    cell = Cell(1, make_configuration(queue))
    cell.adopt_workers()
    cell.scheduler.accept(make_record(), 0.0)
    cell.scheduler.decisions.pop_all()
    for _ in range(2):
        cell.plan_and_execute()
        cell.scheduler.report_blocked_jobs()
    decisions, _ = cell.scheduler.decisions.pop_all()
    assert [(item.kind, item.inputs["reason"]) for item in decisions] == [
        ("job_blocked", reason)
    ]


def test_job_that_waits_for_room_is_not_logged_as_blocked():
    cell = Cell(1)
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(9)), 0.0)
    cell.plan_and_execute()
    cell.scheduler.decisions.pop_all()
    cell.scheduler.report_blocked_jobs()
    assert cell.scheduler.decisions.pop_all() == ([], 0)


def test_job_stored_without_the_definition_of_its_queue_stays_readable():
    fields = msgpack.unpackb(encode(make_record()))
    del fields["queue_definition"]
    assert decode(msgpack.packb(fields), JobRecord).unwrap() == make_record()
