"""Tests of the record of past use in the store, from one owner to the next."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiadale.cell.past_use_keeper import (
    PAST_USE_KEY,
    PAST_USE_TABLE,
    RECORD_INTERVAL_S,
)
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.past_use import UseRecord
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.hold_back import PastUseSettings
from tests.committer_setup import CommitterSetup
from tests.row_store import CLOCK_OFFSET_S
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import WORKSPACE

SETTINGS = PastUseSettings(half_life_s=600.0, max_hold_s=30.0)
HELD = {WORKSPACE: Resources(1000, 100, 0), "other": Resources(0, 100, 0)}
WEIGHTS = {WORKSPACE: 1.0, "other": 1.0}
TOTAL = Resources(4000, 4000, 0)


def make_setup(settings: PastUseSettings = SETTINGS) -> CommitterSetup:
    """Return a committer whose cell has used resources for ten minutes."""
    setup = CommitterSetup(settings)
    past_use = setup.cell.scheduler.hold_back.past_use
    past_use.advance({}, WEIGHTS, TOTAL, 0.0)
    past_use.advance(HELD, WEIGHTS, TOTAL, 600.0)
    return setup


def count_records(setup: CommitterSetup) -> int:
    """Return how often past use was recorded."""
    return sum(write.table == PAST_USE_TABLE for write in setup.store.applied_writes)


def test_use_is_recorded_every_few_seconds_and_read_by_the_next_owner() -> None:
    async def main() -> None:
        setup = make_setup()
        task = asyncio.create_task(setup.past_use_keeper.run())
        await asyncio.sleep(4 * RECORD_INTERVAL_S + 1.0)
        task.cancel()
        assert count_records(setup) == 4
        recorded = setup.cell.scheduler.hold_back.past_use.use_share_s(WORKSPACE, TOTAL)
        successor = CommitterSetup(SETTINGS)
        for write in setup.store.applied_writes:
            if write.table == PAST_USE_TABLE:
                successor.store.put(write.table, write.key, write.value or b"")
        await asyncio.sleep(600.0)
        task = asyncio.create_task(successor.past_use_keeper.run())
        await asyncio.sleep(1.0)
        restored = successor.cell.scheduler.hold_back.past_use
        share_s = restored.use_share_s(WORKSPACE, TOTAL)
        assert share_s == pytest.approx(recorded / 2, rel=0.02)
        task.cancel()

    run_with_virtual_clock(main())


def test_lost_record_is_written_with_the_next_commit() -> None:
    async def main() -> None:
        setup = make_setup()
        task = asyncio.create_task(setup.past_use_keeper.run())
        await asyncio.sleep(RECORD_INTERVAL_S - 0.1)
        setup.store.is_down = True
        await asyncio.sleep(1.0)
        assert count_records(setup) == 0
        setup.store.is_down = False
        await asyncio.sleep(1.0)
        assert count_records(setup) == 1
        task.cancel()

    run_with_virtual_clock(main())


def test_record_that_cannot_be_read_yet_is_not_replaced() -> None:
    async def main() -> None:
        setup = make_setup()
        now_ms = round(1000 * (asyncio.get_running_loop().time() + CLOCK_OFFSET_S))
        record = UseRecord(now_ms, {"earlier": [5.0, 0.0, 0.0]})
        setup.store.put(PAST_USE_TABLE, PAST_USE_KEY, encode(record))
        setup.store.is_down = True
        task = asyncio.create_task(setup.past_use_keeper.run())
        await asyncio.sleep(6.0)
        setup.store.is_down = False
        await asyncio.sleep(RECORD_INTERVAL_S + 2.0)
        written = setup.store.applied_writes[-1]
        writes = [w for w in setup.store.applied_writes if w.table == PAST_USE_TABLE]
        written = decode(writes[-1].value or b"", as_type=UseRecord).unwrap()
        assert set(written.use) == {"earlier", WORKSPACE, "other"}
        task.cancel()

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    "value", [b"\xc1", encode({"use": {"a": "b"}}), b"\x78rubbish"]
)
def test_unreadable_record_is_replaced(value: bytes) -> None:
    async def main() -> None:
        setup = make_setup()
        setup.store.put(PAST_USE_TABLE, PAST_USE_KEY, value)
        task = asyncio.create_task(setup.past_use_keeper.run())
        await asyncio.sleep(RECORD_INTERVAL_S + 1.0)
        assert count_records(setup) == 2
        task.cancel()

    run_with_virtual_clock(main())


def test_heavy_workspaces_are_shown_on_the_metrics_address_while_owning() -> None:
    async def main() -> None:
        setup = make_setup()
        task = asyncio.create_task(setup.past_use_keeper.run())
        await asyncio.sleep(RECORD_INTERVAL_S + 1.0)
        shown = f'past_use_heaviness{{workspace="{WORKSPACE}"}}'
        assert shown in setup.metrics.render().decode()
        task.cancel()
        await asyncio.sleep(0.1)
        assert shown not in setup.metrics.render().decode()

    run_with_virtual_clock(main())


def test_store_is_neither_read_nor_written_where_past_use_does_not_count() -> None:
    async def main() -> None:
        setup = make_setup(PastUseSettings())
        setup.store.is_down = True
        await setup.past_use_keeper.run()
        assert setup.past_use_keeper.list_writes() == []

    run_with_virtual_clock(main())
