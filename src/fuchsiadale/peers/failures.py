"""Refusals on their way between peers."""

from __future__ import annotations

from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.peers.peer_pb2 import Failure


def encode_refusal(refusal: Refusal) -> Failure:
    """Return the message of a refusal."""
    return Failure(kind=refusal.kind.value, message=refusal.message)


def decode_refusal(failure: Failure) -> Refusal:
    """Return the refusal in a message; a kind not known here is internal."""
    try:
        kind = ErrorKind(failure.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return Refusal(kind, failure.message)


def make_unknown_outcome_refusal(peer: str, reason: str) -> Refusal:
    """Return the refusal for a call that may have arrived."""
    message = f"no answer from {peer}: {reason}"
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
