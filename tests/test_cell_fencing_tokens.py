"""Tests of the orders of an owner to workers that have restarted under their ids."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.fencing_tokens import TOKENS_PER_EPOCH, FencingTokens
from fuchsiadale.cell.reply_loss_tracker import (
    ReplyLossTracker,
)
from fuchsiadale.cell.worker_clock import longest_lease_delay_s
from fuchsiadale.decision.workflow.messages import (
    StartOutcome,
    StartRun,
)
from fuchsiadale.decision.workflow.names import StepName, TaskName
from tests.link_builders import ClockedWorker, LinkFixture
from tests.virtual_loop import run_with_virtual_clock


def test_lease_on_a_restarted_worker_counts_for_as_long_as_it_had_been_up():
    async def main() -> None:
        worker = ClockedWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(0.2)
        worker.restart()
        await asyncio.sleep(0.2)
        now_s = asyncio.get_running_loop().time()
        assert max(fixture.lease_expiries_s) <= now_s + longest_lease_delay_s(6.0)

    run_with_virtual_clock(main())


def test_report_of_a_restarted_worker_is_used_though_earlier_orders_may_follow():
    async def main() -> None:
        worker = ClockedWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(0.22)
        worker.restart()
        former_token = worker.poll_tokens[-1]
        await asyncio.sleep(0.05)
        assert worker.poll_tokens[-1] == former_token
        assert fixture.reports[-1].started_ms == 1
        await asyncio.sleep(0.05)
        assert worker.poll_tokens[-1] > former_token
        assert fixture.reports[-1].started_ms == 2

    run_with_virtual_clock(main())


def test_worker_cut_off_after_the_first_answer_since_its_restart_holds_a_usual_lease():
    async def main() -> None:
        worker = ClockedWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(0.22)
        worker.restart()
        await asyncio.sleep(0.05)
        assert fixture.reports[-1].started_ms == 1
        now_s = asyncio.get_running_loop().time()
        assert max(fixture.misdated_expiries_s) > now_s + longest_lease_delay_s(5.9)

    run_with_virtual_clock(main())


def test_refusal_of_an_order_that_a_newer_token_has_overtaken_ends_the_ownership():
    async def main() -> None:
        worker = ClockedWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(0.22)
        worker.start_answers.clear()
        task = TaskName(StepName("00", 0, 0), 0)
        order = StartRun("worker", task, 1, "text", "", "")
        start = asyncio.create_task(fixture.link.start(order))
        await asyncio.sleep(0.01)
        worker.restart()
        await asyncio.sleep(0.3)
        worker.start_answers.set()
        assert await start is StartOutcome.FENCED
        assert worker.started == []
        assert fixture.fenced_by == []
        worker.token = fixture.tokens.newest + 1
        await asyncio.sleep(0.1)
        assert fixture.fenced_by == ["worker"]

    run_with_virtual_clock(main())


def test_link_that_lacks_the_newest_token_is_taken_for_that_of_a_former_owner():
    async def main() -> None:
        worker = ClockedWorker()
        fixture = LinkFixture(ReplyLossTracker(), worker)
        await asyncio.sleep(0.22)
        worker.token = fixture.tokens.issue()
        await asyncio.sleep(0.5)
        assert fixture.fenced_by == []
        assert worker.poll_tokens[-1] == fixture.tokens.newest

    run_with_virtual_clock(main())


def test_tokens_of_an_epoch_reach_those_of_the_next_one():
    tokens = FencingTokens(1)
    for _ in range(TOKENS_PER_EPOCH + 1):
        tokens.issue()
    assert tokens.newest < FencingTokens(2).newest
