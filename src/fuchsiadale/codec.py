"""MessagePack codec of the typed values that are sent or stored."""

from __future__ import annotations

from typing import TypeVar

from cattrs.errors import BaseValidationError
from cattrs.preconf.msgpack import make_converter
from msgpack.exceptions import UnpackException
from result import Err, Ok, Result

T = TypeVar("T")

CONTENT_TYPE = "application/msgpack"

_DECODING_ERRORS = (
    BaseValidationError,
    UnpackException,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)

_converter = make_converter(forbid_extra_keys=False)


def encode(value: object, as_type: object = None) -> bytes:
    """Return a typed value as MessagePack bytes.

    Parameters
    ----------
    value : object
        Instance of an attrs class, or a container of such instances.
    as_type : type, optional
        Type to encode the value as; by default the type of `value`.
    """
    return _converter.dumps(value, unstructure_as=as_type)


def decode(body: bytes, as_type: type[T]) -> Result[T, str]:
    """Return the value of type `as_type` in MessagePack bytes, or an error message."""
    try:
        return Ok(_converter.loads(body, as_type))
    except _DECODING_ERRORS as error:
        return Err(
            f"the data is not a valid {getattr(as_type, '__name__', as_type)}: {error}"
        )
