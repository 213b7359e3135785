"""Load and unequal workers of the signing platform, another of the users' sites."""

from __future__ import annotations

from fuchsiadale.decision.resources import Resources
from fuchsiadale.decision.workflow.configuration import AdviceTiming, Queue
from tests.load_kinds import JobKind, Pool

FRONT = "signing"
DESK = "verification"


def make_signing_kinds(load_factor: float = 1.0) -> list[JobKind]:
    """Return the kinds of jobs of both pools at the smaller size.

    Those that run until cancelled are left out.

    Parameters
    ----------
    load_factor : float
        Factor on the rates of arrivals.
    """
    return [
        JobKind(
            _make_queue("seal", FRONT, 0, 4, 1.5, 0.25, (0.012, 0.00017)),
            7.6 * load_factor,
            0.461,
            0.48,
            9.5,
            5300,
            5500,
            usual_steps=1.5,
            task_spread=0.3,
            poisoned_share=0.01,
            granted_share=0.7,
            cpu_spread=0.45,
        ),
        JobKind(
            _make_queue("contracts", FRONT, 2, 2, 4.0, 3.0, (0.15, 0.0022)),
            0.33 * load_factor,
            3.73,
            3.1,
            28.0,
            9000,
            16_000,
            usual_steps=2.0,
            estimate_error=0.9,
            task_spread=0.3,
            granted_share=0.45,
            checkpointing_share=0.8,
            cpu_spread=0.4,
        ),
        JobKind(
            _make_queue("face-match", DESK, 1, 3, 2.2, 1.0, (0.55, 0.0079)),
            0.61 * load_factor,
            3.25,
            4.8,
            3.3,
            31_000,
            160_000,
            (2, 4, 8, 8),
            estimate_error=0.9,
            task_spread=0.3,
            poisoned_share=0.0,
            granted_share=0.3,
            checkpointing_share=0.9,
            gang_share=1.0,
        ),
        JobKind(
            _make_queue("documents", DESK, 2, 3, 4.0, 3.0, (0.15, 0.0021)),
            0.69 * load_factor,
            1.79,
            3.2,
            13.0,
            5600,
            16_000,
            (1,),
            task_spread=0.3,
            granted_share=0.45,
            checkpointing_share=0.8,
        ),
    ]


def make_signing_pools(are_equal: bool = False) -> list[Pool]:
    """Return both pools at the smaller size, with workers that differ or are equal."""
    return [
        Pool(
            FRONT,
            42,
            Resources(32_000, 65_536, 0),
            (1.0,) if are_equal else (0.55, 1.2, 1.2, 1.2),
            (1.0, 1.0, 0.5, 2.0),
            ("a", "a", "b"),
        ),
        Pool(
            DESK,
            17,
            Resources(64_000, 262_144, 8),
            (1.0,) if are_equal else (0.8, 1.0, 1.25),
            kinds=("a", "b"),
        ),
    ]


def _make_queue(
    name: str,
    pool: str,
    priority: int,
    max_attempts: int,
    stretch: float,
    slack_s: float,
    advice: tuple[float, float],
) -> Queue:
    return Queue(
        name,
        "host",
        f"/{name}/",
        pool,
        priority,
        max_attempts,
        stretch,
        slack_s,
        advice=AdviceTiming(*advice, 2.0),
    )
