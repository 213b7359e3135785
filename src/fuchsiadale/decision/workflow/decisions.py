"""A bounded record of decisions, for the log."""

from __future__ import annotations

from collections import deque

from attrs import frozen

MAX_DECISIONS = 2_000
"""Decisions kept until the log takes them; about a second of a busy owner."""


@frozen
class Decision:
    """One decision, with the inputs that led to it."""

    kind: str
    job_id: str
    inputs: dict[str, object]


class DecisionLog:
    """Keeps decisions until they are taken; counts those it had to drop."""

    def __init__(self) -> None:
        self._decisions: deque[Decision] = deque()
        self._dropped = 0

    def add(self, decision: Decision) -> None:
        """Keep a decision, or count it if there is no room."""
        if len(self._decisions) >= MAX_DECISIONS:
            self._dropped += 1
            return
        self._decisions.append(decision)

    def pop_all(self) -> tuple[list[Decision], int]:
        """Return the decisions since the last call, and how many were dropped."""
        decisions = list(self._decisions)
        dropped = self._dropped
        self._decisions.clear()
        self._dropped = 0
        return decisions, dropped
