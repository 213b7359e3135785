"""Refusals on their way between peers."""

from __future__ import annotations

from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.peers.peer_pb2 import Failure


def to_failure(refusal: Refusal) -> Failure:
    """Return the message of a refusal."""
    return Failure(kind=refusal.kind.value, message=refusal.message)


def from_failure(failure: Failure) -> Refusal:
    """Return the refusal in a message; a kind not known here is internal."""
    try:
        kind = ErrorKind(failure.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return Refusal(kind, failure.message)


def unreachable(peer: str, reason: str) -> Refusal:
    """Return the refusal for a call that may have arrived."""
    message = f"no answer from {peer}: {reason}"
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
