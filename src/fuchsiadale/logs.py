"""Logging: one JSON line a change of state, on stderr."""

from __future__ import annotations

import sys

import eliot


def log_to_stderr() -> None:
    """Write log messages to stderr."""
    eliot.to_file(sys.stderr)
