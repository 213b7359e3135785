"""The platform's lagging list of live and leaving workers."""

from __future__ import annotations

from abc import ABC, abstractmethod

from attrs import frozen
from result import Result

from fuchsiadale.decision.ledger import WorkerInfo


@frozen
class HostListing:
    """One reading of the host list.

    Attributes
    ----------
    version : int
        Grows with every change of the list.
    workers : tuple of WorkerInfo or None
        The workers; None if the list has not changed since the version asked for.
    """

    version: int
    workers: tuple[WorkerInfo, ...] | None


class HostList(ABC):
    """A client of the host list."""

    @abstractmethod
    async def fetch(self, known_version: int) -> Result[HostListing, str]:
        """Return the list, without workers if `known_version` is the present one."""
