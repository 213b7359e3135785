"""Contents of rows, which are compressed if they are large."""

from __future__ import annotations

import zlib

from result import Err, Ok, Result

MAX_ROW_BYTES = 65_536
"""Maximum size of the content of a row in bytes."""

MAX_PLAIN_BYTES = 32_768
"""Size in bytes above which the content of a row is compressed."""

MAX_UNCOMPRESSED_BYTES = 1 << 24
"""Maximum size in bytes of the compressed content of a row once it is uncompressed."""

_ZLIB_HEADER = b"\x78"
"""First byte of compressed content; that of plain content stands for a map."""


def compress_if_large(value: bytes) -> bytes:
    """Return the content to store for an encoded value."""
    return zlib.compress(value) if len(value) > MAX_PLAIN_BYTES else value


def uncompress(content: bytes) -> Result[bytes, str]:
    """Return the encoded value in the content of a row, or why it cannot be read."""
    if not content.startswith(_ZLIB_HEADER):
        return Ok(content)
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(content, MAX_UNCOMPRESSED_BYTES)
    except zlib.error as error:
        return Err(f"the data cannot be uncompressed: {error}")
    if not decompressor.eof:
        return Err("the compressed data is incomplete or too large")
    return Ok(value)
