"""Tests of the times that are derived from the bounds of a deployment."""

from __future__ import annotations

import pytest

from fuchsiadale.cell.time_bounds import TimeBounds


@pytest.mark.parametrize("revocation_s", [3.0, 5.0, 20.0])
def test_process_becomes_unready_and_then_rejects_keys_before_revocation_bound(
    revocation_s: float,
):
    bounds = TimeBounds(key_revocation_s=revocation_s)
    assert bounds.max_ready_staleness_s < bounds.max_key_staleness_s < revocation_s


@pytest.mark.parametrize("grace_s", [0.2, 1.0, 3.0, 6.0, 30.0])
def test_shutdown_is_complete_before_the_process_is_killed(grace_s: float):
    bounds = TimeBounds(shutdown_grace_s=grace_s)
    assert bounds.unready_period_s + bounds.call_completion_s < grace_s


def test_job_retention_covers_the_status_retention_and_the_minimum():
    assert TimeBounds(status_retention_s=7200.0).job_retention_s == 7200.0
    assert TimeBounds(status_retention_s=1.0).job_retention_s >= 600.0
