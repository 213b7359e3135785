"""Tests of the checks of the soak with slow links."""

from __future__ import annotations

from pathlib import Path

import pytest

from fuchsiadale.cell import gateway
from tests.soak.slow_link_checks import NO_OWNER_TEXT, Answer


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (Answer(200, "{}"), True),
        (Answer(503, f"{NO_OWNER_TEXT} how many jobs are pending"), True),
        (Answer(503, "4.2 s have passed since the configuration was confirmed"), False),
        (Answer(503, "no configuration has been received yet"), False),
        (Answer(404, "no queue matches the host and path of the request"), False),
        (Answer(0, "TimeoutError()"), False),
    ],
)
def test_answer_without_the_queue_of_a_version_is_found(
    answer: Answer, expected: bool
) -> None:
    assert answer.is_from_version is expected


def test_answer_of_a_node_without_counts_of_the_owner_has_the_expected_text() -> None:
    assert NO_OWNER_TEXT in Path(gateway.__file__).read_text()
