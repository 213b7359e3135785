"""What callers are told, with the store and the configuration as they may be."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok, Result

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.gateway import Call, Gateway
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.rows import JOB_TABLE, PROGRESS_TABLE
from fuchsiadale.cell.terms import CellTerms
from fuchsiadale.codec import encode
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.decision.workflow.jobs import JobProgress, JobState
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import StoreFailure
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration, make_queue, make_record

JOB = make_record(1)
PATH = f"/queue/{JOB.job_id}"


class Source(ConfigurationSource):
    """Gives one configuration, or fails."""

    def __init__(self, configuration: CellConfiguration) -> None:
        self.configuration = configuration
        self.is_down = False

    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration."""
        if self.is_down:
            return Err(StoreFailure.UNAVAILABLE)
        return Ok(ConfigurationReading(self.configuration, 1))

    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration after the wait."""
        await asyncio.sleep(wait_s)
        return await self.read()


class Front:
    """A gateway without an owner."""

    def __init__(self) -> None:
        public = make_queue("public", is_public=True)
        self.source = Source(make_configuration(make_queue(), public))
        self.store = MemoryRowStore()
        self.watch = ConfigurationWatch(self.source, lambda configuration: None)
        ownership = Ownership(self.store, "node", "1:1", _never, lambda epoch: None)
        self.hints: list[str] = []
        self.gateway = Gateway(
            self.watch,
            self.store,
            ownership,
            lambda: None,
            lambda job_id: None,
            lambda key, value: self.hints.append(key),
            CellTerms().key_trust_s,
        )

    async def start(self) -> None:
        """Learn the configuration."""
        self.task = asyncio.create_task(self.watch.run())
        await asyncio.sleep(0.01)

    async def submit(self, path: str = PATH, key: str = "key") -> ErrorKind | None:
        """Submit a job; return why it was refused, if it was."""
        outcome = await self.gateway.submit(
            Call("host", path, key), Ok(JOB.specification)
        )
        return kind_of(outcome)


async def _never(taking: object) -> bool:
    return False


def kind_of(outcome: Result[object, Refusal]) -> ErrorKind | None:
    return outcome.err_value.kind if isinstance(outcome, Err) else None


def test_job_is_accepted_once_it_is_stored_and_a_repeat_is_the_same_job():
    async def main() -> None:
        front = Front()
        await front.start()
        assert await front.submit() is None
        assert await front.submit() is None
        assert [write.key for write in front.store.applied_writes] == [JOB.job_id]

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("path", "key", "kind"),
    [
        (PATH, "other", ErrorKind.UNAUTHENTICATED),
        ("/nowhere/" + JOB.job_id, "key", ErrorKind.NOT_FOUND),
        ("/queue/not-an-id", "key", ErrorKind.MALFORMED),
        (f"/public/{JOB.job_id}", "", None),
    ],
)
def test_rights_and_names_are_checked(path: str, key: str, kind: ErrorKind | None):
    async def main() -> None:
        front = Front()
        await front.start()
        assert await front.submit(path, key) is kind

    run_with_virtual_clock(main())


def test_nothing_is_accepted_before_a_configuration_is_known():
    async def main() -> None:
        front = Front()
        assert await front.submit() is ErrorKind.CONFIG_STALE

    run_with_virtual_clock(main())


def test_keys_are_not_trusted_once_the_configuration_was_not_confirmed_for_long():
    async def main() -> None:
        front = Front()
        await front.start()
        front.source.is_down = True
        await asyncio.sleep(4.5)
        assert await front.submit() is ErrorKind.CONFIG_STALE

    run_with_virtual_clock(main())


def test_lost_answer_of_the_store_is_made_good_by_asking_again():
    async def main() -> None:
        front = Front()
        await front.start()
        front.store.lost_answers = 1
        assert await front.submit() is None

    run_with_virtual_clock(main())


def test_outcome_that_stays_unknown_is_not_told_as_refused():
    async def main() -> None:
        front = Front()
        await front.start()
        front.store.lost_answers = 1

        async def lose(*args: object) -> Result[int, StoreFailure]:
            return Err(StoreFailure.UNKNOWN)

        front.store.transact = lose  # type: ignore[method-assign,assignment]
        assert await front.submit() is ErrorKind.OUTCOME_UNKNOWN

    run_with_virtual_clock(main())


def test_nothing_is_sent_to_a_store_that_is_known_not_to_answer():
    async def main() -> None:
        front = Front()
        await front.start()
        front.source.is_down = True
        await asyncio.sleep(1.2)
        assert await front.submit() is ErrorKind.STORE_UNAVAILABLE
        assert front.store.applied_writes == []

    run_with_virtual_clock(main())


def test_state_and_cancel_are_answered_from_the_store_without_an_owner():
    async def main() -> None:
        front = Front()
        await front.start()
        call = Call("host", PATH, "key")
        assert kind_of(await front.gateway.show(call)) is ErrorKind.NO_SUCH_JOB
        await front.submit()
        assert (await front.gateway.show(call)).unwrap() is JobState.QUEUED
        assert isinstance(await front.gateway.cancel(call), Ok)
        assert (await front.gateway.show(call)).unwrap() is JobState.CANCELLED
        assert front.hints == [JOB.job_id, f"{JOB.job_id}/cancel"]

    run_with_virtual_clock(main())


def test_recorded_final_state_is_shown_without_an_owner():
    async def main() -> None:
        front = Front()
        await front.start()
        front.store.put(JOB_TABLE, JOB.job_id, encode(JOB))
        progress = encode(JobProgress(JobState.COMPLETED))
        front.store.put(PROGRESS_TABLE, JOB.job_id, progress)
        shown = await front.gateway.show(Call("host", PATH, "key"))
        assert shown.unwrap() is JobState.COMPLETED

    run_with_virtual_clock(main())


def test_count_is_not_told_without_an_owner_that_knows_it():
    async def main() -> None:
        front = Front()
        await front.start()
        call = Call("host", "/queue/", "key")
        assert front.gateway.is_count(call)
        counted = await front.gateway.count_pending(call)
        assert kind_of(counted) is ErrorKind.NO_OWNER

    run_with_virtual_clock(main())
