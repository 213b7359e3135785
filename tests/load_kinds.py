"""Kinds of jobs and pools of workers of the users' sites."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import AdviceTiming, Queue


@frozen
class JobKind:
    """Distribution of the jobs of one kind.

    Attributes
    ----------
    queue : Queue
        The queue that its jobs enter.
    arrivals_per_s : float
        Mean rate of arrivals, in jobs per second.
    usual_value : float
        Value of a job of usual size.
    usual_task_s : float
        Usual duration of a task, in seconds.
    usual_width : float
        Usual number of tasks of a step.
    cpu_millis : int
        Processors that a task takes, in thousandths of a core.
    memory_mb : int
        Memory of a task, in MiB.
    accelerators : tuple of int
        Possible numbers of accelerators per task; each step draws one of them.
    usual_steps : float
        Usual number of steps, which run in sequence.
    estimate_error : float
        Standard deviation of log(estimate / duration).
    estimate_bias : float
        By how much estimates are too low on average, as a logarithm.
    task_spread : float
        Standard deviation of the logarithm of durations within a step.
    failure_share : float
        Share of runs that fail.
    poisoned_share : float
        Share of jobs with a task of which every run fails.
    granted_share : float
        Share of the pool's workers that advice grants to a step.
    checkpointing_share : float
        Share of steps whose tasks resume from checkpoints.
    gang_share : float
        Share of steps whose tasks work only together.
    cpu_spread : float
        Standard deviation of the logarithm of the processors that tasks of a step take.
    """

    queue: Queue
    arrivals_per_s: float
    usual_value: float
    usual_task_s: float
    usual_width: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...] = (0,)
    usual_steps: float = 1.0
    estimate_error: float = 0.5
    estimate_bias: float = 0.0
    task_spread: float = 0.15
    failure_share: float = 0.02
    poisoned_share: float = 0.03
    granted_share: float = 1.0
    checkpointing_share: float = 0.0
    gang_share: float = 0.0
    cpu_spread: float = 0.0


@frozen
class Pool:
    """Workers that run the tasks of the same queues.

    Attributes
    ----------
    name : str
        Name of the pool.
    worker_count : int
        Number of workers.
    capacity : Resources
        Capacity of a worker of size 1.
    speeds : tuple of float
        Speeds of the workers, by turns.
    sizes : tuple of float
        Sizes of the workers, by turns.
    kinds : tuple of str
        Labels that name the kinds of the workers, by turns.
    """

    name: str
    worker_count: int
    capacity: Resources
    speeds: tuple[float, ...] = (1.0,)
    sizes: tuple[float, ...] = (1.0,)
    kinds: tuple[str, ...] = ("a",)

    def capacity_of(self, index: int) -> Resources:
        """Return the capacity of a worker, by its index."""
        size = self.sizes[index % len(self.sizes)]
        return Resources(
            round(size * self.capacity.cpu_millis),
            round(size * self.capacity.memory_mb),
            round(size * self.capacity.accelerators),
        )


def make_guild_kinds() -> list[JobKind]:
    """Return the Guild's kinds of jobs, except those that run until cancelled."""
    preparation, imaging = "preparation", "imaging"
    return [
        JobKind(
            Queue(
                "proof",
                "host",
                "/proof/",
                preparation,
                0,
                3,
                1.5,
                0.25,
                advice=AdviceTiming(0.019, 0.00028, 2.0),
            ),
            6.2,
            0.607,
            0.88,
            6.0,
            1500,
            4300,
            usual_steps=1.5,
            granted_share=0.7,
        ),
        JobKind(
            Queue(
                "digitise",
                "host",
                "/digitise/",
                preparation,
                2,
                3,
                4.0,
                3.0,
                advice=AdviceTiming(0.17, 0.0024, 2.0),
            ),
            0.4,
            3.35,
            4.5,
            11.0,
            3300,
            6700,
            usual_steps=2.0,
            estimate_error=0.2,
            granted_share=0.45,
            checkpointing_share=0.8,
        ),
        JobKind(
            Queue(
                "render",
                "host",
                "/render/",
                imaging,
                1,
                2,
                2.2,
                1.0,
                advice=AdviceTiming(0.87, 0.008, 2.0),
            ),
            0.735,
            2.93,
            4.5,
            1.9,
            31000,
            81000,
            (2, 4, 8, 8),
            estimate_error=0.9,
            estimate_bias=0.4,
            task_spread=0.3,
            failure_share=0.05,
            granted_share=0.3,
            checkpointing_share=0.9,
        ),
        JobKind(
            Queue(
                "match",
                "host",
                "/match/",
                imaging,
                2,
                4,
                4.0,
                3.0,
                advice=AdviceTiming(0.14, 0.002, 2.0),
            ),
            0.95,
            1.41,
            2.4,
            6.4,
            5600,
            8200,
            (1,),
            estimate_error=0.2,
            failure_share=0.05,
            poisoned_share=0.0,
            granted_share=0.45,
            checkpointing_share=0.8,
        ),
    ]


def make_guild_pools() -> list[Pool]:
    """Return the Guild's pools of workers."""
    return [
        Pool("preparation", 18, Resources(16_000, 65_536, 0)),
        Pool("imaging", 7, Resources(64_000, 131_072, 8)),
    ]


def make_workshop_kinds(load_factor: float = 1.0) -> list[JobKind]:
    """Return the kinds of jobs of the resoling workshop at its smaller size.

    Parameters
    ----------
    load_factor : float
        Factor on the rates of arrivals.
    """
    pool = "atelier"
    return [
        JobKind(
            Queue(
                "sole-match",
                "host",
                "/sole-match/",
                pool,
                1,
                4,
                2.2,
                1.0,
                advice=AdviceTiming(0.43, 0.0062, 2.0),
            ),
            0.3 * load_factor,
            12.7,
            5.0,
            20.0,
            18_000,
            49_000,
            usual_steps=1.2,
            poisoned_share=0.01,
            granted_share=0.3,
            checkpointing_share=0.5,
            cpu_spread=0.4,
        ),
        JobKind(
            Queue(
                "repair-plan",
                "host",
                "/repair-plan/",
                pool,
                2,
                4,
                4.0,
                3.0,
                advice=AdviceTiming(0.12, 0.0018, 2.0),
            ),
            0.5 * load_factor,
            4.81,
            3.4,
            25.0,
            6_900,
            26_000,
            usual_steps=1.5,
            estimate_error=0.2,
            failure_share=0.05,
            poisoned_share=0.01,
            granted_share=0.45,
            checkpointing_share=0.8,
            cpu_spread=0.45,
        ),
        JobKind(
            Queue(
                "quote",
                "host",
                "/quote/",
                pool,
                0,
                4,
                1.5,
                0.25,
                advice=AdviceTiming(0.0072, 0.0001, 2.0),
            ),
            8.7 * load_factor,
            0.386,
            0.64,
            3.2,
            9_900,
            28_000,
            estimate_error=0.2,
            granted_share=0.7,
            gang_share=0.3,
            cpu_spread=0.45,
        ),
    ]


def make_workshop_pools(worker_count: int = 24) -> list[Pool]:
    """Return the resoling workshop's only pool of workers."""
    return [Pool("atelier", worker_count, Resources(64_000, 262_144, 0))]
