"""Random faults of owners beside transactions that take effect seconds late."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from result import Err, Result

from fuchsiadale.ports.rows import RowCondition, RowWrite, StoreFailure
from tests.leased_cell import LeasedCell
from tests.memory_cell import GatedStore
from tests.test_cell_lease_model import TASKS, LeaseModel
from tests.virtual_loop import run_with_virtual_clock

MAX_DELAY_S = 4.0
"""Seconds by which a transaction without an answer takes effect at most."""


class LateStore(GatedStore):
    """Store that answers some transactions of a process not, and applies them late."""

    def __init__(self, cell: LeasedCell, random: Random) -> None:
        super().__init__(cell.store)
        self.random = random
        self.late_share = 0.0
        self._late: set[asyncio.Task[None]] = set()

    async def transact(
        self,
        writes: tuple[RowWrite, ...],
        conditions: tuple[RowCondition, ...] = (),
        timeout_s: float = 1.0,
    ) -> Result[int, StoreFailure]:
        """Apply a transaction now, or late and without an answer."""
        if self.random.random() >= self.late_share:
            return await super().transact(writes, conditions, timeout_s)
        delay_s = self.random.uniform(0.0, MAX_DELAY_S)

        async def apply() -> None:
            await asyncio.sleep(delay_s)
            await self._store.transact(writes, conditions, timeout_s)

        task = asyncio.get_running_loop().create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        await asyncio.sleep(timeout_s)
        return Err(StoreFailure.UNKNOWN)


class LateModel(LeaseModel):
    """A cell with further faults: late, lost and slow answers, and planned stops."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.late_stores: list[LateStore] = []

    async def _add_process(self) -> None:
        store = LateStore(self.cell, self.random)
        self.late_stores.append(store)
        self.cell.stores[f"node:{self.started + 1}"] = store
        await super()._add_process()

    async def _refuse_some(self, duration_s: float) -> None:
        """Inject one of the further faults, or refuse some processes."""
        kind = self.random.choice(
            (
                super()._refuse_some,
                self._apply_late,
                self._lose_answers,
                self._slow_store,
                self._stop_owners,
            )
        )
        await kind(duration_s)

    async def _apply_late(self, duration_s: float) -> None:
        share = self.random.choice((0.2, 0.5, 0.9))
        for store in self.late_stores:
            store.late_share = share
        await asyncio.sleep(duration_s)
        for store in self.late_stores:
            store.late_share = 0.0

    async def _lose_answers(self, duration_s: float) -> None:
        chosen = [self.cell.stores[address] for address in self._draw_processes()]
        for store in chosen:
            store.loses_answers = True
        await asyncio.sleep(duration_s)
        for store in chosen:
            store.loses_answers = False

    async def _slow_store(self, duration_s: float) -> None:
        delay_s = self.random.choice((0.05, 0.2, 0.5, 0.9))
        for store in self.late_stores:
            store.delay_s = store.load_delay_s = delay_s
        await asyncio.sleep(duration_s)
        for store in self.late_stores:
            store.delay_s = store.load_delay_s = 0.0

    async def _stop_owners(self, duration_s: float) -> None:
        for owner in list(self.cell.owners):
            daemon = self.cell.daemons[owner]
            await daemon.begin_shutdown()
            await daemon.stop()
            self.cell.daemons.pop(owner, None)
        await asyncio.sleep(duration_s / 4)
        await self._add_process()


@pytest.mark.parametrize("seed", range(30))
def test_task_runs_twice_or_no_more_after_late_transactions(seed: int):
    async def main() -> None:
        model = LateModel(seed)
        await model.run()
        assert model.cell.fleet.find_overlaps() == []
        present = [s for s in model.cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == TASKS

    run_with_virtual_clock(main())
