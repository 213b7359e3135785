"""Exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command.

    ``REFUSED`` means that the system refused the call, that no log line names the job
    to explain, or that the demonstration could not be prepared; ``USAGE`` that the
    command line is wrong; ``INVALID`` that the settings or the configuration are
    invalid; ``UNREACHABLE`` that no valid reply arrived from the entry; ``WORK_FAILED``
    that the work did not succeed or did not end in time; ``CANNOT_LISTEN`` that the
    process cannot listen on an address.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    INVALID = 3
    UNREACHABLE = 4
    WORK_FAILED = 5
    CANNOT_LISTEN = 6
