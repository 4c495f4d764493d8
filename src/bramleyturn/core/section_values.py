"""Validate each section of a folder against the schema."""

from collections.abc import Sequence
from typing import Any, Final, NamedTuple

from bramleyturn.core.fault import Fault, quote
from bramleyturn.core.ini_folder import Section, Value
from bramleyturn.core.schema import STAGE, Key, SectionSchema
from bramleyturn.core.steps import Steps, run_steps
from bramleyturn.core.value_types import EXPECTED_NAME, WrongValue, is_name

SECTIONS_PER_STEP: Final = 500
STAGE_SEPARATOR: Final = "."


class ParsedSection(NamedTuple):
    """Hold the parsed values of one section; invalid ones are left out."""

    name: str
    source: Section
    values: dict[str, Any]


class ParsedSections(NamedTuple):
    """Hold the parsed sections by kind and name."""

    by_kind: dict[str, dict[str, ParsedSection]]
    faults: list[Fault]


class ParsedCache:
    """Cache the valid sections of the last parse for reuse."""

    def __init__(self) -> None:
        self.by_id: dict[int, ParsedSection] = {}


def parse_sections(
    sections: dict[str, Section], schemas: Sequence[SectionSchema]
) -> ParsedSections:
    """Parse the sections, with the default of each key that is not set."""
    return run_steps(parse_in_steps(sections, schemas, ParsedCache()))


def parse_in_steps(
    sections: dict[str, Section],
    schemas: Sequence[SectionSchema],
    cache: ParsedCache,
) -> Steps[ParsedSections]:
    """Parse like ``parse_sections``, but yield every ``SECTIONS_PER_STEP`` sections.

    A section object that was parsed the last time is not parsed again.
    """
    previous, cache.by_id = cache.by_id, {}
    by_kind: dict[str, dict[str, ParsedSection]] = {
        schema.kind: {} for schema in schemas
    }
    by_name = {schema.kind: schema for schema in schemas}
    faults: list[Fault] = []
    for number, section in enumerate(sections.values(), start=1):
        if not number % SECTIONS_PER_STEP:
            yield
        kind, _, name = section.name.partition(" ")
        schema = by_name.get(kind)
        expected = _expected_header(schema, name, schemas)
        if schema is None or expected:
            faults.append(section_fault(section, expected, quote(section.name)))
            continue
        parsed = previous.get(id(section))
        if parsed is None or parsed.source is not section:
            fault_count = len(faults)
            parsed = _parse_section(section, name, schema, faults)
            if len(faults) > fault_count:
                by_kind[kind][name] = parsed
                continue
        cache.by_id[id(section)] = by_kind[kind][name] = parsed
    for schema in schemas:
        if not schema.named and not by_kind[schema.kind]:
            absent = Section(schema.kind, "(no file)", 0, {})
            defaults = _parse_section(absent, "", schema, faults)
            by_kind[schema.kind][""] = defaults
    return ParsedSections(by_kind, faults)


def section_fault(section: Section, expected: str, found: str) -> Fault:
    """Return a fault of a whole section."""
    return Fault(section.file, section.line, section.name, "", expected, found)


def key_fault(section: Section, key: str, expected: str, found: str) -> Fault:
    """Return a fault of one key of a section, located at the section if not set."""
    value = section.values.get(key)
    if value is None:
        return Fault(section.file, section.line, section.name, key, expected, found)
    return Fault(value.file, value.line, section.name, key, expected, found)


def _expected_header(
    schema: SectionSchema | None, name: str, schemas: Sequence[SectionSchema]
) -> str:
    """Return what was expected as the header, empty if it is valid."""
    if schema is None:
        return "a section " + ", ".join(map(_header, schemas))
    if not schema.named:
        return f"the section {_header(schema)} without a name" if name else ""
    parts = name.split(STAGE_SEPARATOR) if schema.kind == STAGE.kind else [name]
    part_count = schema.named.count(STAGE_SEPARATOR) + 1
    if len(parts) == part_count and all(map(is_name, parts)):
        return ""
    return f"{_header(schema)}, {EXPECTED_NAME}"


def _header(schema: SectionSchema) -> str:
    """Return the header of a section as an operator writes it."""
    return f"[{schema.kind} {schema.named}]" if schema.named else f"[{schema.kind}]"


def _parse_section(
    section: Section, name: str, schema: SectionSchema, faults: list[Fault]
) -> ParsedSection:
    """Parse the values of one section and append its faults to ``faults``."""
    known = {key.name: key for key in schema.keys}
    for key_name in section.values:
        if key_name not in known:
            expected = "one of the keys " + ", ".join(known)
            faults.append(key_fault(section, key_name, expected, quote(key_name)))
    values: dict[str, Any] = {}
    for key in schema.keys:
        parsed = _parse_key(key, section.values.get(key.name))
        if isinstance(parsed, WrongValue):
            found = _found(key, section.values.get(key.name))
            faults.append(key_fault(section, key.name, parsed.expected, found))
        else:
            values[key.name] = parsed
    return ParsedSection(name, section, values)


def _parse_key(key: Key, value: Value | None) -> Any:
    """Return the parsed value or default of a key, or ``WrongValue``."""
    text = key.default if value is None else value.text
    # No type of a required key accepts the empty text.
    return key.type.parse(text or "")


def _found(key: Key, value: Value | None) -> str:
    """Describe an invalid value without revealing a secret."""
    if value is None:
        return "no such key"
    if not value.text:
        return "nothing"
    if key.secret:
        return f"{len(value.text)} characters (not shown)"
    return quote(value.text)
