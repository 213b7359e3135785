"""Where the configuration comes from."""

from __future__ import annotations

from abc import ABC, abstractmethod

from attrs import frozen
from result import Result

from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.ports.rows import StoreFailure


@frozen
class ConfigurationReading:
    """What a reading brought.

    Attributes
    ----------
    configuration : CellConfiguration or None
        The configuration, if the reading brought one.
    position : int
        Where to go on from.
    """

    configuration: CellConfiguration | None
    position: int


class ConfigurationSource(ABC):
    """Reads and watches the configuration."""

    @abstractmethod
    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration in force."""

    @abstractmethod
    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Wait for a newer configuration."""
