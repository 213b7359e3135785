"""Random faults of processes, store and links, under which no task may run twice."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.codec import encode
from tests.leased_cell import LeasedCell
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_record, make_step

TASKS = 8
WORKERS = 6
FAULTS = 8
RECOVERY_S = 40.0
"""Seconds after the last fault within which all tasks run."""


class LeaseModel:
    """A cell with tasks that last, and faults drawn from a seed, which may overlap."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.cell = LeasedCell(WORKERS)
        self.started = 0

    async def run(self) -> None:
        """Inject faults, end them, and wait until all tasks should run."""
        step = make_step(TASKS, is_lasting=True, estimated_s=0.0)
        record = make_record(0, step)
        self.cell.store.put(JOB_TABLE, record.job_id, encode(record))
        for _ in range(self.random.randint(2, 7)):
            await self._add_process()
        await asyncio.sleep(6.0)
        faults = []
        for _ in range(FAULTS):
            kind = self.random.choice(
                (
                    self._cut_island,
                    self._cut_island,
                    self._replace_machine,
                    self._kill_processes,
                    self._take_store_down,
                    self._cut_from_workers,
                    self._refuse_some,
                )
            )
            faults.append(asyncio.create_task(kind(self.random.uniform(0.5, 12.0))))
            await asyncio.sleep(self.random.uniform(0.1, 5.0))
        await asyncio.gather(*faults)
        await asyncio.sleep(RECOVERY_S)

    async def _add_process(self) -> None:
        self.started += 1
        fitness = self.random.choice((0.5, 1.0, 1.0))
        await self.cell.start_process(f"node:{self.started}", fitness)

    def _draw_processes(self) -> list[str]:
        """Return some processes, mostly with the owner among them."""
        addresses = sorted(self.cell.daemons)
        if not addresses:
            return []
        drawn = self.random.sample(addresses, self.random.randint(1, len(addresses)))
        if self.random.random() < 0.8:
            drawn += [owner for owner in self.cell.owners if owner not in drawn]
        return drawn

    async def _cut_island(self, duration_s: float) -> None:
        """Cut processes off with some workers, which the others do not reach."""
        island = set(self._draw_processes())
        workers = sorted(self.cell.fleet.workers)
        inside = set(self.random.sample(workers, self.random.randint(1, WORKERS - 1)))
        self.cell.island = island
        for address in self.cell.daemons:
            reached = inside if address in island else set(workers) - inside
            self.cell.fleet.reached[address] = reached
            if address in island:
                self.cell.stores[address].is_silent = True
        await asyncio.sleep(duration_s)
        self.cell.island = set()
        self.cell.fleet.reached.clear()
        for store in self.cell.stores.values():
            store.is_silent = False

    async def _replace_machine(self, duration_s: float) -> None:
        """Remove machines for good, and add as many."""
        for address in self._draw_processes()[:2]:
            if address in self.cell.daemons:
                await self.cell.remove_machine(address)
        await asyncio.sleep(duration_s / 4)
        await self._add_process()
        await self._add_process()

    async def _kill_processes(self, duration_s: float) -> None:
        """Kill processes and start them again at their addresses."""
        killed = [a for a in self._draw_processes() if a in self.cell.daemons]
        for address in killed:
            await self.cell.kill_process(address)
        await asyncio.sleep(duration_s / 4)
        for address in killed:
            await self.cell.start_process(address, 1.0)

    async def _take_store_down(self, duration_s: float) -> None:
        self.cell.store.is_down = True
        await asyncio.sleep(duration_s)
        self.cell.store.is_down = False

    async def _cut_from_workers(self, duration_s: float) -> None:
        """Cut a process off from some workers, or all from the same."""
        workers = sorted(self.cell.fleet.workers)
        reached = set(self.random.sample(workers, self.random.randint(1, WORKERS - 1)))
        for address in self._draw_processes():
            self.cell.fleet.reached[address] = reached
        await asyncio.sleep(duration_s)
        self.cell.fleet.reached.clear()

    async def _refuse_some(self, duration_s: float) -> None:
        """Let the store refuse some processes, and serve the others."""
        refused = [self.cell.stores[address] for address in self._draw_processes()]
        for store in refused:
            store.is_refused = True
        await asyncio.sleep(duration_s)
        for store in refused:
            store.is_refused = False


@pytest.mark.parametrize("seed", range(30))
def test_task_runs_twice_or_no_more_after_random_faults_of_owners(seed: int):
    async def main() -> None:
        model = LeaseModel(seed)
        await model.run()
        assert model.cell.fleet.find_overlaps() == []
        present = [s for s in model.cell.fleet.list_spans() if s.end_s is None]
        assert len(present) == TASKS

    run_with_virtual_clock(main())
