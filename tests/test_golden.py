"""Golden files of whole sessions over real processes."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.golden_session import GoldenSession
from tools.processes import ProcessCluster

GOLDEN = Path(__file__).parent / "golden"
SESSIONS = sorted(
    path.name.removesuffix(".session.yaml") for path in GOLDEN.glob("*.session.yaml")
)


@pytest.mark.processes
@pytest.mark.parametrize("name", SESSIONS)
def test_session_is_answered_as_recorded(name: str, tmp_path: Path) -> None:
    cluster = ProcessCluster(tmp_path)
    try:
        cluster.start()
        steps = (GOLDEN / f"{name}.session.yaml").read_text("utf-8")
        shown = GoldenSession(cluster).play(steps)
    finally:
        cluster.stop()
    expected = GOLDEN / f"{name}.expected.yaml"
    if os.environ.get("FUCHSIADALE_RECORD"):
        expected.write_text(shown, "utf-8")
    assert shown == expected.read_text("utf-8")
