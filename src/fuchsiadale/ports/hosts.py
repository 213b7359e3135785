"""Interface of the host list.

The host list is the platform's list of live and leaving workers. It shows changes with
a delay.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from attrs import frozen
from result import Result

from fuchsiadale.decision.ledger import WorkerInfo


@frozen
class HostListing:
    """Reply of the host list to one request.

    Attributes
    ----------
    version : int
        Version of the list; increases with every change of the list.
    workers : tuple of WorkerInfo or None
        The live and leaving workers; None if the list still has the version that the
        request gave as known.
    """

    version: int
    workers: tuple[WorkerInfo, ...] | None


class HostList(ABC):
    """Fetches the list of live and leaving workers from the platform."""

    @abstractmethod
    async def fetch(self, known_version: int) -> Result[HostListing, str]:
        """Return the list, without workers if its version is `known_version`."""
