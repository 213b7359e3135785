"""Tests that processes learn the configuration from the owner of their cell."""

from __future__ import annotations

import asyncio
import random

import pytest

from fuchsiadale.cell.configuration_exchange import (
    MAX_TRANSFER_S,
    PASSING_BYTES_PER_S,
)
from fuchsiadale.cell.gateway import CallerRequest
from fuchsiadale.cell.peer_messages import ConfigurationView
from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.decision.errors import ErrorKind
from tests.memory_cell import MemoryCell
from tests.slow_configuration import SlowConfigurationSource
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration, make_queue

OWNER, DISTANT = "10.0.0.1:1", "10.0.0.2:1"
BOUNDS = TimeBounds(key_revocation_s=5.0, configuration_s=3.0)
LONG_TRANSFER_S = 6.0
"""Seconds that a link needs for a document, more than the age that is permitted."""


@pytest.fixture(autouse=True)
def _draw_the_same_delays() -> None:
    random.seed(64)


async def start_cell() -> MemoryCell:
    """Start an owner and a process that asks it."""
    cell = MemoryCell()
    cell.bounds = BOUNDS
    await cell.start_process(OWNER, 1.0)
    await asyncio.sleep(1.0)
    await cell.start_process(DISTANT, 0.1)
    await asyncio.sleep(3.0)
    assert cell.owners == [OWNER]
    return cell


async def sample_ages(cell: MemoryCell, duration_s: float) -> list[float]:
    """Return the ages of the configuration of the distant process in a period."""
    watch, ages_s = cell.daemons[DISTANT]._configuration, []
    for _ in range(round(duration_s / 0.1)):
        await asyncio.sleep(0.1)
        ages_s.append(watch.age_s)
    return ages_s


def change_configuration(cell: MemoryCell, version: int) -> None:
    queues = [make_queue(f"queue-{number}") for number in range(version)]
    cell.configuration_source.configuration = make_configuration(
        *queues, version=version
    )


def get_version(cell: MemoryCell, address: str) -> int:
    current = cell.daemons[address]._configuration.current
    return 0 if current is None else current.version


def test_configuration_is_in_force_in_time_though_it_takes_seconds_on_the_link():
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[DISTANT].transfer_s = LONG_TRANSFER_S
        change_configuration(cell, 2)
        await asyncio.sleep(BOUNDS.configuration_s)
        assert get_version(cell, DISTANT) == 2

    run_with_virtual_clock(main())


@pytest.mark.parametrize("gap_s", [0.7, 5.0, 9.0])
def test_calls_are_not_refused_while_changes_take_seconds_on_the_link(gap_s: float):
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[DISTANT].transfer_s = LONG_TRANSFER_S
        ages_s = []
        for version in range(2, 8):
            change_configuration(cell, version)
            ages_s += await sample_ages(cell, gap_s)
        ages_s += await sample_ages(cell, 12.0)
        assert max(ages_s) < BOUNDS.max_ready_staleness_s
        assert get_version(cell, DISTANT) == 7

    run_with_virtual_clock(main())


def test_process_that_the_store_refuses_answers_by_the_owners_configuration():
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[DISTANT].is_down = True
        await asyncio.sleep(2.0)
        change_configuration(cell, 2)
        ages_s = await sample_ages(cell, 10.0)
        assert max(ages_s) < BOUNDS.max_ready_staleness_s
        assert get_version(cell, DISTANT) == 2

    run_with_virtual_clock(main())


def test_owner_with_an_old_configuration_confirms_none():
    async def main() -> None:
        cell = await start_cell()
        for source in cell.remote_sources.values():
            source.is_down = True
        await asyncio.sleep(8.0)
        assert cell.daemons[DISTANT]._configuration.age_s > 7.0
        request = CallerRequest("host", "/proofs/0000000000000000", "key")
        refusal = cell.daemons[DISTANT].gateway._authorize(request).unwrap_err()
        assert refusal.kind is ErrorKind.CONFIG_STALE

    run_with_virtual_clock(main())


def test_version_from_a_peer_is_kept_when_an_older_one_arrives_from_the_store():
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[DISTANT].transfer_s = LONG_TRANSFER_S
        change_configuration(cell, 2)
        await asyncio.sleep(1.0)
        change_configuration(cell, 3)
        await asyncio.sleep(3.0)
        assert get_version(cell, DISTANT) == 3
        await asyncio.sleep(3.0)
        assert get_version(cell, DISTANT) == 3
        assert cell.daemons[DISTANT]._configuration._position is not None

    run_with_virtual_clock(main())


def test_process_on_a_slow_link_passes_its_age_on_and_no_document():
    async def main() -> None:
        cell = await start_cell()
        cell.remote_sources[OWNER].transfer_s = 2.0 * MAX_TRANSFER_S
        change_configuration(cell, 2)
        await asyncio.sleep(2.0 * MAX_TRANSFER_S + 0.6)
        view = cell.daemons[OWNER]._exchange.show(1, wants_content=True)
        assert view is not None
        assert (view.version, view.content) == (2, b"")

    run_with_virtual_clock(main())


def test_documents_are_passed_on_at_a_limited_rate():
    async def main() -> None:
        cell = await start_cell()
        exchange = cell.daemons[OWNER]._exchange
        change_configuration(cell, 300)
        await asyncio.sleep(1.0)
        sent_bytes, views = 0, list[ConfigurationView]()
        began_s = asyncio.get_running_loop().time()
        for _ in range(2000):
            view = exchange.show(1, wants_content=True)
            assert view is not None
            sent_bytes += len(view.content)
            views.append(view)
            await asyncio.sleep(0.0001)
        elapsed_s = asyncio.get_running_loop().time() - began_s
        largest = max(len(view.content) for view in views)
        assert 0 < sent_bytes <= PASSING_BYTES_PER_S * elapsed_s + largest
        assert exchange.show(300, wants_content=True) == ConfigurationView(
            300, cell.daemons[OWNER]._configuration.age_s
        )

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("changes_s", "history_losses_s", "lag_s"),
    [
        ([8.0 + 2.4 * number for number in range(8)], [], 0.0),
        ([10.0, 16.0], [9.0, 12.0, 16.5], 0.0),
        ([10.0, 16.0], [9.0], 3.0),
    ],
    ids=["frequent changes", "lost history", "reads that are behind"],
)
def test_calls_are_not_refused_beside_trouble_and_transfers_of_two_seconds(
    changes_s: list[float], history_losses_s: list[float], lag_s: float
):
    async def main() -> None:
        cell = MemoryCell()
        cell.bounds = BOUNDS
        for address, transfer_s in ((OWNER, 0.1), (DISTANT, 2.0)):
            source = SlowConfigurationSource(transfer_s)
            source.changes_s = changes_s
            source.history_losses_s = history_losses_s
            source.lag_s = source.lag_lasts_s = lag_s
            cell.remote_sources[address] = source
        await cell.start_process(OWNER, 1.0)
        await asyncio.sleep(0.5)
        await cell.start_process(DISTANT, 0.1)
        await asyncio.sleep(2.5)
        assert max(await sample_ages(cell, 27.0)) < BOUNDS.max_key_staleness_s

    run_with_virtual_clock(main())
