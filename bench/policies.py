"""Simulation of waiting time, packing and fairness under each scheduling policy.

On the fleet of each of two users, six teams submit work in proportions that differ
from their shares. The load is either less than the capacity or exceeds it, see `LOADS`.
Declared run times are a quarter, one or four times the mean run time; actual run times
are drawn from an exponential distribution.
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

SEED = 20261204  # seed of all random numbers
DURATION_S = 3600.0  # simulated time, in seconds
WARM_UP_S = 600.0  # seconds at the beginning that are not measured
SAMPLE_PERIOD_S = 5.0  # seconds between two samples of the resource usage
WINDOW_S = 600.0  # seconds over which usage is averaged for `share_distance`
MEAN_RUN_S = 40.0  # mean run time of the tasks, in seconds
LOADS = (0.8, 1.3)  # fractions of what a completely used pool could run


@frozen
class Pool:
    """Pool of a user's fleet: its name, number of workers and capacity of each."""

    name: str
    workers: int
    capacity: Resources


@frozen
class User:
    """User organisation with its fleet, teams and order weights.

    Attributes
    ----------
    name : str
        Name of the user.
    pools : tuple of Pool
        Pools of the fleet.
    shares : dict of str to float
        Share by team.
    demand : dict of str to float
        Fraction of the arriving tasks, by team.
    weights : OrderWeights
        Weights of usage and waiting time when teams are sorted.
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
    """Result of one policy on one pool.

    Attributes
    ----------
    user, pool, contender : str
        Names of the user, the pool and the policy.
    load : float
        Arriving work as a fraction of what the pool could run if tasks left no
        capacity unused; accelerators are not taken into account.
    share_distance : float
        Distance between usage and entitlement, averaged over windows of `WINDOW_S`
        seconds. In each window, the difference between a team's usage and its max-min
        fair entitlement, as fractions of the usage of all teams, is averaged. The
        distance is half the sum over teams of the absolute values of these averages.
    instant_share_distance : float
        The same distance with windows of a single sample.
    waiting_p50_s, waiting_p99_s : float
        Percentiles of the time from arrival to start, of the tasks started after the
        warm-up, in seconds.
    packing : float
        Mean fraction in use of the most used resource.
    started : int
        Number of tasks that started after the warm-up.
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
    """Arrival of a task, or the end of its run."""

    at_s: float
    sequence: int
    task: Task = field(order=False)
    is_arrival: bool = field(order=False)


@define
class _Samples:
    """Share deviations and packing by sample, and waiting times of started tasks."""

    share_deviations: list[dict[str, float]] = field(factory=list)
    packings: list[float] = field(factory=list)
    waits_s: list[float] = field(factory=list)


class PolicySimulation:
    """Simulates one hour of one pool under one policy.

    Parameters
    ----------
    user : User
        User that the pool belongs to.
    pool : Pool
        Pool to simulate.
    policy_name : str
        Name of the policy.
    load : float
        Arriving work as a fraction of what the pool could run if tasks left no
        capacity unused; accelerators are not taken into account.
    """

    def __init__(self, user: User, pool: Pool, policy_name: str, load: float) -> None:
        self._load = load
        self._user = user
        self._pool = pool
        self._policy_name = policy_name
        self._clock = ManualClock()
        self._ledger = _make_ledger(pool)
        self._policy = self._make_policy(policy_name)
        self._random = random.Random(SEED)
        self._events: list[_Event] = []
        self._sequence = 0
        self._used: defaultdict[str, Resources] = defaultdict(Resources)
        self._waiting: defaultdict[str, Resources] = defaultdict(Resources)
        self._samples = _Samples()

    def run(self) -> PolicyResult:
        """Run the simulation and return its result."""
        self._draw_arrivals()
        next_sample_s = WARM_UP_S
        while self._events:
            event = heapq.heappop(self._events)
            if event.at_s > DURATION_S:
                break
            while next_sample_s <= event.at_s:
                self._record_sample()
                next_sample_s += SAMPLE_PERIOD_S
            self._clock.advance(event.at_s - self._clock.now())
            self._process_event(event)
        waits_s = sorted(self._samples.waits_s)
        return PolicyResult(
            user=self._user.name,
            pool=self._pool.name,
            contender=self._policy_name,
            load=self._load,
            share_distance=round(self._mean_share_distance(WINDOW_S), 4),
            instant_share_distance=round(self._mean_share_distance(SAMPLE_PERIOD_S), 4),
            waiting_p50_s=round(waits_s[len(waits_s) // 2], 2),
            waiting_p99_s=round(waits_s[len(waits_s) * 99 // 100], 2),
            packing=round(statistics.mean(self._samples.packings), 4),
            started=len(waits_s),
        )

    def _make_policy(self, policy_name: str) -> SchedulingPolicy:
        factories: dict[str, Callable[[], SchedulingPolicy]] = {
            "fuchsiadale": lambda: FuchsiadalePolicy(
                self._ledger, self._clock, self._user.weights, self._user.shares
            ),
            "first_come_first_fit": lambda: FirstComeFirstFit(self._ledger),
            "random_fit": lambda: RandomFit(self._ledger, SEED),
        }
        return factories[policy_name]()

    def _draw_arrivals(self) -> None:
        """Draw random arrivals, whose work on average makes up the load to simulate."""
        mean_run_s = MEAN_RUN_S
        total_slots = self._pool.workers * self._pool.capacity.slots
        rate_per_s = self._load * total_slots / mean_run_s / self._mean_slots_per_task()
        at_s = 0.0
        number = 0
        teams = list(self._user.demand)
        fractions = list(self._user.demand.values())
        while at_s < DURATION_S:
            at_s += self._random.expovariate(rate_per_s)
            number += 1
            team = self._random.choices(teams, fractions)[0]
            self._push_event(at_s, self._make_task(number, team, at_s), is_arrival=True)

    def _mean_slots_per_task(self) -> float:
        """Return the mean number of slots that a task leaves unusable for others."""
        capacity = self._pool.capacity
        tasks_per_worker = min(
            capacity.slots,
            capacity.cpu_millis / self._mean_task_resources().cpu_millis,
            capacity.memory_mb / self._mean_task_resources().memory_mb,
        )
        return capacity.slots / tasks_per_worker

    def _mean_task_resources(self) -> Resources:
        """Return 9/40 of a worker's capacity; the exact mean of a task is 17/80."""
        capacity = self._pool.capacity
        return Resources(capacity.cpu_millis * 9 // 40, capacity.memory_mb * 9 // 40)

    def _make_task(self, number: int, team: str, at_s: float) -> Task:
        capacity = self._pool.capacity
        requested = Resources(
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
            resources=requested,
            declared_run_s=MEAN_RUN_S * self._random.choice([0.25, 1.0, 4.0]),
        )
        return make_work(submission, at_s).tasks[0]

    def _process_event(self, event: _Event) -> None:
        task = event.task
        team = task.submission.team
        if event.is_arrival:
            self._waiting[team] = self._waiting[team] + task.submission.resources
            self._policy.add(task)
        elif task.attempt is not None:
            self._policy.release(task.attempt)
            self._used[team] = self._used[team] - task.submission.resources
        for placement in self._policy.schedule():
            self._record_start(placement.task)

    def _record_start(self, task: Task) -> None:
        team = task.submission.team
        now_s = self._clock.now()
        self._waiting[team] = self._waiting[team] - task.submission.resources
        self._used[team] = self._used[team] + task.submission.resources
        if now_s >= WARM_UP_S:
            self._samples.waits_s.append(now_s - task.queued_at_s)
        run_s = self._random.expovariate(1 / MEAN_RUN_S)
        self._push_event(now_s + run_s, task, is_arrival=False)

    def _record_sample(self) -> None:
        total_capacity = self._ledger.capacity
        usage = {
            team: self._used[team].dominant_share(total_capacity)
            for team in self._user.shares
        }
        total_usage = sum(usage.values()) or 1.0
        self._samples.share_deviations.append(
            self._compute_share_deviations(usage, total_usage)
        )
        all_used = NO_RESOURCES
        for used in self._used.values():
            all_used = all_used + used
        self._samples.packings.append(all_used.dominant_share(total_capacity))

    def _compute_share_deviations(
        self, usage: dict[str, float], total_usage: float
    ) -> dict[str, float]:
        """Return the difference between usage and entitlement of each team.

        Both are fractions of the usage of all teams. The entitlement is max-min fair
        by share; no team is entitled to more than it uses and waits for.
        """
        total_capacity = self._ledger.capacity
        fractions = {team: amount / total_usage for team, amount in usage.items()}
        demands = {
            team: fraction
            + self._waiting[team].dominant_share(total_capacity) / total_usage
            for team, fraction in fractions.items()
        }
        entitlements = _divide_max_min_fairly(demands, self._user.shares)
        return {team: fractions[team] - entitlements[team] for team in fractions}

    def _mean_share_distance(self, window_s: float) -> float:
        """Return the share distance, averaged over windows of `window_s` seconds."""
        window_size = round(window_s / SAMPLE_PERIOD_S)
        samples = self._samples.share_deviations
        distances = [
            0.5
            * sum(
                abs(statistics.mean(sample[team] for sample in window))
                for team in self._user.shares
            )
            for window in (
                samples[start : start + window_size]
                for start in range(0, len(samples) - window_size + 1, window_size)
            )
        ]
        return statistics.mean(distances)

    def _push_event(self, at_s: float, task: Task, is_arrival: bool) -> None:
        self._sequence += 1
        heapq.heappush(self._events, _Event(at_s, self._sequence, task, is_arrival))


@frozen
class Experiment:
    """Combination of user, pool, policy and load to simulate."""

    user: User
    pool: Pool
    policy_name: str
    load: float


def list_experiments() -> Iterator[Experiment]:
    """Yield an experiment for every user, pool, load and policy."""
    for user in USERS:
        for pool in user.pools:
            for load in LOADS:
                for name in ("fuchsiadale", "first_come_first_fit", "random_fit"):
                    yield Experiment(user, pool, name, load)


def run_experiment(experiment: Experiment) -> PolicyResult:
    """Run one simulation and return its result."""
    return PolicySimulation(
        experiment.user, experiment.pool, experiment.policy_name, experiment.load
    ).run()


def _divide_max_min_fairly(
    demands: dict[str, float], shares: dict[str, float]
) -> dict[str, float]:
    """Divide 1.0 among teams by share, max-min fairly; none exceeds its demand."""
    entitlements: dict[str, float] = {}
    remaining = 1.0
    unsatisfied_teams = set(shares)
    while unsatisfied_teams:
        total_share = sum(shares[team] for team in unsatisfied_teams)
        satisfied_teams = {
            team
            for team in unsatisfied_teams
            if demands[team] <= remaining * shares[team] / total_share
        }
        if not satisfied_teams:
            for team in unsatisfied_teams:
                entitlements[team] = remaining * shares[team] / total_share
            return entitlements
        for team in satisfied_teams:
            entitlements[team] = demands[team]
        remaining -= sum(demands[team] for team in satisfied_teams)
        unsatisfied_teams -= satisfied_teams
    return entitlements


def _make_ledger(pool: Pool) -> Ledger:
    ledger = Ledger()
    for index in range(pool.workers):
        info = WorkerInfo(
            f"w{index:03d}", pool.name, "", f"domain-{index % 3}", "", pool.capacity
        )
        ledger.add_or_update(evolve(info))
        ledger.change_state(info.name, "adopt")
    return ledger
