"""Clients of the workers that run tasks, and of the service that advises on them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen
from result import Result

from fuchsiadale.decision.workflow.messages import StartOutcome, WorkerReport
from fuchsiadale.decision.workflow.names import StepName, TaskName


@frozen
class WorkerAddress:
    """Where a worker listens, and which life of it is meant."""

    worker_id: str
    address: str


@frozen
class StartRequest:
    """What a worker needs to start a run.

    Attributes
    ----------
    task : TaskName
        The task.
    run : int
        Number of the run.
    payload : str
        The caller's text.
    checkpoint : str
        Where to resume; empty for the beginning.
    ticket : str
        Leave to run the step there; empty if none is needed.
    lease_end_ms : int
        When the lease ends, on the worker's clock.
    fencing_token : int
        The owner's token.
    """

    task: TaskName
    run: int
    payload: str
    checkpoint: str
    ticket: str
    lease_end_ms: int
    fencing_token: int


@frozen
class StartAnswer:
    """What became of a start, and the worker's clock if it answered."""

    outcome: StartOutcome
    clock_ms: int | None = None


@frozen
class PollRequest:
    """Renews the lease of everything on a worker and asks what is there.

    Attributes
    ----------
    lease_end_ms : int or None
        When the lease ends, on the worker's clock; None to leave it as it is.
    fencing_token : int
        The owner's token.
    acknowledged_through : int
        Ends up to this number may be forgotten.
    wait_s : float
        How long the worker may wait for an end before it answers, in seconds.
    """

    lease_end_ms: int | None
    fencing_token: int
    acknowledged_through: int
    wait_s: float


class CallFailure(Enum):
    """Why a call to a worker gave no result."""

    FENCED = "fenced"
    OTHER_BOOT = "other_boot"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class WorkerClient(ABC):
    """Calls workers."""

    @abstractmethod
    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Start a run."""

    @abstractmethod
    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Stop a run; its end is reported later."""

    @abstractmethod
    async def set_pace(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        percent: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Let a run work at a share of its speed."""

    @abstractmethod
    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Renew the lease and return what runs and what ended."""


@frozen
class Advice:
    """Tickets by worker, and how long they are valid in seconds."""

    tickets: dict[str, str]
    valid_s: float


class AdviceClient(ABC):
    """Asks which workers may run a step."""

    @abstractmethod
    async def request_advice(
        self, step: StepName, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Return the tickets granted, or None without an answer."""
