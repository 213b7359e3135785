"""Tests of which process owns a cell, over several processes in memory."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiadale.cell.lease_terms import MAX_RENEWAL_AGE_S
from fuchsiadale.cell.owner import Owner
from fuchsiadale.cell.rows import JOB_TABLE
from fuchsiadale.cell.store_succession import HAND_OVER_PAUSE_S
from fuchsiadale.cell.worker_list_reader import WORKER_LIST_INTERVAL_S
from fuchsiadale.codec import encode
from fuchsiadale.decision.succession import HAND_OVER_SHARE, MIN_PEER_AGE_S
from tests.memory_cell import MemoryCell, MemoryPeerClient
from tests.virtual_loop import pause, run_with_virtual_clock
from tests.workflow_builders import make_record, make_step

UNFIT, FIT = 0.516, 2.15


def test_fittest_process_owns_the_cell_after_the_first_start():
    async def main() -> None:
        cell = MemoryCell()
        for number in range(6):
            await cell.start_process(f"unfit:{number}", UNFIT)
        await asyncio.sleep(0.3)
        await cell.start_process("fit:1", FIT)
        await asyncio.sleep(10.0)
        assert cell.owners == ["fit:1"]
        assert await cell.read_epoch() == 1

    run_with_virtual_clock(main())


def test_unfit_owner_hands_the_cell_over_once_to_a_fit_process_that_joins():
    async def main() -> None:
        cell = MemoryCell()
        await cell.start_process("unfit:1", UNFIT)
        await cell.start_process("unfit:2", UNFIT)
        await asyncio.sleep(5.0)
        assert await cell.read_epoch() == 1
        await cell.start_process("fit:1", FIT)
        await asyncio.sleep(MIN_PEER_AGE_S + 2.0)
        assert cell.owners == ["fit:1"]
        await asyncio.sleep(20.0)
        assert await cell.read_epoch() == 2

    run_with_virtual_clock(main())


@pytest.mark.parametrize("has_second", [False, True])
def test_unfit_owner_hands_the_cell_over_to_no_process_that_the_store_refuses(
    has_second: bool,
):
    async def main() -> None:
        cell = MemoryCell()
        await cell.start_process("unfit:1", UNFIT)
        await asyncio.sleep(5.0)
        await cell.start_process("fit:1", FIT)
        cell.stores["fit:1"].is_silent = True
        if has_second:
            await cell.start_process("fit:2", 0.9 * FIT)
        await asyncio.sleep(20.0)
        assert cell.owners == ["fit:2" if has_second else "unfit:1"]
        assert await cell.read_epoch() == 1 + has_second
        cell.stores["fit:1"].is_silent = False
        await asyncio.sleep(HAND_OVER_PAUSE_S + 2.0)
        assert cell.owners == ["fit:2" if has_second else "fit:1"]
        assert await cell.read_epoch() == 2

    run_with_virtual_clock(main())


def test_cell_is_without_owner_for_less_than_a_second_at_a_hand_over():
    async def main() -> None:
        cell = MemoryCell()
        await cell.start_process("unfit:1", UNFIT)
        await asyncio.sleep(5.0)
        await cell.start_process("fit:1", FIT)
        unowned_s = 0.0
        for _ in range(800):
            await asyncio.sleep(0.01)
            assert len(cell.owners) <= 1
            unowned_s += 0.01 * (not cell.owners)
        assert cell.owners == ["fit:1"]
        assert unowned_s < 0.3

    run_with_virtual_clock(main())


def test_fit_process_succeeds_a_killed_owner_though_many_unfit_ones_notice_it():
    async def main() -> None:
        cell = MemoryCell()
        await cell.start_process("fit:1", FIT)
        await cell.start_process("fit:2", FIT)
        for number in range(8):
            await cell.start_process(f"unfit:{number}", UNFIT)
        await asyncio.sleep(5.0)
        (owner,) = cell.owners
        await cell.kill_process(owner)
        await asyncio.sleep(3.0)
        assert cell.owners[0].startswith("fit")
        assert await cell.read_epoch() == 2

    run_with_virtual_clock(main())


def test_new_owner_calls_for_advice_through_its_peers_from_their_first_call_on():
    async def main() -> None:
        cell = MemoryCell()
        await cell.start_process("fit:1", FIT)
        for number in range(8):
            await cell.start_process(f"fit:{number + 2}", FIT)
        await asyncio.sleep(5.0)
        (former,) = cell.owners
        await cell.kill_process(former)
        while not cell.owners:
            await asyncio.sleep(0.01)
        owner = cell.daemons[cell.owners[0]]
        await asyncio.sleep(0.3)
        assert owner._advice_pool.lane_count == len(cell.daemons)

    run_with_virtual_clock(main())


def test_unfit_process_owns_the_cell_while_no_fit_one_is_left():
    async def main() -> None:
        cell = MemoryCell()
        await cell.start_process("fit:1", FIT)
        await cell.start_process("unfit:1", UNFIT)
        await asyncio.sleep(5.0)
        await cell.kill_process("fit:1")
        await asyncio.sleep(2.5)
        assert cell.owners == ["unfit:1"]

    run_with_virtual_clock(main())


async def start_calm_cell(process_count: int) -> tuple[MemoryCell, str]:
    """Return a cell of fit processes, and the address of its owner."""
    cell = MemoryCell()
    for number in range(process_count):
        await cell.start_process(f"fit:{number}", FIT)
    await asyncio.sleep(6.0)
    (owner,) = cell.owners
    return cell, owner


@pytest.mark.parametrize(("fault", "bound_s"), [("refused", 0.7), ("silent", 1.2)])
def test_owner_that_the_store_does_not_answer_leaves_the_cell_to_a_peer(
    fault: str, bound_s: float
):
    async def main() -> None:
        cell, former = await start_calm_cell(4)
        setattr(cell.stores[former], f"is_{fault}", True)
        await asyncio.sleep(bound_s)
        (owner,) = cell.owners
        assert owner != former
        assert await cell.read_epoch() == 2
        setattr(cell.stores[former], f"is_{fault}", False)
        await asyncio.sleep(10.0)
        assert cell.owners == [owner]

    run_with_virtual_clock(main())


async def measure_succession_s(fault: str, phase_s: float) -> float:
    """Return how long after a fault of the owner's store a peer owns a calm cell."""
    cell, former = await start_calm_cell(4)
    await asyncio.sleep(phase_s)
    setattr(cell.stores[former], f"is_{fault}", True)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not set(cell.owners) - {former}:
        await asyncio.sleep(0.005)
    return loop.time() - started_s


@pytest.mark.parametrize(("fault", "bound_s"), [("refused", 0.7), ("silent", 1.2)])
def test_owner_keeps_the_cell_too_long_if_the_store_fails_right_after_a_renewal(
    fault: str, bound_s: float, monkeypatch: pytest.MonkeyPatch
):
    # Renewals of a calm owner repeat with the reads of the worker list.
    for step in range(round(WORKER_LIST_INTERVAL_S / 0.03)):
        monkeypatch.setattr("fuchsiadale.cell.ownership.random", Random(step))
        succession = measure_succession_s(fault, 0.03 * step)
        assert run_with_virtual_clock(succession) < bound_s


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_owner_keeps_the_cell_while_the_store_answers_nobody(fault: str):
    async def main() -> None:
        cell, former = await start_calm_cell(4)
        for store in cell.stores.values():
            setattr(store, f"is_{fault}", True)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert cell.owners == [former]
        for store in cell.stores.values():
            setattr(store, f"is_{fault}", False)
        await asyncio.sleep(5.0)
        assert len(cell.owners) == 1

    run_with_virtual_clock(main())


def test_owner_does_not_leave_the_cell_when_the_answer_to_a_commit_is_lost():
    async def main() -> None:
        cell, former = await start_calm_cell(4)
        for _ in range(5):
            for store in cell.stores.values():
                store.loses_answers = True
            await asyncio.sleep(0.7)
            assert cell.owners == [former]
            for store in cell.stores.values():
                store.loses_answers = False
            await asyncio.sleep(2.0)
        assert await cell.read_epoch() == 1

    run_with_virtual_clock(main())


def test_owner_keeps_the_cell_while_the_store_is_slow_for_all():
    async def main() -> None:
        cell, former = await start_calm_cell(4)
        for store in cell.stores.values():
            store.delay_s = 0.24
        await asyncio.sleep(10.0)
        assert cell.owners == [former]
        assert await cell.read_epoch() == 1

    run_with_virtual_clock(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.24])
def test_owner_does_not_ask_its_peers_while_the_store_answers(
    delay_s: float, monkeypatch: pytest.MonkeyPatch
):
    asked = []

    async def probe_store(client: MemoryPeerClient) -> bool:
        asked.append(client.address)
        return True

    monkeypatch.setattr(MemoryPeerClient, "probe_store", probe_store)

    async def main() -> None:
        cell, _ = await start_calm_cell(4)
        for store in cell.stores.values():
            store.delay_s = delay_s
        await asyncio.sleep(10.0)
        assert asked == []

    run_with_virtual_clock(main())


def test_stored_job_that_cannot_be_recovered_harms_only_itself():
    async def main() -> None:
        cell = MemoryCell()
        sound, bad = make_record(0), make_record(1, make_step(1, after=(7,)))
        for record in (bad, sound):
            cell.store.put(JOB_TABLE, record.job_id, encode(record))
        daemon = await cell.start_process("fit:1", FIT)
        await asyncio.sleep(1.0)
        assert cell.owners == ["fit:1"]
        assert daemon._find_owned_job(sound.job_id) is not None

    run_with_virtual_clock(main())


def test_process_that_fails_to_start_as_owner_leaves_the_cell_to_its_peers(
    monkeypatch: pytest.MonkeyPatch,
):
    start = Owner.start

    def fail_at_first_process(owner: Owner, *args: Any) -> None:
        if owner.tenure.row.address == "fit:1":
            raise RuntimeError("no memory")
        start(owner, *args)

    monkeypatch.setattr(Owner, "start", fail_at_first_process)

    async def main() -> None:
        cell = MemoryCell()
        broken = await cell.start_process("fit:1", FIT)
        await asyncio.sleep(1.0)
        assert not broken._get_status().is_owner
        await cell.start_process("fit:2", FIT)
        await asyncio.sleep(4.0)
        assert cell.owners == ["fit:2"]

    run_with_virtual_clock(main())


def test_process_that_needs_long_to_read_a_large_cell_is_not_replaced_meanwhile():
    async def main() -> None:
        cell = MemoryCell()
        cell.store.read_latency_s[JOB_TABLE] = 4.0
        first = await cell.start_process("fit:1", FIT)
        await cell.start_process("fit:2", FIT)
        await cell.start_process("fit:3", FIT)
        await asyncio.sleep(3.0)
        assert cell.owners == []
        assert await cell.read_epoch() == 1
        statuses = [daemon._get_status() for daemon in cell.daemons.values()]
        assert sum(status.is_owner for status in statuses) == 1
        assert all(status.renewed_age_s < 0.6 for status in statuses)
        await asyncio.sleep(6.0)
        assert len(cell.owners) == 1
        assert await cell.read_epoch() == 1
        assert not first.is_leaving

    run_with_virtual_clock(main())


def test_permission_of_an_owner_paused_while_it_read_the_cell_counts_from_before():
    """Pause an owner between acquiring the ownership and its first order."""

    async def main() -> None:
        cell = MemoryCell()
        cell.store.read_latency_s[JOB_TABLE] = 0.2
        daemon = await cell.start_process("fit:1", FIT)
        while daemon._renewal is None:
            await asyncio.sleep(0.01)
        pause(MAX_RENEWAL_AGE_S + 1.0)
        while daemon._owner is None:
            await asyncio.sleep(0.001)
        assert not daemon._owner.tenure.may_act
        await asyncio.sleep(0.5)
        assert daemon._owner.tenure.may_act

    run_with_virtual_clock(main())


@settings(max_examples=30, deadline=None)
@given(
    st.lists(
        st.sampled_from([0.3, 0.516, 1.0, 1.07, 2.15, 4.0]), min_size=2, max_size=6
    )
)
def test_calm_cell_of_any_machines_changes_its_owner_at_most_once(
    fitness_values: list[float],
):
    async def main() -> None:
        cell = MemoryCell()
        for number, fitness in enumerate(fitness_values):
            await cell.start_process(f"{number}:1", fitness)
            await asyncio.sleep(0.3)
        await asyncio.sleep(15.0)
        assert await cell.read_epoch() <= 2
        (owner,) = cell.owners
        owner_fitness = fitness_values[int(owner.split(":")[0])]
        assert owner_fitness >= HAND_OVER_SHARE * max(fitness_values)

    run_with_virtual_clock(main())
