"""Describe what is wrong with a setting and where it is set."""

from typing import Final, NamedTuple

MAX_FOUND_CHARACTERS: Final = 80


class Fault(NamedTuple):
    """Locate an invalid setting and state what was expected in its place.

    ``line`` counts from 1 and is 0 when the fault belongs to no single line.
    ``section`` and ``key`` are empty when the fault belongs to neither.
    """

    file: str
    line: int
    section: str
    key: str
    expected: str
    found: str


def describe_fault(fault: Fault) -> str:
    """Return the fault as one line of text."""
    place = f"{fault.file}:{fault.line}" if fault.line else fault.file
    section = f" [{fault.section}]" if fault.section else ""
    key = f" {fault.key}" if fault.key else ""
    return f"{place}:{section}{key}: expected {fault.expected}, found {fault.found}"


def printable(text: str) -> str:
    """Return ``text`` with unprintable characters escaped."""
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else ascii(character)[1:-1]
        for character in text
    )


def quote(text: str) -> str:
    """Return ``text`` in quotes, shortened to ``MAX_FOUND_CHARACTERS``."""
    if len(text) <= MAX_FOUND_CHARACTERS:
        return repr(text)
    return repr(text[:MAX_FOUND_CHARACTERS]) + "..."
