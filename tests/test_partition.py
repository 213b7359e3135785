"""Tests of one partition's decisions."""

from __future__ import annotations

from fuchsiadale.decision.work import AttemptEnd, TaskState
from tests.builders import PartitionHarness, make_submission


def test_request_is_placed_started_and_answered() -> None:
    bench = PartitionHarness()
    work = bench.partition.accept(make_submission()).unwrap()
    (attempt,) = bench.partition.step().starts
    assert bench.partition.mark_sent(attempt, valid_until_s=10.0)
    bench.partition.mark_started(attempt.attempt_id)
    bench.partition.mark_ended(attempt.attempt_id, AttemptEnd.SUCCEEDED, b"crest")
    assert bench.partition.step().finished == [work]
    assert work.tasks[0].state is TaskState.SUCCEEDED
    assert work.tasks[0].answer is not None
    assert work.tasks[0].answer.body == b"crest"
