"""Tests of the record of teams' past use in the table that entry hosts share."""

from __future__ import annotations

import asyncio

from fuchsiadale.decision.past_use import PastUse
from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.rows import liveness_key, use_key
from fuchsiadale.entry.identity import Identity
from fuchsiadale.entry.use_recorder import USE_RECORD_INTERVAL_S, UseRecorder
from fuchsiadale.ids import RandomIdSource
from fuchsiadale.ports.table import Transaction, Write
from fuchsiadale.standin.table import MemoryTable, PlatformState
from tests.virtual_loop import run_with_virtual_clock

TOTAL = Resources(8000, 8000, 0)
PARTITION = "general.0"


class Host:
    """An entry host that counts the past use of one partition."""

    def __init__(self, state: PlatformState, half_life_s: float = 3600.0) -> None:
        self.table = MemoryTable(state)
        self.identity = Identity("host", "domain", "address", RandomIdSource())
        self.past_use = PastUse(half_life_s)
        self.recorder = UseRecorder(self.table, self.identity, PARTITION, self.past_use)

    async def join(self) -> None:
        """Write the liveness row of the host."""
        write = Write(liveness_key(self.identity.member), b"")
        joined = await self.table.transact(Transaction((write,)))
        self.identity.liveness_version = joined.unwrap().version

    async def use_and_record(self, seconds: float) -> None:
        """Let a team hold half of the processors for some time, then record."""
        weights, held = {"guild": 1.0}, {"guild": Resources(4000, 0, 0)}
        await self.recorder.record_if_due()
        self.past_use.advance({}, weights, TOTAL, 0.0)
        self.past_use.advance(held, weights, TOTAL, seconds)
        await asyncio.sleep(USE_RECORD_INTERVAL_S)
        await self.recorder.record_if_due()


def test_next_owner_of_a_partition_continues_from_the_record() -> None:
    async def main() -> None:
        state = PlatformState()
        first, second = Host(state), Host(state)
        await first.join()
        await first.use_and_record(600.0)
        state.faults.table_down = True
        await second.recorder.record_if_due()
        state.faults.table_down = False
        await second.recorder.record_if_due()
        expected_s = first.past_use.use_share_s("guild", TOTAL)
        assert abs(second.past_use.use_share_s("guild", TOTAL) - expected_s) < 1.0

    run_with_virtual_clock(main())


def test_host_that_was_declared_dead_records_nothing() -> None:
    async def main() -> None:
        state = PlatformState()
        host = Host(state)
        await host.join()
        gone = Write(liveness_key(host.identity.member), None)
        await host.table.transact(Transaction((gone,)))
        await host.use_and_record(600.0)
        assert use_key(PARTITION) not in state.rows

    run_with_virtual_clock(main())


def test_record_is_removed_once_past_use_is_switched_off() -> None:
    async def main() -> None:
        state = PlatformState()
        host = Host(state)
        await host.join()
        await host.use_and_record(600.0)
        assert use_key(PARTITION) in state.rows
        host.past_use.change_half_life(0.0)
        await host.recorder.record_if_due()
        assert use_key(PARTITION) not in state.rows

    run_with_virtual_clock(main())


def test_table_is_not_called_where_past_use_does_not_count() -> None:
    async def main() -> None:
        state = PlatformState()
        host = Host(state, half_life_s=0.0)
        await host.use_and_record(600.0)
        assert state.counts.reads == state.counts.transactions == 0

    run_with_virtual_clock(main())
