"""Sessions over real processes, compared with recorded replies in golden files.

If the environment variable ``FUCHSIADALE_RECORD`` is set, the golden files are
overwritten with the replies, so that the tests pass.
"""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.golden_session import GoldenSession
from tools.processes import ProcessCluster

GOLDEN_FOLDER = Path(__file__).parent / "golden"
SESSIONS = sorted(
    path.name.removesuffix(".session.yaml")
    for path in GOLDEN_FOLDER.glob("*.session.yaml")
)


@pytest.mark.processes
@pytest.mark.parametrize("name", SESSIONS)
def test_session_matches_recorded_replies(name: str, tmp_path: Path) -> None:
    cluster = ProcessCluster(tmp_path)
    try:
        cluster.start()
        steps = (GOLDEN_FOLDER / f"{name}.session.yaml").read_text("utf-8")
        results = GoldenSession(cluster).run(steps)
    finally:
        cluster.stop()
    expected_file = GOLDEN_FOLDER / f"{name}.expected.yaml"
    if os.environ.get("FUCHSIADALE_RECORD"):
        expected_file.write_text(results, "utf-8")
    assert results == expected_file.read_text("utf-8")
