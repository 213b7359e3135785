"""Tests that the lease rules keep a task from running on two workers at a time.

Without each of the rules in `SCHEDULES` the task would run on two workers.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fuchsiadale.decision.authority import AuthorityRules
from fuchsiadale.decision.session import SessionRules
from tests.lease_world import WORKERS, LeaseRules, LeaseWorld

HOSTS = ("a", "b")
KINDS = ("adopt", "heartbeat", "start")


class LeaseMachine(RuleBasedStateMachine):
    """Applies time steps, messages, renewals and takeovers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = LeaseWorld()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5, 4.0, 11.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(name=st.sampled_from(HOSTS))
    def renew_lease(self, name: str) -> None:
        if name in self.world.hosts:
            self.world.renew_lease(name)

    @rule(name=st.sampled_from(HOSTS))
    def take_over(self, name: str) -> None:
        self.world.take_over(name)

    @rule(
        name=st.sampled_from(HOSTS),
        kind=st.sampled_from(KINDS),
        worker=st.sampled_from(WORKERS),
    )
    def send(self, name: str, kind: str, worker: str) -> None:
        if name in self.world.hosts:
            self.world.send(name, kind, worker)

    @rule(
        name=st.sampled_from(HOSTS),
        kind=st.sampled_from(KINDS),
        worker=st.sampled_from(WORKERS),
    )
    def send_and_deliver(self, name: str, kind: str, worker: str) -> None:
        if name in self.world.hosts:
            self.world.send_and_deliver(name, kind, worker)

    @rule(index=st.integers(0, 50), is_answered=st.booleans())
    def deliver(self, index: int, is_answered: bool) -> None:
        if self.world.in_flight:
            self.world.deliver(index % len(self.world.in_flight), is_answered)

    @rule(worker=st.sampled_from(WORKERS))
    def reboot(self, worker: str) -> None:
        self.world.reboot(worker)

    @invariant()
    def task_runs_on_at_most_one_worker(self) -> None:
        assert len(self.world.task_workers) <= 1


LeaseMachine.TestCase.settings = settings(
    derandomize=True, max_examples=400, stateful_step_count=60, deadline=None
)
test_task_never_runs_on_two_workers = LeaseMachine.TestCase


def send_heartbeats(world: LeaseWorld, name: str, workers: str, seconds: float) -> None:
    """Send heartbeats once a second to the workers whose digits `workers` holds."""
    for _ in range(int(seconds)):
        world.advance(1.0)
        for index in workers:
            world.send_and_deliver(name, "heartbeat", f"w{index}")


def take_over_partition(world: LeaseWorld, workers: str) -> None:
    """Let host b take over, and adopt the workers whose digits `workers` holds."""
    assert world.take_over("b")
    for index in workers:
        world.send_and_deliver("b", "adopt", f"w{index}")
        world.send_and_deliver("b", "heartbeat", f"w{index}")


def renew_and_send_heartbeats(world: LeaseWorld, workers: str, seconds: int) -> None:
    """Let host b renew its lease and send heartbeats once a second."""
    for _ in range(seconds):
        world.renew_lease("b")
        send_heartbeats(world, "b", workers, 1.0)


def former_owner_keeps_sending_heartbeats(world: LeaseWorld) -> None:
    send_heartbeats(world, "a", "012", 6.0)
    take_over_partition(world, "012")
    for _ in range(5):
        renew_and_send_heartbeats(world, "012", 1)
        send_heartbeats(world, "a", "012", 1.0)
    world.send_and_deliver("b", "start", "w1")
    world.send_and_deliver("a", "start", "w0")


def start_is_delivered_late(world: LeaseWorld) -> None:
    assert world.send("a", "start", "w0")
    world.advance(6.0)
    take_over_partition(world, "12")
    renew_and_send_heartbeats(world, "12", 16)
    world.send_and_deliver("b", "start", "w1")
    world.deliver(0)


def heartbeats_are_delivered_late(world: LeaseWorld) -> None:
    world.send_and_deliver("a", "start", "w0")
    for _ in range(5):
        assert world.send("a", "heartbeat", "w0")
    world.advance(5.5)
    take_over_partition(world, "12")
    for _ in range(5):
        world.deliver(0)
        renew_and_send_heartbeats(world, "12", 4)
    world.send_and_deliver("b", "start", "w1")


def former_owner_reaches_one_worker(world: LeaseWorld) -> None:
    send_heartbeats(world, "a", "0", 6.0)
    take_over_partition(world, "12")
    for _ in range(16):
        renew_and_send_heartbeats(world, "12", 1)
        world.send_and_deliver("a", "heartbeat", "w0")
    world.send_and_deliver("b", "start", "w1")
    world.send_and_deliver("a", "start", "w0")


def worker_is_unreachable(world: LeaseWorld) -> None:
    world.send_and_deliver("a", "start", "w0")
    send_heartbeats(world, "a", "01", 6.0)
    take_over_partition(world, "12")
    renew_and_send_heartbeats(world, "12", 4)
    world.send_and_deliver("b", "start", "w1")


def former_owner_keeps_renewing_one_worker(world: LeaseWorld) -> None:
    world.send_and_deliver("a", "start", "w0")
    send_heartbeats(world, "a", "0", 6.0)
    take_over_partition(world, "12")
    for _ in range(16):
        renew_and_send_heartbeats(world, "12", 1)
        world.send_and_deliver("a", "heartbeat", "w0")
    world.send_and_deliver("b", "start", "w1")


def new_owner_adopts_late(world: LeaseWorld) -> None:
    send_heartbeats(world, "a", "012", 6.0)
    assert world.take_over("b")
    for _ in range(14):
        world.renew_lease("b")
        send_heartbeats(world, "a", "012", 1.0)
    for index in "12":
        world.send_and_deliver("b", "adopt", f"w{index}")
        world.send_and_deliver("b", "heartbeat", f"w{index}")
    world.advance(2.5)
    world.send_and_deliver("a", "heartbeat", "w0")
    world.send_and_deliver("a", "start", "w0")
    renew_and_send_heartbeats(world, "12", 2)
    world.send_and_deliver("b", "start", "w1")


def test_new_owner_that_adopts_late_waits_for_the_former_owner() -> None:
    world = LeaseWorld()
    new_owner_adopts_late(world)
    assert world.task_workers == ["w0"]


def new_owner_without_majority_renews(world: LeaseWorld) -> None:
    world.send_and_deliver("a", "start", "w0")
    send_heartbeats(world, "a", "12", 6.0)
    take_over_partition(world, "0")
    for _ in range(5):
        renew_and_send_heartbeats(world, "0", 1)
        send_heartbeats(world, "a", "12", 1.0)
    world.send_and_deliver("a", "start", "w1")


def test_former_owner_runs_no_task_again_that_the_new_one_renews() -> None:
    world = LeaseWorld()
    new_owner_without_majority_renews(world)
    assert world.task_workers == ["w1"]


def heartbeats_for_an_earlier_boot_are_delivered_late(world: LeaseWorld) -> None:
    for _ in range(5):
        assert world.send("a", "heartbeat", "w0")
    world.reboot("w0")
    for _ in range(2):
        world.send_and_deliver("a", "heartbeat", "w0")
    world.send_and_deliver("a", "start", "w0")
    world.advance(5.5)
    take_over_partition(world, "12")
    for _ in range(5):
        world.deliver(0, is_answered=False)
        renew_and_send_heartbeats(world, "12", 4)
    world.send_and_deliver("b", "start", "w1")


def start_for_an_earlier_boot_is_delivered_late(world: LeaseWorld) -> None:
    send_heartbeats(world, "a", "012", 2.0)
    assert world.send("a", "start", "w0")
    world.reboot("w0")
    send_heartbeats(world, "a", "012", 3.0)
    world.deliver(0, is_answered=False)


SCHEDULES: list[tuple[str, Callable[[LeaseWorld], None], LeaseRules]] = [
    (
        "fencing",
        former_owner_keeps_sending_heartbeats,
        LeaseRules(session=SessionRules(fencing=False)),
    ),
    # Either of these two rules alone refuses the late start.
    (
        "session and start validity",
        start_is_delivered_late,
        LeaseRules(
            session=SessionRules(session_timeout=False, own_clock=False),
            start_validity=False,
        ),
    ),
    (
        "echo",
        heartbeats_are_delivered_late,
        LeaseRules(session=SessionRules(echoed_clock=False)),
    ),
    (
        "own clock",
        heartbeats_for_an_earlier_boot_are_delivered_late,
        LeaseRules(session=SessionRules(own_clock=False)),
    ),
    (
        "witness",
        former_owner_reaches_one_worker,
        LeaseRules(authority=AuthorityRules(witness_acknowledgement=False)),
    ),
    (
        "majority",
        former_owner_reaches_one_worker,
        LeaseRules(authority=AuthorityRules(witness_majority=False)),
    ),
    (
        "rerun wait",
        worker_is_unreachable,
        LeaseRules(authority=AuthorityRules(rerun_wait=False)),
    ),
    (
        "renewal stop",
        former_owner_keeps_renewing_one_worker,
        LeaseRules(authority=AuthorityRules(renewal_stop=False)),
    ),
]


@pytest.mark.parametrize(
    ("schedule", "rules"),
    [(schedule, rules) for _, schedule, rules in SCHEDULES],
    ids=[name for name, _, _ in SCHEDULES],
)
def test_task_runs_on_two_workers_only_without_the_rule(
    schedule: Callable[[LeaseWorld], None], rules: LeaseRules
) -> None:
    guarded = LeaseWorld()
    schedule(guarded)
    assert len(guarded.task_workers) <= 1
    unguarded = LeaseWorld(rules)
    schedule(unguarded)
    assert len(unguarded.task_workers) == 2


def test_start_for_an_earlier_boot_takes_effect_after_its_time() -> None:
    world = LeaseWorld()
    start_for_an_earlier_boot_is_delivered_late(world)
    assert world.task_workers == []
    unguarded = LeaseWorld(LeaseRules(session=SessionRules(own_clock=False)))
    start_for_an_earlier_boot_is_delivered_late(unguarded)
    assert unguarded.task_workers == ["w0"]
