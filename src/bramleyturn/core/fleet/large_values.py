"""Pack large values for other instances, and leave out those that they already have.

Load pattern handled here: a configuration of thousands of routes that reaches hundreds
of instances over links of a few megabits a second, while servers come and go. Each
change of a server would carry the configuration along, and requests would wait behind
it. So a value is named by its digest, sent once in a document, compressed, and not at
all to an instance that names the same digest.
"""

import base64
import binascii
import hashlib
import zlib
from collections.abc import Mapping
from typing import Final, NamedTuple

# Smaller values are sent as they are: a digest and its framing take some 100 bytes.
LARGE_VALUE_BYTES: Final = 4_096
DIGEST_BYTES: Final = 16
# The fastest level; routes that resemble one another shrink to a tenth with any.
COMPRESSION_LEVEL: Final = 1
# The current value and the one that it replaces.
KEPT_VALUES: Final = 2


class PackedValue(NamedTuple):
    """Hold a value's digest and its compressed bytes as text."""

    digest: str
    text: str


class PackedValues:
    """Keep the last packed values, because many instances ask for the same ones."""

    def __init__(self) -> None:
        self.by_value: dict[bytes, PackedValue] = {}


def is_large(value: bytes | None) -> bool:
    """Return whether a value is sent by its digest."""
    return value is not None and len(value) >= LARGE_VALUE_BYTES


def pack(packed: PackedValues, value: bytes) -> PackedValue:
    """Return the digest and the compressed text of a value."""
    known = packed.by_value.get(value)
    if known is None:
        text = base64.b64encode(zlib.compress(value, COMPRESSION_LEVEL)).decode()
        known = PackedValue(digest_of(value), text)
        packed.by_value[value] = known
        for each in list(packed.by_value)[:-KEPT_VALUES]:
            del packed.by_value[each]
    return known


def digest_of(value: bytes) -> str:
    """Return the digest by which instances name a value."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).hexdigest()


def unpack_all(texts: Mapping[str, str], max_bytes: int) -> dict[str, bytes]:
    """Return the values of a document by digest.

    Raise ValueError if one is malformed, does not match its digest, or if they have
    more than ``max_bytes`` together.
    """
    values: dict[str, bytes] = {}
    left_bytes = max_bytes
    for digest, text in texts.items():
        value = _unpack(text, left_bytes)
        if digest_of(value) != digest:
            raise ValueError("a value does not match its digest")
        left_bytes -= len(value)
        values[digest] = value
    return values


def _unpack(text: str, max_bytes: int) -> bytes:
    try:
        reader = zlib.decompressobj()
        # A limit of 0 would mean none.
        value = reader.decompress(base64.b64decode(text, validate=True), max_bytes + 1)
    except (binascii.Error, zlib.error) as error:
        raise ValueError("a value is malformed") from error
    if len(value) > max_bytes or not reader.eof:
        raise ValueError("a value is too large or broken off")
    return value
