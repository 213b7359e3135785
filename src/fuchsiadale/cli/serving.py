"""Runs a daemon until it is told to stop."""

from __future__ import annotations

import asyncio
import signal

from fuchsiadale.entry.daemon import EntryDaemon


async def serve_until_stopped(daemon: EntryDaemon) -> None:
    """Let a started entry run until SIGTERM or SIGINT, then drain it.

    A second signal, or the settings' drain limit, ends it at once.
    """
    stop = create_stop_event()
    await stop.wait()
    stop.clear()
    draining = asyncio.ensure_future(daemon.drain())
    interrupted = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        {draining, interrupted},
        timeout=daemon.settings.drain_limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    draining.cancel()
    interrupted.cancel()
    await daemon.stop()


def create_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop
