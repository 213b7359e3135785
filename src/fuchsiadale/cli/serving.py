"""Runs an entry until it receives a signal to stop."""

from __future__ import annotations

import asyncio
import signal

from fuchsiadale.entry.daemon import EntryDaemon


async def serve_until_stopped(daemon: EntryDaemon) -> None:
    """Run a started entry until SIGTERM or SIGINT, then drain and stop it.

    The drain is cut short by a second signal, or when it exceeds the ``drain_limit_s``
    of the settings.
    """
    stop_requested = create_stop_event()
    await stop_requested.wait()
    stop_requested.clear()
    drain_task = asyncio.ensure_future(daemon.drain())
    second_signal_task = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait(
        {drain_task, second_signal_task},
        timeout=daemon.settings.drain_limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    drain_task.cancel()
    second_signal_task.cancel()
    await daemon.stop()


def create_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    return stop_requested
