"""Define the types of settings values, each with its parser and bounds."""

import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, NamedTuple

from bramleyturn.core.address import format_address, parse_address

MAX_NAME_CHARACTERS: Final = 64
MAX_INTEGER_DIGITS: Final = 18
MIN_SECRET_CHARACTERS: Final = 16
MAX_TEXT_CHARACTERS: Final = 256
MAX_LIST_ITEMS: Final = 1_000
NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")
INTEGER: Final = re.compile(r"-?[0-9]+")
SHA256_HEX: Final = re.compile(r"[0-9A-Fa-f]{64}")
BOOLEANS: Final = {
    "yes": True,
    "true": True,
    "on": True,
    "1": True,
    "no": False,
    "false": False,
    "off": False,
    "0": False,
}
EXPECTED_NAME: Final = (
    f"a name of letters, digits, '-' and '_' (at most {MAX_NAME_CHARACTERS})"
)


class WrongValue(NamedTuple):
    """Describe what was expected in place of an invalid value."""

    expected: str


class ValueType(NamedTuple):
    """Hold the parser of one type of value and its description."""

    label: str
    bounds: str
    parse: Callable[[str], Any]


def is_name(text: str) -> bool:
    """Return whether ``text`` is a valid name of a pool, server, pipeline etc."""
    return len(text) <= MAX_NAME_CHARACTERS and NAME.fullmatch(text) is not None


def split_list(text: str) -> tuple[str, ...]:
    """Return the items of a comma-separated list."""
    if not text.strip():
        return ()
    return tuple(item.strip() for item in text.split(","))


def integer(minimum: int, maximum: int) -> ValueType:
    """Return the type of whole numbers from ``minimum`` to ``maximum``."""
    wrong = WrongValue(f"an integer from {minimum} to {maximum}")

    def parse(text: str) -> int | WrongValue:
        if len(text) > MAX_INTEGER_DIGITS or not INTEGER.fullmatch(text):
            return wrong
        number = int(text)
        return number if minimum <= number <= maximum else wrong

    return ValueType("integer", f"{minimum} to {maximum}", parse)


def boolean() -> ValueType:
    """Return the type of booleans."""

    def parse(text: str) -> bool | WrongValue:
        return BOOLEANS.get(text.lower(), WrongValue("yes or no"))

    return ValueType("boolean", "yes or no", parse)


def choice(options: type[StrEnum]) -> ValueType:
    """Return the type of the values of ``options``."""
    names = {str(option): option for option in options}

    def parse(text: str) -> StrEnum | WrongValue:
        return names.get(text, WrongValue("one of " + ", ".join(names)))

    return ValueType("choice", ", ".join(names), parse)


def text() -> ValueType:
    """Return the type of short free text."""
    wrong = WrongValue(f"at most {MAX_TEXT_CHARACTERS} characters on one line")

    def parse(value: str) -> str | WrongValue:
        return wrong if len(value) > MAX_TEXT_CHARACTERS or "\n" in value else value

    return ValueType("text", f"at most {MAX_TEXT_CHARACTERS} characters", parse)


def name() -> ValueType:
    """Return the type of names."""

    def parse(value: str) -> str | WrongValue:
        return value if is_name(value) else WrongValue(EXPECTED_NAME)

    return ValueType("name", "letters, digits, '-', '_'", parse)


def names(word: str, empty: bool = False) -> ValueType:
    """Return the type of lists of names, or the single keyword ``word`` instead.

    The keyword is kept as the only item. Unless ``empty``, a list needs an item.
    """
    alternative = f", or '{word}'" if word else ""
    wrong = WrongValue(f"different names separated by commas{alternative}")

    def parse(value: str) -> tuple[str, ...] | WrongValue:
        items = split_list(value)
        if word and items == (word,):
            return items
        if not items and not empty:
            return wrong
        if len(items) > MAX_LIST_ITEMS or len(set(items)) < len(items):
            return wrong
        if not all(map(is_name, items)):
            return wrong
        return items

    return ValueType("list of names", f"comma-separated{alternative}", parse)


def digest() -> ValueType:
    """Return the type of SHA-256 digests in hexadecimal."""
    wrong = WrongValue("64 hexadecimal digits (a SHA-256 digest)")

    def parse(value: str) -> str | WrongValue:
        return value.lower() if SHA256_HEX.fullmatch(value) else wrong

    return ValueType("SHA-256", "64 hexadecimal digits", parse)


def secret() -> ValueType:
    """Return the type of secret keys shared by the fleet."""
    bounds = f"{MIN_SECRET_CHARACTERS} to {MAX_TEXT_CHARACTERS} characters"
    wrong = WrongValue(bounds)

    def parse(value: str) -> str | WrongValue:
        length_fits = MIN_SECRET_CHARACTERS <= len(value) <= MAX_TEXT_CHARACTERS
        return value if length_fits and "\n" not in value else wrong

    return ValueType("secret", bounds, parse)


def address(any_port: bool = False) -> ValueType:
    """Return the type of IP:PORT addresses.

    With ``any_port``, port 0 is allowed and means any free port.
    """
    lowest = 0 if any_port else 1
    wrong = WrongValue(
        f"IP:PORT with an IP number (no host name) and a port from {lowest} to 65535"
    )

    def parse(value: str) -> str | WrongValue:
        parsed = parse_address(value)
        if parsed is None or parsed.port < lowest:
            return wrong
        return format_address(parsed)

    return ValueType("address", f"IP:PORT, port {lowest} to 65535", parse)


def optional(of: ValueType) -> ValueType:
    """Return the type ``of`` with the empty string allowed."""
    return of._replace(parse=lambda value: of.parse(value) if value else "")


def addresses() -> ValueType:
    """Return the type of comma-separated lists of addresses, which may be empty."""
    item = address()

    def parse(value: str) -> tuple[str, ...] | WrongValue:
        parsed = tuple(map(item.parse, split_list(value)))
        wrong = [found for found in parsed if isinstance(found, WrongValue)]
        if wrong:
            return WrongValue(f"a comma-separated list of {wrong[0].expected}")
        return parsed

    return ValueType("list of addresses", "comma-separated IP:PORT", parse)
