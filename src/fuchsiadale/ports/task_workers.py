"""Interfaces of the workers that run tasks and of the advice service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen
from result import Result

from fuchsiadale.decision.workflow.messages import StartOutcome, WorkerReport
from fuchsiadale.decision.workflow.names import StepName, TaskName


@frozen
class WorkerAddress:
    """Address of a worker, and which worker is expected there.

    Attributes
    ----------
    worker_id : str
        Id of the worker; a worker with another id at the address refuses the calls.
    address : str
        ``ip:port`` of the worker.
    started_ms : int, default=0
        Start of the only incarnation of the worker that calls may reach, in Unix
        milliseconds; 0 for any incarnation.
    """

    worker_id: str
    address: str
    started_ms: int = 0


@frozen
class StartRequest:
    """Request to a worker to start a run of a task.

    Attributes
    ----------
    task : TaskName
        Task to run.
    run : int
        Number of the run.
    payload : str
        Text that the caller submitted with the job.
    checkpoint : str
        Checkpoint to resume from; empty to start from the beginning.
    ticket : str
        Permission of the advice service to run the step on this worker; empty if the
        queue needs none.
    lease_end_ms : int
        Reading of the worker's clock at which the lease of the run ends, in ms.
    fencing_token : int
        Fencing token of the owner that sends the request.
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
    """Outcome of a request to start a run.

    Attributes
    ----------
    outcome : StartOutcome
        Whether the run was started, or why not.
    clock_ms : int or None
        Reading of the worker's clock, in ms; None if the worker sent no reading.
    """

    outcome: StartOutcome
    clock_ms: int | None = None


@frozen
class PollRequest:
    """Request to a worker to report its runs and, if an end is given, renew leases.

    Attributes
    ----------
    lease_end_ms : int or None
        Reading of the worker's clock at which the leases end, in ms; None to leave
        them unchanged.
    fencing_token : int
        Fencing token of the owner that sends the request.
    acknowledged_through : int
        Sequence number of the last reported end that the owner has recorded; the
        worker may forget this end and all earlier ones.
    wait_s : float
        How long the worker may wait for a run to end before it replies, in seconds.
    """

    lease_end_ms: int | None
    fencing_token: int
    acknowledged_through: int
    wait_s: float


class CallFailure(Enum):
    """Reason why a call to a worker failed.

    ``FENCED`` means that the worker knows a higher fencing token, ``OTHER_BOOT`` that
    a worker with another id listens at the address, ``RESTARTED`` that another
    incarnation of the worker does, to which the call was not sent, ``NO_ANSWER`` that
    no complete reply arrived in time, ``DISCONNECTED`` that the connection was refused
    or closed before a complete reply, and ``REFUSED`` any other reply that is not a
    success.
    """

    FENCED = "fenced"
    OTHER_BOOT = "other_boot"
    RESTARTED = "restarted"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
    DISCONNECTED = "disconnected"


class WorkerClient(ABC):
    """Sends orders to workers and polls them for reports.

    A call whose address names an incarnation reaches no other one, also if it is not
    answered.
    """

    @abstractmethod
    async def start(
        self, worker: WorkerAddress, request: StartRequest, timeout_s: float
    ) -> StartAnswer:
        """Order a worker to start a run."""

    @abstractmethod
    async def stop(
        self,
        worker: WorkerAddress,
        task: TaskName,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> Result[None, CallFailure]:
        """Order a worker to stop a run; a later poll reports that it ended."""

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
        """Order a worker to limit a run to a percentage of its full speed."""

    @abstractmethod
    async def poll(
        self, worker: WorkerAddress, request: PollRequest, timeout_s: float
    ) -> Result[WorkerReport, CallFailure]:
        """Return the runs of a worker; renew all their leases if an end is given."""


@frozen
class Advice:
    """Reply of the advice service.

    Attributes
    ----------
    tickets : dict of str to str
        Ticket for each worker that may run the step, by worker id.
    valid_s : float
        How long the tickets are valid, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceClient(ABC):
    """Asks the advice service which workers may run a step."""

    @abstractmethod
    async def request_advice(
        self, step: StepName, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Return the tickets for a step, or None without a successful reply."""
