"""When an attempt that ended may be followed by another one."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

from attrs import define

from fuchsiadale.decision.constants import (
    RETRY_BACKOFF_INITIAL_S,
    RETRY_BACKOFF_MAX_S,
    RETRY_BUDGET_INITIAL_TOKENS,
    RETRY_BUDGET_RATIO,
)
from fuchsiadale.decision.work import AttemptEnd


class RetryDecision(Enum):
    """What follows the end of an attempt."""

    FINISH = "finish"
    FAIL = "fail"
    RETRY = "retry"
    FAIL_AS_UNKNOWN = "tell_unknown"


# Keyed by how the attempt ended and whether the work is idempotent. An attempt that
# ended LOST is known to run no more, but not whether it ran before.
RETRY_TABLE: Mapping[tuple[AttemptEnd, bool], RetryDecision] = MappingProxyType(
    {
        (AttemptEnd.SUCCEEDED, True): RetryDecision.FINISH,
        (AttemptEnd.SUCCEEDED, False): RetryDecision.FINISH,
        (AttemptEnd.FAILED, True): RetryDecision.RETRY,
        (AttemptEnd.FAILED, False): RetryDecision.FAIL,
        (AttemptEnd.STOPPED, True): RetryDecision.RETRY,
        (AttemptEnd.STOPPED, False): RetryDecision.FAIL_AS_UNKNOWN,
        (AttemptEnd.NOT_RUN, True): RetryDecision.RETRY,
        (AttemptEnd.NOT_RUN, False): RetryDecision.RETRY,
        (AttemptEnd.LOST, True): RetryDecision.RETRY,
        (AttemptEnd.LOST, False): RetryDecision.FAIL_AS_UNKNOWN,
    }
)


def backoff_s(attempts_made: int) -> float:
    """Return the seconds to wait before the next attempt."""
    exponent = min(max(attempts_made - 1, 0), 16)
    doubled_s = RETRY_BACKOFF_INITIAL_S * float(1 << exponent)
    return min(doubled_s, RETRY_BACKOFF_MAX_S)


@define
class RetryBudget:
    """Limits the retries of a queue to a fraction of its new work.

    Attributes
    ----------
    tokens : float
        Retries that may be made now.
    """

    tokens: float = RETRY_BUDGET_INITIAL_TOKENS

    def deposit(self, tasks: int) -> None:
        """Earn retries with new tasks."""
        earned = tasks * RETRY_BUDGET_RATIO
        self.tokens = min(self.tokens + earned, RETRY_BUDGET_INITIAL_TOKENS + 1000.0)

    def withdraw(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryBudgets:
    """The retry budget of each queue."""

    def __init__(self) -> None:
        self._by_queue: dict[str, RetryBudget] = {}

    def deposit(self, queue: str, tasks: int) -> None:
        """Earn a queue's retries with new tasks."""
        self._by_queue.setdefault(queue, RetryBudget()).deposit(tasks)

    def withdraw(self, queue: str) -> bool:
        """Spend one retry of a queue; return whether there was one."""
        return self._by_queue.setdefault(queue, RetryBudget()).withdraw()
