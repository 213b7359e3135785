"""The kinds of errors that callers receive, and the HTTP response to each."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

from attrs import frozen


class ExecutionOutcome(Enum):
    """Whether the work was executed, as far as is known."""

    NOT_RUN = "not_run"
    RAN = "ran"
    OUTCOME_UNKNOWN = "outcome_unknown"


class ErrorKind(Enum):
    """Every reason for which a call is refused or work ends without success."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    NO_SUCH_JOB = "no_such_job"
    INFEASIBLE = "infeasible"
    QUEUE_FULL = "queue_full"
    KEY_REUSED = "key_reused"
    VERSION_CONFLICT = "version_conflict"
    CONFIG_INVALID = "config_invalid"
    CONFIG_STALE = "config_stale"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    DRAINING = "draining"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    RETRIES_EXHAUSTED = "retries_exhausted"
    TASK_FAILED = "task_failed"
    POISON = "poison"
    ANSWER_LOST = "answer_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


@frozen
class ErrorResponse:
    """How an error kind is returned to a caller.

    Attributes
    ----------
    http_status : int
        Status code of the HTTP response.
    execution_outcome : ExecutionOutcome
        Whether the work was executed.
    retry_after_s : int or None
        Seconds after which the caller may retry; None if it should not.
    """

    http_status: int
    execution_outcome: ExecutionOutcome
    retry_after_s: int | None = None


_NOT_RUN = ExecutionOutcome.NOT_RUN

ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.MALFORMED: ErrorResponse(400, _NOT_RUN),
        ErrorKind.TOO_LARGE: ErrorResponse(413, _NOT_RUN),
        ErrorKind.UNAUTHENTICATED: ErrorResponse(401, _NOT_RUN),
        ErrorKind.FORBIDDEN: ErrorResponse(403, _NOT_RUN),
        ErrorKind.NOT_FOUND: ErrorResponse(404, _NOT_RUN),
        ErrorKind.NO_SUCH_JOB: ErrorResponse(410, _NOT_RUN),
        ErrorKind.INFEASIBLE: ErrorResponse(422, _NOT_RUN),
        ErrorKind.QUEUE_FULL: ErrorResponse(429, _NOT_RUN, 1),
        ErrorKind.KEY_REUSED: ErrorResponse(409, _NOT_RUN),
        ErrorKind.VERSION_CONFLICT: ErrorResponse(409, _NOT_RUN),
        ErrorKind.CONFIG_INVALID: ErrorResponse(422, _NOT_RUN),
        ErrorKind.CONFIG_STALE: ErrorResponse(503, _NOT_RUN, 2),
        ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, 2),
        ErrorKind.NO_OWNER: ErrorResponse(503, _NOT_RUN, 2),
        ErrorKind.NOT_OWNER: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.DRAINING: ErrorResponse(503, _NOT_RUN, 1),
        ErrorKind.TIMEOUT: ErrorResponse(504, _NOT_RUN, 1),
        ErrorKind.CANCELLED: ErrorResponse(409, _NOT_RUN),
        ErrorKind.RETRIES_EXHAUSTED: ErrorResponse(503, _NOT_RUN, 5),
        ErrorKind.TASK_FAILED: ErrorResponse(502, ExecutionOutcome.RAN),
        ErrorKind.POISON: ErrorResponse(422, ExecutionOutcome.RAN),
        ErrorKind.ANSWER_LOST: ErrorResponse(410, ExecutionOutcome.RAN),
        ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, ExecutionOutcome.OUTCOME_UNKNOWN),
        ErrorKind.INTERNAL: ErrorResponse(500, ExecutionOutcome.OUTCOME_UNKNOWN),
    }
)


@frozen
class Refusal:
    """An error that is returned to a caller.

    Attributes
    ----------
    kind : ErrorKind
        Selects the HTTP response.
    message : str
        Explains the error to a person.
    """

    kind: ErrorKind
    message: str

    @property
    def error_response(self) -> ErrorResponse:
        """The response to errors of this kind."""
        return ERROR_RESPONSES[self.kind]
