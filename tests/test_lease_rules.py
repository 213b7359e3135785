"""The lease rules: no task runs in two places, and each rule is needed."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fuchsiadale.decision.authority import AuthorityRules
from fuchsiadale.decision.session import SessionRules
from tests.lease_world import WORKERS, LeaseWorld, Rules

HOSTS = ("a", "b")
KINDS = ("adopt", "heartbeat", "start")


class LeaseMachine(RuleBasedStateMachine):
    """Any order of time, messages, renewals and takings."""

    def __init__(self) -> None:
        super().__init__()
        self.world = LeaseWorld()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5, 4.0, 11.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(name=st.sampled_from(HOSTS))
    def renew(self, name: str) -> None:
        if name in self.world.hosts:
            self.world.renew(name)

    @rule(name=st.sampled_from(HOSTS))
    def take(self, name: str) -> None:
        self.world.take(name)

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
    def exchange(self, name: str, kind: str, worker: str) -> None:
        if name in self.world.hosts:
            self.world.exchange(name, kind, worker)

    @rule(index=st.integers(0, 50), is_answered=st.booleans())
    def deliver(self, index: int, is_answered: bool) -> None:
        if self.world.in_flight:
            self.world.deliver(index % len(self.world.in_flight), is_answered)

    @invariant()
    def runs_in_one_place(self) -> None:
        assert len(self.world.places) <= 1


LeaseMachine.TestCase.settings = settings(
    derandomize=True, max_examples=400, stateful_step_count=60, deadline=None
)
test_lease_rules = LeaseMachine.TestCase


def keep_sessions(world: LeaseWorld, name: str, workers: str, seconds: float) -> None:
    """Let a host send heartbeats once a second."""
    for _ in range(int(seconds)):
        world.advance(1.0)
        for index in workers:
            world.exchange(name, "heartbeat", f"w{index}")


def take_over(world: LeaseWorld, workers: str) -> None:
    """Let host b take the partition and adopt some workers."""
    assert world.take("b")
    for index in workers:
        world.exchange("b", "adopt", f"w{index}")
        world.exchange("b", "heartbeat", f"w{index}")


def hold(world: LeaseWorld, workers: str, seconds: int) -> None:
    """Let host b renew its lease and keep sessions."""
    for _ in range(seconds):
        world.renew("b")
        keep_sessions(world, "b", workers, 1.0)


def former_owner_keeps_its_witnesses(world: LeaseWorld) -> None:
    keep_sessions(world, "a", "012", 6.0)
    take_over(world, "012")
    for _ in range(5):
        hold(world, "012", 1)
        keep_sessions(world, "a", "012", 1.0)
    world.exchange("b", "start", "w1")
    world.exchange("a", "start", "w0")


def start_is_late(world: LeaseWorld) -> None:
    assert world.send("a", "start", "w0")
    world.advance(6.0)
    take_over(world, "12")
    hold(world, "12", 16)
    world.exchange("b", "start", "w1")
    world.deliver(0)


def heartbeats_are_late_one_after_another(world: LeaseWorld) -> None:
    world.exchange("a", "start", "w0")
    for _ in range(5):
        assert world.send("a", "heartbeat", "w0")
    world.advance(5.5)
    take_over(world, "12")
    for _ in range(5):
        world.deliver(0)
        hold(world, "12", 4)
    world.exchange("b", "start", "w1")


def former_owner_reaches_one_worker(world: LeaseWorld) -> None:
    keep_sessions(world, "a", "0", 6.0)
    take_over(world, "12")
    for _ in range(16):
        hold(world, "12", 1)
        world.exchange("a", "heartbeat", "w0")
    world.exchange("b", "start", "w1")
    world.exchange("a", "start", "w0")


def worker_is_out_of_reach(world: LeaseWorld) -> None:
    world.exchange("a", "start", "w0")
    keep_sessions(world, "a", "0", 6.0)
    take_over(world, "12")
    hold(world, "12", 4)
    world.exchange("b", "start", "w1")


def taker_adopts_late(world: LeaseWorld) -> None:
    keep_sessions(world, "a", "012", 6.0)
    assert world.take("b")
    for _ in range(14):
        world.renew("b")
        keep_sessions(world, "a", "012", 1.0)
    for index in "12":
        world.exchange("b", "adopt", f"w{index}")
        world.exchange("b", "heartbeat", f"w{index}")
    world.advance(2.5)
    world.exchange("a", "heartbeat", "w0")
    world.exchange("a", "start", "w0")
    hold(world, "12", 2)
    world.exchange("b", "start", "w1")


def test_taker_that_adopts_late_waits_for_the_former_owner() -> None:
    world = LeaseWorld()
    taker_adopts_late(world)
    assert world.places == ["w0"]


SCHEDULES: list[tuple[str, Callable[[LeaseWorld], None], Rules]] = [
    (
        "fencing",
        former_owner_keeps_its_witnesses,
        Rules(session=SessionRules(fencing=False)),
    ),
    (
        "session and start validity",
        start_is_late,
        Rules(session=SessionRules(session_timeout=False), start_validity=False),
    ),
    (
        "echo",
        heartbeats_are_late_one_after_another,
        Rules(session=SessionRules(echoed_clock=False)),
    ),
    (
        "witness",
        former_owner_reaches_one_worker,
        Rules(authority=AuthorityRules(witness_acknowledgement=False)),
    ),
    (
        "majority",
        former_owner_reaches_one_worker,
        Rules(authority=AuthorityRules(witness_majority=False)),
    ),
    (
        "rerun wait",
        worker_is_out_of_reach,
        Rules(authority=AuthorityRules(rerun_wait=False)),
    ),
]


@pytest.mark.parametrize(
    ("schedule", "rules"),
    [(schedule, rules) for _, schedule, rules in SCHEDULES],
    ids=[name for name, _, _ in SCHEDULES],
)
def test_rule_is_needed(schedule: Callable[[LeaseWorld], None], rules: Rules) -> None:
    guarded = LeaseWorld()
    schedule(guarded)
    assert len(guarded.places) <= 1
    unguarded = LeaseWorld(rules)
    schedule(unguarded)
    assert len(unguarded.places) == 2
