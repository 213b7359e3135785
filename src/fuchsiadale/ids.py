"""Sources of unique identifiers."""

from __future__ import annotations

import uuid
from abc import ABC, abstractmethod


class IdSource(ABC):
    """Generates identifiers, each of them only once."""

    @abstractmethod
    def new(self) -> str:
        """Return a new identifier of hexadecimal digits."""


class RandomIdSource(IdSource):
    """Generates random identifiers."""

    def new(self) -> str:
        """Return a new identifier of hexadecimal digits."""
        return uuid.uuid4().hex
