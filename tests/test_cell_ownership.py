"""When a process takes the cell over, and when it does not."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from fuchsiadale.cell.ownership import UNCHANGED_S, Ownership, Taking
from fuchsiadale.cell.peers import OwnerStanding
from fuchsiadale.cell.rows import CONTROL_TABLE, OWNER_KEY, OwnerRow, read_owner
from fuchsiadale.codec import encode
from tests.row_store import MemoryRowStore
from tests.virtual_loop import run_with_virtual_clock

OWNER = OwnerRow("owner", "1:1", "former", 4)


class Peer:
    """An owner that answers as it is told."""

    address = OWNER.address

    def __init__(self) -> None:
        self.standing: OwnerStanding | None = None
        self.is_refused = False
        self.lost = asyncio.Event()

    async def sync(self, *args: object) -> OwnerStanding | None:
        """Answer, or be silent for a while."""
        await asyncio.sleep(0.01 if self.standing or self.is_refused else 0.5)
        return self.standing

    async def wait_lost(self, timeout_s: float) -> None:
        """Wait until the connection ends, or for some time."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self.lost.wait(), timeout_s)

    def die(self) -> None:
        """End; nothing listens from now on."""
        self.standing = None
        self.is_refused = True
        self.lost.set()

    async def close(self) -> None:
        """Do nothing."""


class Follower:
    """A process that follows the owner."""

    def __init__(self, address: str = "2:2") -> None:
        self.store = MemoryRowStore()
        self.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
        self.peer = Peer()
        self.taken: list[Taking] = []
        self.ownership = Ownership(
            self.store, "node", address, self.take, lambda epoch: None
        )
        self.ownership._make_client = lambda address: self.peer  # type: ignore[method-assign,assignment,return-value]
        self.task = asyncio.create_task(self.ownership.run())

    async def take(self, taking: Taking) -> bool:
        """Note that the cell was taken."""
        self.taken.append(taking)
        return True

    async def renew(self, seconds: float) -> None:
        """Let the owner renew for some time."""
        for _ in range(round(seconds / 0.4)):
            self.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
            await asyncio.sleep(0.4)


def standing(**changes: object) -> OwnerStanding:
    fields = {"incarnation": "former", "is_owner": True, "epoch": 4, **changes}
    return OwnerStanding(**fields)  # type: ignore[arg-type]


def test_first_process_takes_a_cell_that_nobody_owns():
    async def main() -> None:
        follower = Follower()
        follower.store = MemoryRowStore()
        follower.ownership._store = follower.store
        await asyncio.sleep(1.0)
        assert [taking.row.epoch for taking in follower.taken] == [1]

    run_with_virtual_clock(main())


def test_owner_that_answers_is_followed():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing()
        await asyncio.sleep(10.0)
        assert follower.taken == []

    run_with_virtual_clock(main())


def test_silent_owner_that_renews_is_not_replaced():
    async def main() -> None:
        follower = Follower()
        await follower.renew(12.0)
        assert follower.taken == []

    run_with_virtual_clock(main())


def test_silent_owner_that_does_not_renew_is_replaced_within_three_seconds():
    async def main() -> None:
        follower = Follower()
        await asyncio.sleep(UNCHANGED_S)
        assert follower.taken == []
        await asyncio.sleep(3.0 - UNCHANGED_S)
        assert [taking.row.epoch for taking in follower.taken] == [5]

    run_with_virtual_clock(main())


def test_owner_whose_process_has_ended_is_replaced_within_a_second():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing()
        await follower.renew(2.0)
        follower.peer.die()
        await asyncio.sleep(1.0)
        assert [taking.row.epoch for taking in follower.taken] == [5]

    run_with_virtual_clock(main())


def test_owner_that_only_lost_its_connections_is_not_replaced():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing()
        await follower.renew(2.0)
        follower.peer.die()
        await follower.renew(12.0)
        assert follower.taken == []

    run_with_virtual_clock(main())


def test_process_that_started_again_is_replaced_at_once():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing(incarnation="new", is_owner=False)
        await asyncio.sleep(0.6)
        assert len(follower.taken) == 1

    run_with_virtual_clock(main())


def test_process_takes_over_from_its_own_former_life():
    async def main() -> None:
        follower = Follower(address=OWNER.address)
        await asyncio.sleep(0.5)
        assert len(follower.taken) == 1

    run_with_virtual_clock(main())


def test_owner_that_cannot_renew_is_replaced_while_the_store_answers():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing(renewed_age_s=2.0)
        await asyncio.sleep(1.5)
        assert len(follower.taken) == 1

    run_with_virtual_clock(main())


def test_owner_that_the_store_refuses_is_replaced_within_a_second():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing(cannot_renew=True)
        await asyncio.sleep(1.0)
        assert len(follower.taken) == 1

    run_with_virtual_clock(main())


def test_owner_that_the_store_accepts_again_is_not_replaced():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing(cannot_renew=True)
        follower.store.is_down = True
        await asyncio.sleep(3.0)
        follower.store.is_down = False
        follower.peer.standing = standing()
        for _ in range(20):
            follower.store.put(CONTROL_TABLE, OWNER_KEY, encode(OWNER))
            await asyncio.sleep(0.2)
        assert follower.taken == []

    run_with_virtual_clock(main())


def test_nobody_takes_over_while_the_store_is_down():
    async def main() -> None:
        follower = Follower()
        follower.peer.standing = standing()
        await asyncio.sleep(1.0)
        follower.store.is_down = True
        follower.peer.standing = standing(renewed_age_s=5.0)
        await asyncio.sleep(6.0)
        assert follower.taken == []
        follower.store.is_down = False
        follower.peer.standing = standing()
        await follower.renew(3.0)
        found = (await read_owner(follower.store)).unwrap()
        assert found.row == OWNER

    run_with_virtual_clock(main())


def test_process_that_leaves_does_not_take_over():
    async def main() -> None:
        follower = Follower()
        follower.ownership.is_leaving = True
        await asyncio.sleep(6.0)
        assert follower.taken == []

    run_with_virtual_clock(main())
