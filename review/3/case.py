"""A job starts long after its cancelling was acknowledged, as its row came late."""

from __future__ import annotations

import asyncio
from pathlib import Path

from common.scenario import CannotRun, Scenario, run

LOST_S, LOST_SHARE, LATE_S = 4.5, 0.35, 6.0
"""Doses of `platform_lost`; writes whose answer is lost are done 1 to 6 s later."""

JOBS = 48
FIRST_S, LAST_S = 2.9, 1.4
"""The jobs are handed in this long before the answers cease to be lost."""

CONTACT_S, CANCEL_S = 3.0, 3.0


async def case(scenario: Scenario) -> int:
    """Cancel jobs that were handed in without a final answer."""
    for index in range(6):
        await scenario.add_worker(f"i-{index:04x}", 16_000, 65_536)
    await scenario.start()
    started_s = scenario.now
    if scenario.trouble:
        scenario.store.lost_share, scenario.store.late_s = LOST_SHARE, LATE_S
        scenario.log("answers_lost", share=LOST_SHARE, late_s=LATE_S)
    requesters = []
    for index in range(JOBS):
        at_s = started_s + LOST_S - FIRST_S + (FIRST_S - LAST_S) * index / JOBS
        requesters.append(asyncio.create_task(request(scenario, index, at_s)))
    await asyncio.sleep(started_s + LOST_S - scenario.now)
    scenario.store.lost_share = 0.0
    stable_s = scenario.log("answers_come")
    cancelled = dict(filter(None, await asyncio.gather(*requesters)))
    scenario.log("cancelled", jobs=len(cancelled))
    if scenario.trouble and not cancelled:
        raise CannotRun("every job got a final answer")
    await asyncio.sleep(max(0.0, stable_s + 14.0 - scenario.now))
    problems = []
    for event in scenario.events:
        if event["kind"] != "start":
            continue
        job = event["task"].partition(".")[0]
        if job not in cancelled:
            continue
        after_s = event["at"] - cancelled[job]
        calm_s = event["at"] - stable_s
        scenario.log(
            "started_though_cancelled",
            task=event["task"],
            after_s=round(after_s, 3),
            calm_s=round(calm_s, 3),
        )
        if after_s > CANCEL_S and calm_s > CONTACT_S:
            problems.append(
                f"UNASKED: {event['task']} starts {after_s:.2f} s after the job's"
                f" cancelling was acknowledged, and {calm_s:.2f} s after the last"
                " disturbance"
            )
    return scenario.verdict(problems)


async def request(
    scenario: Scenario, index: int, at_s: float
) -> tuple[str, float] | None:
    """Hand a job in once; cancel it at another machine if its outcome is unknown."""
    job = f"{0xF00 + index:016x}"
    await asyncio.sleep(max(0.0, at_s - scenario.now))
    nodes = scenario.nodes
    step = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimated_ms": 500}
    body = {"spec": '{"seconds": 0.5}', "steps": [step]}
    status, _ = await scenario.call("POST", job, body, nodes[index % len(nodes)])
    if status not in (0, 502, 504):
        return None
    for attempt in range(1, 6):
        node = nodes[(index + attempt) % len(nodes)]
        status, _ = await scenario.call("DELETE", job, None, node)
        if 200 <= status < 300 or status == 410:
            return job, scenario.now
        await asyncio.sleep(0.1)
    return None


run(case, Path(__file__).parent)
