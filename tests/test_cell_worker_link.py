"""Tests how a link polls its worker, also while replies of the worker are lost."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiadale.cell.reply_loss_tracker import (
    LOSS_MEMORY_S,
    SHORT_POLL_WAIT_S,
    ReplyLossTracker,
)
from fuchsiadale.cell.worker_clock import lease_expiry_delay_s
from fuchsiadale.cell.worker_link import MAX_START_ATTEMPTS, POLL_WAIT_S
from fuchsiadale.decision.workflow.messages import (
    EndKind,
    ReportedEnd,
    StartOutcome,
    StartRun,
    StopRun,
)
from fuchsiadale.decision.workflow.names import StepName, TaskName
from fuchsiadale.ports.task_workers import (
    StartAnswer,
    StartRequest,
    WorkerAddress,
)
from tests.link_builders import (
    FakeWorker,
    LinkFixture,
    RestartingWorker,
    SilentlyRestartingWorker,
)
from tests.virtual_loop import run_with_virtual_clock


def test_polls_are_shortened_for_a_while_after_a_lost_reply():
    async def main() -> None:
        reply_losses = ReplyLossTracker()
        fixture = LinkFixture(reply_losses)
        await asyncio.sleep(2.0)
        assert fixture.worker.poll_waits_s[-1] == POLL_WAIT_S
        reply_losses.record_loss()
        await asyncio.sleep(POLL_WAIT_S + 0.1)
        assert fixture.worker.poll_waits_s[-1] == SHORT_POLL_WAIT_S
        await asyncio.sleep(LOSS_MEMORY_S)
        assert fixture.worker.poll_waits_s[-1] == POLL_WAIT_S

    run_with_virtual_clock(main())


def test_polls_of_many_workers_are_not_shortened_after_a_lost_reply():
    async def main() -> None:
        reply_losses = ReplyLossTracker()
        reply_losses.worker_count = 176
        reply_losses.record_loss()
        assert reply_losses.limit_wait_s(POLL_WAIT_S) == POLL_WAIT_S

    run_with_virtual_clock(main())


def test_worker_that_replies_again_is_reported_within_half_a_second():
    async def main() -> None:
        fixture = LinkFixture(ReplyLossTracker())
        await asyncio.sleep(2.0)
        fixture.worker.is_unresponsive = True
        await asyncio.sleep(3.0)
        assert fixture.unresponsive_count > 0
        assert fixture.last_failure == "no_answer"
        assert not fixture.was_closed
        fixture.worker.is_unresponsive = False
        resumed_s = asyncio.get_running_loop().time()
        await asyncio.sleep(2.0)
        first_report_s = next(
            time_s for time_s in fixture.report_times_s if time_s > resumed_s
        )
        assert first_report_s - resumed_s < 0.5

    run_with_virtual_clock(main())


def test_leases_expire_while_worker_is_unresponsive_and_are_renewed_when_it_replies():
    async def main() -> None:
        fixture = LinkFixture(ReplyLossTracker())
        await asyncio.sleep(2.0)
        fixture.worker.is_unresponsive = True
        await asyncio.sleep(POLL_WAIT_S + lease_expiry_delay_s(6.0) + 1.0)
        assert max(fixture.lease_expiries_s) < asyncio.get_running_loop().time()
        fixture.worker.is_unresponsive = False
        await asyncio.sleep(2.0)
        assert max(fixture.lease_expiries_s) > asyncio.get_running_loop().time()

    run_with_virtual_clock(main())


TASK = TaskName(StepName("0" * 16, 0, 0), 0)


@pytest.mark.parametrize("kind", [EndKind.DONE, EndKind.FAILED])
def test_end_after_a_restart_is_read_though_a_higher_number_was_acknowledged(
    kind: EndKind,
):
    async def main() -> None:
        worker = RestartingWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(2.0)
        fixture.link.acknowledge(57)
        await asyncio.sleep(2.0)
        worker.started_ms = 0
        await asyncio.sleep(0.8)
        assert fixture.was_closed
        worker.started_ms, worker.ends = 2, (ReportedEnd(1, TASK, 1, kind, ""),)
        await asyncio.sleep(0.5)
        report = next(report for report in fixture.reports if report.started_ms == 2)
        assert [end.sequence_number for end in report.ended] == [1]

    run_with_virtual_clock(main())


def test_link_sends_orders_while_the_owner_may_act():
    async def main() -> None:
        fixture = LinkFixture(ReplyLossTracker())
        await asyncio.sleep(0.1)
        start = StartRun("worker", TASK, 1, "text", "", "")
        assert await fixture.link.start(start) is StartOutcome.STARTED
        assert await fixture.link.stop(StopRun("worker", TASK, 1, "preempted"))
        assert fixture.worker.started == [TASK]
        assert fixture.worker.stopped == [TASK]

    run_with_virtual_clock(main())


def test_link_sends_nothing_and_extends_no_lease_once_the_owner_may_not_act():
    async def main() -> None:
        fixture = LinkFixture(ReplyLossTracker())
        await asyncio.sleep(2.0)
        fixture.may_act = False
        await asyncio.sleep(1.0)
        polls, leases = len(fixture.worker.poll_waits_s), len(fixture.lease_expiries_s)
        start = StartRun("worker", TASK, 1, "text", "", "")
        assert await fixture.link.start(start) is StartOutcome.UNKNOWN
        assert not await fixture.link.stop(StopRun("worker", TASK, 1, "preempted"))
        await asyncio.sleep(5.0)
        assert fixture.worker.started == []
        assert fixture.worker.stopped == []
        assert len(fixture.worker.poll_waits_s) == polls
        assert len(fixture.lease_expiries_s) == leases
        assert fixture.unresponsive_count == 0

    run_with_virtual_clock(main())


class UnansweredStarts(FakeWorker):
    """Worker client that leaves starts unanswered, and keeps the leases they grant."""

    def __init__(self) -> None:
        super().__init__()
        self.lease_ends_ms: list[int] = []

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Time out."""
        self.lease_ends_ms.append(request.lease_end_ms)
        await asyncio.sleep(timeout_s)
        return StartAnswer(StartOutcome.UNKNOWN)


def test_repeated_start_does_not_put_off_when_its_run_counts_as_gone():
    async def main() -> None:
        worker = UnansweredStarts()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(2.0)
        order = StartRun("worker", TASK, 1, "", "", "")
        assert await fixture.link.start(order) is StartOutcome.UNKNOWN
        assert len(worker.lease_ends_ms) > 1
        assert len(set(worker.lease_ends_ms)) == 1

    run_with_virtual_clock(main())


@pytest.mark.parametrize("is_busy", [False, True])
@pytest.mark.parametrize("order", ["start", "stop"])
def test_restart_that_an_order_finds_is_learnt_only_after_the_poll_has_timed_out(
    order: str, is_busy: bool
):
    async def main() -> None:
        worker = SilentlyRestartingWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        fixture.link.is_busy = is_busy
        await asyncio.sleep(2.5)
        worker.started_ms = 2
        if order == "start":
            start = StartRun("worker", TASK, 1, "", "", "")
            assert await fixture.link.start(start) is StartOutcome.RESTARTED
        else:
            assert not await fixture.link.stop(StopRun("worker", TASK, 1, ""))
        assert fixture.last_failure == "restarted"
        await asyncio.sleep(0.3)
        assert fixture.reports[-1].started_ms == 2
        assert worker.started == worker.stopped == []
        assert await fixture.link.stop(StopRun("worker", TASK, 1, ""))

    run_with_virtual_clock(main())


class UnidentifiedWorker(FakeWorker):
    """Worker client that sends a start only after some attempts.

    Attributes
    ----------
    unsent_starts : int
        Number of starts that are not sent before one is.
    """

    unsent_starts = 0

    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start a run, unless the order is not sent."""
        if self.unsent_starts:
            self.unsent_starts -= 1
            await asyncio.sleep(timeout_s)
            return StartAnswer(StartOutcome.NOT_SENT)
        return await super().start(worker, request, timeout_s)


@pytest.mark.parametrize(
    ("unsent_starts", "outcome"),
    [(2, StartOutcome.STARTED), (MAX_START_ATTEMPTS, StartOutcome.UNHEALTHY)],
)
def test_start_that_was_not_sent_is_given_up_at_once(
    unsent_starts: int, outcome: StartOutcome
):
    async def main() -> None:
        worker = UnidentifiedWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(2.0)
        worker.unsent_starts = unsent_starts
        order = StartRun("worker", TASK, 1, "", "", "")
        assert await fixture.link.start(order) is outcome

    run_with_virtual_clock(main())


def test_start_that_was_placed_on_a_former_incarnation_is_not_sent():
    async def main() -> None:
        worker = RestartingWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(0.1)
        worker.started_ms = 2
        await asyncio.sleep(2.0)
        assert fixture.link.started_ms == 2
        task = TaskName(StepName("0" * 16, 0, 0), 0)
        order = StartRun("worker", task, 1, "", "", "", started_ms=1)
        assert await fixture.link.start(order) is StartOutcome.RESTARTED
        assert worker.started == []
        order = StartRun("worker", task, 2, "", "", "", started_ms=2)
        assert await fixture.link.start(order) is StartOutcome.STARTED
        fixture.task.cancel()

    run_with_virtual_clock(main())
