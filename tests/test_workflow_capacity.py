"""Workers whose capacity shrinks and grows while they run."""

from __future__ import annotations

from attrs import evolve

from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.workflow.messages import StartRun
from tests.workflow_builders import (
    Cell,
    make_configuration,
    make_queue,
    make_record,
    make_step,
)

FULL = Resources(4000, 4000, 4)
SHRUNK = Resources(2000, 4000, 4)
LEASE_LAPSE_S = 15.0

URGENT = make_queue("urgent", priority=0)
BATCH = make_queue("batch", priority=2, stretch=10.0)


class ShrinkingCell(Cell):
    """A cell that checks each start against the capacity that its worker lists."""

    def set_capacity(self, index: int, capacity: Resources) -> None:
        """List another capacity of a worker."""
        self.entries[index] = evolve(self.entries[index], capacity=capacity)
        self.scheduler.update_registrations(self.entries)

    def execute(self, orders: object) -> None:
        """Execute orders; no start may bring its worker over its capacity."""
        orders = list(orders)  # type: ignore[call-overload]
        super().execute(orders)
        for order in orders:
            if isinstance(order, StartRun):
                self._check_capacity(order.worker_id)

    def _check_capacity(self, worker_id: str) -> None:
        used = NO_RESOURCES
        for task, _ in self.running[worker_id]:
            job = self.scheduler.jobs[task.step.job_id]
            specification = job.record.specification.steps[task.step.step]
            used = used + specification.charged
        entry = next(e for e in self.entries if e.worker_id == worker_id)
        assert used.fits_in(entry.capacity), "started beyond the capacity"


def make_cell(workers: int = 1) -> ShrinkingCell:
    cell = ShrinkingCell(workers, make_configuration(URGENT, BATCH))
    cell.adopt_workers()
    cell.clock.advance(1.0)
    return cell


def accept(cell: Cell, number: int, *steps: object, queue: str = "urgent") -> None:
    cell.scheduler.accept(make_record(number, *steps, queue=queue), 0.0)


def run_rounds(cell: Cell, count: int = 5) -> None:
    for _ in range(count):
        cell.plan_and_execute()
        cell.clock.advance(0.5)
        cell.poll_all()


def test_shrunk_worker_keeps_its_runs_and_starts_none_beyond_its_capacity():
    cell = make_cell()
    accept(cell, 0, make_step(3))
    cell.plan_and_execute()
    cell.set_capacity(0, SHRUNK)
    accept(cell, 1, make_step(2))
    run_rounds(cell)
    assert len(cell.starts) == 3
    assert cell.stops == []
    cell.end_all_runs()
    run_rounds(cell)
    assert len(cell.running["worker-0"]) == 2


def test_worker_that_grows_again_takes_the_waiting_tasks():
    cell = make_cell()
    cell.set_capacity(0, SHRUNK)
    accept(cell, 0, make_step(4))
    run_rounds(cell)
    assert len(cell.starts) == 2
    cell.set_capacity(0, FULL)
    run_rounds(cell)
    assert len(cell.starts) == 4


def test_gang_that_waits_does_not_start_on_room_that_has_shrunk():
    cell = make_cell(2)
    accept(cell, 0, make_step(2, 4000))
    cell.plan_and_execute()
    accept(cell, 1, make_step(2, 3000, is_gang=True))
    cell.plan_and_execute()
    cell.set_capacity(0, SHRUNK)
    cell.end_all_runs()
    run_rounds(cell)
    assert len(cell.starts) == 2
    cell.set_capacity(0, FULL)
    run_rounds(cell)
    assert len(cell.starts) == 4


def test_preemption_frees_what_a_shrunk_worker_has_used_beyond_its_capacity_too():
    cell = make_cell()
    accept(cell, 0, make_step(4, is_checkpointing=True), queue="batch")
    cell.plan_and_execute()
    cell.clock.advance(1.0)
    cell.poll_all()
    cell.set_capacity(0, SHRUNK)
    accept(cell, 1, make_step(1), queue="urgent")
    run_rounds(cell)
    assert len(cell.stops) == 3
    assert cell.starts[-1].task.step.job_id == make_record(1).job_id


def test_worker_reserved_for_a_large_task_starts_it_only_after_it_has_grown():
    cell = make_cell()
    accept(cell, 0, make_step(2))
    cell.plan_and_execute()
    accept(cell, 1, make_step(1, 3500))
    run_rounds(cell, 2)
    cell.set_capacity(0, SHRUNK)
    cell.end_all_runs()
    run_rounds(cell)
    assert len(cell.starts) == 2
    cell.set_capacity(0, FULL)
    run_rounds(cell)
    assert len(cell.starts) == 3


def test_new_owner_starts_nothing_by_the_larger_capacity_that_was_stored():
    cell = ShrinkingCell(1, make_configuration(URGENT, BATCH), epoch=2)
    cell.scheduler.recover(make_record(0, make_step(4), queue="urgent"), None, 0.0)
    cell.scheduler.restore_workers(cell.entries)
    lease_ends_s = cell.clock.now() + LEASE_LAPSE_S
    cell.scheduler.restore_runs("worker-0", (), lease_ends_s)
    cell.running["worker-0"] = {}
    run_rounds(cell)
    assert cell.starts == []
    cell.set_capacity(0, SHRUNK)
    run_rounds(cell)
    assert len(cell.starts) == 2
