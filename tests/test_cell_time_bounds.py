"""Times that follow from a deployment's bounds."""

from __future__ import annotations

import pytest

from fuchsiadale.cell.time_bounds import TimeBounds


@pytest.mark.parametrize("revocation_s", [3.0, 5.0, 20.0])
def test_keys_stop_being_trusted_before_the_bound(revocation_s: float):
    terms = TimeBounds(key_revocation_s=revocation_s)
    assert terms.max_ready_staleness_s < terms.max_key_staleness_s < revocation_s


@pytest.mark.parametrize("grace_s", [0.2, 1.0, 3.0, 6.0, 30.0])
def test_process_that_stops_has_ended_before_it_is_killed(grace_s: float):
    terms = TimeBounds(shutdown_grace_s=grace_s)
    assert terms.unready_period_s + terms.call_completion_s < grace_s


def test_ended_jobs_are_kept_as_long_as_promised():
    assert TimeBounds(status_retention_s=7200.0).job_retention_s == 7200.0
    assert TimeBounds(status_retention_s=1.0).job_retention_s >= 600.0
