"""Waiting time, packing and closeness to share, against the baselines.

Both users' fleets are kept full by six teams whose demand is unequal to their shares.
Declared run times are wrong by a factor between a quarter and four.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterator

from attrs import define, evolve, field, frozen

from bench.scheduling_policies import (
    FirstComeFirstFit,
    FuchsiadalePolicy,
    RandomFit,
    SchedulingPolicy,
)
from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.ledger import Ledger, WorkerInfo
from fuchsiadale.decision.resources import NO_RESOURCES, Resources
from fuchsiadale.decision.work import (
    Program,
    Submission,
    Task,
    WorkKind,
    make_work,
)

SEED = 20261204
DURATION_S = 3600.0
WARM_UP_S = 600.0
SAMPLE_PERIOD_S = 5.0
WINDOW_S = 600.0
MEAN_RUN_S = 40.0
LOADS = (0.8, 1.3)


@frozen
class Pool:
    """One pool of a user's fleet."""

    name: str
    workers: int
    capacity: Resources


@frozen
class User:
    """A user's fleet, teams and order.

    Attributes
    ----------
    name : str
        The user.
    pools : tuple of Pool
        The fleet.
    shares : dict of str to float
        Share by team.
    demand : dict of str to float
        Part of the arriving work, by team.
    weights : OrderWeights
        How the user weighs shares and waiting.
    """

    name: str
    pools: tuple[Pool, ...]
    shares: dict[str, float]
    demand: dict[str, float]
    weights: OrderWeights


USERS = (
    User(
        "guild",
        (
            Pool("preparation", 20, Resources(16_000, 65_536, 0, 8, 64)),
            Pool("imaging", 7, Resources(64_000, 131_072, 8, 8, 64)),
        ),
        {"a": 4, "b": 3, "c": 1, "d": 1, "e": 1, "f": 1},
        {"a": 0.20, "b": 0.15, "c": 0.35, "d": 0.10, "e": 0.10, "f": 0.10},
        OrderWeights(share=1.0, waiting=0.0),
    ),
    User(
        "typha",
        (
            Pool("planning", 20, Resources(32_000, 65_536, 0, 8, 64)),
            Pool("imagery", 7, Resources(32_000, 65_536, 8, 8, 64)),
        ),
        {"a": 4, "b": 3, "c": 1, "d": 1, "e": 1, "f": 1},
        {"a": 0.25, "b": 0.20, "c": 0.25, "d": 0.10, "e": 0.10, "f": 0.10},
        OrderWeights(share=1.0, waiting=0.002),
    ),
)


@frozen
class PolicyResult:
    """How one contender did on one pool.

    Attributes
    ----------
    user, pool, contender : str
        What was measured.
    load : float
        Work that arrives, as a part of what the pool could do without gaps.
    share_distance : float
        Mean over windows of `WINDOW_S` of half the sum of the differences between
        what teams use on average and what the shares of the teams with work entitle
        them to, as parts of what is in use.
    instant_share_distance : float
        The same at single moments.
    waiting_p50_s, waiting_p99_s : float
        Seconds from arrival to start of the tasks that started.
    packing : float
        Mean part in use of the most used resource.
    started : int
        Tasks started.
    """

    user: str
    pool: str
    contender: str
    load: float
    share_distance: float
    instant_share_distance: float
    waiting_p50_s: float
    waiting_p99_s: float
    packing: float
    started: int


@frozen(order=True)
class _Event:
    at_s: float
    sequence: int
    task: Task = field(order=False)
    is_arrival: bool = field(order=False)


@define
class _Samples:
    surplus: list[dict[str, float]] = field(factory=list)
    packings: list[float] = field(factory=list)
    waits_s: list[float] = field(factory=list)


class PolicySimulation:
    """Plays one pool's hour with one contender.

    Parameters
    ----------
    user : User
        The user.
    pool : Pool
        The pool.
    name : str
        Name of the contender.
    load : float
        Work that arrives, as a part of what the pool could do without gaps.
    """

    def __init__(self, user: User, pool: Pool, name: str, load: float) -> None:
        self._load = load
        self._user = user
        self._pool = pool
        self._name = name
        self._clock = ManualClock()
        self._ledger = _make_ledger(pool)
        self._contender = self._make_contender(name)
        self._random = random.Random(SEED)
        self._events: list[_Event] = []
        self._sequence = 0
        self._used: defaultdict[str, Resources] = defaultdict(Resources)
        self._waiting: defaultdict[str, Resources] = defaultdict(Resources)
        self._samples = _Samples()

    def run(self) -> PolicyResult:
        """Play the hour and return what was measured."""
        self._make_arrivals()
        next_sample_s = WARM_UP_S
        while self._events:
            event = heapq.heappop(self._events)
            if event.at_s > DURATION_S:
                break
            while next_sample_s <= event.at_s:
                self._sample()
                next_sample_s += SAMPLE_PERIOD_S
            self._clock.advance(event.at_s - self._clock.now())
            self._handle(event)
        waits_s = sorted(self._samples.waits_s)
        return PolicyResult(
            user=self._user.name,
            pool=self._pool.name,
            contender=self._name,
            load=self._load,
            share_distance=round(self._mean_distance(WINDOW_S), 4),
            instant_share_distance=round(self._mean_distance(SAMPLE_PERIOD_S), 4),
            waiting_p50_s=round(waits_s[len(waits_s) // 2], 2),
            waiting_p99_s=round(waits_s[len(waits_s) * 99 // 100], 2),
            packing=round(statistics.mean(self._samples.packings), 4),
            started=len(waits_s),
        )

    def _make_contender(self, name: str) -> SchedulingPolicy:
        makers: dict[str, Callable[[], SchedulingPolicy]] = {
            "fuchsiadale": lambda: FuchsiadalePolicy(
                self._ledger, self._clock, self._user.weights, self._user.shares
            ),
            "first_come_first_fit": lambda: FirstComeFirstFit(self._ledger),
            "random_fit": lambda: RandomFit(self._ledger, SEED),
        }
        return makers[name]()

    def _make_arrivals(self) -> None:
        """Draw arrivals whose work is `LOAD` times what the pool can do."""
        mean_slots_s = MEAN_RUN_S
        total_slots = self._pool.workers * self._pool.capacity.slots
        rate = self._load * total_slots / mean_slots_s / self._mean_slots_per_task()
        at_s = 0.0
        number = 0
        teams = list(self._user.demand)
        parts = list(self._user.demand.values())
        while at_s < DURATION_S:
            at_s += self._random.expovariate(rate)
            number += 1
            team = self._random.choices(teams, parts)[0]
            self._push(at_s, self._make_task(number, team, at_s), is_arrival=True)

    def _mean_slots_per_task(self) -> float:
        """Return the part of a worker's slots that a task fills on average."""
        capacity = self._pool.capacity
        per_worker = min(
            capacity.slots,
            capacity.cpu_millis / self._mean_need().cpu_millis,
            capacity.memory_mb / self._mean_need().memory_mb,
        )
        return capacity.slots / per_worker

    def _mean_need(self) -> Resources:
        capacity = self._pool.capacity
        return Resources(capacity.cpu_millis * 9 // 40, capacity.memory_mb * 9 // 40)

    def _make_task(self, number: int, team: str, at_s: float) -> Task:
        capacity = self._pool.capacity
        need = Resources(
            capacity.cpu_millis * self._random.choice([1, 2, 4, 10]) // 20,
            capacity.memory_mb * self._random.choice([1, 2, 4, 10]) // 20,
            self._random.choice([0, 1, 2]) if capacity.accelerators else 0,
            1,
            1,
        )
        submission = Submission(
            work_id=f"pool.0.{number}",
            kind=WorkKind.BATCH,
            team=team,
            queue="queue",
            program=Program("run"),
            resources=need,
            declared_run_s=MEAN_RUN_S * self._random.choice([0.25, 1.0, 4.0]),
        )
        return make_work(submission, at_s).tasks[0]

    def _handle(self, event: _Event) -> None:
        task = event.task
        team = task.submission.team
        if event.is_arrival:
            self._waiting[team] = self._waiting[team] + task.submission.resources
            self._contender.add(task)
        elif task.attempt is not None:
            self._contender.release(task.attempt)
            self._used[team] = self._used[team] - task.submission.resources
        for placement in self._contender.schedule():
            self._start(placement.task)

    def _start(self, task: Task) -> None:
        team = task.submission.team
        now_s = self._clock.now()
        self._waiting[team] = self._waiting[team] - task.submission.resources
        self._used[team] = self._used[team] + task.submission.resources
        if now_s >= WARM_UP_S:
            self._samples.waits_s.append(now_s - task.queued_at_s)
        run_s = self._random.expovariate(1 / MEAN_RUN_S)
        self._push(now_s + run_s, task, is_arrival=False)

    def _sample(self) -> None:
        total = self._ledger.capacity
        used = {
            team: self._used[team].dominant_share(total) for team in self._user.shares
        }
        all_used = sum(used.values()) or 1.0
        self._samples.surplus.append(self._surplus(used, all_used))
        whole = NO_RESOURCES
        for amounts in self._used.values():
            whole = whole + amounts
        self._samples.packings.append(whole.dominant_share(total))

    def _surplus(self, used: dict[str, float], all_used: float) -> dict[str, float]:
        """Return what each team uses beyond the max-min fair division.

        No team is entitled to more than it uses and waits for.
        """
        total = self._ledger.capacity
        parts = {team: amount / all_used for team, amount in used.items()}
        demands = {
            team: part + self._waiting[team].dominant_share(total) / all_used
            for team, part in parts.items()
        }
        entitled = _fair_division(demands, self._user.shares)
        return {team: parts[team] - entitled[team] for team in parts}

    def _mean_distance(self, window_s: float) -> float:
        """Return the mean distance of the averages over windows."""
        size = round(window_s / SAMPLE_PERIOD_S)
        samples = self._samples.surplus
        distances = [
            0.5
            * sum(
                abs(statistics.mean(sample[team] for sample in window))
                for team in self._user.shares
            )
            for window in (
                samples[start : start + size]
                for start in range(0, len(samples) - size + 1, size)
            )
        ]
        return statistics.mean(distances)

    def _push(self, at_s: float, task: Task, is_arrival: bool) -> None:
        self._sequence += 1
        heapq.heappush(self._events, _Event(at_s, self._sequence, task, is_arrival))


@frozen
class Experiment:
    """One run to make."""

    user: User
    pool: Pool
    contender: str
    load: float


def list_experiments() -> Iterator[Experiment]:
    """Yield a run of every user, pool, load and contender."""
    for user in USERS:
        for pool in user.pools:
            for load in LOADS:
                for name in ("fuchsiadale", "first_come_first_fit", "random_fit"):
                    yield Experiment(user, pool, name, load)


def run_experiment(plan: Experiment) -> PolicyResult:
    """Make one run."""
    return PolicySimulation(plan.user, plan.pool, plan.contender, plan.load).run()


def _fair_division(
    demands: dict[str, float], shares: dict[str, float]
) -> dict[str, float]:
    """Divide one among teams by share, none getting more than it demands."""
    entitled: dict[str, float] = {}
    left = 1.0
    open_teams = set(shares)
    while open_teams:
        total = sum(shares[team] for team in open_teams)
        sated = {
            team for team in open_teams if demands[team] <= left * shares[team] / total
        }
        if not sated:
            for team in open_teams:
                entitled[team] = left * shares[team] / total
            return entitled
        for team in sated:
            entitled[team] = demands[team]
        left -= sum(demands[team] for team in sated)
        open_teams -= sated
    return entitled


def _make_ledger(pool: Pool) -> Ledger:
    ledger = Ledger()
    for index in range(pool.workers):
        info = WorkerInfo(
            f"w{index:03d}", pool.name, "", f"domain-{index % 3}", "", pool.capacity
        )
        ledger.add_or_update(evolve(info))
        ledger.change_state(info.name, "adopt")
    return ledger
