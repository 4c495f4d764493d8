"""Read settings files and folders from disk."""

from collections.abc import Collection
from pathlib import Path
from typing import Final, NamedTuple

from bramleyturn.core.process_settings import (
    ProcessSettings,
    RefusedSettings,
    parse_process_settings,
)

SETTINGS_SUFFIX: Final = ".ini"


class Unreadable(NamedTuple):
    """Tell why a file or folder could not be read."""

    path: Path
    reason: str


def read_folder(folder: Path) -> dict[str, str] | Unreadable:
    """Return the text of each ``.ini`` file directly in ``folder`` by its name."""
    try:
        paths = sorted(
            path
            for path in folder.iterdir()
            if path.suffix == SETTINGS_SUFFIX and path.is_file()
        )
    except OSError as error:
        return Unreadable(folder, _reason(error))
    if not paths:
        return Unreadable(folder, f"no {SETTINGS_SUFFIX} file in this folder")
    files: dict[str, str] = {}
    for path in paths:
        text = read_text(path)
        if isinstance(text, Unreadable):
            return text
        files[path.name] = text
    return files


def read_text(path: Path) -> str | Unreadable:
    """Return the text of a UTF-8 file."""
    try:
        return path.read_bytes().decode()
    except OSError as error:
        return Unreadable(path, _reason(error))
    except UnicodeDecodeError as error:
        return Unreadable(path, f"not UTF-8 text (byte {error.start})")


def read_process_settings(
    path: Path,
    required: Collection[str] = (),
    other_sections: Collection[str] = (),
) -> ProcessSettings | RefusedSettings | Unreadable:
    """Return the settings of one process.

    See ``parse_process_settings`` for ``required`` and ``other_sections``.
    """
    text = read_text(path)
    if isinstance(text, Unreadable):
        return text
    return parse_process_settings(text, path.name, required, other_sections)


def _reason(error: OSError) -> str:
    """Return the system's description of ``error``."""
    return error.strerror or str(error)
