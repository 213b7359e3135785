"""Interface through which a partition's owner calls backend servers."""

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
    """Reason why a call to a backend server failed.

    ``STALE_EPOCH`` means that the backend server knows a higher epoch, ``NOT_SENT``
    that it did not receive the call, ``UNKNOWN`` that the outcome of the call is
    unknown since no complete reply arrived or its status is unexpected, and
    ``INVALID_ANSWER`` that the reply cannot be decoded, or that an answer in it does
    not match its length or digest.
    """

    STALE_EPOCH = "stale_epoch"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    INVALID_ANSWER = "invalid_answer"


class BackendServer(ABC):
    """Sends orders and heartbeats to one worker's backend server."""

    @abstractmethod
    async def adopt(self, order: AdoptOrder) -> Result[WorkerReport, CallFailure]:
        """Make the sender the worker's owner and return the worker's report."""

    @abstractmethod
    async def heartbeat(
        self, order: HeartbeatOrder
    ) -> Result[WorkerReport, CallFailure]:
        """Renew the session and the task leases; return the worker's report."""

    @abstractmethod
    async def start(
        self, batch: StartBatch
    ) -> Result[Sequence[StartReply], CallFailure]:
        """Order the worker to start attempts; return one reply for each."""

    @abstractmethod
    async def stop(self, batch: StopBatch) -> Result[None, CallFailure]:
        """Order the worker to end attempts; later heartbeats report their ends."""


class BackendConnector(ABC):
    """Creates clients of backend servers."""

    @abstractmethod
    def connect(self, address: str) -> BackendServer:
        """Return a client of the backend server whose base URL is `address`."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
