"""Interface of the platform's object store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from result import Result


class ObjectFailure(Enum):
    """Reason why an object could not be read, written or deleted."""

    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"


class ObjectStore(ABC):
    """Stores objects; each is written once, under a name that is never reused."""

    @abstractmethod
    async def put(self, name: str, body: bytes) -> Result[None, ObjectFailure]:
        """Write an object under a name."""

    @abstractmethod
    async def get(self, name: str) -> Result[bytes, ObjectFailure]:
        """Return the content of an object."""

    @abstractmethod
    async def delete(self, name: str) -> Result[None, ObjectFailure]:
        """Delete an object; deleting one that does not exist succeeds."""
