"""Merge a folder of INI files, remembering where each value comes from."""

import configparser
import re
from collections.abc import Mapping
from typing import Final, NamedTuple

from bramleyturn.core.fault import Fault, printable, quote

COMMENT: Final = re.compile(r"(?:^|\s)[;#].*$")
HEADER: Final = re.compile(r"\[([^\[\]]+)\]")
OPTION: Final = re.compile(r"([^\s=\[][^=]*?)\s*=")
BYTE_ORDER_MARK: Final = "\ufeff"
UNNAMED: Final = "(no name)"


class Value(NamedTuple):
    """Hold the text of one setting and the place it comes from."""

    text: str
    file: str
    line: int


class Section(NamedTuple):
    """Hold the merged settings of one section and where it first stands."""

    name: str
    file: str
    line: int
    values: dict[str, Value]


class Folder(NamedTuple):
    """Hold the merged sections of a folder, and the faults of its syntax."""

    sections: dict[str, Section]
    faults: tuple[Fault, ...]


class ScannedFile(NamedTuple):
    """Hold the sound lines of one file and the line of each section and key."""

    lines: list[str]
    section_lines: dict[str, int]
    key_lines: dict[tuple[str, str], int]
    faults: list[Fault]


def merge_folder(files: Mapping[str, str]) -> Folder:
    """Return the sections of ``files`` merged in the order of their names.

    A later file may repeat a section and override single keys; within one file
    a repeated section or key is a fault. Names of keys ignore case. Faulty lines
    are left out, so that the rest can still be checked.
    """
    sections: dict[str, Section] = {}
    faults: list[Fault] = []
    for name in sorted(files):
        file = printable(name)
        scanned = scan_file(file, files[name])
        faults += scanned.faults
        for section in _read_sections(file, scanned):
            known = sections.setdefault(section.name, section)
            known.values.update(section.values)
    return Folder(sections, tuple(faults))


def scan_file(file: str, text: str) -> ScannedFile:
    """Return the sound lines of ``text``, with each faulty line left blank."""
    scanned = ScannedFile([], {}, {}, [])
    section = ""
    continues = False
    for number, raw_line in enumerate(_split_lines(text), start=1):
        line = COMMENT.sub("", raw_line).rstrip()
        header = _section_in_line(line)
        key = _key_in_line(line)
        expected = _fault_in_line(line, scanned, section, continues)
        # The settings below a faulty header still belong to its section.
        section = header or section
        if expected:
            fault = Fault(file, number, section, key, expected, _found_in_line(line))
            scanned.faults.append(fault)
        if header:
            scanned.section_lines.setdefault(header, number)
        elif key and not expected:
            scanned.key_lines[section, key] = number
        continued = continues and line and not header
        continues = not expected and bool(key or continued)
        sound_line = "" if expected else line
        scanned.lines.append(f"[{header}]" if header else sound_line)
    return scanned


def _split_lines(text: str) -> list[str]:
    """Return the lines of ``text`` without their ends or a byte order mark."""
    return [
        line.removesuffix("\r")
        for line in text.removeprefix(BYTE_ORDER_MARK).split("\n")
    ]


def _fault_in_line(
    line: str, scanned: ScannedFile, section: str, continues: bool
) -> str:
    """Return what was expected in place of ``line``, or nothing if it is sound."""
    if not line:
        return ""
    if not line.replace("\t", " ").isprintable():
        return "printable text"
    if line[0].isspace():
        return "" if continues else "a line that starts in the first column"
    header = _section_in_line(line)
    if header:
        known_line = scanned.section_lines.get(header)
        if known_line is None:
            return ""
        return f"each section once in a file (first in line {known_line})"
    key = _key_in_line(line)
    if not key:
        return "'[section]' or 'key = value'"
    if not section:
        return "a '[section]' before the first key"
    known_line = scanned.key_lines.get((section, key))
    if known_line is None:
        return ""
    return f"each key once in a section (first in line {known_line})"


def _found_in_line(line: str) -> str:
    """Return the first word of ``line`` only: the rest may hold a secret."""
    if _section_in_line(line):
        return quote(line)
    key = _key_in_line(line)
    return quote(f"{key} =") if key else quote(line.split()[0])


def _section_in_line(line: str) -> str:
    """Return the name of the section that ``line`` opens, if it opens one."""
    matched = HEADER.fullmatch(line)
    return printable(" ".join(matched[1].split())) if matched else ""


def _key_in_line(line: str) -> str:
    """Return the name of the key that ``line`` sets, if it sets one."""
    matched = OPTION.match(line)
    return printable(matched[1].lower()) if matched else ""


def _read_sections(file: str, scanned: ScannedFile) -> list[Section]:
    """Return the sections of one scanned file."""
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=(),
        strict=False,
        empty_lines_in_values=False,
        # No header can spell an empty name, so that no section is special.
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
