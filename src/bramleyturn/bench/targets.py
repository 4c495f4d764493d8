"""Read the description of the fleet that a load is sent to."""

from pathlib import Path
from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.model import Configuration

FIRST_REVISION: Final = 1


class Targets(NamedTuple):
    """Hold the addresses, the callers' keys and the configuration of one fleet."""

    entries: tuple[str, ...]
    keys: dict[str, str]
    configuration: Configuration


class BadTargets(NamedTuple):
    """Report why a fleet description cannot be used."""

    reason: str


def read_targets(path: Path) -> Targets | BadTargets:
    """Return the fleet that the JSON file at ``path`` describes.

    It reads ``{"entries": [ADDRESS], "keys": {WORKSPACE: KEY}, "settings":
    FOLDER}``, where the folder holds the published configuration.
    """
    try:
        document = orjson.loads(path.read_bytes())
    except OSError as error:
        return BadTargets(f"{path}: {error.strerror}")
    except orjson.JSONDecodeError as error:
        return BadTargets(f"{path}: not JSON: {error}")
    if not _describes_fleet(document):
        return BadTargets(f"{path}: expected entries, keys and settings of a fleet")
    configuration = read_configuration(Path(document["settings"]))
    if isinstance(configuration, BadTargets):
        return configuration
    return Targets(tuple(document["entries"]), document["keys"], configuration)


def read_configuration(folder: Path) -> Configuration | BadTargets:
    """Return the configuration in a folder of INI files."""
    try:
        files = {path.name: path.read_text("utf-8") for path in folder.glob("*.ini")}
    except (OSError, UnicodeDecodeError) as error:
        return BadTargets(f"{folder}: {error}")
    configuration = load_configuration(FIRST_REVISION, files)
    if isinstance(configuration, RefusedConfiguration):
        return BadTargets("\n".join(map(describe_fault, configuration.faults)))
    return configuration


def _describes_fleet(document: Any) -> bool:
    return (
        isinstance(document, dict)
        and bool(document.get("entries"))
        and isinstance(document.get("keys"), dict)
        and isinstance(document.get("settings"), str)
    )
