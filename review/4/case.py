"""A job is given up after one crash under it, as a dead worker counts as the second."""

from __future__ import annotations

import asyncio
from pathlib import Path

from common.scenario import CannotRun, Scenario, run

JOB = "00000000000000c1"
WORKERS = 8
"""One of eight is an eighth, within the share of 0.14 that crashes at a time."""

FILLED = 6
"""Workers on which other jobs leave too little room for the job's task."""

TASK_S, OTHER_TASK_S = 6.0, 45.0
RUN_BEFORE_CRASH_S = 2.0
DOWN_S = 4.0
SECOND_BEFORE_S = 0.6
"""The second worker goes dark about as long before the first one is back.

It does so just after the owner has asked it for its runs, which it does every 2 s. The
owner then learns of it 2.3 s later.
"""


async def case(scenario: Scenario) -> int:
    """Crash the worker of a job's only task, and then the one that would be next."""
    for index in range(WORKERS):
        await scenario.add_worker(f"i-{index:04x}", 16_000, 65_536)
    await scenario.start()
    for index in range(FILLED):
        step = {"count": 1, "cpu": 9000, "mem_mb": 1024, "estimated_ms": 45_000}
        job = f"{0xA00 + index:016x}"
        if not await scenario.submit(job, [step], {"seconds": OTHER_TASK_S}):
            raise CannotRun("another job was not accepted")
    await asyncio.sleep(2.0)
    step = {"count": 1, "cpu": 12_000, "mem_mb": 1024, "estimated_ms": 6000}
    if not await scenario.submit(JOB, [step], {"seconds": TASK_S}):
        raise CannotRun("the job was not accepted")
    await scenario.until(lambda: find_worker(scenario), 5, "the task runs nowhere")
    first = find_worker(scenario)
    idle = [worker for worker in scenario.workers if not worker.runs]
    if len(idle) != 1:
        raise CannotRun("not one other worker has room")
    second = idle[0]
    await asyncio.sleep(RUN_BEFORE_CRASH_S)
    if scenario.trouble:
        crash(scenario, first)
        await asyncio.sleep(DOWN_S - SECOND_BEFORE_S - 2.0)
        second.asked.clear()
        await asyncio.wait_for(second.asked.wait(), 4.0)
        await asyncio.sleep(0.05)
        crash(scenario, second)
        await asyncio.sleep(SECOND_BEFORE_S)
        boot(scenario, first)
        await asyncio.sleep(DOWN_S - SECOND_BEFORE_S)
        boot(scenario, second)
    state = None
    ends_s = scenario.now + 30.0
    while state not in ("completed", "failed", "cancelled") and scenario.now < ends_s:
        await asyncio.sleep(1.0)
        state = await scenario.state(JOB)
    runs = [e for e in scenario.events if JOB in e.get("task", "")]
    failed = [e for e in runs if e["kind"] == "end" and e["how"] == "failed"]
    lost = [e for e in runs if e["kind"] == "lost"]
    problems = []
    if state == "failed" and not failed and len({e["worker"] for e in lost}) < 2:
        problems.append(
            f"LOST: the job is shown as failed; none of its runs ended failed, and"
            f" {len(lost)} worker has crashed under it"
        )
    return scenario.verdict(problems)


def find_worker(scenario: Scenario):
    """Return the worker that runs the job's task."""
    for worker in scenario.workers:
        if any(JOB in task for task in worker.runs):
            return worker
    return None


def crash(scenario: Scenario, worker) -> None:
    """Crash a worker, so that it is silent."""
    scenario.log("crash", worker=worker.worker_id, runs=len(worker.runs))
    worker.is_dark = True
    worker.crash()


def boot(scenario: Scenario, worker) -> None:
    """Start a worker again, under its id."""
    worker.is_dark = False
    worker.boot()
    worker.register(scenario.store)
    scenario.log("boot", worker=worker.worker_id)


run(case, Path(__file__).parent)
