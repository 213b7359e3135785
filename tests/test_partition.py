"""Decisions of one partition."""

from __future__ import annotations

from fuchsiadale.decision.work import AttemptEnd, TaskState
from tests.builders import PartitionHarness, make_submission


def test_request_that_succeeds_is_finished_with_its_answer() -> None:
    harness = PartitionHarness()
    work = harness.partition.accept(make_submission()).unwrap()
    (attempt,) = harness.partition.step().starts
    assert harness.partition.mark_sent(attempt, valid_until_s=10.0)
    harness.partition.mark_started(attempt.attempt_id)
    harness.partition.mark_ended(attempt.attempt_id, AttemptEnd.SUCCEEDED, b"crest")
    assert harness.partition.step().finished == [work]
    assert work.tasks[0].state is TaskState.SUCCEEDED
    assert work.tasks[0].answer is not None
    assert work.tasks[0].answer.body == b"crest"
