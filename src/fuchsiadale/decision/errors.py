"""The closed list of error kinds and the answer each one gets."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

from attrs import frozen


class RunState(Enum):
    """What is known about whether the work ran."""

    NOT_RUN = "not_run"
    RAN = "ran"
    OUTCOME_UNKNOWN = "outcome_unknown"


class ErrorKind(Enum):
    """Every way in which the system turns a caller away."""

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
class ErrorAnswer:
    """How an error kind is told to a caller.

    Attributes
    ----------
    http_status : int
        Status code of the HTTP answer.
    run_state : RunState
        Whether the work ran.
    retry_after_s : int or None
        Seconds after which a new try is worthwhile, if one is.
    """

    http_status: int
    run_state: RunState
    retry_after_s: int | None = None


_NOT_RUN = RunState.NOT_RUN

ANSWERS: Mapping[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.MALFORMED: ErrorAnswer(400, _NOT_RUN),
        ErrorKind.TOO_LARGE: ErrorAnswer(413, _NOT_RUN),
        ErrorKind.UNAUTHENTICATED: ErrorAnswer(401, _NOT_RUN),
        ErrorKind.FORBIDDEN: ErrorAnswer(403, _NOT_RUN),
        ErrorKind.NOT_FOUND: ErrorAnswer(404, _NOT_RUN),
        ErrorKind.NO_SUCH_JOB: ErrorAnswer(410, _NOT_RUN),
        ErrorKind.INFEASIBLE: ErrorAnswer(422, _NOT_RUN),
        ErrorKind.QUEUE_FULL: ErrorAnswer(429, _NOT_RUN, 1),
        ErrorKind.KEY_REUSED: ErrorAnswer(409, _NOT_RUN),
        ErrorKind.VERSION_CONFLICT: ErrorAnswer(409, _NOT_RUN),
        ErrorKind.CONFIG_INVALID: ErrorAnswer(422, _NOT_RUN),
        ErrorKind.CONFIG_STALE: ErrorAnswer(503, _NOT_RUN, 2),
        ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(503, _NOT_RUN, 2),
        ErrorKind.NO_OWNER: ErrorAnswer(503, _NOT_RUN, 2),
        ErrorKind.NOT_OWNER: ErrorAnswer(503, _NOT_RUN, 1),
        ErrorKind.DRAINING: ErrorAnswer(503, _NOT_RUN, 1),
        ErrorKind.TIMEOUT: ErrorAnswer(504, _NOT_RUN, 1),
        ErrorKind.CANCELLED: ErrorAnswer(409, _NOT_RUN),
        ErrorKind.RETRIES_EXHAUSTED: ErrorAnswer(503, _NOT_RUN, 5),
        ErrorKind.TASK_FAILED: ErrorAnswer(502, RunState.RAN),
        ErrorKind.POISON: ErrorAnswer(422, RunState.RAN),
        ErrorKind.ANSWER_LOST: ErrorAnswer(410, RunState.RAN),
        ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(504, RunState.OUTCOME_UNKNOWN),
        ErrorKind.INTERNAL: ErrorAnswer(500, RunState.OUTCOME_UNKNOWN),
    }
)


@frozen
class Refusal:
    """An error told to a caller: its kind and a sentence for a person."""

    kind: ErrorKind
    message: str

    @property
    def answer(self) -> ErrorAnswer:
        """The answer that the table gives for this kind."""
        return ANSWERS[self.kind]
