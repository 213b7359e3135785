"""The platform's object store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from result import Result


class ObjectFailure(Enum):
    """Why an object could not be read or written."""

    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"


class ObjectStore(ABC):
    """A client of the object store. Objects are written once, under unique names."""

    @abstractmethod
    async def put(self, name: str, body: bytes) -> Result[None, ObjectFailure]:
        """Write an object."""

    @abstractmethod
    async def get(self, name: str) -> Result[bytes, ObjectFailure]:
        """Read an object."""

    @abstractmethod
    async def delete(self, name: str) -> Result[None, ObjectFailure]:
        """Remove an object; removing one that does not exist succeeds."""
