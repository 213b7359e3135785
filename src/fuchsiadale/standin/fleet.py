"""Descriptions of the stand-in workers of a pool."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from fuchsiadale.decision.ledger import WorkerInfo
from fuchsiadale.decision.resources import Resources

WORKERS_PER_RACK = 8
"""Number of workers in each full rack of a failure domain."""


@frozen
class WorkerSize:
    """Capacity of one worker, in the units in which configurations state it.

    Attributes
    ----------
    cores : int
        Number of processor cores.
    memory_gb : int
        Memory in GiB.
    accelerators : int
        Number of accelerators.
    slots : int
        Number of attempts that may run at the same time.
    connections : int
        Number of connections that attempts may use.
    """

    cores: int
    memory_gb: int
    accelerators: int = 0
    slots: int = 8
    connections: int = 64

    @property
    def capacity(self) -> Resources:
        """The capacity as a resource vector."""
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
    size: WorkerSize,
    prefix: str = "",
    failure_domains: int = 3,
    fencing: bool = True,
) -> Iterator[WorkerInfo]:
    """Yield descriptions of a pool's workers, spread evenly over failure domains.

    Parameters
    ----------
    pool : str
        Pool of the workers.
    count : int
        Number of workers.
    size : WorkerSize
        Capacity of each worker.
    prefix : str, default=""
        Beginning of the workers' names; the name of the pool if empty.
    failure_domains : int, default=3
        Number of failure domains.
    fencing : bool, default=True
        Whether the workers' backend servers refuse orders of an older epoch.
    """
    for index in range(count):
        domain_index = index % failure_domains
        yield WorkerInfo(
            name=f"{prefix or pool}-{index}",
            pool=pool,
            address="",
            failure_domain=f"domain-{domain_index}",
            rack=f"rack-{domain_index}-{index // failure_domains // WORKERS_PER_RACK}",
            capacity=size.capacity,
            fencing=fencing,
        )
