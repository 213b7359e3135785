"""The list of registered workers."""

from __future__ import annotations

from abc import ABC, abstractmethod

from result import Result

from fuchsiadale.decision.workflow.messages import WorkerEntry
from fuchsiadale.ports.rows import StoreFailure


class WorkerList(ABC):
    """Reads the list of registered workers."""

    @abstractmethod
    async def read(self) -> Result[tuple[WorkerEntry, ...], StoreFailure]:
        """Return every registration that names a worker to use."""
