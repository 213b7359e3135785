"""The kinds of jobs and the workers of the users' sheets, as they are played."""

from __future__ import annotations

from attrs import frozen

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import AdviceTiming, Queue


@frozen
class Kind:
    """One kind of job, as the sheets tell it."""

    queue: Queue
    per_s: float
    worth: float
    work_s: float
    width: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...] = (0,)
    steps: float = 1.0
    estimate_error: float = 0.5
    estimate_bias: float = 0.0
    uneven: float = 0.15
    failing: float = 0.02
    poison: float = 0.03
    granted: float = 1.0
    resumes: float = 0.0


@frozen
class Pool:
    """Workers of one kind."""

    name: str
    workers: int
    capacity: Resources


def make_guild_kinds() -> list[Kind]:
    """Return the Guild's kinds of jobs that end, as the sheets tell them."""
    preparation, imaging = "preparation", "imaging"
    return [
        Kind(
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
            steps=1.5,
            granted=0.7,
        ),
        Kind(
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
            steps=2.0,
            estimate_error=0.2,
            granted=0.45,
            resumes=0.8,
        ),
        Kind(
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
            uneven=0.3,
            failing=0.05,
            granted=0.3,
            resumes=0.9,
        ),
        Kind(
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
            failing=0.05,
            poison=0.0,
            granted=0.45,
            resumes=0.8,
        ),
    ]


def make_guild_pools() -> list[Pool]:
    """Return the Guild's workers."""
    return [
        Pool("preparation", 18, Resources(16_000, 65_536, 0)),
        Pool("imaging", 7, Resources(64_000, 131_072, 8)),
    ]
