"""Reads fields of documents that others have written, and checks type and range."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Any, TypeGuard

MAX_AMOUNT = 1 << 40
"""Largest amount, duration or count that a document may give, in its own unit."""

MAX_WHOLE_NUMBER = (1 << 53) - 1
"""Largest whole number that every JSON encoder represents exactly."""

MAX_PORT = (1 << 16) - 1

DECODING_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""Errors that fields of a wrong type or an invalid value raise while decoding."""


def read_text(item: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a field that must be text; `default` if absent, unless that is None.

    Raises
    ------
    ValueError
        If the field is not text, or is absent and required.
    """
    value = item.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, str):
        raise ValueError(f"the field '{name}' must be text")
    return value


def read_number(
    item: dict[str, Any], name: str, default: float = 0.0, most: int = MAX_AMOUNT
) -> float:
    """Return a number that must be finite and not negative; `default` if absent.

    Raises
    ------
    ValueError
        If the field is not such a number, or larger than `most`.
    """
    value = item.get(name)
    if value is None:
        return default
    if not is_number(value) or not 0.0 <= value <= most:
        raise ValueError(f"the field '{name}' must be a number from 0 to {most}")
    return float(value)


def read_whole_number(item: dict[str, Any], name: str, default: int = 0) -> int:
    """Return a whole number that must not be negative; `default` if absent.

    Raises
    ------
    ValueError
        If the field is not such a number, or larger than `MAX_WHOLE_NUMBER`.
    """
    value = item.get(name)
    return default if value is None else check_whole_number(value)


def check_whole_number(value: object) -> int:
    """Return a value if it is a whole number from 0 to `MAX_WHOLE_NUMBER`.

    Raises
    ------
    ValueError
        If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("the value must be a whole number")
    if not 0 <= value <= MAX_WHOLE_NUMBER:
        raise ValueError(f"the number must be from 0 to {MAX_WHOLE_NUMBER}")
    return value


def is_number(value: object) -> TypeGuard[int | float]:
    """Tell whether a value is a number, which true and false are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def check_address(text: str) -> str:
    """Return a text if it is the ``ip:port`` of a server.

    Raises
    ------
    ValueError
        If it is not.
    """
    host, _, port = text.rpartition(":")
    IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"the port must be from 1 to {MAX_PORT}")
    return text
