"""Tasks run again after they are done, as a worker lists at most 500 ends at a time."""

from __future__ import annotations

import asyncio
from pathlib import Path

from common.scenario import CannotRun, Scenario, check_twice, run

JOBS, TASKS = 14, 50
ENDS_FROM_S, ENDS_SPREAD_S = 12.0, 3.0
"""The tasks of the jobs end from this long after the last job was handed in on."""

STORE_DOWN_S = 4.0
"""Within the 5 s for which the store may be down."""


async def case(scenario: Scenario) -> int:
    """Take the store down for some seconds while many small tasks end."""
    for index in range(3):
        await scenario.add_worker(f"i-{index:04x}", 16_000, 65_536)
    await scenario.start()
    end_s = scenario.now + JOBS * 0.4 + ENDS_FROM_S
    jobs = [f"{0xE00 + index:016x}" for index in range(JOBS)]
    for index, job in enumerate(jobs):
        step = {"count": TASKS, "cpu": 20, "mem_mb": 16, "estimated_ms": 12_000}
        spec = {"end_s": end_s + ENDS_SPREAD_S * index / JOBS}
        if not await scenario.submit(job, [step], spec):
            raise CannotRun("a job was not accepted")
        await asyncio.sleep(0.4)
    await scenario.until(
        lambda: sum(len(worker.runs) for worker in scenario.workers) == JOBS * TASKS,
        ENDS_FROM_S - 2.0,
        "not all tasks run",
    )
    most = max(len(worker.runs) for worker in scenario.workers)
    scenario.log("all_run", most_on_one_worker=most)
    await asyncio.sleep(max(0.0, end_s - 0.3 - scenario.now))
    if scenario.trouble:
        scenario.store.is_down = True
        scenario.log("store_down")
        await asyncio.sleep(STORE_DOWN_S)
        scenario.store.is_down = False
        scenario.log("store_up")
    waiting = set(jobs)
    ends_s = scenario.now + 40.0
    while waiting and scenario.now < ends_s:
        await asyncio.sleep(2.0)
        for job in sorted(waiting):
            if await scenario.state(job) == "completed":
                waiting.discard(job)
    await asyncio.sleep(2.0)
    return scenario.verdict([f"TWICE: {p}" for p in check_twice(scenario.events)])


run(case, Path(__file__).parent)
