"""Interface through which a cell reads and watches its configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod

from attrs import frozen
from result import Result

from fuchsiadale.decision.workflow.configuration import CellConfiguration
from fuchsiadale.decision.workflow.domain_drains import DrainReading
from fuchsiadale.ports.rows import StoreFailure


@frozen
class ConfigurationReading:
    """Result of one read or one watch of the configuration.

    Attributes
    ----------
    configuration : CellConfiguration or None
        The newest valid configuration received; None if none was received.
    position : int
        Version of the store after which the next watch continues.
    is_unreadable : bool
        Whether the newest version received could not be read.
    drains : DrainReading or None
        The requests to drain failure domains, which the operator keeps beside the
        configuration; None if the source does not read them.
    document_bytes : int
        Size of the document that contained the configuration; 0 if none was received.
    """

    configuration: CellConfiguration | None
    position: int
    is_unreadable: bool = False
    drains: DrainReading | None = None
    document_bytes: int = 0


class ConfigurationSource(ABC):
    """Reads the configuration in force and waits for newer ones."""

    @abstractmethod
    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration in force and the position to watch from."""

    @abstractmethod
    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Wait for a newer configuration.

        Parameters
        ----------
        position : int
            Position returned by the last read or watch.
        wait_s : float
            How long the store waits for a change before it replies, in seconds.
        """
