"""Fleets of stand-in workers."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.resources import Resources

WORKERS_PER_RACK = 8


@frozen
class WorkerSize:
    """What each worker of a pool has room for."""

    cores: int
    memory_gb: int
    accelerators: int = 0
    slots: int = 8
    connections: int = 64

    @property
    def capacity(self) -> Resources:
        """The shape as a resource vector."""
        return Resources(
            cpu_millis=self.cores * 1000,
            memory_mb=self.memory_gb * 1024,
            accelerators=self.accelerators,
            slots=self.slots,
            connections=self.connections,
        )


def make_workers(
    pool: str,
    count: int,
    shape: WorkerSize,
    prefix: str = "",
    failure_domains: int = 3,
    fencing: bool = True,
) -> Iterator[WorkerInfo]:
    """Yield the workers of a pool, spread evenly over failure domains."""
    for index in range(count):
        domain = index % failure_domains
        yield WorkerInfo(
            name=f"{prefix or pool}-{index}",
            pool=pool,
            address="",
            failure_domain=f"domain-{domain}",
            rack=f"rack-{domain}-{index // failure_domains // WORKERS_PER_RACK}",
            capacity=shape.capacity,
            fencing=fencing,
        )
