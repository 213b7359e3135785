"""Server for callers whose gateway takes a set time, and raw connections to it."""

from __future__ import annotations

import asyncio

import eliot
from attrs import define, field
from result import Ok, Result

from fuchsiadale.cell.daemon_runner import (
    COMPLETION_SHARE,
    HttpListener,
    RunningServer,
    close_http_server,
    start_http_server,
)
from fuchsiadale.cell.gateway import CallerRequest
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.open_calls import OpenCalls
from fuchsiadale.decision.errors import Refusal
from fuchsiadale.decision.workflow.jobs import JobState
from fuchsiadale.platform.ingress import Ingress

JOB_ID = "0123456789abcdef"
GET_REQUEST = f"GET /queue/{JOB_ID} HTTP/1.1\r\nHost: example\r\n\r\n".encode()
BODY = b'{"spec":"x","steps":[]}'
POST_HEAD = (
    f"POST /queue/{JOB_ID} HTTP/1.1\r\nHost: example\r\n"
    f"Content-Length: {len(BODY)}\r\n\r\n"
).encode()


@define
class SlowGateway:
    """Gateway that carries out every call after `delay_s` seconds."""

    delay_s: float = 0.0

    def is_queue_path(self, call: CallerRequest) -> bool:
        """Return False: no path names a queue."""
        return False

    def get_configuration_inputs(self) -> dict[str, object]:
        """Return no inputs: no call is decided by a configuration."""
        return {}

    async def get_job_state(self, call: CallerRequest) -> Result[JobState, Refusal]:
        """Return that the job runs."""
        await asyncio.sleep(self.delay_s)
        return Ok(JobState.RUNNING)

    async def submit(
        self, call: CallerRequest, specification: object
    ) -> Result[None, Refusal]:
        """Accept the job."""
        await asyncio.sleep(self.delay_s)
        return Ok(None)


@define
class CallersServer:
    """Server for callers, which runs within its context.

    Attributes
    ----------
    gateway : SlowGateway
        Carries out the calls.
    completion_s : float
        Seconds that the server has to close.
    is_draining : bool
        Whether connections are closed with their next answer.
    metrics : CellMetrics
        Metrics of the server.
    messages : list of dict
        Log messages since the start.
    """

    gateway: SlowGateway = field(factory=SlowGateway)
    completion_s: float = 1.0
    is_draining: bool = False
    metrics: CellMetrics = field(factory=CellMetrics)
    messages: list[dict[str, object]] = field(factory=list)
    _writers: list[asyncio.StreamWriter] = field(factory=list)
    _open_calls: OpenCalls = field(init=False)
    _server: RunningServer = field(init=False)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.runner.addresses[0][1])

    async def __aenter__(self) -> CallersServer:
        """Listen on a free port and record log messages."""
        eliot.add_destinations(self.messages.append)
        self._open_calls = OpenCalls(self.metrics)
        ingress = Ingress(
            self.gateway,  # type: ignore[arg-type]
            self.metrics,
            self._open_calls,
            lambda: self.is_draining,
        )
        self._server = await start_http_server(
            HttpListener("127.0.0.1:0", ingress.handle_request),
            COMPLETION_SHARE * self.completion_s,
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close all connections and the server."""
        for writer in self._writers:
            writer.close()
        await self._server.runner.cleanup()
        eliot.remove_destination(self.messages.append)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, which is closed at the end of the context."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._writers.append(writer)
        return reader, writer

    async def close(self) -> None:
        """Close the server as a process does that is told to stop."""
        self.is_draining = True
        await close_http_server(self._server, self._open_calls, self.completion_s)

    def find_messages(self, message_type: str) -> list[dict[str, object]]:
        """Return the log messages of a type."""
        return [
            message
            for message in self.messages
            if message["message_type"] == message_type
        ]
