"""Tests that the watch of the configuration keeps and confirms the newest version."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok, Result

from fuchsiadale.cell.configuration_watch import WATCH_WAIT_S, ConfigurationWatch
from fuchsiadale.platform.http import Reply
from fuchsiadale.platform.registry import PlatformConfigurationSource
from fuchsiadale.platform.store import PlatformRowStore
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import StoreFailure
from tests.test_platform_adapter import FakeHttpClient
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration

Outcome = Result[ConfigurationReading, StoreFailure]


def make_reading(
    version: int | None, position: int, is_unreadable: bool = False
) -> Outcome:
    configuration = None if version is None else make_configuration(version=version)
    return Ok(ConfigurationReading(configuration, position, is_unreadable))


class ScriptedSource(ConfigurationSource):
    """Source that returns the same outcome until a test sets another one.

    Attributes
    ----------
    read_outcome, watch_outcome : Result
        What the next reads and watches return.
    """

    def __init__(self) -> None:
        self.read_outcome = make_reading(2, 10)
        self.watch_outcome = make_reading(None, 10)

    async def read(self) -> Outcome:
        """Return the outcome of reads."""
        return self.read_outcome

    async def watch(self, position: int, wait_s: float) -> Outcome:
        """Return the outcome of watches, after the wait if nothing is new."""
        await asyncio.sleep(wait_s)
        return self.watch_outcome


async def start_watch(source: ScriptedSource) -> ConfigurationWatch:
    watch = ConfigurationWatch(source, lambda configuration: None)
    watch.task = asyncio.create_task(watch.run())  # type: ignore[attr-defined]
    await asyncio.sleep(0.01)
    assert watch.current is not None
    return watch


def test_version_that_could_not_be_read_is_no_confirmation_and_is_read_again():
    async def main() -> None:
        source = ScriptedSource()
        watch = await start_watch(source)
        source.watch_outcome = make_reading(None, 11, is_unreadable=True)
        source.read_outcome = make_reading(None, 12, is_unreadable=True)
        await asyncio.sleep(4.0)
        assert watch.age_s > 3.0
        source.read_outcome = make_reading(3, 12)
        source.watch_outcome = make_reading(None, 12)
        await asyncio.sleep(0.5)
        assert watch.current is not None
        assert watch.current.version == 3
        assert watch.age_s < 0.5

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    "behind",
    [make_reading(1, 12), make_reading(2, 9), make_reading(None, 12)],
    ids=["older version", "lower position", "no configuration"],
)
def test_reading_that_is_behind_is_no_confirmation(behind: Outcome):
    async def main() -> None:
        source = ScriptedSource()
        watch = await start_watch(source)
        source.watch_outcome = make_reading(2, 8)
        source.read_outcome = behind
        await asyncio.sleep(4.0)
        assert watch.age_s > 3.0
        assert watch.current is not None
        assert watch.current.version == 2
        source.read_outcome = make_reading(3, 13)
        source.watch_outcome = make_reading(None, 13)
        await asyncio.sleep(0.5)
        assert watch.current.version == 3
        assert watch.age_s < 0.5

    run_with_virtual_clock(main())


def test_watch_that_is_behind_is_no_confirmation():
    async def main() -> None:
        reply = Reply(200, {"rows": [], "row_version": 9})
        client = FakeHttpClient(reply)
        store = PlatformRowStore(client, "10.0.0.1:80")  # type: ignore[arg-type]
        source = ScriptedSource()
        watch = await start_watch(source)
        source.watch_outcome = await PlatformConfigurationSource(store).watch(10, 0.5)
        source.read_outcome = source.watch_outcome
        await asyncio.sleep(4.0)
        assert watch.age_s > 3.0

    run_with_virtual_clock(main())


def test_current_version_is_confirmed_while_the_source_answers():
    async def main() -> None:
        watch = await start_watch(ScriptedSource())
        await asyncio.sleep(10.0)
        assert watch.age_s <= 2.0 * WATCH_WAIT_S + 0.01

    run_with_virtual_clock(main())


def test_configuration_is_read_where_only_watches_fail():
    async def main() -> None:
        source = ScriptedSource()
        watch = await start_watch(source)
        source.watch_outcome = Err(StoreFailure.UNAVAILABLE)
        source.read_outcome = make_reading(3, 12)
        await asyncio.sleep(20.0)
        ages_s = []
        for _ in range(200):
            await asyncio.sleep(0.1)
            ages_s.append(watch.age_s)
        assert watch.current is not None
        assert watch.current.version == 3
        # Three watches fail before each read.
        assert max(ages_s) <= 3 * WATCH_WAIT_S + 1.0

    run_with_virtual_clock(main())
