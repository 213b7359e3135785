"""A worker refuses starts while jobs wait; the nodes then count them as begun."""

import asyncio
from pathlib import Path

from harness import World, has_trouble, job, main, now_s

FULL_JOB, SHORT_JOB = "7a00000000000000", "7b00000000000000"
WORKERS = 12  # one of twelve is a share of 0.083; the pages name 0.085
JOBS = 20
REFUSING_S = 6.4  # seconds for which the worker refuses starts; the pages name 6.5
VISIBLE_S = 3.0  # bounds.visible_ms
MIN_AGE_S = VISIBLE_S + 2.0


async def play(world: World) -> list[str]:
    await world.start(3, WORKERS, {"cpu": 4000, "mem_mb": 8000, "gpu": 0})
    # One task fills a worker. One of the workers is free again after 8 s.
    assert await world.submit(FULL_JOB, job(40.0, WORKERS - 1, cpu=4000))
    assert await world.submit(SHORT_JOB, job(8.0, 1, cpu=4000))
    await asyncio.sleep(1.5)
    short = [w for w in world.workers if any(SHORT_JOB in task for task in w.runs)]
    if len(short) != 1 or any(not worker.runs for worker in world.workers):
        raise RuntimeError("the workers are not full")
    worker = short[0]
    accepted_s: dict[str, float] = {}
    for number in range(JOBS):
        job_id = f"7c000000000000{number:02x}"
        if await world.submit(job_id, job(1.0, 1, cpu=200)):
            accepted_s[job_id] = now_s()
    while any(SHORT_JOB in task for task in worker.runs):
        # The worker falls ill just before it has room again.
        run = next(iter(worker.runs.values()))
        if has_trouble() and now_s() - run["began_s"] > 7.5 and not worker.is_refusing:
            worker.is_refusing = True
            refuses_until_s = now_s() + REFUSING_S
        await asyncio.sleep(0.02)
    problems = []
    checks = 0
    for _ in range(4):
        await asyncio.sleep(1.2)
        if has_trouble() and now_s() > refuses_until_s:
            worker.is_refusing = False
        for node in world.nodes:
            asked_s = now_s()
            answer = await world.call("GET", node, "")
            if answer is None or answer[0] != 200:
                continue
            begun = {task[:16] for w in world.workers for task, _ in w.ever_started}
            waiting = [
                job_id
                for job_id, time_s in accepted_s.items()
                if asked_s - time_s > MIN_AGE_S and job_id not in begun
            ]
            checks += 1
            pending = answer[1]["pending"]
            world.record.add(f"{node.name}: {pending} pending, {len(waiting)} wait")
            if pending < 0.5 * len(waiting):
                problems.append(
                    f"{node.name} gives {pending} jobs as pending while {len(waiting)}"
                    f" that were accepted more than {MIN_AGE_S} s ago have not begun"
                )
    if not checks:
        raise RuntimeError("no node answered")
    return problems


main(Path(__file__).parent, play)
