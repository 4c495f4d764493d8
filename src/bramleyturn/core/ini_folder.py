"""Merge a folder of INI files and keep track of where each value was set."""

import configparser
import re
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bramleyturn.core.fault import Fault, printable, quote

COMMENT: Final = re.compile(r"(?:^|\s)[;#].*$")
HEADER: Final = re.compile(r"\[([^\[\]]+)\]")
OPTION: Final = re.compile(r"([^\s=\[][^=]*?)\s*=")
BYTE_ORDER_MARK: Final = "\ufeff"
UNNAMED: Final = "(no name)"


class Value(NamedTuple):
    """Hold the text of one setting and where it was set."""

    text: str
    file: str
    line: int


class Section(NamedTuple):
    """Hold the merged settings of one section and where it first appears."""

    name: str
    file: str
    line: int
    values: dict[str, Value]


class IniFolder(NamedTuple):
    """Hold the merged sections of a folder and its syntax faults."""

    sections: dict[str, Section]
    faults: tuple[Fault, ...]


class IniFile(NamedTuple):
    """Hold the sections of one file and its syntax faults."""

    sections: tuple[Section, ...]
    faults: tuple[Fault, ...]


class Line(NamedTuple):
    """Hold a line without its comment, and the section or key it starts."""

    text: str
    header: str
    key: str


class ScannedFile(NamedTuple):
    """Hold the valid lines of one file and the line number of each section and key."""

    lines: list[str]
    section_lines: dict[str, int]
    key_lines: dict[tuple[str, str], int]
    faults: list[Fault]


def merge_folder(files: Mapping[str, str]) -> IniFolder:
    """Merge the sections of ``files`` in the order of the file names.

    A later file may repeat a section and override single keys; within one file
    a repeated section or key is a fault. Key names are case-insensitive. Invalid
    lines are skipped, so that the rest can still be checked.
    """
    return merge_files(read_file(name, files[name]) for name in sorted(files))


def read_file(name: str, text: str) -> IniFile:
    """Parse one file into its sections and syntax faults."""
    file = printable(name)
    scanned = scan_file(file, text)
    return IniFile(tuple(_read_sections(file, scanned)), tuple(scanned.faults))


def merge_files(files: Iterable[IniFile]) -> IniFolder:
    """Merge the sections of ``files``, later ones overriding earlier ones.

    The sections in ``files`` are not modified.
    """
    sections: dict[str, Section] = {}
    faults: list[Fault] = []
    for file in files:
        faults += file.faults
        for section in file.sections:
            earlier = sections.get(section.name)
            if earlier is not None:
                section = earlier._replace(values=earlier.values | section.values)
            sections[section.name] = section
    return IniFolder(sections, tuple(faults))


def scan_file(file: str, text: str) -> ScannedFile:
    """Scan ``text`` into its valid lines, with each invalid line left blank."""
    scanned = ScannedFile([], {}, {}, [])
    section = ""
    continues = False
    for number, raw_line in enumerate(_split_lines(text), start=1):
        line = _parse_line(raw_line)
        expected = _fault_in_line(line, scanned, section, continues)
        # Settings below an invalid header still belong to its section.
        section = line.header or section
        if expected:
            found = _found_in_line(line)
            fault = Fault(file, number, section, line.key, expected, found)
            scanned.faults.append(fault)
        if line.header:
            scanned.section_lines.setdefault(line.header, number)
        elif line.key and not expected:
            scanned.key_lines[section, line.key] = number
        continued = continues and line.text and not line.header
        continues = not expected and bool(line.key or continued)
        valid_text = "" if expected else line.text
        scanned.lines.append(f"[{line.header}]" if line.header else valid_text)
    return scanned


def _parse_line(raw_line: str) -> Line:
    """Return a line with the section or key that it starts."""
    text = COMMENT.sub("", raw_line).rstrip()
    header = HEADER.fullmatch(text)
    if header:
        return Line(text, printable(" ".join(header[1].split())), "")
    option = OPTION.match(text)
    return Line(text, "", printable(option[1].lower()) if option else "")


def _split_lines(text: str) -> list[str]:
    """Return the lines of ``text`` without line endings or a byte order mark."""
    return [
        line.removesuffix("\r")
        for line in text.removeprefix(BYTE_ORDER_MARK).split("\n")
    ]


def _fault_in_line(
    line: Line, scanned: ScannedFile, section: str, continues: bool
) -> str:
    """Return what was expected in place of ``line``, empty if it is valid."""
    if not line.text:
        return ""
    if not line.text.replace("\t", " ").isprintable():
        return "printable text"
    if line.text[0].isspace():
        return "" if continues else "a line that starts in the first column"
    if line.header:
        first_line = scanned.section_lines.get(line.header)
        if first_line is None:
            return ""
        return f"each section once in a file (first in line {first_line})"
    if not line.key:
        return "'[section]' or 'key = value'"
    if not section:
        return "a '[section]' before the first key"
    first_line = scanned.key_lines.get((section, line.key))
    if first_line is None:
        return ""
    return f"each key once in a section (first in line {first_line})"


def _found_in_line(line: Line) -> str:
    """Return the first word of ``line``; the rest may contain a secret."""
    if line.header:
        return quote(line.text)
    return quote(f"{line.key} =") if line.key else quote(line.text.split()[0])


def _read_sections(file: str, scanned: ScannedFile) -> list[Section]:
    """Parse the sections of one scanned file."""
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=(),
        strict=False,
        empty_lines_in_values=False,
        # No header can have an empty name, so no section serves as the defaults.
        default_section="",
    )
    parser.read_file(scanned.lines, source=file or UNNAMED)
    return [
        Section(
            name,
            file,
            scanned.section_lines[name],
            {
                key: Value(text, file, scanned.key_lines[name, key])
                for key, text in parser.items(name)
            },
        )
        for name in parser.sections()
    ]
