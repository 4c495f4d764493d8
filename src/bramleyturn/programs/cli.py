"""Run the `bramleyturn` command line."""

import sys
from dataclasses import dataclass

import cappa

from bramleyturn.programs.commands_operate import (
    Cost,
    Drain,
    Servers,
    Status,
    Timeline,
)
from bramleyturn.programs.commands_replay import Replay
from bramleyturn.programs.commands_settings import Check, Explain, SettingsReference


@cappa.command(name="bramleyturn")
@dataclass(frozen=True)
class Bramleyturn:
    """Check settings and operate a running bramleyturn.

    Start with `bramleyturn check FOLDER` before you publish settings, and with
    `bramleyturn status --admin ADDRESS --key-file FILE` on a running availability
    zone. Each command has a --help of its own. Exit codes: 0: done; 1: the command
    found faults or was refused; 2: wrong usage, or something that the command needs
    cannot be read; 3: the administration process is unreachable.
    """

    command: cappa.Subcommands[
        Check
        | Explain
        | SettingsReference
        | Status
        | Cost
        | Servers
        | Timeline
        | Drain
        | Replay
    ]


def main() -> None:
    """Run the command that the arguments name and exit with its code."""
    sys.exit(cappa.invoke(Bramleyturn))


if __name__ == "__main__":
    main()
