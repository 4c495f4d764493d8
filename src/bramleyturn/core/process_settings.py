"""Parse the settings file of one process."""

from collections.abc import Collection
from typing import NamedTuple

from bramleyturn.core.fault import Fault
from bramleyturn.core.ini_folder import merge_folder
from bramleyturn.core.schema import PROCESS
from bramleyturn.core.schema_operation import LogLevel
from bramleyturn.core.section_values import key_fault, parse_sections


class ProcessSettings(NamedTuple):
    """Hold the settings of one process; addresses have the form IP:PORT.

    ``watch`` and ``platform`` are empty where the program needs none. An empty
    ``advertise`` stands for the address that the process listens on. ``peers`` are
    other watches, asked with ``peers_key`` while the platform does not list them.
    """

    name: str
    zone: str
    listen: str
    watch: str
    platform: tuple[str, ...]
    advertise: str
    peers: tuple[str, ...]
    peers_key: str
    log_level: LogLevel


class RefusedSettings(NamedTuple):
    """Hold all faults of a refused settings file."""

    faults: tuple[Fault, ...]


def parse_process_settings(
    text: str,
    file: str,
    required: Collection[str] = (),
    other_sections: Collection[str] = (),
) -> ProcessSettings | RefusedSettings:
    """Return the settings in ``text``, or all of its faults.

    ``required`` names the optional keys that this program requires, and
    ``other_sections`` the sections that the program parses itself.
    """
    folder = merge_folder({file: text})
    sections = {
        name: section
        for name, section in folder.sections.items()
        if name not in other_sections
    }
    parsed = parse_sections(sections, (PROCESS,))
    process = parsed.by_kind[PROCESS.kind][""]
    source = (
        process.source if process.source.line else process.source._replace(file=file)
    )
    missing = [
        key_fault(source, key, "an address, which this program needs", "nothing")
        for key in required
        if not process.values.get(key, "faulty")
    ]
    located = [
        fault if fault.line else fault._replace(file=file) for fault in parsed.faults
    ]
    faults = [*folder.faults, *located, *missing]
    if faults:
        return RefusedSettings(tuple(sorted(faults)))
    return ProcessSettings(**process.values)
