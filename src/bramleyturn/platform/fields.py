"""Read single fields of decoded documents and check their types."""

import math
from typing import Any, Final

import orjson

from bramleyturn.platform.errors import Malformed

# Larger numbers are not plausible as durations, sizes or counts.
MAX_NUMBER: Final = 2**53


def read_object(where: str, data: bytes) -> dict[str, Any] | Malformed:
    """Parse ``data`` as a JSON object."""
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError:
        return Malformed(where, "not valid JSON")
    return (
        document
        if isinstance(document, dict)
        else Malformed(where, "not a JSON object")
    )


def text_field(document: dict[str, Any], name: str) -> str | None:
    """Return the string in a field, None if it is empty or of another type."""
    value = document.get(name)
    return value if isinstance(value, str) and value else None


def int_field(document: dict[str, Any], name: str) -> int | None:
    """Return a non-negative number, truncated to an integer, else None."""
    value = number_field(document, name)
    return None if value is None else int(value)


def number_field(document: dict[str, Any], name: str) -> float | None:
    """Return a finite, non-negative number, else None."""
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not math.isfinite(value) or not 0 <= value <= MAX_NUMBER:
        return None
    return value


def flag_field(document: dict[str, Any], name: str) -> bool:
    """Return whether a field is set to true."""
    return document.get(name) is True


def objects_field(document: dict[str, Any], name: str) -> list[dict[str, Any]] | None:
    """Return a list of objects, empty if the field is absent, None if malformed."""
    values = document.get(name, [])
    if not isinstance(values, list):
        return None
    if not all(isinstance(value, dict) for value in values):
        return None
    return values


def is_text_list(values: Any) -> bool:
    """Return whether ``values`` is a list of strings."""
    return isinstance(values, list) and all(isinstance(value, str) for value in values)


def is_int_list(values: Any) -> bool:
    """Return whether ``values`` is a list of non-negative integers."""
    if not isinstance(values, list):
        return False
    return all(type(value) is int and value >= 0 for value in values)
