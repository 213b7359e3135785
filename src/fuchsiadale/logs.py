"""Logging to stderr, as one JSON line for each change of state."""

from __future__ import annotations

import logging
import sys

import eliot


def log_to_stderr() -> None:
    """Write log messages to stderr."""
    # The state machine library logs a warning for each trigger that changes no state.
    # Such triggers are expected here.
    logging.getLogger("transitions").setLevel(logging.ERROR)
    eliot.to_file(sys.stderr)
