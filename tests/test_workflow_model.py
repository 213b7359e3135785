"""Promises that hold under any order of events, losses, delays and takeovers."""

from __future__ import annotations

from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fuchsiadale.decision.workflow.messages import EndKind
from fuchsiadale.decision.workflow.specification import JobRecord
from tests.workflow_builders import make_record, make_step
from tests.workflow_simulation import World

SHAPES = (
    (make_step(3, 1500),),
    (make_step(2, 1000), make_step(2, 2000, after=(0,))),
    (make_step(4, 1000, is_checkpointing=True),),
)
KINDS = (EndKind.DONE, EndKind.FAILED)

WORKERS = ("worker-0", "worker-1", "worker-2")
SETTLING = 0.5
"""Share of steps in which orders are delivered, workers looked at and ends noted."""

EVENTS = (
    "accept",
    "cancel",
    "plan",
    "commit",
    "deliver",
    "delay",
    "late",
    "look",
    "end",
    "end",
    "end",
    "restart",
    "time",
    "time",
    "takeover",
)
LENGTH = 60
RUNS = 500


def record_of(number: int) -> JobRecord:
    queue = "urgent" if number % 2 else "batch"
    return make_record(number, *SHAPES[number % len(SHAPES)], queue=queue)


def settle(world: World, random: Random) -> None:
    """Let most things go as on a calm day."""
    world.plan()
    if random.random() < 0.9:
        world.commit()
    while world.pending:
        world.deliver(0, random.random() < 0.95)
        if random.random() < 0.05:
            break
    for worker_id in WORKERS:
        if random.random() < 0.8:
            world.look(worker_id, random.random() < 0.95)
    if random.random() < 0.8:
        world.commit()


def disturb(world: World, random: Random) -> None:
    """Let one event happen that nobody waits for."""
    kind = random.choice(EVENTS)
    worker_id = random.choice(WORKERS)
    index = random.randrange(8)
    record = record_of(random.randrange(8))
    if kind == "accept" and record.job_id not in world.records:
        world.accept(record)
    elif kind == "cancel" and record.job_id in world.records and index == 0:
        world.cancel(record.job_id)
    elif kind == "plan":
        world.plan()
    elif kind == "commit":
        world.commit()
    elif kind == "deliver":
        world.deliver(index, random.random() < 0.7)
    elif kind == "delay":
        world.delay(index)
    elif kind == "late":
        world.carry_out_late(index)
    elif kind == "look":
        world.look(worker_id, random.random() < 0.5)
    elif kind == "end":
        world.end(worker_id, index, random.choice(KINDS))
    elif kind == "restart" and index < 3:
        world.restart(worker_id)
    elif kind == "time":
        world.pass_time(random.choice((0.1, 1.0, 2.0, 4.0, 8.0)))
    elif kind == "takeover":
        world.take_over()


@settings(
    max_examples=RUNS,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.integers(0, 1 << 40))
def test_no_order_of_events_breaks_a_promise(seed: int):
    random = Random(seed)
    world = World()
    for worker_id in world.workers:
        world.look(worker_id, True)
    for number in range(4):
        world.accept(record_of(number))
    world.commit()
    for _ in range(LENGTH):
        if random.random() < SETTLING:
            settle(world, random)
        else:
            disturb(world, random)
