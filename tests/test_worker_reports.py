"""Reports of workers that list only a part of their runs."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.messages import WorkerReport
from fuchsiadale.platform.http import Reply
from fuchsiadale.platform.worker_api import PlatformWorkerClient
from fuchsiadale.ports.task_workers import PollRequest, WorkerAddress
from tests.test_platform_adapter import FakeWorkerConnections
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import STARTED_MS, Cell, make_entry, make_record, make_step

WORKER = WorkerAddress("worker-0", "10.0.0.9:80")


def make_report_body(ends: int) -> dict[str, object]:
    job_id = make_record().job_id
    finished = [
        [number, f"{job_id}.0.0.{number}", 1, "done", ""]
        for number in range(1, ends + 1)
    ]
    return {"clock_ms": 5, "born": STARTED_MS, "running": [], "finished": finished}


def poll_report(body: dict[str, object]) -> WorkerReport:
    """Return the report that a client decodes from a worker's answer."""

    async def main() -> WorkerReport:
        workers = PlatformWorkerClient(FakeWorkerConnections(Reply(200, body)))  # type: ignore[arg-type]
        polled = await workers.poll(WORKER, PollRequest(486000, 7, 57, 1.0), 2.0)
        return polled.unwrap()

    return run_with_virtual_clock(main())


def test_task_does_not_run_again_when_its_end_is_beyond_the_listed_ones():
    cell = Cell(1)
    cell.entries = [make_entry(0, capacity=Resources(1 << 20, 1 << 20, 0))]
    cell.adopt_workers()
    cell.scheduler.accept(make_record(0, make_step(502, 1)), 0.0)
    cell.plan_and_execute()
    assert len(cell.starts) == 502
    cell.clock.advance(1.0)
    sent_s = cell.clock.now()
    cell.scheduler.process_report(
        "worker-0", poll_report(make_report_body(500)), sent_s
    )
    cell.plan_and_execute()
    assert len(cell.starts) == 502
    assert len(cell.scheduler.workers["worker-0"].runs) == 2


@pytest.mark.parametrize(("ends", "is_complete"), [(499, True), (500, False)])
def test_report_with_a_full_list_of_ends_is_incomplete(ends: int, is_complete: bool):
    assert poll_report(make_report_body(ends)).is_complete is is_complete
