"""A backend server as the owner of its partition sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from result import Result

from fuchsiadale.backend.messages import (
    AdoptOrder,
    HeartbeatOrder,
    StartBatch,
    StartReply,
    StopBatch,
)
from fuchsiadale.decision.reports import WorkerReport


class CallFailure(Enum):
    """Why a call to a backend server gave no result.

    ``NOT_SENT`` means that the backend server never received it, ``UNKNOWN`` that it
    may have.
    """

    STALE_EPOCH = "stale_epoch"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    INVALID_ANSWER = "invalid_answer"


class BackendServer(ABC):
    """A client of one worker's backend server."""

    @abstractmethod
    async def adopt(self, order: AdoptOrder) -> Result[WorkerReport, CallFailure]:
        """Become the worker's owner."""

    @abstractmethod
    async def heartbeat(
        self, order: HeartbeatOrder
    ) -> Result[WorkerReport, CallFailure]:
        """Renew the session and learn what ended."""

    @abstractmethod
    async def start(
        self, batch: StartBatch
    ) -> Result[Sequence[StartReply], CallFailure]:
        """Start attempts."""

    @abstractmethod
    async def stop(self, batch: StopBatch) -> Result[None, CallFailure]:
        """End attempts; their ends are told by a later heartbeat."""


class BackendConnector(ABC):
    """Makes clients of backend servers."""

    @abstractmethod
    def connect(self, address: str) -> BackendServer:
        """Return a client of the backend server at an address."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""
