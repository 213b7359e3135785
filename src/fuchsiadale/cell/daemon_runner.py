"""Runs the process of a cell with its HTTP servers until a signal stops it."""

from __future__ import annotations

import asyncio
import signal
import socket

from aiohttp import web
from attrs import frozen
from eliot import log_message

from fuchsiadale.cell.daemon import CellDaemon
from fuchsiadale.cell.event_log import EventLog
from fuchsiadale.cell.metrics import CellMetrics
from fuchsiadale.cell.open_calls import OpenCalls

METRICS_PORT = 9464
"""Port on which metrics are served, as given in the deployment file."""

COMPLETION_SHARE = 0.25
"""Share of the completion time in which requests may end after the last arrives."""

LISTEN_BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""

ANSWER_SHARE = 0.05
"""Share of the completion time in which the last answers are sent."""

CONNECTION_POLL_INTERVAL_S = 0.05
"""Seconds between two looks at which connections are still open."""


@frozen
class HttpListener:
    """Address and request handler of an HTTP server.

    Attributes
    ----------
    address : str
        ``ip:port`` to listen on.
    handler : object
        Request handler for `aiohttp.web.Server`.
    """

    address: str
    handler: object


@frozen
class RunningServer:
    """A running HTTP server.

    Attributes
    ----------
    runner : ServerRunner
        Serves the connections.
    listening_socket : socket
        Socket on which connections are accepted.
    """

    runner: web.ServerRunner
    listening_socket: socket.socket


class DaemonRunner:
    """Runs a daemon and its HTTP servers until a signal stops them.

    Parameters
    ----------
    daemon : CellDaemon
        Daemon to run.
    listeners : list of HttpListener
        HTTP servers to run; the first one serves callers.
    open_calls : OpenCalls
        Calls of callers that are not answered yet.
    log : EventLog
        Log that is written in the background and flushed at the end.
    """

    def __init__(
        self,
        daemon: CellDaemon,
        listeners: list[HttpListener],
        open_calls: OpenCalls,
        log: EventLog,
    ) -> None:
        self._daemon = daemon
        self._listeners = listeners
        self._open_calls = open_calls
        self._log = log
        self._servers: list[RunningServer] = []

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT arrives."""
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: log_message("settings_kept"))
        log_task = loop.create_task(self._log.run())
        await self._daemon.start()
        completion_s = self._daemon.bounds.call_completion_s
        for listener in self._listeners:
            self._servers.append(
                await start_http_server(listener, COMPLETION_SHARE * completion_s)
            )
        log_message("started")
        await stop_requested.wait()
        await self._daemon.begin_shutdown()
        callers_server, *other_servers = self._servers
        await close_http_server(callers_server, self._open_calls, completion_s)
        for server in other_servers:
            await server.runner.cleanup()
        await self._daemon.stop()
        log_task.cancel()
        self._log.flush()


async def start_http_server(
    listener: HttpListener, shutdown_timeout_s: float
) -> RunningServer:
    """Listen and serve requests.

    Parameters
    ----------
    listener : HttpListener
        Address and handler of the server.
    shutdown_timeout_s : float
        Seconds for requests in progress when the server closes its connections; they
        have as long again to end once they are cancelled.

    Returns
    -------
    server : RunningServer
        The running server.

    Raises
    ------
    OSError
        If the process cannot listen on the address.
    """
    ip, _, port = listener.address.rpartition(":")
    server = web.Server(listener.handler, access_log=None)  # type: ignore[arg-type]
    runner = web.ServerRunner(server, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    listening_socket = socket.create_server((ip, int(port)), backlog=LISTEN_BACKLOG)
    await web.SockSite(runner, listening_socket, backlog=LISTEN_BACKLOG).start()
    return RunningServer(runner, listening_socket)


async def stop_listening(
    listening_socket: socket.socket, runner: web.ServerRunner, server: web.Server
) -> None:
    """Stop listening; serve the connections that callers have established until then.

    Closing a listening socket resets the connections that wait to be accepted.

    Parameters
    ----------
    listening_socket : socket
        Socket on which connections are accepted.
    runner : ServerRunner
        Runner of the server.
    server : Server
        Serves the connections.
    """
    loop = asyncio.get_running_loop()
    loop.remove_reader(listening_socket)
    # The event loop completes the connections that it has accepted.
    await asyncio.sleep(CONNECTION_POLL_INTERVAL_S)
    accepted = []
    while True:
        try:
            connection, _ = listening_socket.accept()
        except OSError:
            break
        accepted.append(connection)
    for site in list(runner.sites):
        await site.stop()
    for connection in accepted:
        connection.setblocking(False)
        await loop.connect_accepted_socket(server, connection)


async def close_http_server(
    running_server: RunningServer, open_calls: OpenCalls, completion_s: float
) -> None:
    """Stop listening and close connections without cutting requests on their way.

    A client that keeps a connection open may already have sent its next request when
    the server closes it. Open connections are therefore served for a while, in which
    the handler of requests should close each one with its next response. Those that
    carry no request in this time are closed at its end. Calls that are then still in
    progress, or whose body is incomplete, end in time for an answer.

    Parameters
    ----------
    running_server : RunningServer
        The server to close.
    open_calls : OpenCalls
        Calls that the server has received and not answered yet.
    completion_s : float
        Seconds until every connection is closed.
    """
    runner = running_server.runner
    server = runner.server
    if server is None:
        return
    await stop_listening(running_server.listening_socket, runner, server)
    log_message(
        "callers_server_closing",
        connections=len(server.connections),
        open_calls=open_calls.count,
    )
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    open_calls.end_by(started_s + (1.0 - ANSWER_SHARE) * completion_s)
    ends_s = started_s + (1.0 - COMPLETION_SHARE) * completion_s
    while True:
        # A connection that was just accepted is listed only some iterations later.
        await asyncio.sleep(CONNECTION_POLL_INTERVAL_S)
        if not server.connections or loop.time() >= ends_s:
            break
    closed_connections, open_count = len(server.connections), open_calls.count
    await runner.cleanup()
    log_message(
        "callers_server_closed",
        closed_connections=closed_connections,
        open_calls=open_count,
        cancelled_calls=open_calls.cancelled_count,
        duration_s=round(loop.time() - started_s, 3),
    )


async def handle_metrics_request(
    metrics: CellMetrics, request: web.BaseRequest
) -> web.StreamResponse:
    """Return the response that contains all metrics as text."""
    return web.Response(body=metrics.render(), content_type="text/plain")
