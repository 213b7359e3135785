"""Tests of storing rows while the store refuses some or all processes."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok, Result

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.peer_messages import RowOutcome
from fuchsiadale.cell.row_creator import MAX_OWNER_STATUS_AGE_S, RowCreator
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.ports.rows import StoreFailure
from tests.row_store import MemoryRowStore
from tests.test_cell_gateway import FakeConfigurationSource
from tests.virtual_loop import run_with_virtual_clock
from tests.workflow_builders import make_configuration, make_queue


class FakeOwner:
    """Client of the owner, which stores rows with an outcome that a test sets."""

    def __init__(self) -> None:
        self.outcome = RowOutcome.STORED
        self.keys: list[str] = []

    async def create_row(self, key: str, value: bytes) -> RowOutcome:
        """Return the outcome."""
        self.keys.append(key)
        return self.outcome


class FakeOwnership(Ownership):
    """Ownership with a known owner."""

    def __init__(self, owner: FakeOwner | None) -> None:
        self.fake_owner = owner
        self.age_s = 0.1

    @property
    def owner_client(self) -> FakeOwner | None:  # type: ignore[override]
        """Client of the owner."""
        return self.fake_owner

    @property
    def owner_status_age_s(self) -> float:
        """Age of the owner's last answer."""
        return self.age_s


class CreatorFixture:
    """A creator of rows whose store fails in a way that a test sets."""

    def __init__(self, owner: FakeOwner | None) -> None:
        self.source = FakeConfigurationSource(make_configuration(make_queue()))
        self.watch = ConfigurationWatch(self.source, lambda configuration: None)
        self.store = MemoryRowStore()
        self.ownership = FakeOwnership(owner)
        self.creator = RowCreator(self.watch, self.store, self.ownership)
        self.write_count = 0

    def fail_writes(self, failure: StoreFailure) -> None:
        """Let every write fail."""

        async def fail(*args: object) -> Result[int, StoreFailure]:
            self.write_count += 1
            return Err(failure)

        self.store.transact = fail  # type: ignore[method-assign,assignment]

    async def create(self) -> ErrorKind | None:
        """Create a row and return why it was refused, or None."""
        outcome = await self.creator.create("key", b"value")
        if isinstance(outcome, Ok):
            return None
        refusal: Refusal = outcome.err_value
        return refusal.kind


def test_row_that_the_store_refuses_here_is_stored_by_the_owner():
    async def main() -> None:
        fixture = CreatorFixture(FakeOwner())
        fixture.fail_writes(StoreFailure.UNAVAILABLE)
        assert await fixture.create() is None
        assert fixture.ownership.fake_owner.keys == ["key"]  # type: ignore[union-attr]

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("here", "by_owner", "kind"),
    [
        (StoreFailure.UNAVAILABLE, RowOutcome.NOT_STORED, ErrorKind.STORE_UNAVAILABLE),
        (StoreFailure.UNAVAILABLE, RowOutcome.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN),
        (StoreFailure.UNKNOWN, RowOutcome.NOT_STORED, ErrorKind.OUTCOME_UNKNOWN),
        (StoreFailure.UNKNOWN, RowOutcome.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN),
        (StoreFailure.UNKNOWN, RowOutcome.STORED, None),
        (StoreFailure.CONFLICT, RowOutcome.UNKNOWN, None),
    ],
)
def test_refusal_tells_what_both_attempts_are_known_to_have_done(
    here: StoreFailure, by_owner: RowOutcome, kind: ErrorKind | None
):
    async def main() -> None:
        owner = FakeOwner()
        owner.outcome = by_owner
        fixture = CreatorFixture(owner)
        fixture.fail_writes(here)
        assert await fixture.create() is kind

    run_with_virtual_clock(main())


def test_owner_that_has_not_answered_lately_is_not_asked():
    async def main() -> None:
        fixture = CreatorFixture(FakeOwner())
        fixture.ownership.age_s = MAX_OWNER_STATUS_AGE_S + 0.1
        fixture.fail_writes(StoreFailure.UNAVAILABLE)
        assert await fixture.create() is ErrorKind.STORE_UNAVAILABLE
        assert fixture.write_count == 2

    run_with_virtual_clock(main())


def test_nothing_is_sent_to_a_store_that_does_not_answer_this_process():
    async def main() -> None:
        fixture = CreatorFixture(FakeOwner())
        watch_task = asyncio.create_task(fixture.watch.run())
        await asyncio.sleep(0.1)
        fixture.source.is_unavailable = True
        await asyncio.sleep(1.2)
        assert await fixture.create() is None
        fixture.ownership.fake_owner = None
        assert await fixture.create() is ErrorKind.STORE_UNAVAILABLE
        assert await fixture.creator.create_for_peer("other", b"") is (
            RowOutcome.NOT_STORED
        )
        assert fixture.store.applied_writes == []
        watch_task.cancel()

    run_with_virtual_clock(main())


def test_row_of_a_peer_is_stored_once():
    async def main() -> None:
        fixture = CreatorFixture(None)
        for _ in range(2):
            outcome = await fixture.creator.create_for_peer("key", b"value")
            assert outcome is RowOutcome.STORED
        assert len(fixture.store.applied_writes) == 1

    run_with_virtual_clock(main())
