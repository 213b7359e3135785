"""Tests of what a new owner knows of the leases that earlier owners granted."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from fuchsiadale.cell.earlier_leases import EarlierLeases
from fuchsiadale.cell.lease_terms import UNCONFIRMED_LEASES_END_S, leases_end_s
from fuchsiadale.cell.outage_witness import (
    OutageWitness,
    confirmations_ended_s,
    last_confirmation_s,
)
from fuchsiadale.cell.owner_row import OwnerRow
from fuchsiadale.cell.tenure import Tenure
from tests.virtual_loop import run_with_virtual_clock

SENT_S = 100.0
LEASES_END_S = leases_end_s(6.0)
WITNESSES = ["2:2", "3:3", "4:4", "5:5", "6:6"]
ROW = OwnerRow("node", "1:1", "this", 4, leases_end_s=LEASES_END_S, witnesses=WITNESSES)


def test_witness_confirms_an_owner_after_its_successor_has_asked():
    async def main() -> None:
        witness = OutageWitness(lambda: 4)
        assert witness.confirm(4)
        await asyncio.sleep(2.0)
        assert witness.end_confirmations(5) == pytest.approx(2.0)
        assert not witness.confirm(4)
        assert witness.confirm(5)

    run_with_virtual_clock(main())


def test_witness_confirms_an_owner_before_it_has_read_the_owner_row():
    async def main() -> None:
        assert not OutageWitness(lambda: 0).confirm(4)

    run_with_virtual_clock(main())


def test_witness_confirms_an_owner_though_it_has_read_of_a_later_one():
    async def main() -> None:
        assert not OutageWitness(lambda: 5).confirm(4)

    run_with_virtual_clock(main())


def test_witness_does_not_confirm_an_owner_of_which_it_has_not_read_yet():
    async def main() -> None:
        assert OutageWitness(lambda: 4).confirm(5)

    run_with_virtual_clock(main())


def test_witness_forgets_that_a_process_before_it_may_have_confirmed():
    async def main() -> None:
        witness = OutageWitness(lambda: 4)
        await asyncio.sleep(3.0)
        assert witness.end_confirmations(5) == pytest.approx(3.0)

    run_with_virtual_clock(main())


@given(
    st.integers(1, 7).flatmap(
        lambda count: st.tuples(
            st.lists(st.floats(0.0, 50.0), min_size=count, max_size=count),
            st.lists(st.booleans(), min_size=count, max_size=count),
        )
    )
)
def test_refusals_rule_out_a_majority_that_confirmed_later(
    drawn: tuple[list[float], list[bool]],
):
    confirmed_s, refuses = drawn
    witnesses = [str(index) for index in range(len(confirmed_s))]
    known_s = dict(zip(witnesses, confirmed_s, strict=True))
    refused_s = {
        a: known_s[a] for a, told in zip(witnesses, refuses, strict=True) if told
    }
    # Those that have not answered may confirm at any time.
    latest_s = {a: refused_s.get(a, 1000.0) for a in witnesses}
    ended_s = confirmations_ended_s(witnesses, refused_s)
    majority_s = last_confirmation_s(witnesses, latest_s)
    assert majority_s is not None
    assert (ended_s is None) == (majority_s == 1000.0)
    assert ended_s is None or majority_s <= ended_s


def test_leases_of_an_owner_without_witnesses_count_as_ended_too_early():
    leases = EarlierLeases(evolve(ROW, witnesses=[]), SENT_S)
    assert leases.ends_s == SENT_S + UNCONFIRMED_LEASES_END_S
    leases.note_confirmations_ended("2:2", 0.0)
    assert leases.ends_s == SENT_S + UNCONFIRMED_LEASES_END_S


def test_leases_of_an_owner_of_an_earlier_version_count_as_ended_too_early():
    leases = EarlierLeases(OwnerRow("node", "1:1", "this", 4), SENT_S)
    assert leases.ends_s == SENT_S + UNCONFIRMED_LEASES_END_S


def test_leases_count_until_the_longest_bound_though_most_witnesses_refuse():
    leases = EarlierLeases(ROW, SENT_S)
    for address in WITNESSES[:2]:
        leases.note_confirmations_ended(address, 50.0)
    assert leases.ends_s == SENT_S + UNCONFIRMED_LEASES_END_S
    leases.note_confirmations_ended(WITNESSES[2], 50.0)
    assert leases.ends_s == SENT_S + LEASES_END_S


def test_leases_that_witnesses_confirmed_last_count_as_ended_too_early():
    leases = EarlierLeases(ROW, SENT_S)
    for address in WITNESSES[:3]:
        leases.note_confirmations_ended(address, SENT_S + 3.0)
    assert leases.ends_s == SENT_S + 3.0 + LEASES_END_S


def test_leases_of_an_owner_that_has_resigned_count_until_the_longest_bound():
    leases = EarlierLeases(evolve(ROW, has_resigned=True), SENT_S)
    assert leases.ends_s == SENT_S + LEASES_END_S


def test_leases_of_owners_before_the_previous_one_are_forgotten():
    leases = EarlierLeases(evolve(ROW, earlier_leases_end_s=9.0), SENT_S)
    leases.note_stopped(ROW.incarnation, SENT_S + 0.5)
    assert leases.ends_s == SENT_S + 9.0


def test_leases_of_an_owner_two_before_count_until_the_longest_bound():
    first = EarlierLeases(ROW, SENT_S)
    second_row = evolve(
        ROW,
        incarnation="second",
        epoch=5,
        earlier_leases_end_s=first.remaining_s(SENT_S + 2.0),
        former=first.list_owners(SENT_S + 2.0),
    )
    leases = EarlierLeases(second_row, SENT_S + 2.0)
    assert leases.ends_s == SENT_S + 2.0 + UNCONFIRMED_LEASES_END_S
    for address in WITNESSES[:3]:
        leases.note_confirmations_ended(address, 50.0)
    assert leases.ends_s == SENT_S + 2.0 + LEASES_END_S


def test_owner_counts_as_stopped_since_an_earlier_run_of_its_process_has():
    first = EarlierLeases(ROW, SENT_S)
    second_row = evolve(
        ROW,
        incarnation="second",
        epoch=5,
        earlier_leases_end_s=first.remaining_s(SENT_S + 2.0),
        former=first.list_owners(SENT_S + 2.0),
    )
    leases = EarlierLeases(second_row, SENT_S + 2.0)
    leases.note_stopped(ROW.incarnation, SENT_S + 2.5)
    assert leases.ends_s == SENT_S + 2.0 + UNCONFIRMED_LEASES_END_S


def test_leases_of_owners_before_one_of_an_earlier_version_are_forgotten():
    leases = EarlierLeases(OwnerRow("node", "1:1", "this", 4), SENT_S)
    leases.note_stopped("this", SENT_S)
    assert leases.ends_s == SENT_S + UNCONFIRMED_LEASES_END_S


def test_owner_counts_a_renewal_from_the_later_of_two_rows_of_which_one_is_stored():
    async def main() -> None:
        loop = asyncio.get_running_loop()
        tenure = Tenure(ROW, 1, loop.time())
        sent_s = loop.time()
        for _ in range(2):
            tenure.make_row(loop.time(), None)
            await asyncio.sleep(0.8)
            tenure.note_failed("unknown", loop.time() - 0.8, may_be_stored=True)
        tenure.note_found(2)
        assert tenure.renewed_age_s == pytest.approx(loop.time() - sent_s)

    run_with_virtual_clock(main())


def test_owner_counts_on_new_witnesses_before_the_row_that_names_them_is_stored():
    async def main() -> None:
        loop = asyncio.get_running_loop()
        tenure = Tenure(ROW, 1, loop.time(), list_peers=lambda: ["7:7"])
        await asyncio.sleep(4.0)
        row = tenure.make_row(loop.time(), None)
        assert row.witnesses == ["7:7"]
        tenure.note_failed("unknown", loop.time(), may_be_stored=True)
        limit_s = tenure.lease_limit_s
        tenure.note_outage_confirmed("7:7", loop.time())
        assert tenure.lease_limit_s == limit_s
        for address in WITNESSES[:3]:
            tenure.note_outage_confirmed(address, loop.time())
        assert tenure.lease_limit_s == pytest.approx(limit_s + 4.0)

    run_with_virtual_clock(main())
