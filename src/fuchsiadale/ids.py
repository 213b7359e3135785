"""Sources of unique identifiers."""

from __future__ import annotations

import uuid
from abc import ABC, abstractmethod


class IdSource(ABC):
    """Makes identifiers that are never made twice."""

    @abstractmethod
    def new(self) -> str:
        """Return an identifier of hexadecimal digits."""


class RandomIdSource(IdSource):
    """Makes random identifiers."""

    def new(self) -> str:
        """Return an identifier of hexadecimal digits."""
        return uuid.uuid4().hex
