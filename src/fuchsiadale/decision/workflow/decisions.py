"""Bounded buffer of scheduling decisions that wait to be logged."""

from __future__ import annotations

from collections import deque

from attrs import frozen

MAX_DECISIONS = 2_000
"""Maximum number of buffered decisions; about a second's worth of a busy owner."""


@frozen
class Decision:
    """A decision, with the inputs that led to it.

    Attributes
    ----------
    kind : str
        Event name of the log line.
    job_id : str
        Id of the job that the decision concerns; empty for none.
    inputs : dict of str to object
        Further fields of the log line.
    """

    kind: str
    job_id: str
    inputs: dict[str, object]


class DecisionLog:
    """Buffers decisions until they are logged, and counts those that it drops."""

    def __init__(self) -> None:
        self._decisions: deque[Decision] = deque()
        self._dropped = 0

    def add(self, decision: Decision) -> None:
        """Buffer a decision, or count it as dropped if the buffer is full."""
        if len(self._decisions) >= MAX_DECISIONS:
            self._dropped += 1
            return
        self._decisions.append(decision)

    def pop_all(self) -> tuple[list[Decision], int]:
        """Return the buffered decisions and the number of dropped ones; reset both."""
        decisions = list(self._decisions)
        dropped = self._dropped
        self._decisions.clear()
        self._dropped = 0
        return decisions, dropped
