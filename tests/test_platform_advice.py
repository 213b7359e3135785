"""Replies of the advice service."""

from __future__ import annotations

import pytest

from fuchsiadale.decision.workflow.names import StepName
from fuchsiadale.platform.advice import PlatformAdviceClient
from fuchsiadale.platform.http import Reply
from fuchsiadale.ports.task_workers import Advice
from tests.test_platform_adapter import FakeHttpClient
from tests.virtual_loop import run_with_virtual_clock


def request_advice(body: dict[str, object]) -> Advice | None:
    """Return the advice that a client decodes from a reply."""

    async def main() -> Advice | None:
        http = FakeHttpClient(Reply(200, body))
        client = PlatformAdviceClient(http, "10.0.0.1:80")  # type: ignore[arg-type]
        return await client.request_advice(StepName("a" * 16, 0, 0), ("w",), 1.0)

    return run_with_virtual_clock(main())


def test_granted_workers_get_tickets():
    advice = request_advice({"granted": [["w", "t"]], "valid_ms": 1500})
    assert advice == Advice({"w": "t"}, 1.5)


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"granted": None, "valid_ms": 2000},
        {"granted": [["w", "t"], 5], "valid_ms": 2000},
        {"granted": [["w"]], "valid_ms": 2000},
        {"granted": [["w", "t"]]},
    ],
)
def test_unreadable_reply_denies_no_worker_for_good(body: dict[str, object]):
    assert request_advice(body) is None
