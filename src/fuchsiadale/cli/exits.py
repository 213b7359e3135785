"""Exit codes of the command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    INVALID = 3
    UNREACHABLE = 4
    WORK_FAILED = 5
    CANNOT_LISTEN = 6
