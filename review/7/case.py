"""A worker crashes; the small jobs that ran there never run again.

Large jobs wait, as a lasting task on each worker leaves no worker whole.
"""

import asyncio
from pathlib import Path

from harness import World, has_trouble, job, main, now_s

LASTING_JOB = "8a00000000000000"
WORKERS = 8  # one of eight is a share of 0.125; the pages name 0.14
CAPACITY = {"cpu": 4000, "mem_mb": 8000, "gpu": 0}
LARGE_JOBS_OF_A_SHAPE = 15
SMALL_JOBS = 4
SMALL_S = 2.0  # seconds of work of a small job
DOWN_S = 4.4  # seconds for which the worker is down; the pages name 4.5
FINISH_S = 14.0  # bounds.finish_s
IDLE_S = 3.0  # seconds without a run that break the rule
SMALL_CPU, TASK_MB = 200, 100
# Processors and memory of a task, by the first letters of its job's id.
SHAPES = {"8a": (500, 100), "8c": (4000, 100), "8d": (100, 8000), "8e": (200, 100)}


def has_room(world: World, needed: int) -> bool:
    """Tell whether there is room for small tasks twice over, with under half in use."""
    places = used_cpu = used_mb = 0
    for worker in world.workers:
        shapes = [SHAPES[task[:2]] for task in worker.runs]
        cpu, mem_mb = sum(s[0] for s in shapes), sum(s[1] for s in shapes)
        used_cpu, used_mb = used_cpu + cpu, used_mb + mem_mb
        if worker.is_up:
            free_cpu, free_mb = CAPACITY["cpu"] - cpu, CAPACITY["mem_mb"] - mem_mb
            places += max(0, min(free_cpu // SMALL_CPU, free_mb // TASK_MB))
    is_half_free = (
        used_cpu < WORKERS * CAPACITY["cpu"] / 2
        and used_mb < WORKERS * CAPACITY["mem_mb"] / 2
    )
    return is_half_free and places >= 2 * needed


async def play(world: World) -> list[str]:
    await world.start(3, WORKERS, CAPACITY)
    lasting = job(1000.0, WORKERS, cpu=500, long_running=True, anti_affinity=1)
    assert await world.submit(LASTING_JOB, lasting)
    await asyncio.sleep(2.0)
    if any(len(worker.runs) != 1 for worker in world.workers):
        raise RuntimeError("the lasting tasks are not spread over the workers")
    for number in range(LARGE_JOBS_OF_A_SHAPE):
        for shape, cpu, mem_mb in (("c", 4000, 100), ("d", 100, 8000)):
            body = job(1.0, 1, cpu=cpu, mem_mb=mem_mb)
            assert await world.submit(f"8{shape}000000000000{number:02x}", body)
    await asyncio.sleep(4.0)
    small = [f"8e000000000000{number:02x}" for number in range(SMALL_JOBS)]
    for job_id in small:
        assert await world.submit(job_id, job(SMALL_S, 1, cpu=200))
    await asyncio.sleep(1.0)
    busy = [w for w in world.workers if any(t[:16] in small for t in w.runs)]
    if not busy:
        raise RuntimeError("no small job has begun")
    if has_trouble():
        await busy[0].crash()
        await asyncio.sleep(DOWN_S)
        await busy[0].start()
    # The traffic has ended.
    ends_s = now_s() + FINISH_S + 4.0
    idle_since_s = {job_id: now_s() for job_id in small}
    while now_s() < ends_s + IDLE_S + 0.4:
        await asyncio.sleep(0.1)
        running = {task[:16] for worker in world.workers for task in worker.runs}
        for job_id in small:
            if job_id in running or now_s() < ends_s or not has_room(world, 1):
                idle_since_s[job_id] = now_s()
    problems = []
    used = sum(500 + 200 * (len(worker.runs) - 1) for worker in world.workers)
    world.record.add(f"in use: {used} of {WORKERS * CAPACITY['cpu']} cpu")
    for job_id in small:
        answer = await world.call("GET", world.nodes[1], job_id)
        if answer is None or answer[0] != 200:
            raise RuntimeError("a node does not answer")
        idle_s = now_s() - idle_since_s[job_id]
        if answer[1]["state"] != "completed" and idle_s > IDLE_S:
            problems.append(
                f"{job_id} is shown as {answer[1]['state']} and has had nothing running"
                f" for {idle_s:.1f} s, {FINISH_S} s and more after the traffic's end,"
                f" with {used} of {WORKERS * CAPACITY['cpu']} cpu in use"
            )
    return problems


main(Path(__file__).parent, play)
