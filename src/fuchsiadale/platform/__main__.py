"""Command that runs a process of a cell; SIGHUP does not end it while it starts."""

from __future__ import annotations

import signal
from importlib import import_module


def main() -> None:
    """Ignore SIGHUP until the process handles it, then load and run the program."""
    # Loading the program takes long enough for a change of its settings to arrive.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module("fuchsiadale.platform.main").main()


if __name__ == "__main__":
    main()
