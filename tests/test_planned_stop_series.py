"""Tests of series of planned stops, over whole cells in memory."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest
from attrs import define, evolve, field

from fuchsiadale.cell.owner_row import read_owner
from tests.memory_cell import MemoryCell
from tests.virtual_loop import run_with_virtual_clock

FITNESS_VALUES = (2.15, 2.15, 2.0, 1.7, 1.07, 1.07, 1.0, 0.8, 0.516, 0.516, 0.4, 0.3)
"""Fitness of the processes of a cell; as many processes as values."""

SETTLING_S = 6.0
"""Seconds from the start of a cell until the first stop."""

STOP_INTERVAL_S = 0.7
"""Seconds between two planned stops."""

STOP_COUNT = 30
"""Number of planned stops in a series."""

RESTART_DELAY_S = 2.0
"""Seconds from the end of a stopped process until it is started again."""

CONFIGURATION_INTERVAL_S = 0.4
"""Seconds between two changes of the configuration."""

CHECK_INTERVAL_S = 0.01
"""Seconds between two looks at which processes schedule."""

RUN_AGAIN_S = 6.0
"""Seconds after its last run within which a lasting task must run again."""

SLOW_CALL_S = 0.25
"""Seconds after which a slow store answers a call."""

SLOW_LOAD_S = 4.0
"""Seconds that a process on a slow machine needs to read the cell."""

HAND_OVER_S = 1.0
"""Longest time in seconds that a hand-over may take, without reading the cell."""


@define
class OwnerlessSpans:
    """Spans of time in which no process of a cell schedules.

    Attributes
    ----------
    spans_s : list of float
        Durations of the spans in seconds.
    """

    spans_s: list[float] = field(factory=list)

    @property
    def longest_s(self) -> float:
        """Duration of the longest span in seconds."""
        return max(self.spans_s, default=0.0)

    @property
    def total_s(self) -> float:
        """Duration of all spans in seconds."""
        return sum(self.spans_s)


async def start_cell(load_s: Callable[[float], float]) -> MemoryCell:
    """Return a cell with an owner; `load_s` is the time to read it, by fitness."""
    cell = MemoryCell()
    for number, fitness in enumerate(FITNESS_VALUES):
        address = f"{number}:1"
        await cell.start_process(address, fitness)
        cell.stores[address].load_delay_s = load_s(fitness)
    await asyncio.sleep(SETTLING_S)
    assert len(cell.owners) == 1
    return cell


async def stop_and_restart(cell: MemoryCell, address: str) -> None:
    """Stop a process as planned, unless it is stopped, and start it again."""
    daemon = cell.daemons.get(address)
    if daemon is None or daemon.is_leaving:
        return
    await cell.stop_process(address)
    await asyncio.sleep(RESTART_DELAY_S)
    await cell.start_process(address, FITNESS_VALUES[int(address.split(":")[0])])


async def stop_owners_in_series(cell: MemoryCell) -> None:
    """Stop the stored owner again and again, at each third time with its successor."""
    stops = []
    for number in range(STOP_COUNT):
        row = (await read_owner(cell.store)).unwrap().row
        assert row is not None
        addresses = {row.address}
        if number % 3 == 2 and row.address in cell.daemons:
            successor = cell.daemons[row.address]._peers.find_fittest()
            addresses |= set() if successor is None else {successor.address}
        stops += [
            asyncio.create_task(stop_and_restart(cell, address))
            for address in sorted(addresses)
        ]
        await asyncio.sleep(STOP_INTERVAL_S)
    await asyncio.gather(*stops)


async def change_configuration(cell: MemoryCell) -> None:
    """Replace the configuration by a newer version again and again."""
    source = cell.configuration_source
    while True:
        await asyncio.sleep(CONFIGURATION_INTERVAL_S)
        version = source.configuration.version + 1
        source.configuration = evolve(source.configuration, version=version)


async def keep_commits_in_progress(cell: MemoryCell) -> None:
    """Let the owner send a transaction whenever the previous one is answered."""
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        for address in cell.owners:
            owner = cell.daemons[address]._owner
            if owner is not None:
                owner._committer.request_commit()


async def observe_series(cell: MemoryCell) -> OwnerlessSpans:
    """Return the spans without an owner in a series of stops and just after it."""
    loop = asyncio.get_running_loop()
    found, ownerless_since_s = OwnerlessSpans(), None
    configuration_task = asyncio.create_task(change_configuration(cell))
    series = asyncio.create_task(stop_owners_in_series(cell))
    while not series.done() or ownerless_since_s is not None:
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert len(cell.owners) <= 1
        if cell.owners and ownerless_since_s is not None:
            found.spans_s.append(loop.time() - ownerless_since_s)
            ownerless_since_s = None
        elif not cell.owners and ownerless_since_s is None:
            ownerless_since_s = loop.time()
        if ownerless_since_s is not None:
            assert loop.time() - ownerless_since_s < 60.0
    await series
    configuration_task.cancel()
    return found


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("load_s", [0.0, 2.0, 4.0])
def test_series_of_planned_stops_never_leaves_the_cell_without_an_owner_for_long(
    seed: int, load_s: float
):
    """Hand over within a second, beside the time that each process needs to read."""

    async def main() -> None:
        random.seed(seed)
        cell = await start_cell(lambda fitness: load_s)
        found = await observe_series(cell)
        assert found.longest_s < load_s + HAND_OVER_S < RUN_AGAIN_S
        assert found.total_s < len(found.spans_s) * (load_s + HAND_OVER_S)

    run_with_virtual_clock(main())


@pytest.mark.parametrize("seed", range(3))
def test_series_of_planned_stops_of_processes_of_which_the_unfit_read_slowly(
    seed: int,
):
    async def main() -> None:
        random.seed(seed)
        cell = await start_cell(lambda fitness: 0.1 if fitness >= 1.0 else SLOW_LOAD_S)
        found = await observe_series(cell)
        assert found.longest_s < SLOW_LOAD_S + HAND_OVER_S < RUN_AGAIN_S

    run_with_virtual_clock(main())


@pytest.mark.parametrize("seed", range(3))
def test_series_of_planned_stops_beside_commits_in_progress_with_a_slow_store(
    seed: int,
):
    async def main() -> None:
        random.seed(seed)
        cell = await start_cell(lambda fitness: 0.0)
        for store in cell.stores.values():
            store.answer_delay_s = SLOW_CALL_S
        commits = asyncio.create_task(keep_commits_in_progress(cell))
        found = await observe_series(cell)
        commits.cancel()
        assert found.longest_s < RUN_AGAIN_S / 2.0

    run_with_virtual_clock(main())
