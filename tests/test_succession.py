"""Tests of which process of a cell should own it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiadale.decision.succession import (
    FIT_SHARE,
    MAX_DEFERRAL_S,
    MIN_PEER_AGE_S,
    acquisition_deferral_s,
    compute_fitness,
    should_hand_over,
)

fitness_values = st.floats(0.01, 16.0)


def test_fitness_grows_with_the_processor_and_shrinks_with_a_slow_link():
    assert compute_fitness(0.717, 3, 200.0) == pytest.approx(2.151)
    assert compute_fitness(0.516, 1, 100.0) == pytest.approx(0.516)
    assert compute_fitness(0.717, 3, 10.0) == pytest.approx(0.430, abs=0.001)


@given(fitness_values, fitness_values)
def test_only_processes_near_the_best_fitness_acquire_without_deferring(
    fitness: float, best: float
):
    deferral_s = acquisition_deferral_s(fitness, best)
    assert (deferral_s == 0.0) == (fitness >= FIT_SHARE * best)
    assert 0.0 <= deferral_s <= MAX_DEFERRAL_S


@given(fitness_values, fitness_values, st.none() | fitness_values)
def test_fitter_process_never_defers_longer(
    first: float, second: float, best: float | None
):
    low, high = sorted((first, second))
    assert acquisition_deferral_s(high, best) <= acquisition_deferral_s(low, best)


def test_row_without_fitness_makes_no_process_defer():
    assert acquisition_deferral_s(0.5, 0.0) == 0.0


@given(fitness_values, fitness_values)
def test_no_two_processes_hand_the_cell_to_each_other(first: float, second: float):
    assert not (
        should_hand_over(first, second, MIN_PEER_AGE_S)
        and should_hand_over(second, first, MIN_PEER_AGE_S)
    )


@given(fitness_values, fitness_values)
def test_process_that_would_be_replaced_by_hand_over_does_not_acquire_first(
    fitness: float, best: float
):
    if should_hand_over(fitness, best, MIN_PEER_AGE_S):
        assert acquisition_deferral_s(fitness, best) > 0.0


def test_cell_is_not_handed_to_a_peer_that_has_just_appeared():
    assert should_hand_over(0.5, 2.0, MIN_PEER_AGE_S)
    assert not should_hand_over(0.5, 2.0, MIN_PEER_AGE_S - 0.1)
