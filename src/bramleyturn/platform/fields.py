"""Read single fields of decoded documents, with a check of their types."""

import math
from typing import Any, Final

import orjson

from bramleyturn.platform.errors import Malformed

# Larger figures are no durations, sizes or counts that the platform could mean.
MAX_WHOLE: Final = 2**53


def read_object(where: str, data: bytes) -> dict[str, Any] | Malformed:
    """Return the object that ``data`` holds as JSON, or why there is none."""
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError:
        return Malformed(where, "not JSON")
    return document if isinstance(document, dict) else Malformed(where, "no object")


def text_field(document: dict[str, Any], name: str) -> str | None:
    """Return a text that is not empty, else None."""
    value = document.get(name)
    return value if isinstance(value, str) and value else None


def whole_field(document: dict[str, Any], name: str) -> int | None:
    """Return a number that is not negative, in whole units, else None."""
    value = number_field(document, name)
    return None if value is None else int(value)


def number_field(document: dict[str, Any], name: str) -> float | None:
    """Return a finite number that is not negative, else None."""
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not math.isfinite(value) or not 0 <= value <= MAX_WHOLE:
        return None
    return value


def flag_field(document: dict[str, Any], name: str) -> bool:
    """Return whether a field is set to true."""
    return document.get(name) is True


def objects_field(document: dict[str, Any], name: str) -> list[dict[str, Any]] | None:
    """Return a list of objects, empty where the field is absent, else None."""
    values = document.get(name, [])
    if not isinstance(values, list):
        return None
    if not all(isinstance(value, dict) for value in values):
        return None
    return values


def is_text_list(values: Any) -> bool:
    """Return whether ``values`` is a list of texts."""
    return isinstance(values, list) and all(isinstance(value, str) for value in values)


def is_whole_list(values: Any) -> bool:
    """Return whether ``values`` is a list of whole numbers that are not negative."""
    if not isinstance(values, list):
        return False
    return all(type(value) is int and value >= 0 for value in values)
