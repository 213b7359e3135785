"""Tests of how old the known configuration gets before calls are refused as stale."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.time_bounds import TimeBounds
from tests.slow_configuration import SlowConfigurationSource
from tests.virtual_loop import run_with_virtual_clock

MAX_AGE_S = TimeBounds().max_key_staleness_s
"""Age of the configuration, in seconds, above which calls with a key are refused."""

SHORT_TRANSFER_S = 0.02
"""Duration of the transfer of a configuration with few queues, in seconds."""

LONG_TRANSFER_S = 2.0
"""Seconds that 1.2 MB, with 4,240 queues, take on a link of 5 Mbit/s."""

FIRST_READ_S = 3.0
"""Seconds after which a process has read the configuration for the first time."""

OBSERVED_S = 27.0
"""Seconds for which the age is measured from then on."""

SAMPLE_S = 0.02


async def measure_highest_age(source: SlowConfigurationSource) -> float:
    """Return the highest age that the configuration of a process reaches."""
    watch = ConfigurationWatch(source, lambda configuration: None)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(FIRST_READ_S)
    ages_s = []
    for _ in range(round(OBSERVED_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        ages_s.append(watch.age_s)
    task.cancel()
    return max(ages_s)


def test_calls_are_not_refused_as_stale_where_reads_are_answered_and_watches_are_not():
    async def main() -> None:
        source = SlowConfigurationSource(SHORT_TRANSFER_S)
        source.answers_watches = False
        assert await measure_highest_age(source) <= MAX_AGE_S

    run_with_virtual_clock(main())


@pytest.mark.parametrize("transfer_s", [SHORT_TRANSFER_S, LONG_TRANSFER_S])
def test_calls_are_not_refused_as_stale_beside_frequent_changes(transfer_s: float):
    async def main() -> None:
        source = SlowConfigurationSource(transfer_s)
        source.changes_s = [8.0 + 2.4 * number for number in range(8)]
        assert await measure_highest_age(source) <= MAX_AGE_S

    run_with_virtual_clock(main())


@pytest.mark.parametrize("transfer_s", [SHORT_TRANSFER_S, LONG_TRANSFER_S])
def test_calls_are_not_refused_as_stale_after_losses_of_the_history(transfer_s: float):
    async def main() -> None:
        source = SlowConfigurationSource(transfer_s)
        source.changes_s = [10.0, 16.0]
        source.history_losses_s = [9.0, 12.0, 16.5]
        assert await measure_highest_age(source) <= MAX_AGE_S

    run_with_virtual_clock(main())


@pytest.mark.parametrize("transfer_s", [SHORT_TRANSFER_S, LONG_TRANSFER_S])
def test_calls_are_not_refused_as_stale_while_reads_are_behind(transfer_s: float):
    async def main() -> None:
        source = SlowConfigurationSource(transfer_s)
        source.changes_s = [10.0, 16.0]
        source.history_losses_s = [9.0]
        source.lag_s = source.lag_lasts_s = 3.0
        assert await measure_highest_age(source) <= MAX_AGE_S

    run_with_virtual_clock(main())
