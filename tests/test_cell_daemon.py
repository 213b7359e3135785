"""Tests of a process while it takes over a cell and while it stops."""

from __future__ import annotations

import asyncio

from fuchsiadale.cell.daemon import CellDaemon
from fuchsiadale.cell.dependencies import CellDependencies
from fuchsiadale.cell.peer_messages import ProcessIdentity
from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.cell.time_bounds import TimeBounds
from tests.memory_cell import MemoryCell
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration, make_queue


def test_process_reports_ownership_before_the_stored_cell_is_loaded():
    async def main() -> None:
        dependencies = CellDependencies(MemoryRowStore(), None, None, None, None)  # type: ignore[arg-type]
        daemon = CellDaemon(
            ProcessIdentity("node", "1:1", fitness=10.0), dependencies, TimeBounds()
        )
        ownership_task = asyncio.create_task(daemon._ownership.run())
        await asyncio.sleep(0.3)
        status = daemon._get_status()
        assert status.is_owner
        assert status.epoch == 1
        assert 0.0 < status.renewed_age_s < 0.3
        assert status.pending is None
        ownership_task.cancel()

    run_with_virtual_clock(main())


def test_new_owner_applies_a_configuration_that_arrives_while_it_reads_the_cell():
    async def main() -> None:
        cell = MemoryCell()
        cell.store.read_latency_s[JOB_TABLE] = 1.0
        daemon = await cell.start_process("1:1", 10.0)
        await asyncio.sleep(0.5)
        assert daemon._get_status().is_owner
        assert daemon._owner is None
        changed = make_configuration(make_queue(), make_queue("new"), version=2)
        cell.configuration_source.configuration = changed
        await asyncio.sleep(5.0)
        assert daemon._configuration.current == changed
        assert daemon._owner is not None
        assert daemon._owner._scheduler.configuration == changed
        await cell.kill_process("1:1")

    run_with_virtual_clock(main())


def test_planned_stop_is_on_time_while_the_store_answers_late():
    async def main() -> None:
        cell = MemoryCell()
        daemon = await cell.start_process("1:1", fitness=1.0)
        await asyncio.sleep(5.0)
        assert cell.owners == ["1:1"]
        cell.stores["1:1"].delay_s = 0.95
        cell.stores["1:1"].loses_answers = True
        loop = asyncio.get_running_loop()
        told_s = loop.time()
        await daemon.begin_shutdown()
        assert loop.time() - told_s <= daemon.bounds.unready_period_s + 0.001
        assert cell.owners == []
        await cell.kill_process("1:1")

    run_with_virtual_clock(main())


def test_process_told_to_stop_while_it_takes_over_leaves_the_cell_to_a_peer():
    async def main() -> None:
        cell = MemoryCell()
        daemon = await cell.start_process("1:1", fitness=1.0)
        cell.stores["1:1"].delay_s = 0.3
        while daemon._renewal is None:
            await asyncio.sleep(0.05)
        await cell.start_process("2:1", fitness=1.0)
        await daemon.begin_shutdown()
        assert cell.owners == ["2:1"]
        for address in list(cell.daemons):
            await cell.kill_process(address)

    run_with_virtual_clock(main())
