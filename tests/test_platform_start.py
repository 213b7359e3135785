"""Test of signals that arrive while a process of the cell starts."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from signal import SIGHUP

import pytest

from tests.soak.nodes import Node

START_TIMEOUT_S = 20.0

pytestmark = pytest.mark.processes


def wait_until(is_reached: Callable[[], bool]) -> bool:
    """Return whether a condition became true within the timeout."""
    ends_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < ends_s:
        if is_reached():
            return True
        time.sleep(0.005)
    return False


def test_sighup_while_the_program_is_loaded_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    node = Node("node-0", "127.0.0.97", "127.0.0.1:1", tmp_path)
    node.start()
    try:
        assert node.process is not None
        memory_map = Path(f"/proc/{node.process.pid}/maps")
        # The first extension modules are loaded, and most of the program is not.
        assert wait_until(lambda: "_ssl." in memory_map.read_text())
        node.signal_process(SIGHUP)
        log_file = tmp_path / "node-0.log"
        wait_until(lambda: not node.is_running or '"started"' in log_file.read_text())
        assert node.is_running
        assert '"started"' in log_file.read_text()
    finally:
        node.kill()
