"""The one codec for what travels or is kept: MessagePack of typed values."""

from __future__ import annotations

from typing import TypeVar

from cattrs.errors import BaseValidationError
from cattrs.preconf.msgpack import make_converter
from msgpack.exceptions import UnpackException
from result import Err, Ok, Result

T = TypeVar("T")

CONTENT_TYPE = "application/msgpack"

_converter = make_converter(forbid_extra_keys=False)


def encode(value: object, as_type: object = None) -> bytes:
    """Return the bytes of a typed value.

    Parameters
    ----------
    value : object
        An instance of an attrs class or a container of such.
    as_type : type, optional
        The declared type, where it differs from the type of `value`.
    """
    return _converter.dumps(value, unstructure_as=as_type)


def decode(body: bytes, as_type: type[T]) -> Result[T, str]:
    """Return the typed value of some bytes, or what is wrong with them."""
    try:
        return Ok(_converter.loads(body, as_type))
    except (BaseValidationError, UnpackException, ValueError, TypeError) as error:
        return Err(f"not a valid {getattr(as_type, '__name__', as_type)}: {error}")
