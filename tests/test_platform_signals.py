"""Tests of processes of the cell that are signalled from outside."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from signal import SIGHUP, SIGTERM

import pytest
from aiohttp import web

from tests.soak.configuration import write_configuration
from tests.soak.kept_connections import LOSS_SLACK_S, DelayedCall
from tests.soak.nodes import (
    Node,
    make_command,
    make_network_prefix,
    make_python_path,
)
from tests.soak.store import StoreStandIn

START_TIMEOUT_S = 20.0
GRACE_PERIOD_S = 6.0
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimated_ms":10}]}'
CALL_COUNT = 80

pytestmark = pytest.mark.processes


def wait_until(is_reached: Callable[[], bool]) -> bool:
    """Return whether a condition became true within the timeout."""
    ends_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < ends_s:
        if is_reached():
            return True
        time.sleep(0.005)
    return False


def list_imports(arguments: Sequence[str], folder: Path) -> list[str]:
    """Run Python in a folder; return the modules that it loads, in order."""
    result = subprocess.run(
        (sys.executable, "-X", "importtime", *arguments),
        env={"PYTHONPATH": make_python_path(), "FUCHSIADALE_BOOT": "missing"},
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    lines = [line for line in result.stderr.splitlines() if "|" in line]
    return [line.rpartition("|")[2].strip() for line in lines[1:]]


def test_no_module_is_loaded_before_sighup_is_ignored(tmp_path: Path) -> None:
    modules = list_imports(make_command()[1:], tmp_path)
    loaded_by_python = list_imports(("-S", "-c", ""), tmp_path)
    is_own = [name.startswith("fuchsiadale") for name in modules]
    assert modules[: is_own.index(True)] == loaded_by_python


def test_sighup_while_the_program_is_loaded_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    node = Node("node-0", f"{make_network_prefix()}.97", "127.0.0.1:1", tmp_path)
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


def test_planned_stop_answers_calls_whose_body_arrives_late(tmp_path: Path) -> None:
    async def main() -> list[float]:
        random = Random(1)
        store = StoreStandIn(Random(2))
        await write_configuration(store, 1)
        runner = web.ServerRunner(web.Server(store.handle_request, access_log=None))  # type: ignore[arg-type]
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        node = Node(
            "node-0", f"{make_network_prefix()}.96", f"127.0.0.1:{port}", tmp_path
        )
        node.start()
        try:
            log_file = tmp_path / "node-0.log"
            for event in ('"started"', '"configuration_applied"'):
                await asyncio.to_thread(
                    wait_until, lambda event=event: event in log_file.read_text()
                )
            calls = [
                DelayedCall(
                    f"{random.getrandbits(64):016x}",
                    BODY,
                    random.uniform(0.0, GRACE_PERIOD_S - 1.0),
                    random.uniform(0.0, 0.5),
                )
                for _ in range(CALL_COUNT)
            ]
            tasks = [asyncio.create_task(call.send(node.ip)) for call in calls]
            await asyncio.sleep(0.2)
            node.signal_process(SIGTERM)
            told_s = time.monotonic()
            for version in range(2, 8):
                node.signal_process(SIGHUP)
                await write_configuration(store, version)
                await asyncio.sleep(0.5)
            ages_s = await asyncio.gather(*tasks)
            assert await asyncio.to_thread(wait_until, lambda: not node.is_running)
            assert time.monotonic() - told_s < GRACE_PERIOD_S
        finally:
            node.kill()
            await runner.cleanup()
        return [age_s for age_s in ages_s if age_s is not None]

    assert [age_s for age_s in asyncio.run(main()) if age_s > LOSS_SLACK_S] == []
