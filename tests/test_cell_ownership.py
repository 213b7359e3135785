"""Tests of when a process acquires the ownership of a cell and when it does not."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from attrs import evolve

from fuchsiadale.cell.acquisition import AcquiredOwnership
from fuchsiadale.cell.owner_row import (
    CONTROL_TABLE,
    OWNER_KEY,
    OwnerRow,
    read_owner,
)
from fuchsiadale.cell.ownership import Ownership
from fuchsiadale.cell.peer_messages import PeerStatus, ProcessIdentity
from fuchsiadale.cell.takeover_timeouts import SILENT_OWNER_TIMEOUT_S
from fuchsiadale.codec import encode
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock

OWNER = OwnerRow("owner", "1:1", "former", 4)


class FakeOwnerClient:
    """Client of a simulated owner, which answers with the status that a test sets."""

    address = OWNER.address

    def __init__(self) -> None:
        self.status: PeerStatus | None = None
        self.is_unavailable = False
        self.connection_lost = asyncio.Event()

    async def sync(self, *args: object) -> PeerStatus | None:
        """Return the status; a silent owner lets the call time out after 0.5 s."""
        await asyncio.sleep(0.01 if self.status or self.is_unavailable else 0.5)
        return self.status

    async def wait_for_disconnect(self, timeout_s: float) -> None:
        """Wait until the connection ends, for at most `timeout_s`."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self.connection_lost.wait(), timeout_s)

    def refuse_connections(self) -> None:
        """Close the connection and refuse new ones, as when the process has ended."""
        self.status = None
        self.is_unavailable = True
        self.connection_lost.set()

    async def close(self) -> None:
        """Do nothing, as there is no connection."""


def make_store(owner: OwnerRow) -> MemoryRowStore:
    store = MemoryRowStore()
    store.put(CONTROL_TABLE, OWNER_KEY, encode(owner))
    return store


class Candidate:
    """Process that monitors the owner and may acquire the ownership."""

    def __init__(
        self,
        address: str = "2:2",
        fitness: float = 1.0,
        store: MemoryRowStore | None = None,
        owner: OwnerRow = OWNER,
    ) -> None:
        self.store = store or make_store(owner)
        self.owner_client = FakeOwnerClient()
        self.acquisitions: list[AcquiredOwnership] = []
        self.ownership = Ownership(
            self.store,
            ProcessIdentity("node", address, fitness),
            self.on_acquired,
            lambda epoch: None,
            lambda address: self.owner_client,  # type: ignore[arg-type,return-value]
        )
        self.task = asyncio.create_task(self.ownership.run())

    async def on_acquired(self, acquired: AcquiredOwnership) -> bool:
        """Record the acquired ownership."""
        self.acquisitions.append(acquired)
        return True

    async def renew_owner(self, duration_s: float) -> None:
        """Renew the owner's row every 0.4 s for `duration_s` seconds."""
        for _ in range(round(duration_s / 0.4)):
            self.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
            await asyncio.sleep(0.4)


def make_status(**changes: object) -> PeerStatus:
    fields = {"incarnation": "former", "is_owner": True, "epoch": 4, **changes}
    return PeerStatus(**fields)  # type: ignore[arg-type]


def test_cell_without_owner_is_acquired_with_epoch_one():
    async def main() -> None:
        candidate = Candidate()
        candidate.store = MemoryRowStore()
        candidate.ownership._store = candidate.store
        await asyncio.sleep(1.0)
        assert [acquired.row.epoch for acquired in candidate.acquisitions] == [1]

    run_with_virtual_clock(main())


def test_owner_that_answers_is_not_replaced():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status()
        await asyncio.sleep(10.0)
        assert candidate.acquisitions == []

    run_with_virtual_clock(main())


def test_silent_owner_that_renews_is_not_replaced():
    async def main() -> None:
        candidate = Candidate()
        await candidate.renew_owner(12.0)
        assert candidate.acquisitions == []

    run_with_virtual_clock(main())


def test_silent_owner_that_does_not_renew_is_replaced_within_three_seconds():
    async def main() -> None:
        candidate = Candidate()
        await asyncio.sleep(SILENT_OWNER_TIMEOUT_S)
        assert candidate.acquisitions == []
        await asyncio.sleep(3.0 - SILENT_OWNER_TIMEOUT_S)
        assert [acquired.row.epoch for acquired in candidate.acquisitions] == [5]

    run_with_virtual_clock(main())


def test_owner_whose_process_has_ended_is_replaced_within_a_second():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status()
        await candidate.renew_owner(2.0)
        candidate.owner_client.refuse_connections()
        await asyncio.sleep(1.0)
        assert [acquired.row.epoch for acquired in candidate.acquisitions] == [5]

    run_with_virtual_clock(main())


def test_owner_that_renews_is_not_replaced_after_connection_loss():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status()
        await candidate.renew_owner(2.0)
        candidate.owner_client.refuse_connections()
        await candidate.renew_owner(12.0)
        assert candidate.acquisitions == []

    run_with_virtual_clock(main())


def test_owner_whose_process_was_restarted_is_replaced_at_once():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status(incarnation="new", is_owner=False)
        await asyncio.sleep(0.6)
        assert len(candidate.acquisitions) == 1

    run_with_virtual_clock(main())


def test_restarted_process_replaces_its_previous_incarnation():
    async def main() -> None:
        candidate = Candidate(address=OWNER.address)
        await asyncio.sleep(0.5)
        assert len(candidate.acquisitions) == 1

    run_with_virtual_clock(main())


def test_owner_with_old_renewal_is_replaced_while_the_store_answers():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status(renewed_age_s=2.0)
        await asyncio.sleep(1.5)
        assert len(candidate.acquisitions) == 1

    run_with_virtual_clock(main())


def test_owner_that_cannot_renew_is_replaced_within_a_second():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status(cannot_renew=True)
        await asyncio.sleep(1.0)
        assert len(candidate.acquisitions) == 1

    run_with_virtual_clock(main())


def test_owner_that_renews_again_after_a_store_outage_is_not_replaced():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status(cannot_renew=True)
        candidate.store.is_down = True
        await asyncio.sleep(3.0)
        candidate.store.is_down = False
        candidate.owner_client.status = make_status()
        for _ in range(20):
            candidate.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
            await asyncio.sleep(0.2)
        assert candidate.acquisitions == []

    run_with_virtual_clock(main())


def test_owner_is_not_replaced_while_the_store_is_down():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status()
        await asyncio.sleep(1.0)
        candidate.store.is_down = True
        candidate.owner_client.status = make_status(renewed_age_s=5.0)
        await asyncio.sleep(6.0)
        assert candidate.acquisitions == []
        candidate.store.is_down = False
        candidate.owner_client.status = make_status()
        await candidate.renew_owner(3.0)
        found = (await read_owner(candidate.store)).unwrap()
        assert found.row == OWNER

    run_with_virtual_clock(main())


def test_process_that_is_shutting_down_does_not_replace_the_owner():
    async def main() -> None:
        candidate = Candidate()
        candidate.ownership.is_leaving = True
        await asyncio.sleep(6.0)
        assert candidate.acquisitions == []

    run_with_virtual_clock(main())


UNFIT, FIT = 0.5, 2.0
OWNER_AMONG_FIT = evolve(OWNER, best_fitness=FIT)


def test_fit_process_acquires_before_unfit_ones_that_noticed_the_failure_first():
    async def main() -> None:
        store = make_store(OWNER_AMONG_FIT)
        unfit = [Candidate(f"2:{port}", UNFIT, store) for port in range(5)]
        await asyncio.sleep(0.3)
        fit = Candidate("3:3", FIT, store)
        await asyncio.sleep(2.3)
        assert len(fit.acquisitions) == 1
        assert all(candidate.acquisitions == [] for candidate in unfit)

    run_with_virtual_clock(main())


def test_unfit_process_acquires_within_a_second_more_if_no_fit_one_is_there():
    async def main() -> None:
        candidate = Candidate(fitness=UNFIT, owner=OWNER_AMONG_FIT)
        await asyncio.sleep(4.0)
        assert [acquired.row.epoch for acquired in candidate.acquisitions] == [5]

    run_with_virtual_clock(main())


def test_unfit_process_does_not_replace_an_owner_that_renews_while_it_defers():
    async def main() -> None:
        candidate = Candidate(fitness=UNFIT, owner=OWNER_AMONG_FIT)
        await asyncio.sleep(SILENT_OWNER_TIMEOUT_S + 0.7)
        await candidate.renew_owner(4.0)
        assert candidate.acquisitions == []

    run_with_virtual_clock(main())


def test_owner_that_reports_its_resignation_is_replaced_at_once():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status()
        await candidate.renew_owner(2.0)
        resigned = evolve(OWNER, has_resigned=True)
        candidate.store.put(CONTROL_TABLE, OWNER_KEY, encode(resigned))
        candidate.owner_client.status = make_status(is_owner=False)
        candidate.ownership.note_resigned("9:9", OWNER.epoch)
        candidate.ownership.note_resigned(OWNER.address, OWNER.epoch - 1)
        assert not candidate.ownership._owner_resigned.is_set()
        candidate.ownership.note_resigned(OWNER.address, OWNER.epoch)
        await asyncio.sleep(0.25)
        assert len(candidate.acquisitions) == 1

    run_with_virtual_clock(main())


def test_suspected_owner_that_reports_its_resignation_is_replaced_at_once():
    async def main() -> None:
        candidate = Candidate()
        candidate.owner_client.status = make_status(renewed_age_s=1.0)
        await asyncio.sleep(0.1)
        candidate.owner_client.status = make_status(is_owner=False)
        candidate.ownership.note_resigned(OWNER.address, OWNER.epoch)
        await asyncio.sleep(0.05)
        assert len(candidate.acquisitions) == 1

    run_with_virtual_clock(main())


def test_best_fitness_in_the_row_does_not_make_an_owner_look_replaced():
    assert OWNER.is_same_ownership(OWNER_AMONG_FIT)
    assert not OWNER.is_same_ownership(evolve(OWNER, epoch=5))
    assert not OWNER.is_same_ownership(evolve(OWNER, incarnation="restarted"))
    assert not OWNER.is_same_ownership(None)
