"""Logging: one JSON line a change of state, on stderr."""

from __future__ import annotations

import logging
import sys

import eliot


def log_to_stderr() -> None:
    """Write log messages to stderr."""
    # A state machine warns of each event that changes nothing, which is no news here.
    logging.getLogger("transitions").setLevel(logging.ERROR)
    eliot.to_file(sys.stderr)
