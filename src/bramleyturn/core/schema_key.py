"""Define how the schema describes settings and their sections."""

from typing import Final, NamedTuple

from bramleyturn.core.value_types import ValueType

SECOND_MS: Final = 1_000
MINUTE_MS: Final = 60 * SECOND_MS
HOUR_MS: Final = 60 * MINUTE_MS
DAY_MS: Final = 24 * HOUR_MS
KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE
MAX_MICROS: Final = 10**15


class Key(NamedTuple):
    """Describe one setting. Without a ``default`` it is required.

    The value of a ``secret`` is never shown.
    """

    name: str
    type: ValueType
    unit: str
    default: str | None
    meaning: str
    secret: bool = False


class SectionSchema(NamedTuple):
    """Describe a kind of section. ``named`` ones have the header ``[kind NAME]``."""

    kind: str
    named: str
    meaning: str
    keys: tuple[Key, ...]
