"""An urgent gang that has to wait keeps less urgent work from starting for good."""

import asyncio
from pathlib import Path

from harness import World, has_trouble, job, main, now_s

URGENT, BATCH = "/urgent/", "/batch/"
ROUTES = [
    {"name": "urgent", "path_prefix": URGENT, "priority": 0},
    {"name": "batch", "path_prefix": BATCH, "priority": 2},
]
LASTING_JOB, URGENT_GANG = "9a00000000000000", "9b00000000000000"
WAITING = {
    "9c00000000000000": {"gang": True},
    "9d00000000000000": {"long_running": True},
}
WORKERS = 8
CAPACITY = {"cpu": 4000, "mem_mb": 8000, "gpu": 0}
FINISH_S = 14.0  # bounds.finish_s
IDLE_S = 3.0  # seconds without a run that break the rule
SMALL_CPU, TASK_MB = 200, 100
# Processors and memory of a task, by the first letters of its job's id.
SHAPES = {"9a": (500, 100), "9b": (4000, 100), "9c": (200, 100), "9d": (200, 100)}


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
    await world.start(3, WORKERS, CAPACITY, routes=ROUTES)
    lasting = job(1000.0, WORKERS, cpu=500, long_running=True, anti_affinity=1)
    assert await world.submit(LASTING_JOB, lasting, BATCH)
    await asyncio.sleep(2.0)
    if any(len(worker.runs) != 1 for worker in world.workers):
        raise RuntimeError("the lasting tasks are not spread over the workers")
    if has_trouble():
        # It would fit if no other task ran on the workers.
        gang = job(1.0, WORKERS, cpu=4000, gang=True)
        assert await world.submit(URGENT_GANG, gang, URGENT)
    await asyncio.sleep(2.0)
    for job_id, step in WAITING.items():
        assert await world.submit(job_id, job(60.0, 2, cpu=200, **step), BATCH)
    # The traffic has ended.
    ends_s = now_s() + FINISH_S + 4.0
    idle_since_s = {job_id: ends_s for job_id in WAITING}
    while now_s() < ends_s + IDLE_S + 0.4:
        await asyncio.sleep(0.1)
        running = {task[:16] for worker in world.workers for task in worker.runs}
        for job_id in WAITING:
            if job_id in running or now_s() < ends_s or not has_room(world, 2):
                idle_since_s[job_id] = now_s()
    used = sum(500 + 200 * (len(worker.runs) - 1) for worker in world.workers)
    total = WORKERS * CAPACITY["cpu"]
    world.record.add(f"in use: {used} of {total} cpu")
    problems = []
    for job_id in WAITING:
        answer = await world.call("GET", world.nodes[1], job_id, prefix=BATCH)
        if answer is None or answer[0] != 200:
            raise RuntimeError("a node does not answer")
        idle_s = now_s() - idle_since_s[job_id]
        if idle_s > IDLE_S:
            problems.append(
                f"{job_id} is shown as {answer[1]['state']} and has had nothing running"
                f" for {idle_s:.1f} s, {FINISH_S} s and more after the traffic's end,"
                f" with {used} of {total} cpu in use"
            )
    return problems


main(Path(__file__).parent, play)
