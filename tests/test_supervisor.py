"""Tests of how long a supervisor waits before it restarts a child."""

from __future__ import annotations

import asyncio

from fuchsiadale.supervisor import (
    MAX_RESTART_DELAY_S,
    RESTART_DELAY_S,
    Supervisor,
)
from tests.virtual_loop import run_with_virtual_clock


def test_restart_delay_doubles_and_begins_anew_after_a_long_run():
    async def main() -> None:
        starts_s: list[float] = []
        runs_s = [0.0, 0.0, 0.0, MAX_RESTART_DELAY_S + 1.0, 0.0]
        loop = asyncio.get_running_loop()

        async def child() -> None:
            starts_s.append(loop.time())
            if len(starts_s) > len(runs_s):
                return
            await asyncio.sleep(runs_s[len(starts_s) - 1])
            raise RuntimeError("failed")

        supervisor = Supervisor("test")
        supervisor.start("child", child)
        await asyncio.sleep(60.0)
        pauses_s = [
            round(later - earlier - ran_s, 3)
            for earlier, later, ran_s in zip(
                starts_s, starts_s[1:], runs_s, strict=False
            )
        ]
        first_s = RESTART_DELAY_S
        assert pauses_s == [first_s, 2 * first_s, 4 * first_s, first_s, 2 * first_s]

    run_with_virtual_clock(main())
