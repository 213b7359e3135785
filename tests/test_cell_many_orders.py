"""Tests of many orders at once, which share a processor and a link."""

from __future__ import annotations

import asyncio

from tests.dispatcher_builders import (
    STAGE_S,
    STAGES_PER_CALL,
    BusyDispatcher,
)
from tests.virtual_loop import run_with_virtual_clock

CALL_S = STAGES_PER_CALL * STAGE_S
"""Seconds of the processor that a call takes."""


def test_starts_of_all_tasks_of_a_large_cell_at_once_do_not_all_time_out():
    async def main() -> None:
        busy = BusyDispatcher(36, 90, 40)
        await busy.poll_workers()
        busy.send_starts()
        await asyncio.sleep(1.2 * len(busy.starts) * CALL_S)
        assert set(busy.client.started_tasks.values()) == {1}
        assert len(busy.client.started_tasks) == len(busy.starts)
        busy.stop()

    run_with_virtual_clock(main())


def test_starts_of_silent_workers_do_not_hold_up_the_others_for_long():
    async def main() -> None:
        busy = BusyDispatcher(2, 4, 50)
        await busy.poll_workers()
        busy.client.silent_ids.add("worker-0")
        silent = [order for order in busy.starts if order.worker_id == "worker-0"]
        others = [order for order in busy.starts if order.worker_id != "worker-0"]
        assert len(silent) > 70
        assert len(others) > 70
        busy.starts = silent + others
        busy.send_starts()
        await asyncio.sleep(0.3 * (1 + len(silent) // 64) + 0.1)
        assert len(busy.client.started_tasks) == len(others)
        busy.stop()

    run_with_virtual_clock(main())


def test_stops_of_all_tasks_of_a_large_cell_at_once_do_not_all_time_out():
    async def main() -> None:
        busy = BusyDispatcher(36, 90, 40)
        await busy.poll_workers()
        busy.send_starts()
        await asyncio.sleep(1.2 * len(busy.starts) * CALL_S)
        busy.send_stops()
        await asyncio.sleep(1.2 * len(busy.starts) * CALL_S)
        assert set(busy.client.stopped_tasks.values()) == {1}
        assert len(busy.client.stopped_tasks) == len(busy.starts)
        busy.stop()

    run_with_virtual_clock(main())


def test_stops_of_silent_workers_do_not_hold_up_the_others_for_long():
    async def main() -> None:
        busy = BusyDispatcher(2, 4, 50)
        await busy.poll_workers()
        busy.send_starts()
        await asyncio.sleep(1.0)
        busy.client.silent_ids.add("worker-0")
        busy.starts.sort(key=lambda order: order.worker_id)
        silent = sum(order.worker_id == "worker-0" for order in busy.starts)
        busy.send_stops()
        await asyncio.sleep(0.3 * (1 + silent // 64) + 0.1)
        assert len(busy.client.stopped_tasks) == len(busy.starts) - silent
        busy.stop()

    run_with_virtual_clock(main())
