"""Check, explain and document settings from the command line."""

import sys
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Annotated

import cappa

from bramleyturn.core.configuration import (
    EffectiveValue,
    RefusedConfiguration,
    explain,
    load_configuration,
)
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.settings_reference import settings_reference
from bramleyturn.platform.settings import (
    RefusedServingSettings,
    parse_serving_settings,
)
from bramleyturn.runtime.settings_file import Unreadable, read_folder

Folder = Annotated[
    Path,
    cappa.Arg(
        help="Folder of .ini files, merged in the order of their names; for `check` "
        "also the settings file of a process on the users' platform."
    ),
]


class ExitCode(IntEnum):
    """Define the exit codes of the settings and replay commands."""

    OK = 0
    FAULTS = 1
    UNUSABLE = 2


def run_check(command: "Check") -> int:
    """Print every fault of a folder or file, or a summary of what it configures."""
    if command.folder.is_file():
        return check_process_file(command.folder)
    files = _read_or_exit(command.folder)
    loaded = load_configuration(revision=1, files=files)
    if isinstance(loaded, RefusedConfiguration):
        for fault in loaded.faults:
            print(describe_fault(fault))
        print(f"{len(loaded.faults)} fault(s) in {command.folder}", file=sys.stderr)
        return ExitCode.FAULTS
    print(
        f"{command.folder} is valid: {len(loaded.pools)} pools, "
        f"{len(loaded.servers)} servers, {len(loaded.pipelines)} pipelines, "
        f"{len(loaded.workspaces)} workspaces"
    )
    return ExitCode.OK


def check_process_file(file: Path) -> int:
    """Print every fault of a process's settings file on the users' platform."""
    settings = parse_serving_settings(file.read_text("utf-8", "replace"), str(file))
    if isinstance(settings, RefusedServingSettings):
        for fault in settings.faults:
            print(describe_fault(fault))
        print(f"{len(settings.faults)} fault(s) in {file}", file=sys.stderr)
        return ExitCode.FAULTS
    print(f"{file} is valid: instance {settings.name} in {settings.zone}")
    return ExitCode.OK


def run_explain(command: "Explain") -> int:
    """Print each effective value of a folder and where it comes from."""
    files = _read_or_exit(command.folder)
    for value in explain(files):
        print(describe_value(value))
    loaded = load_configuration(revision=1, files=files)
    if isinstance(loaded, RefusedConfiguration):
        for fault in loaded.faults:
            print(describe_fault(fault), file=sys.stderr)
        return ExitCode.FAULTS
    return ExitCode.OK


def run_settings_reference(_command: "SettingsReference") -> int:
    """Print the table of all settings."""
    print(settings_reference(), end="")
    return ExitCode.OK


def describe_value(value: EffectiveValue) -> str:
    """Return an effective value as one line of text."""
    place = f"{value.file}:{value.line}" if value.line else value.file
    shown = " ".join(value.value.split())
    return f"[{value.section}] {value.key} = {shown}  ; {place}"


@cappa.command(name="check", invoke=run_check)
@dataclass(frozen=True)
class Check:
    """Check a folder of settings before it is published.

    Prints one line for each fault: file, line, section, key, what was expected and
    what was found. Exit code 0: valid; 1: faults found; 2: folder cannot be read.
    """

    folder: Folder


@cappa.command(name="explain", invoke=run_explain)
@dataclass(frozen=True)
class Explain:
    """Show each effective value and the file that it comes from.

    Defaults are shown too; keys and digests are not. Exit code 0: valid; 1: faults
    found, listed on standard error; 2: folder cannot be read.
    """

    folder: Folder


@cappa.command(name="settings-reference", invoke=run_settings_reference)
@dataclass(frozen=True)
class SettingsReference:
    """Print the reference of all settings, as in docs/SETTINGS.md."""


def _read_or_exit(folder: Path) -> dict[str, str]:
    """Return the files of ``folder``, or exit when it cannot be read."""
    files = read_folder(folder)
    if isinstance(files, Unreadable):
        message = f"cannot read {files.path}: {files.reason}"
        raise cappa.Exit(message, code=ExitCode.UNUSABLE)
    return files
