"""Tests of what readings of a worker's clock tell."""

from __future__ import annotations

import pytest

from fuchsiadale.cell.worker_clock import ClockReading
from fuchsiadale.decision.workflow.tracked_worker import MAX_CLOCK_DRIFT


@pytest.mark.parametrize(("later_ms", "sent_s"), [(200, 101.0), (40, 100.1)])
def test_restart_of_a_worker_that_had_just_started_shows_no_sign_in_its_clock(
    later_ms: int, sent_s: float
):
    assert ClockReading(40, 100.0).has_gone_back(later_ms, sent_s)


@pytest.mark.parametrize("age_s", [0.0, 0.01, 1.0, 60.0])
def test_slow_clock_of_a_worker_is_taken_for_one_that_has_started_anew(age_s: float):
    reading = ClockReading(5000, 100.0)
    slowest_ms = 5000 + int(1000 * age_s * (1.0 - MAX_CLOCK_DRIFT))
    assert not reading.has_gone_back(slowest_ms, 100.0 + age_s)
    assert not reading.has_gone_back(None, 100.0 + age_s)
