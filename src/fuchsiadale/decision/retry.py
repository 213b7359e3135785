"""Rules for retries of attempts: whether to retry, when, and how often per queue."""

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
    """What the owner does with a task when one of its attempts has ended.

    Attributes
    ----------
    FINISH
        The task has succeeded.
    FAIL
        The task has failed and is not retried.
    RETRY
        The task is queued again, unless its work is poison or it has failed too often.
    FAIL_AS_UNKNOWN
        The task is not retried, and its outcome is reported as unknown.
    """

    FINISH = "finish"
    FAIL = "fail"
    RETRY = "retry"
    FAIL_AS_UNKNOWN = "tell_unknown"


# The keys are how the attempt ended and whether the work is idempotent. An attempt that
# ended as LOST is no longer running, but whether it ran before is not known.
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
    """Return the seconds to wait before the next attempt.

    The delay doubles with every attempt up to its maximum.
    """
    # 16 doublings exceed the maximum delay, and the bound keeps the shift small.
    exponent = min(max(attempts_made - 1, 0), 16)
    delay_s = RETRY_BACKOFF_INITIAL_S * float(1 << exponent)
    return min(delay_s, RETRY_BACKOFF_MAX_S)


@define
class RetryBudget:
    """Limits the retries of a queue that are made with the normal backoff.

    They are limited to a fraction of the new tasks of the queue. Further retries wait
    for the maximum backoff.

    Attributes
    ----------
    tokens : float
        Number of retries that may still be made with the normal backoff.
    """

    tokens: float = RETRY_BUDGET_INITIAL_TOKENS

    def deposit(self, task_count: int) -> None:
        """Add retries for new tasks, up to 1000 above the initial number."""
        added = task_count * RETRY_BUDGET_RATIO
        self.tokens = min(self.tokens + added, RETRY_BUDGET_INITIAL_TOKENS + 1000.0)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryBudgets:
    """The retry budgets of all queues, by queue name."""

    def __init__(self) -> None:
        self._by_queue: dict[str, RetryBudget] = {}

    def deposit(self, queue: str, task_count: int) -> None:
        """Add the retries for `task_count` new tasks to the budget of a queue."""
        self._by_queue.setdefault(queue, RetryBudget()).deposit(task_count)

    def withdraw(self, queue: str) -> bool:
        """Take one retry from the budget of a queue; return whether there was one."""
        return self._by_queue.setdefault(queue, RetryBudget()).withdraw()
