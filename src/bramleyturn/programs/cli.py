"""Run the command line `bramleyturn`."""

import sys
from dataclasses import dataclass

import cappa

from bramleyturn.programs.commands_replay import Replay
from bramleyturn.programs.commands_settings import Check, Explain, SettingsReference


@cappa.command(name="bramleyturn")
@dataclass(frozen=True)
class Bramleyturn:
    """Check settings and look after a running bramleyturn.

    Start with `bramleyturn check FOLDER`. Each command has a --help of its own.
    Exit codes: 0: done; 1: the command found faults; 2: wrong usage, or something
    that the command needs cannot be read.
    """

    command: cappa.Subcommands[Check | Explain | SettingsReference | Replay]


def main() -> None:
    """Run the command that the arguments name and exit with its code."""
    sys.exit(cappa.invoke(Bramleyturn))
