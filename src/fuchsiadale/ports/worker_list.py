"""Interface of the list of registered workers."""

from __future__ import annotations

from abc import ABC, abstractmethod

from result import Result

from fuchsiadale.decision.workflow.messages import WorkerEntry
from fuchsiadale.ports.rows import StoreFailure


class WorkerList(ABC):
    """Reads the registrations of workers."""

    @abstractmethod
    async def read(self) -> Result[tuple[WorkerEntry, ...], StoreFailure]:
        """Return all valid registrations."""
