"""What the facts known of a run's end say about its task."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.attempts import CrashHistory
from fuchsiadale.decision.workflow.jobs import Run, RunState, make_job
from fuchsiadale.decision.workflow.messages import EndKind
from fuchsiadale.decision.workflow.run_ends import CrashTiming, RunEnd, RunEndCause
from tests.workflow_builders import make_record, make_step


def make_end(is_lasting: bool = False, **facts: object) -> RunEnd:
    """Return the end of a run whose worker was found to have restarted."""
    task = make_job(make_record(0, make_step(is_lasting=is_lasting))).tasks()[0]
    run = Run(task, "worker-0", 1, RunState.RUNNING, 0.0)
    return RunEnd(run, **facts)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("facts", "cause"),
    [
        ({"listed": EndKind.FAILED}, RunEndCause.OWN_FAULT),
        ({"listed": EndKind.LEASE_LAPSED}, RunEndCause.NO_CRASH),
        ({}, RunEndCause.POSSIBLE_CRASH),
        ({"timing": CrashTiming.AT_START}, RunEndCause.PROVEN_CRASH),
        ({"timing": CrashTiming.LATE, "age_s": 3.0}, RunEndCause.POSSIBLE_CRASH),
        ({"timing": CrashTiming.LATE}, RunEndCause.NO_CRASH),
        (
            {"timing": CrashTiming.LATE, "age_s": 3.0, "is_lasting": True},
            RunEndCause.NO_CRASH,
        ),
        (
            {"timing": CrashTiming.AT_START, "lease_ended_s": 5.0},
            RunEndCause.POSSIBLE_CRASH,
        ),
        ({"lease_ended_s": 5.0, "next_start_s": 4.9}, RunEndCause.POSSIBLE_CRASH),
        ({"lease_ended_s": 5.0, "next_start_s": 5.0}, RunEndCause.NO_CRASH),
        (
            {"lease_ended_s": 5.0, "next_start_s": 9.0, "closed_s": 1.0},
            RunEndCause.POSSIBLE_CRASH,
        ),
        (
            {"lease_ended_s": 5.0, "next_start_s": 9.0, "closed_s": 5.5},
            RunEndCause.NO_CRASH,
        ),
        ({"has_unexplained_losses": True, "is_fresh": True}, RunEndCause.NO_CRASH),
    ],
)
def test_cause_of_an_end_follows_from_its_facts(
    facts: dict[str, object], cause: RunEndCause
):
    assert make_end(**facts).cause is cause  # type: ignore[arg-type]


@pytest.mark.parametrize("is_fresh", [False, True])
def test_crash_with_a_cause_outside_counts_for_a_suspect_that_had_just_started(
    is_fresh: bool,
):
    end = make_end(
        timing=CrashTiming.AT_START, is_fresh=is_fresh, has_unexplained_losses=True
    )
    end.run.task.crashes = CrashHistory().with_crash(1, "a", True)
    expected = RunEndCause.POSSIBLE_CRASH if is_fresh else RunEndCause.NO_CRASH
    assert end.cause is expected
    assert not end.is_at_start


def test_crashes_that_were_not_counted_are_added_only_to_two_of_which_one_is_proven():
    history = CrashHistory().with_excused(1).with_excused(2).with_excused(3)
    proven = history.with_crash(4, "a", True)
    uncertain = history.with_crash(4, "a", False).with_crash(5, "b", False)
    for kept in (history, proven, uncertain):
        assert not kept.must_be_given_up(is_one_job=False, is_ambiguous=True)
    given_up = proven.with_crash(5, "a", False)
    assert given_up.must_be_given_up(is_one_job=False, is_ambiguous=True)
    for cleared in (given_up.without_crash(2), given_up.without_crashes_up_to(3)):
        assert not cleared.must_be_given_up(is_one_job=False, is_ambiguous=True)
