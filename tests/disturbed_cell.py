"""A cell in memory that is disturbed by chance, for tests of its configuration."""

from __future__ import annotations

import asyncio
from random import Random

from attrs import Factory, define

from tests.memory_cell import MemoryCell
from tests.virtual_loop import pause
from tests.workflow_builders import make_configuration, make_queue


@define
class DisturbedCell:
    """Disturbs a cell by chance and checks versions and ages of its processes.

    Attributes
    ----------
    cell : MemoryCell
        The cell.
    random : Random
        Draws the disturbances.
    stored_s : dict of int to float
        When each version was stored.
    highest_versions : dict of str to int
        Highest version that each process has had.
    """

    cell: MemoryCell
    random: Random
    stored_s: dict[int, float] = Factory(dict)
    highest_versions: dict[str, int] = Factory(dict)

    async def run(self, duration_s: float) -> None:
        """Disturb the cell and check it for some time."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + duration_s
        while loop.time() < ends_s:
            self._disturb()
            for _ in range(self.random.randint(1, 30)):
                await asyncio.sleep(0.05)
                self._check()

    def _disturb(self) -> None:
        address = self.random.choice(list(self.cell.daemons))
        source = self.cell.remote_sources[address]
        kind = self.random.randrange(6)
        if kind == 0:
            version = self.cell.configuration_source.configuration.version + 1
            configuration = make_configuration(make_queue(), version=version)
            self.cell.configuration_source.configuration = configuration
            self.stored_s[version] = asyncio.get_running_loop().time()
        elif kind == 1:
            source.transfer_s = self.random.choice([0.0, 0.3, 2.0, 6.0])
        elif kind == 2:
            source.is_down = not source.is_down
        elif kind == 3:
            self.cell.silent ^= {address}
        elif kind == 4:
            pause(self.random.uniform(0.5, 4.0))
        else:
            store = self.cell.stores[address]
            store.is_silent = not store.is_silent

    def _check(self) -> None:
        """Check that versions never fall and that no later version is ignored."""
        now_s = asyncio.get_running_loop().time()
        for address, daemon in self.cell.daemons.items():
            watch = daemon._configuration
            if watch.current is None:
                continue
            version = watch.current.version
            assert version >= self.highest_versions.get(address, 0)
            self.highest_versions[address] = version
            superseded_s = self.stored_s.get(version + 1)
            if superseded_s is not None:
                assert watch.age_s >= now_s - superseded_s
