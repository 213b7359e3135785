"""Conversion of refusals to and from the messages that peers exchange."""

from __future__ import annotations

from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.peers.peer_pb2 import Failure


def encode_refusal(refusal: Refusal) -> Failure:
    """Return the message that carries a refusal."""
    return Failure(kind=refusal.kind.value, message=refusal.message)


def decode_refusal(failure: Failure) -> Refusal:
    """Return the refusal in a message; an unknown kind becomes ``INTERNAL``."""
    try:
        kind = ErrorKind(failure.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return Refusal(kind, failure.message)


def make_unknown_outcome_refusal(peer: str, reason: str) -> Refusal:
    """Return the refusal for a call that the peer may or may not have processed."""
    message = f"no valid reply from member {peer}: {reason}"
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
